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

	"github.com/beechring/beechring/internal/link/beechbeat"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// engine is an engine that has something in its cache and does nothing. Without
// reports it does not answer.
type engine struct {
	held    []Part
	reports chan Report
}

var errNoEngine = errors.New("there is no engine")

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

// gate is a gate's socket with the words that have come to it.
type gate struct {
	*beechbeat.Socket
	told chan *beechwire.Tell
	pass chan *beechwire.Tell // to be passed on

	rosters chan *beechwire.Roster
}

func newGate(t *testing.T) *gate {
	socket, err := beechbeat.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	g := &gate{socket, make(chan *beechwire.Tell, 16), make(chan *beechwire.Tell, 16), make(chan *beechwire.Roster, 16)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		_ = socket.Receive(ctx, func(_ netip.AddrPort, m beechbeat.Message) {
			switch v := m.(type) {
			case beechbeat.Tell:
				g.told <- v.Tell
			case beechbeat.Pass:
				g.pass <- &v.Tell
			case beechbeat.Roster:
				g.rosters <- v.Roster
			}
		})
	}()
	return g
}

// word gives the next word that came, or nil if none does.
func (g *gate) word() *beechwire.Tell {
	select {
	case tell := <-g.told:
		return tell
	case <-time.After(5 * time.Second):
		return nil
	}
}

// newKeeper gives a keeper whose clock stands still: nothing is told for its age.
func newKeeper(t *testing.T, e Engine) *Keeper {
	settings := &beechsettings.Keeper{Zone: "mill", Beats: netip.MustParseAddrPort("127.0.0.1:0")}
	k, err := New(settings, Dependencies{Clock: clockwork.NewFakeClock(), Log: zap.NewNop(), Engine: e})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = k.socket.Close() })
	return k
}

// A gate sends a long prompt to an engine. A gate in another zone does not hear
// of it for a fifth of a second and sends its own callers' questions there,
// which all wait behind the prompt: engines read prompts one after another.
// Callers of that zone get their first word late.
func TestLongPromptIsToldToEveryZone(t *testing.T) {
	is := is.New(t)
	far := newGate(t)
	k := newKeeper(t, engine{})
	k.hear(far.Address(), beechbeat.Follow{Follow: &beechwire.Follow{Zone: "loft"}})
	is.True(far.word() != nil) // a gate that is new is told at once

	k.hear(far.Address(), beechbeat.Announce{Announce: &beechwire.Announce{Read: 6000}})
	told := far.word()
	is.True(told != nil)
	is.Equal(told.Read, 6000)
}

// A gate is restarted, or all gates at once. If nobody tells it where histories
// lie it sends them to other engines, which read them anew, all in the first
// second; its callers wait for that.
func TestNewGateIsToldWhatTheEngineHolds(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, engine{})
	k.hear(netip.MustParseAddrPort("127.0.0.1:9"), beechbeat.Announce{Announce: &beechwire.Announce{Parts: []uint64{1, 2, 3}}})
	k.drop([]Part{{Key: 2}})
	late := newGate(t)
	k.hear(late.Address(), beechbeat.Follow{Follow: &beechwire.Follow{Zone: "loft"}})
	told := late.word()
	is.True(told != nil)
	is.Equal(told.Parts, []uint64{1, 3})
}

// All processes are killed at once; the engines go on with full caches. A keeper
// that knows only what gates announce to it would know nothing of them.
func TestKeeperThatStartsLearnsWhatItsEngineHolds(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, engine{held: []Part{{Key: 1, Tokens: 3000}, {Key: 2, Tokens: 40}, {Key: 3, Tokens: 2500}}})
	g := newGate(t)
	k.hear(g.Address(), beechbeat.Follow{Follow: &beechwire.Follow{}})
	is.Equal(len(g.word().Parts), 0)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = k.watchCache(ctx)
		close(ended)
	}()
	told := g.word()
	cancel()
	<-ended
	is.True(told != nil)
	is.Equal(told.Parts, []uint64{1, 3}) // the second is too small to be worth a word
}

