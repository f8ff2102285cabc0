package beechcrowd

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const limit = 1 << 20

// serve starts a server that reads bodies up to the limit and answers 200, or 413.
func serve(t *testing.T, got *atomic.Int64) netip.AddrPort {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(counter{got}, http.MaxBytesReader(w, r.Body, limit))
		if err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// counter counts what is written to it.
type counter struct{ total *atomic.Int64 }

func (c counter) Write(data []byte) (int, error) {
	c.total.Add(int64(len(data)))
	return len(data), nil
}

func TestFormsReachTheServer(t *testing.T) {
	for _, c := range []struct {
		form   string
		bytes  int64 // at least, of all clients
		status int   // that is answered; 0: none is
	}{
		{"length", 4 * (limit - 1), 0},
		{"short", 4 * (greetingBytes - 1), 0},
		{"chunks", 4 * (limit - pieceBytes), 0},
		{"small-chunks", 4 * (limit/smallChunkShare - pieceBytes), 0},
		{"whole", 4 * limit, http.StatusOK},
		{"announced", 0, http.StatusRequestEntityTooLarge},
		{"endless", limit, http.StatusRequestEntityTooLarge},
		{"heads", 0, 0},
		{"trickle", 0, 0},
		{"idle", 0, 0},
		{"kept", 4 * (limit - 1), 0},
		{"behind", 0, http.StatusOK},
		{"deaf", 4 * greetingBytes, 0},
		{"mixed", limit, 0},
	} {
		t.Run(c.form, func(t *testing.T) {
			is := is.New(t)
			var got atomic.Int64
			crowd, err := New(Settings{Form: c.form, Clients: 4, Address: serve(t, &got), Path: "/", BodyBytes: limit})
			is.NoErr(err)
			crowd.AwaitTurns(10 * time.Second)
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if got.Load() >= c.bytes && (c.status == 0 || crowd.Counts().Answered[c.status] > 0) {
					break
				}
			}
			counts := crowd.Counts()
			crowd.Stop()
			is.True(counts.Opened >= 4)
			is.True(got.Load() >= c.bytes)
			if c.status != 0 {
				is.True(counts.Answered[c.status] > 0)
			}
		})
	}
}

func TestUnknownForm(t *testing.T) {
	_, err := New(Settings{Form: "polite"})
	is.New(t).True(err != nil)
}

func TestCallerComesAgainAsItIsTold(t *testing.T) {
	is := is.New(t)
	asked := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if asked++; asked < 3 {
			w.Header().Set("Retry-After", "0.01")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	caller := Caller{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Host: "h", Path: "/", Header: func() http.Header { return nil }, Bytes: 100}
	is.NoErr(caller.AskPatiently(t.Context()))
	is.Equal(asked, 3)
}

func TestObservationCountsUnreadBytes(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	observation := Observe(os.Getpid(), address)
	crowd, err := New(Settings{Form: "length", Clients: 2, Address: address, Path: "/", BodyBytes: limit})
	is.NoErr(err)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && observation.Now().Unread == 0; {
		time.Sleep(time.Millisecond)
	}
	used, err := observation.End()
	is.NoErr(err)
	is.True(used.Unread > 0)
	is.True(used.Resident > 0)
	is.True(used.Descriptors > 0)
	crowd.Stop()
}
