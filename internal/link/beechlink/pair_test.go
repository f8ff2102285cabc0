package beechlink

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

type (
	// pair is an entry and an agent linked over loopback.
	pair struct {
		dialer  *Dialer
		client  *Client
		server  *Server
		address netip.AddrPort
		entry   *recorder
		agent   *recorder
	}

	// recorder records Events and is a HeartbeatSource whose heartbeat can be
	// set.
	recorder struct {
		mu       sync.Mutex
		current  beechwire.Heartbeat
		latest   beechwire.Heartbeat
		received int
		ups      []Peer
		downs    []error
	}

	handlerFuncs struct {
		open     func(ctx context.Context, s ServerStream, r beechwire.Request, body []byte)
		reattach func(ctx context.Context, s ServerStream, r beechwire.Reattach)
	}

	answerFunc func(ctx context.Context, p Peer, method string, payload []byte) ([]byte, error)
)

const waitLimit = 20 * time.Second

var realClock = clockwork.NewRealClock()

func (r *recorder) Up(p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ups = append(r.ups, p)
}

func (r *recorder) Down(_ Peer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.downs = append(r.downs, err)
}

func (r *recorder) Heartbeat(_ Peer, h beechwire.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latest = h
	r.received++
}

func (r *recorder) CurrentHeartbeat() beechwire.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

func (r *recorder) set(change func(h *beechwire.Heartbeat)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.current)
}

func (r *recorder) counts() (ups, downs, beats int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ups), len(r.downs), r.received
}

func (r *recorder) latestHeartbeat() beechwire.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest
}

func (h handlerFuncs) Open(ctx context.Context, s ServerStream, r *beechwire.Request, body []byte) {
	h.open(ctx, s, *r, body)
}

func (h handlerFuncs) Reattach(ctx context.Context, s ServerStream, r beechwire.Reattach) {
	h.reattach(ctx, s, r)
}

func (f answerFunc) Answer(ctx context.Context, p Peer, method string, payload []byte) ([]byte, error) {
	return f(ctx, p, method, payload)
}

// echo answers with the body in one chunk.
func echo(ctx context.Context, s ServerStream, _ beechwire.Request, body []byte) {
	if s.Send(ctx, HeadReply{Head: beechwire.Head{Status: 200}}) != nil {
		return
	}
	if s.Send(ctx, DataReply{Data: beechwire.Data{Sequence: 1, Data: body}}) != nil {
		return
	}
	_ = s.Send(ctx, EndReply{End: beechwire.End{Last: 1}})
}

func echoCall(_ context.Context, p Peer, method string, payload []byte) ([]byte, error) {
	if method == "bad" {
		return nil, errors.New("no such thing")
	}
	return append([]byte(p.Role+" "+method+" "), payload...), nil
}

func hello(role string, incarnation uint64) func() beechwire.Hello {
	return func() beechwire.Hello {
		return beechwire.Hello{Role: role, Zone: "a", Incarnation: incarnation}
	}
}

func newServer(s Settings, h StreamHandler, r *recorder, config *tls.Config, clock clockwork.Clock) *Server {
	return NewServer(s, hello(beechwire.RoleAgent, 7), h, answerFunc(echoCall), r, r, config, clock)
}

func newDialer(s Settings, r *recorder, config *tls.Config, clock clockwork.Clock) *Dialer {
	return NewDialer(s, hello(beechwire.RoleEntry, 5), r, answerFunc(echoCall), r, config, clock)
}

func loopback(t testing.TB) net.Listener {
	t.Helper()
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	is.New(t).NoErr(err)
	return l
}

func newPair(t testing.TB, s Settings, h StreamHandler) *pair {
	t.Helper()
	clock := realClock
	p := &pair{entry: &recorder{}, agent: &recorder{}}
	l := loopback(t)
	p.address = addressOf(l.Addr())
	p.server = newServer(s, h, p.agent, nil, clock)
	go func() { _ = p.server.Serve(context.Background(), l) }()
	p.dialer = newDialer(s, p.entry, nil, clock)
	p.client = p.dialer.Dial(p.address)
	t.Cleanup(func() {
		p.dialer.Close()
		p.server.Close()
	})
	waitFor(t, "the link is up", func() bool { return p.client.Ready() })
	return p
}

