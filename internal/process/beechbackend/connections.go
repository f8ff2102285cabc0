package beechbackend

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beechring/beechring/internal/link/beechanswer"
)

const (
	maxIdleConnections = 1024
	idleTimeout        = 90 * time.Second

	// maxCarriedIDs bounds the memory of a connection, which is closed after as many requests.
	maxCarriedIDs = 256
)

var (
	errNoConnections  = errors.New("the HTTP transport does not let its user choose the connection of a request")
	errNothingWritten = errors.New("nothing was written")
)

type (
	// connections is an HTTP transport to one server that may send a second copy of an earlier answer at any time.
	// It chooses the connection of each exchange so that the copy cannot be taken for the answer to another one:
	//
	//   - a request with an ID, by which its answer is recognised, goes on a connection that has not carried this ID
	//   - a GET without an ID goes on a connection that has carried nothing but the same call
	//   - any other request goes on a new connection, which is closed afterwards
	//
	// A connection is closed as well after an answer that does not name its request, and after the failure of a
	// call, since a copy of these would be taken for the answer to whatever came next.
	connections struct {
		transport *http.Transport
		seed      maphash.Seed

		mu   sync.Mutex
		idle map[string][]*connection // by kind; the most recently used is last
	}

	connection struct {
		*http.ClientConn
		writes  *atomic.Int64
		kind    string
		carried []uint64 // hashes of the IDs of its requests
		expiry  *time.Timer
	}

	// countedConnection counts the writes that were begun.
	countedConnection struct {
		net.Conn
		writes *atomic.Int64
	}

	// writesKey is the key of a connection's *atomic.Int64 in the context of its dial.
	writesKey struct{}

	// exchange is what the choice of a connection depends on.
	exchange struct {
		kind string
		id   string
		once bool // its connection carries nothing else
	}

	// exchangeBody releases the connection at the end of an answer.
	exchangeBody struct {
		io.ReadCloser
		release func()
	}

	// unknownTransport is a transport whose connections can be neither chosen nor replaced by checked ones.
	unknownTransport struct{}
)

func newConnections(shared *http.Transport) *connections {
	transport := shared.Clone()
	dial := dialContext(shared)
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if writes, ok := ctx.Value(writesKey{}).(*atomic.Int64); ok && err == nil {
			return countedConnection{c, writes}, nil
		}
		return c, err
	}
	return &connections{transport: transport, seed: maphash.MakeSeed(), idle: make(map[string][]*connection)}
}

func exchangeOf(r *http.Request) exchange {
	if id := r.Header.Get(RequestHeader); id != "" {
		return exchange{kind: "request", id: id}
	}
	return exchange{kind: r.Method + " " + r.URL.Path, once: r.Method != http.MethodGet}
}

// recognises reports whether no copy of the response can be taken for one to a later exchange of the same kind.
func (x exchange) recognises(response *http.Response) bool {
	if x.id != "" {
		return response.Header.Get(RequestHeader) == x.id
	}
	return response.StatusCode < http.StatusInternalServerError
}

// RoundTrip sends a request on a connection that fits, and never sends it again.
func (s *connections) RoundTrip(r *http.Request) (*http.Response, error) {
	x := exchangeOf(r)
	c, reused, err := s.acquire(r, x)
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Reused: reused})
	}
	before := c.writes.Load()
	response, err := beechanswer.Transport(c.ClientConn).RoundTrip(r)
	if err != nil {
		_ = c.Close() // first, so that nothing is written after the look at the count
		if c.writes.Load() == before {
			err = fmt.Errorf("%w: %w", errNothingWritten, err)
		}
		return nil, err
	}
	kept := !x.once && x.recognises(response) && len(c.carried) < maxCarriedIDs
	response.Body = &exchangeBody{response.Body, sync.OnceFunc(func() { s.release(c, kept) })}
	return response, nil
}

// acquire returns an idle connection that fits, or a new one.
func (s *connections) acquire(r *http.Request, x exchange) (c *connection, reused bool, err error) {
	id := maphash.String(s.seed, x.id)
	for !x.once {
		if c = s.popIdle(x, id); c == nil {
			break
		}
		if c.Reserve() == nil {
			return c, true, nil
		}
		_ = c.Close() // the server has closed it, or sent bytes that no request asked for
	}
	writes := new(atomic.Int64)
	ctx := context.WithValue(r.Context(), writesKey{}, writes)
	client, err := s.transport.NewClientConn(ctx, r.URL.Scheme, r.URL.Host)
	if err != nil {
		return nil, false, err
	}
	return &connection{ClientConn: client, writes: writes, kind: x.kind, carried: carriedBy(nil, x, id)}, false, nil
}

func carriedBy(carried []uint64, x exchange, id uint64) []uint64 {
	if x.id == "" {
		return carried
	}
	return append(carried, id)
}

// popIdle returns the idle connection of the kind that was used last and has not carried the ID, or nil.
func (s *connections) popIdle(x exchange, id uint64) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.idle[x.kind]
	for i, c := range slices.Backward(list) {
		if x.id != "" && slices.Contains(c.carried, id) {
			continue
		}
		s.idle[x.kind] = slices.Delete(list, i, i+1)
		c.expiry.Stop()
		c.carried = carriedBy(c.carried, x, id)
		return c
	}
	return nil
}

// release makes a connection available to later exchanges, or closes it.
func (s *connections) release(c *connection, kept bool) {
	if kept && c.Available() > 0 && s.pushIdle(c) {
		return
	}
	_ = c.Close()
}

func (s *connections) pushIdle(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle[c.kind]) >= maxIdleConnections {
		return false
	}
	if c.expiry == nil {
		c.expiry = time.AfterFunc(idleTimeout, func() { s.expire(c) })
	} else {
		c.expiry.Reset(idleTimeout)
	}
	s.idle[c.kind] = append(s.idle[c.kind], c)
	return true
}

// expire closes a connection unless it was taken meanwhile.
func (s *connections) expire(c *connection) {
	s.mu.Lock()
	i := slices.Index(s.idle[c.kind], c)
	if i >= 0 {
		s.idle[c.kind] = slices.Delete(s.idle[c.kind], i, i+1)
	}
	s.mu.Unlock()
	if i >= 0 {
		_ = c.Close()
	}
}

func (c countedConnection) Write(data []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(data)
}

// Read reads the answer.
func (b *exchangeBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF {
		b.release()
	}
	return n, err
}

// Close ends the exchange. If the answer was not read to its end, its connection is closed.
func (b *exchangeBody) Close() error {
	err := b.ReadCloser.Close()
	b.release()
	return err
}

// RoundTrip refuses all requests.
func (unknownTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errNoConnections
}
