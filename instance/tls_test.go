package instance

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writeCertificate writes a certificate for loopback that is its own authority, with its key.
func writeCertificate(t *testing.T) (certificate, key string, parsed *x509.Certificate) {
	t.Helper()
	is := is.New(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	is.NoErr(err)
	parsed, err = x509.ParseCertificate(der)
	is.NoErr(err)
	secret, err := x509.MarshalPKCS8PrivateKey(private)
	is.NoErr(err)
	directory := t.TempDir()
	certificate, key = filepath.Join(directory, "a.pem"), filepath.Join(directory, "a.key")
	is.NoErr(os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), 0o600))
	return certificate, key, parsed
}

// TestTLS serves callers and peers over TLS.
func TestTLS(t *testing.T) {
	is := is.New(t)
	certificate, key, parsed := writeCertificate(t)
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