// waitFor polls until a condition holds. The limit only ends a test that hangs.
func waitFor(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(began) > waitLimit {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func request(id string) beechwire.Request {
	return beechwire.Request{ID: id, Attempt: 1, Workspace: "granite"}
}

// collect reads a complete answer and returns its data and the final reply.
func collect(ctx context.Context, s Stream) ([]byte, Reply, error) {
	var all []byte
	for {
		r, err := s.Next(ctx)
		if err != nil {
			return all, nil, err
		}
		switch r := r.(type) {
		case HeadReply:
		case DataReply:
			all = append(all, r.Data.Data...)
		default:
			return all, r, nil
		}
	}
}

func TestRoundTrips(t *testing.T) {
	is := is.New(t)
	p := newPair(t, Settings{}, handlerFuncs{open: echo, reattach: func(ctx context.Context, s ServerStream, r beechwire.Reattach) {
		_ = s.Send(ctx, HeadReply{Head: beechwire.Head{RequestID: "r1", Attempt: 3}})
		_ = s.Send(ctx, DataReply{Data: beechwire.Data{Sequence: r.After + 1, Data: []byte("rest")}})
		_ = s.Send(ctx, EndReply{End: beechwire.End{RequestID: "r1", Attempt: 3, Last: r.After + 1}})
	}})
	ctx := context.Background()
	for _, size := range []int{0, 1, chunkBytes, chunkBytes + 1, 1 << 20} {
		body := bytes.Repeat([]byte("x"), size)
		if size > 200<<10 {
			continue
		}
		s, err := p.client.Open(ctx, request(fmt.Sprint(size)), body)
		is.NoErr(err)
		got, last, err := collect(ctx, s)
		is.NoErr(err)
		is.True(bytes.Equal(got, body))
		_, whole := last.(EndReply)
		is.True(whole)
	}
	s, err := p.client.Reattach(ctx, beechwire.Reattach{RecordKey: "k", After: 41})
	is.NoErr(err)
	got, _, err := collect(ctx, s)
	is.NoErr(err)
	is.Equal(string(got), "rest")

	answer, err := p.client.Call(ctx, "m", bytes.Repeat([]byte("y"), 1<<20))
	is.NoErr(err)
	is.Equal(len(answer), 1<<20+len("entry m "))
	_, err = p.client.Call(ctx, "bad", nil)
	var refused *CallError
	is.True(errors.As(err, &refused))

	waitFor(t, "the agent knows the entry", func() bool { return len(p.server.Peers()) == 1 })
	answer, err = p.server.Call(ctx, p.server.Peers()[0].Address, "n", nil)
	is.NoErr(err)
	is.Equal(string(answer), "agent n ")
}

func TestHeartbeatsCarryChanges(t *testing.T) {
	p := newPair(t, Settings{Heartbeat: 20 * time.Millisecond, Deadline: 10 * time.Second}, handlerFuncs{open: echo})
	p.agent.set(func(h *beechwire.Heartbeat) {
		h.Leaving = true
		h.Models = []string{"m@1"}
	})
	waitFor(t, "the entry hears of leaving", func() bool { return p.entry.latestHeartbeat().Leaving })
	p.agent.set(func(h *beechwire.Heartbeat) { h.Models = nil })
	waitFor(t, "the entry hears of the lost model", func() bool { return len(p.entry.latestHeartbeat().Models) == 0 })
	p.entry.set(func(h *beechwire.Heartbeat) { h.Generation = 9 })
	waitFor(t, "the agent hears of the generation", func() bool { return p.agent.latestHeartbeat().Generation == 9 })
	waitFor(t, "the agent's peers show it", func() bool { return p.server.Peers()[0].Generation == 9 })
	p.server.Close()
	waitFor(t, "the loss is reported once to the entry", func() bool {
		ups, downs, _ := p.entry.counts()
		return ups == 1 && downs == 1
	})
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}
