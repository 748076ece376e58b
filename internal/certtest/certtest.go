// Package certtest creates certificates for tests.
package certtest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Write writes a self-signed certificate for the loopback address and its key to files in a directory, overwriting existing files. It
// returns the paths of both files and the parsed certificate.
func Write(t *testing.T, directory string, serial int64) (certificate, key string, parsed *x509.Certificate) {
	t.Helper()
	is := is.New(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
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
	certificate, key = filepath.Join(directory, "a.pem"), filepath.Join(directory, "a.key")
	is.NoErr(os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), 0o600))
	return certificate, key, parsed
}
