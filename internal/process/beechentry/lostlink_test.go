package beechentry

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechwire"
)

// linkRelay passes the bytes of links on to an agent.
type linkRelay struct {
	listener net.Listener

	mu          sync.Mutex
	connections []net.Conn
}

func newLinkRelay(t *testing.T, agent netip.AddrPort) *linkRelay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	r := &linkRelay{listener: listener}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", agent.String())
			if err != nil {
				_ = from.Close()
				continue
			}
			r.mu.Lock()
			r.connections = append(r.connections, from, to)
			r.mu.Unlock()
			go func() { _, _ = io.Copy(to, from); _ = to.Close() }()
			go func() { _, _ = io.Copy(from, to); _ = from.Close() }()
		}
	}()
	t.Cleanup(r.close)
	return r
}

func (r *linkRelay) address() netip.AddrPort {
	return netip.MustParseAddrPort(r.listener.Addr().String())
}

// cut closes all connections. New ones are accepted.
func (r *linkRelay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.connections {
		_ = c.Close()
	}
	r.connections = nil
}

// close refuses connections from now on.
func (r *linkRelay) close() {
	_ = r.listener.Close()
	r.cut()
}

// serveThroughRelay returns an entry that serves, and the relay of its only link.
func serveThroughRelay(t *testing.T) (*Entry, *linkRelay) {
	a := newLinkedAgent(t)
	close(a.release)
	r := newLinkRelay(t, a.address)
	a.address = r.address()
	e := newTestEntry(t, a)
	serveTestEntry(t, e)
	waitUntil(t, "the entry to be ready", e.ready)
	waitUntil(t, "an answer", func() bool {
		status, _, err := sendCompletion(t.Context(), e, "")
		return err == nil && status == http.StatusOK
	})
	return e, r
}

// TestNewRequestWaitsForLostLink guards against requests that are refused while the link to the only
// server is made again.
func TestNewRequestWaitsForLostLink(t *testing.T) {
	is := is.New(t)
	e, r := serveThroughRelay(t)
	for range 3 { // each loss doubles the pause before the next connection
		r.cut()
		status, body := post(t, e)
		is.Equal(status, http.StatusOK)
		is.True(!strings.Contains(body, "error"))
	}
}

// TestNewRequestIsRefusedWhenAgentIsGone guards against requests that wait for an agent whose host
// refuses connections.
func TestNewRequestIsRefusedWhenAgentIsGone(t *testing.T) {
	is := is.New(t)
	e, r := serveThroughRelay(t)
	r.close()
	began := time.Now()
	status, body := post(t, e)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"no_server"`))
	is.True(time.Since(began) < reattachTimeout)
}

// TestRequestThatNeverArrivedDoesNotWaitForItsServer guards against an outcome that is unknown for good: the
// server has barred the claim of a request that was lost with its link, and would refuse it.
func TestRequestThatNeverArrivedDoesNotWaitForItsServer(t *testing.T) {
	is := is.New(t)
	e, r := serveThroughRelay(t)
	j := &job{timeout: time.Second}
	e.fleet.mu.Lock()
	for _, l := range e.fleet.links {
		j.request.Model, j.request.Weights, _ = strings.Cut(l.offers[0], "@")
	}
	e.fleet.mu.Unlock()
	j.request.Claim = "claim"
	r.cut()
	waitUntil(t, "the loss of the link", func() bool { return e.fleet.rejoinTimeLeft(j.target()) > 0 })
	again, f := e.decideAfterRefused(t.Context(), j, r.address(), refused{beechwire.Refused{Reason: beechwire.ReasonNever}})
	is.True(!again)
	is.Equal(f.Ran, beechwire.RanNo)
}
