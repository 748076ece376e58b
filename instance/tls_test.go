package instance

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"dogwooddyke/internal/certtest"
)

// TestTLS serves callers and peers over TLS.
func TestTLS(t *testing.T) {
	is := is.New(t)
	certificate, key, parsed := certtest.Write(t, t.TempDir(), 1)
	pair := "certificate = " + certificate + "\nprivateKey = " + key + "\n"
	f := newFleetWith(t, 1, 0, 2, "[callers]\n"+pair, pair+"authority = "+certificate+"\n")
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: true}}
	defer client.CloseIdleConnections()
	request := f.request(0, http.MethodPost, "/v1/chat/completions", longQuestion)
	request.URL.Scheme = "https"
	response, err := client.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.ProtoMajor, 2)
	assertWhole(t, readEvents(response.Body, 1<<20))
	f.await("peers over TLS", func() bool { return f.instances[0].node.Traffic().CallsIn.Load() > 0 })
}
