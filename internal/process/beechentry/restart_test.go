package beechentry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/state/beechmanifest"
	"github.com/beechring/beechring/internal/state/beechstore"
)

// linkedAgent is the agent's side of a link to an entry under test. It offers one
// model and holds back its configuration until release is closed.
type linkedAgent struct {
	server        *beechlink.Server
	address       netip.AddrPort
	configuration []byte
	asked         chan struct{} // receives a value for each call for the configuration
	release       chan struct{}
	opened        atomic.Int32
	finished      atomic.Int32  // outcomes that the entry has sent
	silent        atomic.Bool   // streams get no answer
	quit          chan struct{} // ends them
	ended         chan struct{} // receives a value for each stream without an answer that the entry has ended
}

const (
	testSecret     = "restart-secret-0123456789"
	testModel      = "fit-advisor@1"
	testGeneration = 2
	testLimit      = 20 * time.Second
)

var errNotServed = errors.New("not served")

func newLinkedAgent(t *testing.T) *linkedAgent {
	is := is.New(t)
	key := sha256.Sum256([]byte("loop-key"))
	data, err := beechmanifest.Encode(&beechmanifest.Manifest{
		Deployment: "restart",
		Targets:    beechmanifest.Targets{FirstToken: beechmanifest.Duration(time.Second), Share: 0.95, WasteWeight: 1, MaxLoads: 2},
		Models:     []beechmanifest.Model{{Name: "fit-advisor", Weights: "1"}},
		Priorities: []string{"interactive"},
		Workspaces: []beechmanifest.Workspace{{
			Name: "loop", Keys: []string{hex.EncodeToString(key[:])}, Priority: "interactive", Weight: 1,
		}},
		Pools: []beechmanifest.Pool{{Name: "advisors", Kind: beechmanifest.KindEngine, Models: []string{"fit-advisor"}, Slots: 8}},
	})
	is.NoErr(err)
	listener, err := beechlink.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	a := &linkedAgent{
		address:       netip.MustParseAddrPort(listener.Addr().String()),
		configuration: data,
		asked:         make(chan struct{}, 64),
		release:       make(chan struct{}),
		ended:         make(chan struct{}, 64),
		quit:          make(chan struct{}),
	}
	a.server = beechlink.NewServer(beechlink.Settings{Key: testSecret}, a.hello, a, a, a, a, nil, clockwork.NewRealClock())
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = a.server.Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		stop()
		<-served
	})
	return a
}

func (a *linkedAgent) hello() beechwire.Hello {
	return beechwire.Hello{
		Version: beechwire.Version, Role: beechwire.RoleAgent, Zone: "zone-a", Address: a.address.String(),
		Incarnation: 1, Generation: testGeneration, Key: testSecret,
	}
}

// CurrentHeartbeat implements beechlink.HeartbeatSource.
func (a *linkedAgent) CurrentHeartbeat() beechwire.Heartbeat {
	return beechwire.Heartbeat{Incarnation: 1, Generation: testGeneration, Ready: true, Models: []string{testModel}, Entries: 1}
}

