package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// authority signs certificates for a test.
type authority struct {
	t           *testing.T
	directory   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	is := is.New(t)
	a := &authority{t: t, directory: t.TempDir()}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	a.certificate = a.template("authority")
	a.certificate.IsCA = true
	a.certificate.BasicConstraintsValid = true
	a.certificate.KeyUsage = x509.KeyUsageCertSign
	a.write("authority.pem", "CERTIFICATE", a.sign(a.certificate, a.key))
	return a
}

func (a *authority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func (a *authority) sign(template *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	is := is.New(a.t)
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	is.NoErr(err)
	return der
}

func (a *authority) write(name, kind string, der []byte) string {
	is := is.New(a.t)
	path := filepath.Join(a.directory, name)
	is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue writes a certificate and its key, over those of the same name.
func (a *authority) issue(name string) (certificate, key string) {
	is := is.New(a.t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	der, err := x509.MarshalECPrivateKey(private)
	is.NoErr(err)
	certificate = a.write(name+".pem", "CERTIFICATE", a.sign(a.template(name), private))
	return certificate, a.write(name+".key", "EC PRIVATE KEY", der)
}

func (a *authority) keeper(name string) *Keeper {
	is := is.New(a.t)
	certificate, key := a.issue(name)
	k, err := NewKeeper(certificate, key, filepath.Join(a.directory, "authority.pem"))
	is.NoErr(err)
	return k
}

// meet runs a handshake and returns the serial that the client saw.
func meet(t *testing.T, server, client *tls.Config) (*big.Int, error) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var group conc.WaitGroup
	defer group.Wait()
	defer func() { _ = listener.Close() }()
	group.Go(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		served := tls.Server(conn, server)
		_, _ = served.Write([]byte("x"))
		_ = served.Close()
	})
	raw, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	conn := tls.Client(raw, client)
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return nil, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber, nil
}

func TestKeeper(t *testing.T) {
	t.Run("mutual", func(t *testing.T) {
		is := is.New(t)
		a := newAuthority(t)
		_, err := meet(t, a.keeper("one").Server(), a.keeper("two").Client())
		is.NoErr(err)
	})
	t.Run("strangers", func(t *testing.T) {
		is := is.New(t)
		known, stranger := newAuthority(t), newAuthority(t)
		_, err := meet(t, known.keeper("one").Server(), stranger.keeper("two").Client())
		is.True(err != nil)
		_, err = meet(t, stranger.keeper("one").Server(), known.keeper("two").Client())
		is.True(err != nil)
	})
	t.Run("reload", func(t *testing.T) {
		is := is.New(t)
		a := newAuthority(t)
		server, client := a.keeper("one"), a.keeper("two")
		config := server.Server()
		before, err := meet(t, config, client.Client())
		is.NoErr(err)
		a.issue("one")
		is.NoErr(server.Reload())
		after, err := meet(t, config, client.Client())
		is.NoErr(err)
		is.True(before.Cmp(after) != 0)
	})
	t.Run("badFileKeepsTheFormer", func(t *testing.T) {
		is := is.New(t)
		a := newAuthority(t)
		server, client := a.keeper("one"), a.keeper("two")
		is.NoErr(os.WriteFile(filepath.Join(a.directory, "one.pem"), []byte("nothing"), 0o600))
		is.True(server.Reload() != nil)
		_, err := meet(t, server.Server(), client.Client())
		is.NoErr(err)
	})
}
