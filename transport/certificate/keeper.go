package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync/atomic"

	"github.com/samber/oops"
)

// Keeper holds the current certificate and authority; connections made after a Reload use the new ones.
type Keeper struct {
	certificate string
	privateKey  string
	authority   string
	current     atomic.Pointer[material]
}

type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool // nil when there is no authority file
}

// NewKeeper reads the PEM files; the authority may be empty.
func NewKeeper(certificate, privateKey, authority string) (*Keeper, error) {
	k := &Keeper{certificate: certificate, privateKey: privateKey, authority: authority}
	if err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Reload reads the files again and keeps the former content when that fails.
func (k *Keeper) Reload() error {
	pair, err := tls.LoadX509KeyPair(k.certificate, k.privateKey)
	if err != nil {
		return oops.In("certificate").With("file", k.certificate).Wrap(err)
	}
	m := &material{certificate: pair}
	if k.authority != "" {
		data, err := os.ReadFile(k.authority)
		if err != nil {
			return oops.In("certificate").With("file", k.authority).Wrap(err)
		}
		m.authority = x509.NewCertPool()
		if !m.authority.AppendCertsFromPEM(data) {
			return oops.In("certificate").With("file", k.authority).Errorf("holds no certificate")
		}
	}
	k.current.Store(m)
	return nil
}

// Server returns the settings of a listener; with an authority, the other side must show a certificate signed by it.
func (k *Keeper) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := k.current.Load()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{m.certificate},
			}
			if m.authority != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = m.authority
			}
			return config, nil
		},
	}
}

// Client returns the settings of outgoing connections to instances whose certificates the authority signed; they are
// known by IP numbers that move, so the authority counts and the name does not.
func (k *Keeper) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
		// The chain is verified below, against the authority that is current at that time.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verify,
	}
}

func (k *Keeper) verify(state tls.ConnectionState) error {
	m := k.current.Load()
	if m.authority == nil || len(state.PeerCertificates) == 0 {
		return errors.New("no authority to verify the peer's certificate by")
	}
	options := x509.VerifyOptions{Roots: m.authority, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}
