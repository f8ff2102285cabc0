package beechkeeper

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechgossip"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// engine is an idle engine with a given cache content. Without queued reports it does not
// answer polls.
type engine struct {
	held    []Part
	reports chan Report
}

var errNoEngine = errors.New("engine does not answer")

func (e engine) Report(context.Context) (Report, error) {
	select {
	case r := <-e.reports:
		return r, nil
	default:
		return Report{}, errNoEngine
	}
}

// refusingEngine is an engine whose host refuses connections.
type refusingEngine struct{ engine }

func (refusingEngine) Report(context.Context) (Report, error) {
	return Report{}, fmt.Errorf("report of the engine: %w", syscall.ECONNREFUSED)
}

func (engine) Slowness(context.Context, string) (int, error) { return 0, errNoEngine }

func (engine) Order(context.Context, string, beechrollout.Order) (beechrollout.Answer, error) {
	return beechrollout.Unanswered, errNoEngine
}

func (e engine) CacheSnapshot(context.Context) (CacheSnapshot, error) {
	return CacheSnapshot{Epoch: 7, Parts: e.held}, nil
}

func (engine) WaitForEvictions(ctx context.Context, _ uint64, _ time.Duration) (CacheEvictions, error) {
	<-ctx.Done()
	return CacheEvictions{}, ctx.Err()
}

// gate is a gate's socket with the messages that it has received.
type gate struct {
	*beechdatagram.Socket
	tells    chan *beechwire.Tell
	gossip   chan *beechwire.Gossip
	pressure chan *beechwire.Pressure
}

func newGate(t *testing.T) *gate {
	socket, err := beechdatagram.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	g := &gate{socket, make(chan *beechwire.Tell, 16), make(chan *beechwire.Gossip, 16), make(chan *beechwire.Pressure, 16)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		_ = socket.Receive(ctx, func(_ netip.AddrPort, m beechdatagram.Message) {
			switch v := m.(type) {
			case beechdatagram.Tell:
				g.tells <- v.Tell
			case beechdatagram.Gossip:
				g.gossip <- v.Gossip
			case beechdatagram.Pressure:
				g.pressure <- v.Pressure
			}
		})
	}()
	return g
}

// nextTell returns the next state message, or nil if none arrives.
func (g *gate) nextTell() *beechwire.Tell {
	select {
	case tell := <-g.tells:
		return tell
	case <-time.After(5 * time.Second):
		return nil
	}
}

// newKeeper returns a keeper whose clock does not advance, so that no interval expires.
func newKeeper(t *testing.T, e Engine) *Keeper {
	settings := &beechsettings.Keeper{Zone: "mill", Beats: netip.MustParseAddrPort("127.0.0.1:0")}
	k, err := New(settings, Dependencies{Clock: clockwork.NewFakeClock(), Log: zap.NewNop(), Engine: e})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = k.socket.Close() })
	return k
}

// A gate sends a long prompt to an engine. If a gate in another zone learned of it a fifth of
// a second later, it would send its own requests there meanwhile. They would all wait for the
// prompt, since engines prefill one prompt after another, and get their first token late.
func TestLongPromptIsReportedToAllZones(t *testing.T) {
	is := is.New(t)
	far := newGate(t)
	k := newKeeper(t, engine{})
	k.receive(far.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: "loft"}})
	is.True(far.nextTell() != nil) // a new gate gets the state at once

	k.receive(far.Address(), beechdatagram.Announce{Announce: &beechwire.Announce{Read: 6000}})
	tell := far.nextTell()
	is.True(tell != nil)
	is.Equal(tell.Read, 6000)
}

// One gate or all gates restart. A gate that does not know where histories are cached sends
// them to other engines, which prefill them again, all in the first second, while callers wait.
func TestNewGateGetsCachedParts(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, engine{})
	k.receive(netip.MustParseAddrPort("127.0.0.1:9"), beechdatagram.Announce{Announce: &beechwire.Announce{Parts: []uint64{1, 2, 3}}})
	k.removeParts([]Part{{Key: 2}})
	newcomer := newGate(t)
	k.receive(newcomer.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: "loft"}})
	tell := newcomer.nextTell()
	is.True(tell != nil)
	is.Equal(tell.Parts, []uint64{1, 3})
}

