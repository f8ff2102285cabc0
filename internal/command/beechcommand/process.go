package beechcommand

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/state/beechstore"
)

var errNoCertificate = errors.New("no PEM-encoded certificate found")

// readFile reads a named file, or standard input for "-".
func readFile(name string, in io.Reader) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(in)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &usageError{err}
	}
	return data, nil
}

func newLog(out io.Writer, level, name string) (*zap.Logger, error) {
	if level == "" {
		level = "info"
	}
	log, err := beechlog.New(out, level)
	if err != nil {
		return nil, &usageError{err}
	}
	return log.With(zap.String("process", name)), nil
}

func newStore(addresses []netip.AddrPort, key string, clock clockwork.Clock) beechstore.Store {
	return beechstore.New(beechstore.Settings{Addresses: addresses, Key: key}, beechstore.NewHTTPClient(), clock)
}

// serverTLS returns the configuration of a listener that presents a certificate,
// or nil if t is nil.
func serverTLS(t *beechsettings.TLS) (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate %s: %w", t.Certificate, err)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// linkTLS returns the mutual TLS configuration of links, where both sides present
// a certificate issued by the same authority. It returns nil if t is nil.
func linkTLS(t *beechsettings.TLS) (*tls.Config, error) {
	config, err := serverTLS(t)
	if err != nil || config == nil {
		return nil, err
	}
	data, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, fmt.Errorf("load link authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("load link authority %s: %w", t.Authority, errNoCertificate)
	}
	config.MinVersion = tls.VersionTLS13
	config.RootCAs = pool
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}
