package beechadmin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"strings"
	"time"
)

const (
	headerTimeout = 5 * time.Second
	closeTimeout  = 2 * time.Second
)

// NewMux returns a mux with /livez and /readyz, and with /debug/vars and /debug/pprof/
// protected by the key. The metrics are passed as vars and not taken from expvar's globals,
// because tests and the demo run several of the system's processes in one OS process.
func NewMux(key string, ready func() bool, vars *expvar.Map) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ok")
	})
	mux.Handle("GET /debug/vars", RequireKey(key, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintln(w, vars.String())
	})))
	mux.Handle("GET /debug/pprof/", RequireKey(key, http.HandlerFunc(pprof.Index)))
	mux.Handle("GET /debug/pprof/profile", RequireKey(key, http.HandlerFunc(pprof.Profile)))
	return mux
}

// RequireKey wraps a handler so that it requires the key as a bearer token. The key is
// compared in constant time.
func RequireKey(key string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(key))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			http.Error(w, "admin key missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Listen opens the address and returns a function that serves the handler until its
// context ends. A supervisor can call the function again, as it keeps the listener.
func Listen(address netip.AddrPort, handler http.Handler) (func(ctx context.Context) error, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen for admin on %s: %w", address, err)
	}
	return func(ctx context.Context) error {
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		stop := context.AfterFunc(ctx, func() {
			shutdownCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
			defer cancel()
			_ = server.Shutdown(shutdownCtx)
		})
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve admin on %s: %w", address, err)
		}
		return ctx.Err()
	}, nil
}
