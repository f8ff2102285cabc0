package beechplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/state/beechstore"
)

const importance = beechstore.ImportanceClaim

// server is a simulated platform on loopback with a client for it.
type server struct {
	platform *Platform
	http     *httptest.Server
	store    beechstore.Store
}

func start(t testing.TB, s Settings, c beechstore.Settings) server {
	t.Helper()
	p := New(s, clockwork.NewRealClock())
	h := httptest.NewServer(p.Handler())
	t.Cleanup(h.CloseClientConnections)
	t.Cleanup(h.Close)
	c.Addresses = append([]netip.AddrPort{netip.MustParseAddrPort(h.Listener.Addr().String())}, c.Addresses...)
	c.Key = s.Key
	if c.CallsPerSecond == 0 {
		c.CallsPerSecond = 100000
	}
	return server{platform: p, http: h, store: beechstore.New(c, h.Client(), clockwork.NewRealClock())}
}

func (s server) post(t *testing.T, path string, body any) int {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.Post(s.http.URL+path, "application/json", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	r.Body.Close()
	return r.StatusCode
}

func TestClientRoundTrip(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := start(t, Settings{Key: "secret"}, beechstore.Settings{})
	const key = "a/b c%2F?d"

	v, err := s.store.Get(ctx, key, importance)
	is.NoErr(err)
	is.Equal(v.Version, uint64(0))
	v, err = s.store.CompareAndSwap(ctx, key, 0, []byte("one"), "", importance)
	is.NoErr(err)
	_, err = s.store.CompareAndSwap(ctx, key, 0, []byte("two"), "", importance)
	var conflict beechstore.Conflict
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current, v.Version)
	got, err := s.store.Get(ctx, key, importance)
	is.NoErr(err)
	is.Equal(got, beechstore.Value{Key: key, Version: v.Version, Data: []byte("one")})

	hosts := []beechstore.Host{{Name: "h1", Address: netip.MustParseAddrPort("10.0.0.1:7000"), Zone: "a", Role: "agent", Leaving: true}}
	is.Equal(s.post(t, "/standin/hosts", []beechstore.WireHost{hosts[0].Wire()}), http.StatusNoContent)
	listed, err := s.store.Hosts(ctx, importance)
	is.NoErr(err)
	is.Equal(listed, hosts)

	is.NoErr(s.store.Delete(ctx, key, v.Version, importance))
	is.True(errors.As(s.store.Delete(ctx, key, v.Version, importance), &conflict))
	is.Equal(conflict.Current, uint64(0))
}

func TestWatchReturnsOnChange(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := start(t, Settings{}, beechstore.Settings{})
	old, err := s.store.CompareAndSwap(ctx, "k", 0, []byte("one"), "", importance)
	is.NoErr(err)
	var got beechstore.Value
	var wait sync.WaitGroup
	wait.Go(func() { got, err = s.store.Watch(ctx, "k", old.Version, importance) })
	for s.platform.Counts().Reads == 0 {
		time.Sleep(time.Millisecond)
	}
	_, writeErr := s.store.CompareAndSwap(ctx, "k", old.Version, []byte("two"), "", importance)
	is.NoErr(writeErr)
	wait.Wait()
	is.NoErr(err)
	is.Equal(string(got.Data), "two")
	is.Equal(s.platform.Counts(), Counts{Reads: 1, Writes: 2}) // a blocking watch counts as one call
}

func TestExpiredLeaseRemovesItsKey(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := start(t, Settings{}, beechstore.Settings{})
	before := time.Now()
	l, err := s.store.Grant(ctx, time.Minute, importance)
	is.NoErr(err)
	is.True(l.Expires.Before(time.Now().Add(time.Minute)) && l.Expires.After(before))
	_, err = s.store.CompareAndSwap(ctx, "held", 0, []byte("x"), l.ID, importance)
	is.NoErr(err)
	l, err = s.store.KeepAlive(ctx, l, importance)
	is.NoErr(err)
	is.Equal(l.TTL, time.Minute)
	is.Equal(s.post(t, "/standin/fault", Fault{ExpireLeases: true}), http.StatusNoContent)
	v, err := s.store.Get(ctx, "held", importance)
	is.NoErr(err)
	is.Equal(v.Version, uint64(0))
	_, err = s.store.KeepAlive(ctx, l, importance)
	var refused beechstore.Refused
	is.True(errors.As(err, &refused))
	_, err = s.store.CompareAndSwap(ctx, "held", 0, []byte("x"), l.ID, importance)
	is.True(errors.As(err, &refused))
}

