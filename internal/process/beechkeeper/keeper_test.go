package beechkeeper

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
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

func (engine) Order(context.Context, string, beechrollout.Order) (beechrollout.Answer, error) {
	return beechrollout.Silent, errNoEngine
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
	tells   chan *beechwire.Tell
	relayed chan *beechwire.Tell // to be forwarded

	rosters chan *beechwire.Roster
}

func newGate(t *testing.T) *gate {
	socket, err := beechdatagram.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	g := &gate{socket, make(chan *beechwire.Tell, 16), make(chan *beechwire.Tell, 16), make(chan *beechwire.Roster, 16)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		_ = socket.Receive(ctx, func(_ netip.AddrPort, m beechdatagram.Message) {
			switch v := m.(type) {
			case beechdatagram.Tell:
				g.tells <- v.Tell
			case beechdatagram.Pass:
				g.relayed <- &v.Tell
			case beechdatagram.Roster:
				g.rosters <- v.Roster
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

// Five gates of another zone follow a keeper. Traffic between zones is paid for, so only one of
// them is sent each message, and two where it must not be lost. A gate that has received nothing
// for a while, because its relay is down, is sent messages directly.
func TestZoneIsNotifiedThroughRelays(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, engine{})
	var gates []*gate
	for range 5 {
		g := newGate(t)
		gates = append(gates, g)
		k.receive(g.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: "loft"}})
		is.True(g.nextTell() != nil) // a new gate gets the state directly
	}
	relayedCount := func() (n int) {
		time.Sleep(50 * time.Millisecond) // datagrams to this host have arrived by then
		for _, g := range gates {
			n += len(g.relayed)
			for len(g.relayed) > 0 {
				is.Equal((<-g.relayed).Parts, []uint64{7})
			}
		}
		return n
	}
	for _, g := range gates { // messages sent when the zone had four gates
		for len(g.relayed) > 0 {
			<-g.relayed
		}
	}
	k.receive(gates[0].Address(), beechdatagram.Announce{Announce: &beechwire.Announce{Read: longPromptTokens, Parts: []uint64{7}}})
	first := relayedCount()
	is.True(first >= 1 && first <= 2)
	k.receive(gates[0].Address(), beechdatagram.Announce{Announce: &beechwire.Announce{Read: longPromptTokens, Parts: []uint64{7}}})
	is.Equal(relayedCount(), 1)
	k.setPhase(beechrollout.Leaving, nil)
	k.notify(false)
	time.Sleep(50 * time.Millisecond)
	relays := 0
	for _, g := range gates {
		is.Equal(len(g.tells), 0)
		relays += len(g.relayed)
	}
	is.Equal(relays, 2)
	k.receive(gates[2].Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: "loft", Ask: true}})
	tell := gates[2].nextTell()
	is.True(tell != nil)
	is.Equal(tell.Phase, int(beechrollout.Leaving))
}

// A gate is killed and restarts at its address. It knows no other gate, and until it does it
// uses only a small share of each workspace's quota, so it gets the list of gates as soon as it
// asks.
func TestRestartedGateGetsListOfGates(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, engine{})
	near, far := newGate(t), newGate(t)
	k.receive(near.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: k.settings.Zone}})
	k.receive(far.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: "loft"}})
	rosters := func() int {
		k.notify(false)
		time.Sleep(50 * time.Millisecond) // datagrams to this host have arrived by then
		return len(near.rosters)
	}
	is.Equal(rosters(), 1)
	is.Equal(rosters(), 1) // the list is not repeated
	k.receive(near.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: k.settings.Zone, Ask: true}})
	is.Equal(rosters(), 2)
	roster := <-near.rosters
	is.Equal(len(roster.Zones), 1)
	is.Equal(roster.Zones[0].Name, "loft")
	var gate netip.AddrPort
	is.NoErr(gate.UnmarshalBinary([]byte(roster.Zones[0].Gates[0])))
	is.Equal(gate, far.Address())
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
