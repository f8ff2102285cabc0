package beechagent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/process/beechbackend"
	"github.com/beechring/beechring/internal/state/beechfence"
	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// orderedEngine records the orders that arrive and executes all of them, as an engine
	// that does not check fencing numbers.
	orderedEngine struct {
		address netip.AddrPort

		mu     sync.Mutex
		orders []orderSeen
	}

	orderSeen struct {
		Fence uint64 `json:"fence"`
		Load  string `json:"load"`
	}

	// stop is a point at which the process of an agent is stopped once.
	stop struct {
		at   string
		once sync.Once
		run  func() // what others do meanwhile
	}

	// stoppedStore stops the process in a call to the store.
	stoppedStore struct {
		beechstore.Store
		stop *stop
	}

	// otherTransport hides the type of a transport.
	otherTransport struct{}

	// slowStore answers each call late.
	slowStore struct {
		beechstore.Store
		clock *clockwork.FakeClock
	}
)

const (
	beforeGet          = "before a read is sent"
	afterGet           = "after the reply to the read of the number"
	afterHolderGet     = "after the reply to the read of the holder key"
	beforeKeepAlive    = "before a renewal is sent"
	afterKeepAlive     = "after the reply to a renewal"
	afterHolderWrite   = "after the reply to the write of the holder key"
	afterNumberWrite   = "after the reply to the write of the number"
	beforeSend         = "before the call of the HTTP client"
	beforeConnection   = "before the HTTP client gets a connection"
	afterDial          = "after the HTTP client has connected"
	afterConnection    = "after the HTTP client got a connection"
	beforeFirstByte    = "before the first byte is written to the connection"
	stopTime           = 900 * time.Millisecond
	timeBeforeRenewal  = 4500 * time.Millisecond // less than half of the lease is left for orders
	clientDialTimeout  = time.Second
	firstHolder        = "advisor@1"
	firstHolderOnceUp  = "advisor@1 after a stop"
	newHolder          = "advisor@2"
	holderKeySuffix    = "/holder"
	fenceKeyPrefix     = "fence/"
	slowStoreReplyTime = 400 * time.Millisecond
	slotLeaseTime      = 10 * time.Second
)

func (s *stop) reached(point string) {
	if s.at == point && s.run != nil {
		s.once.Do(s.run)
	}
}

// traced adds the points at which the process is stopped inside the HTTP client.
func (s *stop) traced(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn:      func(string) { s.reached(beforeConnection) },
		ConnectDone:  func(string, string, error) { s.reached(afterDial) },
		GotConn:      func(httptrace.GotConnInfo) { s.reached(afterConnection) },
		WroteHeaders: func() { s.reached(beforeFirstByte) }, // the headers are still in a buffer
	})
}

func (s stoppedStore) Get(ctx context.Context, key string, i beechstore.Importance) (beechstore.Value, error) {
	s.stop.reached(beforeGet)
	v, err := s.Store.Get(ctx, key, i)
	if strings.HasSuffix(key, holderKeySuffix) {
		s.stop.reached(afterHolderGet)
	} else {
		s.stop.reached(afterGet)
	}
	return v, err
}

func (s stoppedStore) KeepAlive(ctx context.Context, l beechstore.Lease, i beechstore.Importance) (beechstore.Lease, error) {
	s.stop.reached(beforeKeepAlive)
	renewed, err := s.Store.KeepAlive(ctx, l, i)
	s.stop.reached(afterKeepAlive)
	return renewed, err
}

func (s stoppedStore) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte, lease string, i beechstore.Importance) (beechstore.Value, error) {
	v, err := s.Store.CompareAndSwap(ctx, key, version, data, lease, i)
	switch {
	case strings.HasSuffix(key, holderKeySuffix):
		s.stop.reached(afterHolderWrite)
	case strings.HasPrefix(key, fenceKeyPrefix):
		s.stop.reached(afterNumberWrite)
	}
	return v, err
}