// The connection fails after a write was sent. If the client treated this as a
// failure, a write that took effect would be repeated; if it treated it as
// success, a lost write would go unnoticed.
func TestLostWriteHasUnknownOutcome(t *testing.T) {
	cases := map[string]struct {
		fault  Fault
		stored bool
	}{
		"reply lost": {Fault{LoseReplies: 1}, true},
		"call lost":  {Fault{LoseWrites: 1}, false},
		"cut":        {Fault{Cut: true}, false},
		"too slow":   {Fault{SlowMillis: 1000}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := start(t, Settings{}, beechstore.Settings{CallTimeout: 200 * time.Millisecond})
			s.platform.SetFault(c.fault)
			_, err := s.store.CompareAndSwap(context.Background(), "k", 0, []byte("x"), "", importance)
			var unknown beechstore.UnknownOutcome
			is.True(errors.As(err, &unknown))
			is.True(strings.Contains(err.Error(), "compare and swap k at 127.0.0.1:"))
			is.Equal(s.platform.Counts().Writes, 1) // not retried by the client
			s.platform.SetFault(Fault{})
			v, err := s.store.Get(context.Background(), "k", importance)
			is.NoErr(err)
			is.Equal(v.Version > 0, c.stored)
		})
	}
}

// The service is down, unreachable or rejects the value. The write took no
// effect, and the client must report exactly that.
func TestRefusedWriteIsRefused(t *testing.T) {
	is := is.New(t)
	var refused beechstore.Refused
	write := func(s beechstore.Store, data []byte) error {
		_, err := s.CompareAndSwap(context.Background(), "k", 0, data, "", importance)
		return err
	}
	down := start(t, Settings{}, beechstore.Settings{})
	down.platform.SetFault(Fault{Down: true})
	is.True(errors.As(write(down.store, nil), &refused))
	is.Equal(down.platform.Counts().Writes, 3) // retried, since the write took no effect

	gone := start(t, Settings{}, beechstore.Settings{})
	gone.http.Close()
	is.True(errors.As(write(gone.store, nil), &refused))

	large := start(t, Settings{}, beechstore.Settings{})
	is.True(errors.As(write(large.store, make([]byte, beechstore.MaxValueBytes+1)), &refused))
	is.NoErr(write(large.store, make([]byte, beechstore.MaxValueBytes)))

	wrongKey := start(t, Settings{Key: "secret"}, beechstore.Settings{})
	wrongKey.platform.settings.Key = "other"
	is.True(errors.As(write(wrongKey.store, nil), &refused))

	none := beechstore.New(beechstore.Settings{}, http.DefaultClient, clockwork.NewRealClock())
	is.True(errors.As(write(none, nil), &refused))
}

// If one address of the service is unreachable, calls must use the next one.
func TestNextAddressIsTried(t *testing.T) {
	is := is.New(t)
	dead := start(t, Settings{}, beechstore.Settings{})
	dead.http.Close()
	live := start(t, Settings{}, beechstore.Settings{})
	addresses := []netip.AddrPort{
		netip.MustParseAddrPort(dead.http.Listener.Addr().String()),
		netip.MustParseAddrPort(live.http.Listener.Addr().String()),
	}
	store := beechstore.New(beechstore.Settings{Addresses: addresses}, live.http.Client(), clockwork.NewRealClock())
	_, err := store.CompareAndSwap(context.Background(), "k", 0, []byte("x"), "", importance)
	is.NoErr(err)
}