// All processes are killed at once, but the engines keep running with full caches. A keeper that
// relied on gates' announcements alone would know nothing of the cached parts.
func TestStartingKeeperListsEngineCache(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, engine{held: []Part{{Key: 1, Tokens: 3000}, {Key: 2, Tokens: 40}, {Key: 3, Tokens: 2500}}})
	g := newGate(t)
	k.receive(g.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{}})
	is.Equal(len(g.nextTell().Parts), 0)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = k.watchCache(ctx)
		close(ended)
	}()
	tell := g.nextTell()
	cancel()
	<-ended
	is.True(tell != nil)
	is.Equal(tell.Parts, []uint64{1, 3}) // the second is too small to be reported
}

// Two gates collect an engine's state for all others. Each must be able to tell by the number
// which messages the other one has passed on, and a change must reach both at once.
func TestAllCollectorsGetTheSameMessage(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, engine{})
	first, second := newGate(t), newGate(t)
	for _, g := range []*gate{first, second} {
		k.receive(g.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: k.settings.Zone}})
		is.True(g.nextTell() != nil)
	}
	k.receive(first.Address(), beechdatagram.Announce{Announce: &beechwire.Announce{Read: longPromptTokens, Parts: []uint64{7}}})
	x, y := first.nextTell(), second.nextTell()
	is.True(x != nil && y != nil)
	is.Equal(x.Number, y.Number)
	is.Equal(x.Parts, []uint64{7})
	is.Equal(y.Parts, []uint64{7})
	k.setPhase(beechrollout.Leaving, nil)
	k.notify(false)
	x, y = first.nextTell(), second.nextTell()
	is.True(x != nil && y != nil)
	is.Equal(x.Phase, int(beechrollout.Leaving))
	is.Equal(y.Phase, int(beechrollout.Leaving))
}

// An engine is idle. Its keeper must be heard often enough to tell it from a dead one, and
// messages without news must not grow with the reports of the engine.
func TestIdleEngineIsReportedAtIntervals(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, engine{})
	clock := k.deps.Clock.(*clockwork.FakeClock)
	g := newGate(t)
	k.receive(g.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: k.settings.Zone}})
	is.True(g.nextTell() != nil)
	k.notify(true)
	is.True(g.nextTell() != nil)
	for range 10 {
		clock.Advance(idleInterval / 5)
		k.notify(false)
	}
	is.True(g.nextTell() != nil)
	is.True(g.nextTell() != nil)
	time.Sleep(50 * time.Millisecond) // datagrams to this host have arrived by then
	is.Equal(len(g.tells), 0)
}

// A gate starts, and all its seeds have been replaced. A keeper can tell it where the gates are
// that follow it.
func TestKeeperTellsStartingGateOfOthers(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, engine{})
	known, newcomer := newGate(t), newGate(t)
	k.receive(known.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: k.settings.Zone}})
	search := beechgossip.List{Members: []beechgossip.Member{{Address: newcomer.Address(), Incarnation: 1}}, Reply: true}
	k.receive(newcomer.Address(), beechdatagram.Gossip{Gossip: beechconvert.WireGossip(search)})
	var answer *beechwire.Gossip
	select {
	case answer = <-newcomer.gossip:
	case <-time.After(5 * time.Second):
		t.Fatal("no answer")
	}
	m, ok := beechconvert.Gossip(answer)
	is.True(ok)
	is.Equal(m, beechgossip.List{Members: []beechgossip.Member{{Address: known.Address()}}})
}