// Five gates of another zone follow a keeper. Each word to each of them crosses the
// border of the zone, and those bytes are paid for; so one of them is told, and what
// must not be lost goes to two. A gate that has heard nothing for a while, since the
// one that should pass words on is dead, is told directly.
func TestZoneIsToldThroughItsRelays(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, engine{})
	var gates []*gate
	for range 5 {
		g := newGate(t)
		gates = append(gates, g)
		k.hear(g.Address(), beechbeat.Follow{Follow: &beechwire.Follow{Zone: "loft"}})
		is.True(g.word() != nil) // it is introduced directly
	}
	passed := func() (n int) {
		time.Sleep(50 * time.Millisecond) // datagrams on this host are there
		for _, g := range gates {
			n += len(g.pass)
			for len(g.pass) > 0 {
				is.Equal((<-g.pass).Parts, []uint64{7})
			}
		}
		return n
	}
	for _, g := range gates { // words of when the zone had come to four
		for len(g.pass) > 0 {
			<-g.pass
		}
	}
	k.hear(gates[0].Address(), beechbeat.Announce{Announce: &beechwire.Announce{Read: longPrompt, Parts: []uint64{7}}})
	first := passed()
	is.True(first >= 1 && first <= 2)
	k.hear(gates[0].Address(), beechbeat.Announce{Announce: &beechwire.Announce{Read: longPrompt, Parts: []uint64{7}}})
	is.Equal(passed(), 1)
	k.setPhase(beechrollout.Leaving, nil)
	k.tell(false)
	time.Sleep(50 * time.Millisecond)
	relays := 0
	for _, g := range gates {
		is.Equal(len(g.told), 0)
		relays += len(g.pass)
	}
	is.Equal(relays, 2)
	k.hear(gates[2].Address(), beechbeat.Follow{Follow: &beechwire.Follow{Zone: "loft", Ask: true}})
	told := gates[2].word()
	is.True(told != nil)
	is.Equal(told.Phase, int(beechrollout.Leaving))
}

// A gate is killed and starts again at its address. It knows no other gate, and until it
// does it keeps to a small share of each workspace's quota, so it is told of them as soon
// as it asks.
func TestGateThatStartsAgainIsToldOfTheOthers(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, engine{})
	near, far := newGate(t), newGate(t)
	k.hear(near.Address(), beechbeat.Follow{Follow: &beechwire.Follow{Zone: k.settings.Zone}})
	k.hear(far.Address(), beechbeat.Follow{Follow: &beechwire.Follow{Zone: "loft"}})
	rosters := func() int {
		k.tell(false)
		time.Sleep(50 * time.Millisecond) // datagrams on this host are there
		return len(near.rosters)
	}
	is.Equal(rosters(), 1)
	is.Equal(rosters(), 1) // it knows
	k.hear(near.Address(), beechbeat.Follow{Follow: &beechwire.Follow{Zone: k.settings.Zone, Ask: true}})
	is.Equal(rosters(), 2)
	roster := <-near.rosters
	is.Equal(len(roster.Zones), 1)
	is.Equal(roster.Zones[0].Name, "loft")
	var gate netip.AddrPort
	is.NoErr(gate.UnmarshalBinary([]byte(roster.Zones[0].Gates[0])))
	is.Equal(gate, far.Address())
}

// An engine starts again under the ID that it had, with nothing in its cache.
// Gates go on having others fetch from it until they hear that it lost all.
func TestEngineThatStartsAnewIsToldAsEmpty(t *testing.T) {
	is := is.New(t)
	reports := make(chan Report, 2)
	k := newKeeper(t, engine{reports: reports})
	g := newGate(t)
	k.hear(g.Address(), beechbeat.Follow{Follow: &beechwire.Follow{}})
	is.True(g.word() != nil)
	k.hear(g.Address(), beechbeat.Announce{Announce: &beechwire.Announce{Read: longPrompt, Parts: []uint64{1, 2}}})
	is.Equal(g.word().Parts, []uint64{1, 2})
	for _, born := range []uint64{100, 200} {
		reports <- Report{Report: beechrollout.Report{Born: born}}
		k.step(t.Context())
	}
	told := g.word()
	for told != nil && len(told.Gone) == 0 {
		told = g.word()
	}
	is.True(told != nil)
	slices.Sort(told.Gone)
	is.Equal(told.Gone, []uint64{1, 2})
	is.Equal(told.Born, uint64(200))
}
