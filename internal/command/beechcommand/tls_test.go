package beechcommand

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

	"github.com/beechring/beechring/internal/process/beechsettings"
)

// authority issues certificates for one test.
type authority struct {
	t           *testing.T
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.certificate, a.key = a.issue("authority", &x509.Certificate{
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	})
	return a
}

// settings issues a certificate for the loopback address and returns the paths of
// its files.
func (a *authority) settings(name string) *beechsettings.TLS {
	a.issue(name, &x509.Certificate{
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	return &beechsettings.TLS{Certificate: a.file(name), Key: a.file(name + "-key"), Authority: a.file("authority")}
}

func (a *authority) file(name string) string { return filepath.Join(a.dir, name+".pem") }

func (a *authority) issue(name string, template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	is := is.New(a.t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template.SerialNumber = big.NewInt(time.Now().UnixNano())
	template.Subject = pkix.Name{CommonName: name}
	template.NotAfter = time.Now().Add(time.Hour)
	parent, signer := a.certificate, a.key
	if parent == nil {
		parent, signer = template, key
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	is.NoErr(err)
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	is.NoErr(os.WriteFile(a.file(name), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}), 0o600))
	is.NoErr(os.WriteFile(a.file(name+"-key"), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyBytes}), 0o600))
	certificate, err := x509.ParseCertificate(raw)
	is.NoErr(err)
	return certificate, key
}

// handshake runs a TLS handshake and returns the server's error, because a TLS 1.3
// client sees a rejected certificate only on its next read.
func handshake(t *testing.T, client, server *tls.Config) error {
	t.Helper()
	is := is.New(t)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	is.NoErr(err)
	defer listener.Close()
	go func() {
		conn, err := tls.Dial("tcp", listener.Addr().String(), client)
		if err == nil {
			conn.Close()
		}
	}()
	conn, err := listener.Accept()
	is.NoErr(err)
	defer conn.Close()
	return conn.(*tls.Conn).Handshake()
}

// A host outside the deployment connects to an agent with a certificate of another
// authority or with none. If it were accepted, it could send work to agents on
// behalf of any workspace.
func TestLinksAcceptOnlyTheDeploymentsCertificates(t *testing.T) {
	is := is.New(t)
	deployment := newAuthority(t)
	agent, err := linkTLS(deployment.settings("agent"))
	is.NoErr(err)
	entry, err := linkTLS(deployment.settings("entry"))
	is.NoErr(err)
	is.NoErr(handshake(t, entry, agent))

	untrusted, err := linkTLS(newAuthority(t).settings("untrusted"))
	is.NoErr(err)
	untrusted.InsecureSkipVerify = true
	is.True(handshake(t, untrusted, agent) != nil)
	is.True(handshake(t, &tls.Config{InsecureSkipVerify: true}, agent) != nil)
}

func TestMissingCertificateIsAnError(t *testing.T) {
	is := is.New(t)
	settings := newAuthority(t).settings("entry")
	for _, missing := range []*beechsettings.TLS{
		{Certificate: "none.pem", Key: settings.Key, Authority: settings.Authority},
		{Certificate: settings.Certificate, Key: settings.Key, Authority: "none.pem"},
		{Certificate: settings.Certificate, Key: settings.Key, Authority: settings.Key},
	} {
		_, err := linkTLS(missing)
		is.True(err != nil)
	}
	none, err := linkTLS(nil)
	is.NoErr(err)
	is.True(none == nil)
}
