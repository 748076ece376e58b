package main

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"dogwooddyke/internal/certtest"
)

// secured sends requests over TLS, and tells which certificate it met.
type secured struct {
	t       *testing.T
	callers string
	trusted *x509.CertPool
}

// ask opens a connection of its own and returns the certificate's serial, and whether the answer was whole.
func (s *secured) ask() (serial int64, whole bool) {
	is := is.New(s.t)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: s.trusted}}}
	defer client.CloseIdleConnections()
	request, err := http.NewRequest(http.MethodPost, "https://"+s.callers+"/v1/chat/completions", strings.NewReader(processQuestion))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+processKey)
	response, err := client.Do(request)
	if err != nil {
		s.t.Errorf("not served: %v", err)
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.TLS.PeerCertificates[0].SerialNumber.Int64(), err == nil && strings.Contains(string(body), "data: [DONE]")
}

// TestCertificateReload replaces the certificate of a process while callers open connections and streams run.
func TestCertificateReload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newProcesses(t)
	certificate, key, first := certtest.Write(t, p.directory, 1)
	process, callers, operators := p.instanceWith("secured", "[callers]\ncertificate = "+certificate+"\nprivateKey = "+key+"\n")
	p.publish([]string{operators}, p.catalogue()...)
	s := &secured{t: t, callers: callers, trusted: x509.NewCertPool()}
	s.trusted.AddCert(first)
	serial, whole := s.ask()
	is.Equal(serial, int64(1))
	is.True(whole)

	_, _, second := certtest.Write(t, p.directory, 2)
	s.trusted = s.trusted.Clone()
	s.trusted.AddCert(second)
	var over atomic.Bool
	var served, cut atomic.Int64
	var group sync.WaitGroup
	for range 6 {
		group.Go(func() {
			for !over.Load() {
				if _, whole := s.ask(); !whole {
					cut.Add(1)
				}
				served.Add(1)
			}
		})
	}
	p.await("traffic", func() bool { return served.Load() >= 6 })
	is.NoErr(process.Process.Signal(syscall.SIGHUP))
	p.await("the new certificate", func() bool {
		serial, _ := s.ask()
		return serial == 2
	})
	after := served.Load()
	p.await("traffic after it", func() bool { return served.Load() >= after+6 })
	over.Store(true)
	group.Wait()
	is.Equal(cut.Load(), int64(0))
}