// Answer implements beechlink.CallHandler.
func (a *linkedAgent) Answer(ctx context.Context, _ beechlink.Peer, method string, _ []byte) ([]byte, error) {
	if method == beechwire.MethodFinish {
		a.finished.Add(1)
		return nil, nil
	}
	if method != beechwire.MethodConfiguration {
		return nil, errNotServed
	}
	a.asked <- struct{}{}
	select {
	case <-a.release:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return (&beechwire.Configuration{Generation: testGeneration, Manifest: a.configuration}).MarshalMsg(nil)
}

func (a *linkedAgent) Up(beechlink.Peer)                             {}
func (a *linkedAgent) Down(beechlink.Peer, error)                    {}
func (a *linkedAgent) Heartbeat(beechlink.Peer, beechwire.Heartbeat) {}

// Open implements beechlink.StreamHandler.
func (a *linkedAgent) Open(ctx context.Context, s beechlink.ServerStream, _ *beechwire.Request, _ []byte) {
	a.opened.Add(1)
	if a.silent.Load() {
		select {
		case <-ctx.Done():
			a.ended <- struct{}{}
		case <-a.quit:
		}
		return
	}
	_ = s.Send(ctx, beechlink.HeadReply{Head: beechwire.Head{Status: http.StatusOK, ContentType: eventStream, Incarnation: 1}})
	_ = s.Send(ctx, beechlink.DataReply{Data: beechwire.Data{Sequence: 1, Data: []byte(`{"choices":[{"text":"a"}]}`)}})
	_ = s.Send(ctx, beechlink.EndReply{End: beechwire.End{Last: 1}})
}

// Reattach implements beechlink.StreamHandler.
func (a *linkedAgent) Reattach(context.Context, beechlink.ServerStream, beechwire.Reattach) {}

// newTestEntry returns an entry whose only agent is a. The platform's service is
// down, so the configuration comes from the agent.
func newTestEntry(t *testing.T, a *linkedAgent) *Entry {
	is := is.New(t)
	clock := clockwork.NewRealClock()
	store := beechstore.NewFake(clock)
	store.SetFaults(beechstore.Faults{Down: true})
	e, err := New(&beechsettings.Entry{
		Common: beechsettings.Common{
			Name: "n1", Zone: "zone-a", Admin: freeAddress(t), AdminKey: "restart-admin-key", Secret: testSecret, Seeds: []netip.AddrPort{a.address},
		},
		Listen: freeAddress(t),
		Limits: beechsettings.EntryLimits{
			HeaderBytes: 16 << 10, BodyBytes: 1 << 20, BodyTime: beechsettings.Duration(2 * time.Second),
			WriteTime: beechsettings.Duration(5 * time.Second), Streams: 100, Grace: beechsettings.Duration(10 * time.Minute),
		},
	}, Dependencies{Clock: clock, Log: zap.NewNop(), Store: store})
	is.NoErr(err)
	return e
}

// serveTestEntry runs an entry until the test ends.
func serveTestEntry(t *testing.T, e *Entry) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		is.New(t).NoErr(<-ended)
	})
}

func freeAddress(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(testLimit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("not seen within %s: %s", testLimit, what)
		}
	}
}

// post sends a completion and returns the status and body of its response.
func post(t *testing.T, e *Entry) (int, string) {
	is := is.New(t)
	request, err := newCompletion(t.Context(), e)
	is.NoErr(err)
	status, body, err := do(request)
	is.NoErr(err)
	return status, body
}

func newCompletion(ctx context.Context, e *Entry) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.listener.Addr().String()+"/v1/chat/completions",
		strings.NewReader(`{"model":"fit-advisor","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"Which size?"}]}`))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer loop-key")
	return request, nil
}

// do sends a request and returns the status and body of its response.
func do(request *http.Request) (status int, body string, err error) {
	client := http.Client{Timeout: testLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// TestServingWithoutConfiguration guards against taking an entry that knows a
// serving agent for one that accepts requests.
func TestServingWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent(t)
	e := newTestEntry(t, a)
	serveTestEntry(t, e)
	<-a.asked
	waitUntil(t, "a serving agent", func() bool { return e.Status().Serving == 1 })
	is.True(!e.ready())
	status, body := post(t, e)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"no_configuration"`))
	is.Equal(e.Status().Counts["unconfigured"], int64(1))
	close(a.release)
	waitUntil(t, "the entry to be ready", e.ready)
	status, _ = post(t, e)
	is.Equal(status, http.StatusOK)
}

// TestReadyOnlyWithLimitsInForce guards against an entry that reports itself as
// ready while it refuses requests because its limits are not in force yet.
func TestReadyOnlyWithLimitsInForce(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent(t)
	e := newTestEntry(t, a)
	e.fleet.linkSeeds()
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = e.http.Serve(e.listener)
	}()
	t.Cleanup(func() {
		is.NoErr(e.http.Close())
		<-served
		e.fleet.close()
	})
	close(a.release)
	waitUntil(t, "a serving agent", func() bool { return e.Status().Serving == 1 })
	waitUntil(t, "a configuration", func() bool { return e.holder.Current() != nil })
	e.restored.Store(true)
	status, body := post(t, e)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"no_configuration"`))
	is.Equal(e.Status().Counts["unconfigured"], int64(1))
	is.True(!e.ready())
	e.applyConfiguration(e.holder.Current())
	is.True(e.ready())
	status, _ = post(t, e)
	is.Equal(status, http.StatusOK)
}
