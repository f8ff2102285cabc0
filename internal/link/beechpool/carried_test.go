package beechpool

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// serveIDs answers each request with its ID.
func serveIDs(c net.Conn, r *bufio.Reader) {
	for id, ok := readRequestID(r); ok; id, ok = readRequestID(r) {
		writeResponse(c, id, "")
	}
}

// connectionFor returns the number of the connection that carries a request.
func connectionFor(t *testing.T, p *Pool, peer netip.AddrPort, c Conditions) int {
	t.Helper()
	is := is.New(t)
	c.Matches = func(r *http.Response) bool { return r.Header.Get("Id") == c.ID }
	response, err := p.Exchange(t.Context(), peer, newRequest(c.ID, nil), c)
	is.NoErr(err)
	number := ConnectionOf(response).Number
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	return number
}

// Guards against an ID that is no evidence of which exchange of its connection a response belongs to.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	is := is.New(t)
	peer, _ := serveRaw(t, serveIDs)
	p := newPool()
	is.Equal(connectionFor(t, p, peer, Conditions{ID: "a"}), 1)
	is.Equal(connectionFor(t, p, peer, Conditions{ID: "b"}), 1)
	is.Equal(connectionFor(t, p, peer, Conditions{ID: "a"}), 2)
	is.Equal(connectionFor(t, p, peer, Conditions{ID: "c"}), 2) // used last
	is.Equal(connectionFor(t, p, peer, Conditions{ID: "b"}), 2)
	is.Equal(connectionFor(t, p, peer, Conditions{ID: "b"}), 3)
}

// Guards against memory that grows with the requests of a connection, and against forgetting some of them.
func TestConnectionCarriesABoundedNumberOfIDs(t *testing.T) {
	is := is.New(t)
	peer, accepted := serveRaw(t, serveIDs)
	p := newPool()
	for n := range maxCarriedIDs {
		is.Equal(connectionFor(t, p, peer, Conditions{ID: fmt.Sprint(n)}), 1)
	}
	is.Equal(p.ConnectionsClosed()[CloseUsedUp], int64(1))
	is.Equal(connectionFor(t, p, peer, Conditions{ID: "next"}), 2)
	is.Equal(accepted.Load(), int32(2))
}

// Guards against a request that cannot be sent again since connections that it must not use take all places.
func TestRepeatReplacesAnIdleConnectionAtTheMaximum(t *testing.T) {
	is := is.New(t)
	peer, _ := serveRaw(t, serveIDs)
	settings := DefaultSettings
	settings.MaxConns = 1
	p := New(settings, clockwork.NewRealClock())
	is.Equal(connectionFor(t, p, peer, Conditions{ID: "a"}), 1)
	is.Equal(connectionFor(t, p, peer, Conditions{ID: "a"}), 2)
	is.Equal(p.ConnectionsClosed()[CloseReplaced], int64(1))
}

// Guards against responses that name no request, and come on a connection that another kind of response may come on.
func TestKindsOfRequestsShareNoConnection(t *testing.T) {
	is := is.New(t)
	peer, _ := serveRaw(t, serveIDs)
	p := newPool()
	is.Equal(connectionFor(t, p, peer, Conditions{}), 1)
	is.Equal(connectionFor(t, p, peer, Conditions{Kind: "k"}), 2)
	is.Equal(connectionFor(t, p, peer, Conditions{Kind: "k"}), 2)
	is.Equal(connectionFor(t, p, peer, Conditions{Kind: "k", Exclusive: true}), 3)
	is.Equal(connectionFor(t, p, peer, Conditions{Kind: "k", Exclusive: true}), 4)
	is.Equal(connectionFor(t, p, peer, Conditions{}), 1)
	is.Equal(p.ConnectionsClosed()[CloseUsedUp], int64(2))
}