// A proxy answers in place of the service with an HTML page, for example because
// the service's address is misconfigured. If the client accepted that page as a
// reply, it would report that nothing is published and no booking was recorded.
func TestUnexpectedReplyIsAnError(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusPreconditionFailed, http.StatusBadGateway} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte("<html>"))
			}))
			defer proxy.Close()
			address := netip.MustParseAddrPort(proxy.Listener.Addr().String())
			store := beechstore.New(beechstore.Settings{Addresses: []netip.AddrPort{address}}, proxy.Client(), clockwork.NewRealClock())
			_, err := store.Get(context.Background(), "k", importance)
			var refused beechstore.Refused
			is.True(errors.As(err, &refused))
			_, err = store.CompareAndSwap(context.Background(), "k", 0, nil, "", importance)
			var unknown beechstore.UnknownOutcome
			is.True(errors.As(err, &unknown) || (status == http.StatusNotFound && errors.As(err, &refused)))
			_, err = store.Hosts(context.Background(), importance)
			is.True(err != nil)
			_, err = store.Grant(context.Background(), time.Second, importance)
			is.True(err != nil)
		})
	}
}

// Many processes restart and call the service at the same time. The service
// rejects calls over its rate, and the call budget of a process reserves calls
// for claims before less important ones.
func TestServerRateAndClientBudgetLimitCalls(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := start(t, Settings{WritesPerSecond: 5, ReadsPerSecond: 5}, beechstore.Settings{Attempts: 1})
	var refused beechstore.Refused
	for range 5 {
		_, err := s.store.Get(ctx, "k", importance)
		is.NoErr(err)
	}
	_, err := s.store.Get(ctx, "k", importance)
	is.True(errors.As(err, &refused))
	is.Equal(refused.After, time.Second)
	is.Equal(s.platform.Counts().OverRate, 1)

	clock := clockwork.NewFakeClock()
	limited := beechstore.New(beechstore.Settings{
		Addresses:      []netip.AddrPort{netip.MustParseAddrPort(start(t, Settings{}, beechstore.Settings{}).http.Listener.Addr().String())},
		CallsPerSecond: 1, Burst: 10,
	}, s.http.Client(), clock)
	var over beechstore.OverBudget
	callsUntilOverBudget := func(i beechstore.Importance) (n int) {
		for {
			if _, err := limited.Get(ctx, "k", i); err != nil {
				is.True(errors.As(err, &over))
				return n
			}
			n++
		}
	}
	is.Equal(callsUntilOverBudget(beechstore.ImportanceOther), 5)
	is.Equal(callsUntilOverBudget(beechstore.ImportanceConfiguration), 3)
	is.Equal(callsUntilOverBudget(beechstore.ImportanceClaim), 2)
	is.Equal(over.After, time.Second)
	clock.Advance(over.After)
	is.Equal(callsUntilOverBudget(beechstore.ImportanceConfiguration), 0)
	is.Equal(callsUntilOverBudget(beechstore.ImportanceClaim), 1)
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	is := is.New(t)
	s := start(t, Settings{}, beechstore.Settings{})
	is.Equal(s.post(t, "/standin/fault", map[string]int{"downn": 1}), http.StatusBadRequest)
	is.Equal(s.post(t, "/standin/hosts", "x"), http.StatusBadRequest)
	is.Equal(s.post(t, beechstore.PathLeases, map[string]int{"ttl": -1}), http.StatusBadRequest)
	for _, path := range []string{"k?watch=x", "k?watch=-1"} {
		r, err := http.Get(s.http.URL + beechstore.PathValues + path)
		is.NoErr(err)
		r.Body.Close()
		is.Equal(r.StatusCode, http.StatusBadRequest)
	}
	request, err := http.NewRequest(http.MethodPut, s.http.URL+beechstore.PathValues+"k", strings.NewReader("x"))
	is.NoErr(err)
	r, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	r.Body.Close()
	is.Equal(r.StatusCode, http.StatusBadRequest) // no If-Match version
}

func TestHostListIsDelayed(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	p := New(Settings{}, clock)
	p.SetFault(Fault{HostLagMillis: 30000})
	for i := range 3 {
		p.Fake().SetHosts([]beechstore.Host{{Name: fmt.Sprint(i)}})
		clock.Advance(20 * time.Second)
	}
	hosts, err := p.Fake().Hosts(context.Background(), importance)
	is.NoErr(err)
	is.Equal(hosts[0].Name, "1") // the latest change is not visible yet
}