func startOrderedEngine(t *testing.T) *orderedEngine {
	e := &orderedEngine{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = w.Write([]byte("{}"))
			return
		}
		var o orderSeen
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			t.Error(err)
		}
		e.mu.Lock()
		e.orders = append(e.orders, o)
		e.mu.Unlock()
		_, _ = w.Write([]byte("{}"))
	}))
	t.Cleanup(s.Close)
	e.address = netip.MustParseAddrPort(s.Listener.Addr().String())
	return e
}

func (e *orderedEngine) seen() []orderSeen {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// order sends an order as reconcileModels does, with a client of its own.
func (e *orderedEngine) order(ctx context.Context, g *beechfence.Guard, client beechbackend.Engine, s *stop, model string) error {
	return g.Order(ctx, func(ctx context.Context, fence uint64) error {
		s.reached(beforeSend)
		return client.Order(s.traced(ctx), beechbackend.Order{Fence: fence, Load: model})
	})
}

func (e *orderedEngine) client() beechbackend.Engine {
	return beechbackend.NewOpenAI(e.address, beechbackend.NewClient(clientDialTimeout))
}

// takeOver lets the clock pass, ends the leases in the store, and sends an order by another
// agent.
func (e *orderedEngine) takeOver(t *testing.T, clock *clockwork.FakeClock, store *beechstore.Fake) {
	clock.Advance(stopTime)
	store.ExpireLeases()
	newer := beechfence.New(store, clock, e.address, beechfence.Settings{})
	is.New(t).NoErr(e.order(context.Background(), newer, e.client(), &stop{}, newHolder))
}

// Guards against an order under an older fencing number that leaves when an agent goes on after
// a stop that is shorter than its lease, while the store has ended the lease.
func TestStoppedHolderSendsNoOrderAfterANewerOne(t *testing.T) {
	for _, at := range []string{
		beforeGet, afterGet, afterHolderGet, beforeKeepAlive, afterKeepAlive, beforeSend, beforeConnection, afterDial, afterConnection, beforeFirstByte,
	} {
		t.Run(at, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			store := beechstore.NewFake(clock)
			e := startOrderedEngine(t)
			s := &stop{at: at}
			old := beechfence.New(stoppedStore{store, s}, clock, e.address, beechfence.Settings{})
			is.NoErr(e.order(t.Context(), old, e.client(), s, firstHolder))
			clock.Advance(timeBeforeRenewal)
			s.run = func() { e.takeOver(t, clock, store) }
			err := e.order(t.Context(), old, e.client(), s, firstHolderOnceUp)
			t.Logf("orders %v, error of the stopped holder: %v", e.seen(), err)
			is.True(err != nil)
			is.Equal(e.seen(), []orderSeen{{1, firstHolder}, {2, newHolder}})
		})
	}
}

// Guards against an order that an agent decided before a stop and that leaves after one of a newer
// holder of the lease, under whichever number.
func TestAgentStoppedWhileItAcquiresTheLeaseSendsNoOutdatedOrder(t *testing.T) {
	for _, at := range []string{afterHolderWrite, afterNumberWrite} {
		t.Run(at, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			store := beechstore.NewFake(clock)
			e := startOrderedEngine(t)
			s := &stop{at: at, run: func() { e.takeOver(t, clock, store) }}
			old := beechfence.New(stoppedStore{store, s}, clock, e.address, beechfence.Settings{})
			err := e.order(t.Context(), old, e.client(), s, firstHolderOnceUp)
			seen := e.seen()
			t.Logf("orders %v, error of the stopped holder: %v", seen, err)
			is.True(err != nil)
			is.Equal(len(seen), 1)
			is.Equal(seen[0].Load, newHolder)
		})
	}
}

// Guards against an order that leaves although the store answered the renewal of its lease with
// the news that the lease has ended.
func TestNoOrderAfterARefusedRenewal(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	store := beechstore.NewFake(clock)
	e := startOrderedEngine(t)
	s := &stop{at: beforeKeepAlive}
	old := beechfence.New(stoppedStore{store, s}, clock, e.address, beechfence.Settings{})
	is.NoErr(e.order(t.Context(), old, e.client(), s, firstHolder))
	clock.Advance(timeBeforeRenewal)
	s.run = store.ExpireLeases
	err := e.order(t.Context(), old, e.client(), s, firstHolderOnceUp)
	t.Logf("orders %v, error of the holder: %v", e.seen(), err)
	is.True(err != nil)
	is.Equal(e.seen(), []orderSeen{{1, firstHolder}})
}