// An engine restarts under the same ID with an empty cache. Gates direct other engines to fetch
// from it until they hear that its parts are gone.
func TestEngineRestartRemovesCachedParts(t *testing.T) {
	is := is.New(t)
	reports := make(chan Report, 2)
	k := newKeeper(t, engine{reports: reports})
	g := newGate(t)
	k.receive(g.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{}})
	is.True(g.nextTell() != nil)
	k.receive(g.Address(), beechdatagram.Announce{Announce: &beechwire.Announce{Read: longPromptTokens, Parts: []uint64{1, 2}}})
	is.Equal(g.nextTell().Parts, []uint64{1, 2})
	for _, born := range []uint64{100, 200} {
		reports <- Report{Report: beechrollout.Report{Born: born}}
		k.pollEngine(t.Context())
	}
	tell := g.nextTell()
	for tell != nil && len(tell.Gone) == 0 {
		tell = g.nextTell()
	}
	is.True(tell != nil)
	slices.Sort(tell.Gone)
	is.Equal(tell.Gone, []uint64{1, 2})
	is.Equal(tell.Born, uint64(200))
}

// silentEngine answers no question for its state in time.
type silentEngine struct {
	engine
	clock clockwork.Clock
}

func (e silentEngine) Report(context.Context) (Report, error) {
	e.clock.(*clockwork.FakeClock).Advance(reportTimeout)
	return Report{}, fmt.Errorf("report: %w", context.DeadlineExceeded)
}

// An engine does not answer for two seconds, and then for good. Its keeper must not report it as down
// before it is silent for longer than a sound one.
func TestSilentEngineIsReportedAsSilent(t *testing.T) {
	is := is.New(t)
	e := engine{reports: make(chan Report, 1)}
	k := newKeeper(t, e)
	e.reports <- Report{}
	k.pollEngine(t.Context())
	is.Equal(k.phase, beechrollout.Serving)
	k.deps.Engine = silentEngine{e, k.deps.Clock}
	began := k.deps.Clock.Now()
	k.pollEngine(t.Context())
	is.Equal(k.phase, beechrollout.Serving)
	for k.deps.Clock.Since(began) < 2*time.Second {
		k.pollEngine(t.Context())
		is.Equal(k.phase, beechrollout.Silent)
	}
	k.pollEngine(t.Context())
	k.pollEngine(t.Context())
	is.Equal(k.phase, beechrollout.Down)
	k.deps.Engine = e
	e.reports <- Report{}
	k.pollEngine(t.Context())
	is.Equal(k.phase, beechrollout.Serving)
}

// An engine's host refuses connections. Its keeper must report that at once.
func TestRefusingEngineIsReportedAsDown(t *testing.T) {
	is := is.New(t)
	e := engine{reports: make(chan Report, 1)}
	k := newKeeper(t, e)
	e.reports <- Report{}
	k.pollEngine(t.Context())
	k.pollEngine(t.Context())
	k.pollEngine(t.Context())
	is.Equal(k.phase, beechrollout.Down)
}

// Guards against a run taken for ended because its engine, which leaves, has closed its listener and finishes.
func TestEngineThatRefusesConnectionsHasExitedUnlessItLeaves(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		is := is.New(t)
		e := engine{reports: make(chan Report, 1)}
		k := newKeeper(t, e)
		e.reports <- Report{Leaving: leaves}
		k.pollEngine(t.Context())
		k.deps.Engine = refusingEngine{e}
		k.pollEngine(t.Context())
		k.pollEngine(t.Context())
		if leaves {
			is.Equal(k.phase, beechrollout.Down)
		} else {
			is.Equal(k.phase, beechrollout.Exited)
		}
	}
}

// A gate is silent for 1.2 s after its last message, of which it sends one each 0.7 s. It must still get
// the state.
func TestSilentGateIsStillToldTheState(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, engine{})
	clock := k.deps.Clock.(*clockwork.FakeClock)
	g := newGate(t)
	k.receive(g.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: k.settings.Zone}})
	is.True(g.nextTell() != nil)
	clock.Advance(700*time.Millisecond + 1200*time.Millisecond)
	k.notify(true)
	is.True(g.nextTell() != nil)
	is.Equal(len(k.gates), 1)
}