// Guards against a bound on the age of the number that lets no order out while the store is slow.
func TestOrdersLeaveWhileTheStoreIsSlow(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	store := beechstore.NewFake(clock)
	e := startOrderedEngine(t)
	slow := &slowStore{Store: store, clock: clock}
	g := beechfence.New(slow, clock, e.address, beechfence.Settings{})
	for range 4 {
		is.NoErr(e.order(t.Context(), g, e.client(), &stop{}, firstHolder))
	}
	is.Equal(len(e.seen()), 4)
}

func (s *slowStore) Get(ctx context.Context, key string, i beechstore.Importance) (beechstore.Value, error) {
	v, err := s.Store.Get(ctx, key, i)
	s.clock.Advance(slowStoreReplyTime)
	return v, err
}

func (s *slowStore) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte, lease string, i beechstore.Importance) (beechstore.Value, error) {
	v, err := s.Store.CompareAndSwap(ctx, key, version, data, lease, i)
	s.clock.Advance(slowStoreReplyTime)
	return v, err
}

func (s *slowStore) Grant(ctx context.Context, ttl time.Duration, i beechstore.Importance) (beechstore.Lease, error) {
	l, err := s.Store.Grant(ctx, ttl, i)
	s.clock.Advance(slowStoreReplyTime)
	return l, err
}

func (s *slowStore) KeepAlive(ctx context.Context, l beechstore.Lease, i beechstore.Importance) (beechstore.Lease, error) {
	renewed, err := s.Store.KeepAlive(ctx, l, i)
	s.clock.Advance(slowStoreReplyTime)
	return renewed, err
}

// Guards against an order under an older number that leaves when an agent was stopped in two
// repeated reads, so that the second seems no slower than the store.
func TestHolderStoppedTwiceSendsNoOrderAfterANewerOne(t *testing.T) {
	for _, at := range []string{afterGet, afterHolderGet} {
		t.Run(at, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			store := beechstore.NewFake(clock)
			e := startOrderedEngine(t)
			first, second := &stop{at: at}, &stop{at: at}
			old := beechfence.New(stoppedStore{stoppedStore{store, second}, first}, clock, e.address, beechfence.Settings{})
			is.NoErr(e.order(t.Context(), old, e.client(), &stop{}, firstHolder))
			first.run = func() {
				clock.Advance(stopTime)
				second.run = func() { e.takeOver(t, clock, store) }
			}
			err := e.order(t.Context(), old, e.client(), &stop{}, firstHolderOnceUp)
			t.Logf("orders %v, error of the stopped holder: %v", e.seen(), err)
			is.True(err != nil)
			is.Equal(e.seen(), []orderSeen{{1, firstHolder}, {2, newHolder}})
		})
	}
}

// Guards against an order that leaves unchecked, or a crash, with an HTTP client that was not made
// by beechbackend.NewClient.
func TestOrderIsCheckedWithAnyTransport(t *testing.T) {
	for name, transport := range map[string]http.RoundTripper{"default": nil, "zero": &http.Transport{}, "of another type": otherTransport{}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			store := beechstore.NewFake(clock)
			e := startOrderedEngine(t)
			s := &stop{at: beforeSend, run: func() { e.takeOver(t, clock, store) }}
			old := beechfence.New(store, clock, e.address, beechfence.Settings{})
			err := e.order(t.Context(), old, beechbackend.NewOpenAI(e.address, &http.Client{Transport: transport}), s, firstHolder)
			t.Logf("orders %v, error of the stopped holder: %v", e.seen(), err)
			is.True(err != nil)
			is.Equal(e.seen(), []orderSeen{{2, newHolder}})
		})
	}
}

func (otherTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return http.DefaultTransport.RoundTrip(r)
}
