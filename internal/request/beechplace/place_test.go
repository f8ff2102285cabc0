package beechplace

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechroom"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechfresh"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

type (
	// fleet is a placer with engines, and what it announced.
	fleet struct {
		*Placer
		clock     *clockwork.FakeClock
		servers   []beechcall.Server
		announced map[string]int
		doubts    weights
	}

	weights map[netip.AddrPort]float64
)

// throttle knows no limits yet, and is the only gate's.
func throttle(clock clockwork.Clock) *beechthrottle.Throttle {
	t := beechthrottle.New("gate", 1, beechfresh.Boot{}, clock, func(beechthrottle.Event) {}, func() {})
	t.SetGates(1)
	return t
}

func (w weights) Weight(s netip.AddrPort) float64 {
	if v, ok := w[s]; ok {
		return v
	}
	return 1
}

var kept = netip.MustParseAddrPort("10.9.0.1:80")

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
}

// newFleet has n engines, in zones a and b by turns, that serve model m at
// version 1, and as many servers of a plain service.
func newFleet(n int) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), announced: make(map[string]int), doubts: weights{}}
	f.Placer = New(Settings{Zone: "a", Fronts: 1}, f.clock, f.doubts, throttle(f.clock), beechroom.New(f.clock, func() {}), func(s beechcall.Server, tokens int, _ []uint64, _ bool) { f.announced[s.ID] += tokens })
	for i := range n {
		zone := []string{"a", "b"}[i%2]
		f.servers = append(f.servers,
			beechcall.Server{ID: fmt.Sprintf("e%02d", i), Service: "llm", Address: address(i), Zone: zone, Slots: 48, Since: 1, Weights: map[string]uint64{"m": 1}},
			beechcall.Server{ID: fmt.Sprintf("p%02d", i), Service: "app", Address: address(1000 + i), Zone: zone, Slots: 6, Since: 1})
	}
	f.SetServers(f.servers)
	f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{
		"llm": {Name: "llm"}, "kept": {Name: "kept", Kept: kept},
	}})
	f.Named("m", 1)
	return f
}

// tellAll has every keeper say that its engine serves, with a load.
func (f *fleet) tellAll(edit func(i int, s *State)) {
	for i := 0; i < len(f.servers); i += 2 {
		s := State{Address: f.servers[i].Address, Weights: map[string]uint64{"m": f.byID[f.servers[i].ID].weights["m"]}, CacheTotal: 100000}
		if edit != nil {
			edit(i/2, &s)
		}
		f.Tell(s)
	}
}

var route = &beechcall.Route{Name: "pick", Objective: 600 * time.Millisecond}

// ask is a request about a subject, with a prompt of its own behind it.
func ask(subject string, shared, own int) *beechcall.Call {
	return &beechcall.Call{
		Service: "llm", Model: "m", Route: route, PromptTokens: shared + own, Workspace: beechcall.Workspace{Name: "w"},
		Parts: []beechcall.Part{{ID: "common", Tokens: shared / 3}, {ID: subject, Tokens: shared - shared/3}, {ID: subject + "-own", Tokens: own}},
	}
}

func (f *fleet) choose(t *testing.T, call *beechcall.Call, tried ...string) Choice {
	t.Helper()
	c, ok := f.Choose(call, tried)
	if !ok {
		t.Fatal("no server")
	}
	return c
}

// A burst of short questions comes at once. Spread evenly each is answered
// soon; on the one engine that looked idle in the last report all would wait.
func TestBurstIsSpread(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	f.tellAll(nil)
	count := map[string]int{}
	for i := range 240 {
		call := ask(fmt.Sprint("s", i), 0, 700)
		call.Parts = nil
		c := f.choose(t, call)
		f.Sent(call, c)
		count[c.Server.ID]++
	}
	for id, n := range count {
		is.True(n <= 40) // twice the mean
		_ = id
	}
	is.True(len(count) >= 6) // at least its own zone
}

// One history is asked for again and again. It goes where it is cached while
// that is quick, and to a second engine before callers there wait too long.
func TestHotSubject(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	f.tellAll(nil)
	first := f.choose(t, ask("hot", 6300, 2800))
	f.Sent(ask("hot", 6300, 2800), first)
	f.clock.Advance(500 * time.Millisecond)
	f.tellAll(nil)
	is.Equal(f.choose(t, ask("hot", 6300, 2800)).Server.ID, first.Server.ID)
	servers := map[string]bool{}
	for range 40 {
		c := f.choose(t, ask("hot", 6300, 2800))
		f.Sent(ask("hot", 6300, 2800), c)
		servers[c.Server.ID] = true
	}
	is.True(len(servers) > 2)
}

// Another request about a history comes while the first one's engine still
// reads it. Sent at once it would read the same again.
func TestWaitsForAPartThatIsBeingRead(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.tellAll(nil)
	c := f.choose(t, ask("new", 6300, 900))
	is.Equal(c.Wait, time.Duration(0))
	f.Sent(ask("new", 6300, 900), c)
	again := f.choose(t, ask("new", 6300, 900))
	is.True(again.Wait > 100*time.Millisecond)
	is.True(again.Wait <= waitMost)
	f.clock.Advance(waitMost)
	f.tellAll(nil)
	is.Equal(f.choose(t, ask("new", 6300, 900)).Wait, time.Duration(0))
}

// A long prompt is read by the engine that looked best. Short questions of other
// gates would wait behind it, had its keeper not told them.
func TestShortAvoidsLongOfOtherGates(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.tellAll(func(i int, s *State) {
		if i == 0 {
			s.Reading = 20000
		}
	})
	for i := range 10 {
		call := ask(fmt.Sprint("q", i), 0, 300)
		call.Parts = nil
		c := f.choose(t, call)
		is.True(c.Server.ID != "e00")
		f.Sent(call, c).Done(Answered)
	}
	is.True(f.announced["e02"] == 0) // short ones are not told of
	long := ask("long", 0, 9000)
	long.Parts = nil
	c := f.choose(t, long)
	f.Sent(long, c)
	is.Equal(f.announced[c.Server.ID], 9000)
}

// An engine has dropped a history, and its keeper says so. Others would fetch it
// from there in vain.
func TestDroppedPartIsNotHeld(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.tellAll(nil)
	c := f.choose(t, ask("s", 6300, 900))
	f.Sent(ask("s", 6300, 900), c).Done(Answered)
	f.clock.Advance(time.Second)
	f.tellAll(nil)
	is.Equal(f.choose(t, ask("s", 6300, 900)).Missing, 0)
	f.Tell(State{Address: c.Server.Address, Gone: []uint64{PartKey(c.Salt, "s")}, CacheTotal: 100000})
	is.Equal(f.choose(t, ask("s", 6300, 900)).Missing, 4200)
}

// What another gate has sent to an engine is held there.
func TestPartsOfOtherGates(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.tellAll(func(i int, s *State) {
		if i == 2 {
			s.Parts = []uint64{PartKey("w1", "common"), PartKey("w1", "s")}
		}
	})
	f.clock.Advance(time.Second)
	f.tellAll(nil)
	c := f.choose(t, ask("s", 6300, 900))
	is.Equal(c.Server.ID, "e02")
	is.Equal(c.Missing, 0)
}

// Each gate would have a history saved anew, on a link that they share.
func TestSavedOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.tellAll(nil)
	c := f.choose(t, ask("s", 6300, 900))
	is.Equal(c.Save, kept)
	is.Equal(c.Fetch, kept)
	f.tellAll(func(_ int, s *State) { s.Kept = []uint64{PartKey(c.Salt, "s")} })
	is.True(!f.choose(t, ask("s", 6300, 900)).Save.IsValid())
	f.KeptFailed(kept)
	is.True(!f.choose(t, ask("s", 6300, 900)).Fetch.IsValid())
	f.clock.Advance(keptDownLasts)
	f.tellAll(nil)
	is.Equal(f.choose(t, ask("s", 6300, 900)).Save, kept) // it came back empty
}

// A large fleet has two stores of kept KV cache. Gates that each save in one of
// their own choice seek what others saved where it is not, and histories are read
// again that lie in a store.
func TestGatesAgreeOnTheStoreOfAPart(t *testing.T) {
	is := is.New(t)
	other := netip.MustParseAddrPort("10.9.0.2:80")
	used := map[netip.AddrPort]int{}
	for i := range 40 {
		call := ask(fmt.Sprint("h", i), 6300, 900)
		var places []netip.AddrPort
		for range 5 { // gates
			f := newFleet(2)
			f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{
				"llm": {Name: "llm"}, "one": {Name: "one", Kept: kept}, "two": {Name: "two", Kept: other},
			}})
			f.tellAll(nil)
			c := f.choose(t, call)
			is.Equal(c.Fetch, c.Save)
			places = append(places, c.Save)
			f.KeptFailed(c.Save)
			is.True(!f.choose(t, call).Fetch.IsValid()) // what the other store holds is others'
		}
		for _, place := range places {
			is.Equal(place, places[0])
		}
		used[places[0]]++
	}
	is.True(used[kept] > 10 && used[other] > 10) // both links carry
}

// The link of the store of kept KV cache carries what it can. Beyond this gate's
// share of it engines fetch from one another, and nothing more is saved.
func TestNarrowLinkOfTheKeptStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{
		"llm": {Name: "llm", TokenBytes: 1000}, "kept": {Name: "kept", Kept: kept, Link: 50 * 1000 / linkShare}, // 25 tokens in a millisecond a gate
	}})
	f.SetFronts(2)
	f.tellAll(nil)
	saved := 0
	for i := range 20 {
		call := ask(fmt.Sprint("s", i), 6000, 1000)
		c := f.choose(t, call)
		f.Sent(call, c).Done(Answered)
		if c.Save.IsValid() {
			saved++
		}
	}
	is.Equal(saved, 1) // a lump of 7,500 tokens
	f.clock.Advance(time.Second)
	f.tellAll(nil)
	is.True(f.choose(t, ask("later", 6000, 1000)).Save.IsValid())
}

// Sixty-eight gates share the link of a kept store. Each one's share of a moment is
// half a prompt; bounded by that, a gate whose callers ask for two histories in a
// row has the second one read again though it lies in the store and the link is idle.
func TestSmallShareOfALinkCarriesPromptsInARow(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{
		"llm": {Name: "llm", TokenBytes: 1000}, "kept": {Name: "kept", Kept: kept, Link: 550000}, // 550 tokens in a millisecond
	}})
	f.SetFronts(68)
	f.tellAll(nil)
	for i := range 200 { // the size of prompts is known
		call := ask(fmt.Sprint("warm", i), 6000, 1000)
		f.Sent(call, f.choose(t, call)).Done(Answered)
		f.clock.Advance(time.Second)
	}
	f.tellAll(nil)
	fetched := 0
	for i := range 8 {
		call := ask(fmt.Sprint("s", i), 6000, 1000)
		c := f.choose(t, call)
		f.Sent(call, c).Done(Answered)
		if c.Fetch == kept {
			fetched++
		}
	}
	is.True(fetched >= 3)
	is.True(fetched <= 5) // a burst of all gates would hold up the link else
}

// Cached parts of other weights, or of an isolated workspace, must not match.
func TestSalts(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.tellAll(nil)
	open, walled := ask("s", 300, 10), ask("s", 300, 10)
	walled.Workspace = beechcall.Workspace{Name: "barn", Isolated: true}
	is.Equal(f.choose(t, open).Salt, "w1")
	is.Equal(f.choose(t, walled).Salt, "w1.barn")
	f.Has("e00", "m", 2)
	f.Has("e01", "m", 2)
	f.Named("m", 2)
	f.tellAll(nil)
	is.Equal(f.choose(t, open).Salt, "w2")
	is.Equal(f.choose(t, open).Weights, uint64(2))
}

// New weights are named and engines take them one after the other. For a moment
// old ones are as good; later new ones go first; in the end old ones may not be
// used, however many versions were named since.
func TestOldWeights(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.Named("m", 2)
	f.Has("e01", "m", 2) // in the other zone
	call := ask("s", 0, 10)
	call.Parts = nil
	f.tellAll(nil)
	is.Equal(f.choose(t, call).Server.ID, "e00")
	f.clock.Advance(2 * time.Second)
	f.tellAll(nil)
	is.Equal(f.choose(t, call).Server.ID, "e01")
	_, ok := f.Choose(call, []string{"e01"})
	is.True(ok) // better than none
	f.Named("m", 3)
	f.clock.Advance(4500 * time.Millisecond)
	f.tellAll(nil)
	_, ok = f.Choose(call, []string{"e01"})
	is.True(!ok) // 6.5 s after version 2, though only 4.5 s after version 3
	_, ok = f.Choose(call, []string{"e00"})
	is.True(ok)
}

// New weights reach few engines in time. If all others left the choice at one moment,
// callers of the whole fleet would come to the few, and most would be refused or
// late. Those with little ahead of them serve on until shortly before the bound, by
// then everybody is out.
func TestOldWeightsLeaveLittleByLittle(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.settings.OldBegin = 9 * time.Second
	f.Named("m", 2)
	call := ask("s", 0, 10)
	call.Parts = nil
	left := func(age time.Duration) (n int) {
		f.clock.Advance(age)
		f.tellAll(func(i int, s *State) { s.Reading = 12000 * i }) // 0, 300, 600, 900 ms ahead, as it is believed first
		tried := []string{}
		for {
			choice, ok := f.Choose(call, tried)
			if !ok {
				return n
			}
			n++
			tried = append(tried, choice.Server.ID)
			is.True(choice.Begin <= 9*time.Second)
		}
	}
	is.Equal(left(5900*time.Millisecond), 4)
	is.Equal(left(600*time.Millisecond), 3) // 6.5 s old, 2.5 s left
	is.Equal(left(time.Second), 2)
	is.Equal(left(time.Second), 1)
	is.Equal(left(600*time.Millisecond), 0)
}

// An engine crashes and another lifetime comes up at its address, under another ID
// that the list does not tell yet. Requests that are sent on by the old ID are all
// turned away there, each at the price of a try.
func TestEngineThatWasDownIsDoubted(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	phase := func(p beechrollout.Phase, born uint64) {
		f.tellAll(func(i int, s *State) {
			if i == 0 {
				s.Phase, s.Born = p, born
			}
		})
	}
	phase(beechrollout.Down, 0)
	phase(beechrollout.Serving, 0)
	_, ok := f.Choose(ask("s", 0, 10), []string{"e01"})
	is.True(!ok)
	f.servers[0].ID, f.servers[0].Since = "e00b", 9
	f.SetServers(f.servers)
	phase(beechrollout.Serving, 0)
	choice, ok := f.Choose(ask("s", 0, 10), []string{"e01"})
	is.True(ok)
	is.Equal(choice.Server.ID, "e00b") // the list tells who it is

	phase(beechrollout.Down, 0)
	phase(beechrollout.Serving, 0)
	f.clock.Advance(1600 * time.Millisecond)
	phase(beechrollout.Serving, 0)
	_, ok = f.Choose(ask("s", 0, 10), []string{"e01"})
	is.True(ok) // it has kept its ID
}

// An engine is about to load weights, or does not answer its own host.
func TestPhases(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for _, phase := range []beechrollout.Phase{beechrollout.Leaving, beechrollout.Loading, beechrollout.Down} {
		f.tellAll(func(i int, s *State) {
			if i == 0 {
				s.Phase = phase
			}
		})
		is.Equal(f.choose(t, ask("s", 0, 10)).Server.ID, "e01")
	}
	f.clock.Advance(toldLasts) // its keeper is gone: the list counts again
	_, ok := f.Choose(ask("s", 0, 10), []string{"e01"})
	is.True(ok)
}

// A server does not answer. It gets nothing for a time that doubles, and is
// tried again.
func TestServerThatCannotBeReached(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	call := &beechcall.Call{Service: "app", Route: route}
	for _, out := range []time.Duration{Defaults.Down, 2 * Defaults.Down, 4 * Defaults.Down} {
		c, ok := f.Choose(call, []string{"p01"})
		is.True(ok)
		f.Sent(call, c).Done(Unreached)
		f.clock.Advance(out - time.Millisecond)
		_, ok = f.Choose(call, []string{"p01"})
		is.True(!ok)
		f.clock.Advance(time.Millisecond)
	}
	c, ok := f.Choose(call, []string{"p01"})
	is.True(ok)
	f.Sent(call, c).Done(Answered)
	f.Sent(call, c).Done(Failed) // one broken answer is no sign of a dead server
	_, ok = f.Choose(call, []string{"p01"})
	is.True(ok)
}

// A slow server that health has taken out is used only if nothing else is left.
func TestDoubtfulServer(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.doubts[address(1000)] = 0
	call := &beechcall.Call{Service: "app", Route: route}
	is.Equal(f.choose(t, call).Server.ID, "p01")
	is.Equal(f.choose(t, call, "p01").Server.ID, "p00")
}

// After a crash the list has both lifetimes at one address for seconds.
func TestLifetimesAtOneAddress(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	old := f.servers[0]
	reborn := old
	reborn.ID, reborn.Since = "e00-reborn", 9
	f.SetServers([]beechcall.Server{old, reborn})
	is.Equal(f.choose(t, ask("s", 0, 10)).Server.ID, "e00-reborn")
	f.Refused("e00-reborn", beechcall.NotRun{Replaced: true}, "m")
	_, ok := f.Choose(ask("s", 0, 10), nil)
	is.True(!ok)
}

// Every engine holds the instruction that all prompts begin with, and each holds
// some histories. If a gate remembers only a few holders of the instruction, the
// others seem to hold nothing, as a history is of no use without what comes
// before it; prompts go where they are read again, and their callers wait for it.
func TestInstructionThatLiesInAllEngines(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	f.tellAll(nil)
	for i := range 12 {
		call := ask(fmt.Sprint("history", i), 6000, 100)
		c, ok := f.weigh(call, f.byID[fmt.Sprintf("e%02d", i)], f.levels(call, f.clock.Now()), f.clock.Now())
		is.True(ok)
		ticket := f.Sent(call, c)
		f.clock.Advance(10 * time.Millisecond)
		ticket.Done(Answered)
	}
	f.clock.Advance(time.Second)
	f.tellAll(nil)
	for i := range 12 {
		c := f.choose(t, ask(fmt.Sprint("history", i), 6000, 100))
		is.Equal(c.Server.ID, fmt.Sprintf("e%02d", i))
		is.Equal(c.Missing, 0)
	}
}

// A gate is started again while an engine has old weights for long. Every version
// is new to it; went it by that, callers would be served by old weights for
// twice the operators' bound.
func TestGateThatStartsIsToldHowOldWeightsAre(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.Named("m", 2)
	f.tellAll(func(i int, s *State) {
		if i == 0 {
			s.Old = Defaults.OldMost - time.Second
		}
	})
	is.Equal(f.choose(t, ask("s", 0, 10)).Server.ID, "e01") // the other one is not overtaken for long
	f.clock.Advance(1100 * time.Millisecond)
	_, ok := f.Choose(ask("s", 0, 10), []string{"e01"})
	is.True(!ok)
}

// An engine starts again under the ID that it had, and holds nothing. A gate that
// goes by the ID alone would send requests there for the parts that it lost, and
// have others fetch them from it.
func TestEngineThatStartsAnewHoldsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.tellAll(func(_ int, s *State) { s.Born = 100 })
	history := ask("history", 6000, 100)
	first := f.choose(t, history)
	f.Sent(history, first)
	f.clock.Advance(time.Second)
	f.tellAll(func(_ int, s *State) { s.Born = 100 })
	is.Equal(f.choose(t, history).Missing, 0)

	f.tellAll(func(_ int, s *State) { s.Born = 200 })
	again := f.choose(t, history)
	is.Equal(again.Missing, 6000)
	is.True(!again.Fetch.IsValid() || again.Fetch == kept)

	f.tellAll(func(_ int, s *State) { s.Born = 100 }) // late word of the lifetime before
	is.Equal(f.byID[first.Server.ID].Born, uint64(200))
}

// Somebody else writes an entry with the address of a server that is well. Taken
// for a later lifetime it would hide the server for good; callers would find one
// server less.
func TestForeignEntryAtAServersAddress(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	own := f.servers[0]
	foreign := own
	foreign.ID, foreign.Since = "somebody", 9
	for range 2 {
		f.SetServers([]beechcall.Server{own, foreign})
		if c := f.choose(t, ask("s", 0, 10)); c.Server.ID == foreign.ID {
			f.Refused(foreign.ID, beechcall.NotRun{Replaced: true, There: own.ID}, "m")
		}
		is.Equal(f.choose(t, ask("s", 0, 10)).Server.ID, own.ID)
	}
	f.SetServers([]beechcall.Server{own})
	is.Equal(f.choose(t, ask("s", 0, 10)).Server.ID, own.ID)
}

func TestLeavingServerIsNotChosen(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.servers[0].Leaving = true
	f.SetServers(f.servers)
	is.Equal(f.choose(t, ask("s", 0, 10)).Server.ID, "e01")
}

// All engines are full. Choosing goes on, and evenly: it is the engines that
// know what they can take.
func TestSaturation(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.tellAll(func(_ int, s *State) { s.Running, s.Waiting, s.CacheUsed = 48, 30, 95000 })
	count := map[string]int{}
	for i := range 200 {
		call := ask(fmt.Sprint("s", i), 0, 500)
		call.Parts = nil
		c := f.choose(t, call)
		f.Sent(call, c)
		count[c.Server.ID]++
	}
	is.Equal(len(count), 4)
	for _, n := range count {
		is.True(n > 30)
	}
}

// What the rate of reading is learned from real answers.
func TestLearnsTheReadingRate(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for i := range 200 {
		call := ask(fmt.Sprint("s", i), 0, 8000)
		call.Parts = nil
		ticket := f.Sent(call, f.choose(t, call))
		f.clock.Advance(100 * time.Millisecond) // 80 tokens in a millisecond
		ticket.Read()
		ticket.Done(Answered)
	}
	is.True(f.speed.rate > 70 && f.speed.rate < 90)
}

// Engines take 80 ms for any first word and read 75 tokens in a millisecond
// beyond that. Taken as one they seem to read 30; a history's engine is believed
// to have callers wait three times as long as it does, and they go elsewhere.
func TestFixedTimeIsNoReading(t *testing.T) {
	is := is.New(t)
	s := speed{rate: Defaults.PrefillRate}
	for i := range 600 {
		tokens := float64(200)
		if i%3 == 0 {
			tokens = 4000
		}
		wait := 0.0
		if i%2 == 0 {
			wait = 30 // behind another prompt
		}
		s.learn(tokens, 80+wait+tokens/75)
	}
	is.True(s.fixed > 70 && s.fixed < 95)
	is.True(s.rate > 50 && s.rate < 85)
	for i := range 600 { // engines are full: all wait half a second
		tokens := float64(200)
		if i%3 == 0 {
			tokens = 4000
		}
		s.learn(tokens, 580+tokens/75)
	}
	is.True(s.rate < 40) // they read no quicker for that
}

func BenchmarkChoose(b *testing.B) {
	f := newFleet(56)
	f.tellAll(nil)
	call := ask("s", 6300, 2800)
	for b.Loop() {
		_, _ = f.Choose(call, nil)
	}
}

// Two thirds of a fleet are dark, and the memory of an engine is full of runs.
// Nothing is ahead of a long prompt there to be read, but it waits for others to
// end; its caller hears nothing for a second, though the next engine has room.
func TestLongPromptGoesWhereThereIsRoom(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	call := ask("h", 6000, 3000)
	for range 100 { // runs like these stay for a second
		run := f.Sent(call, f.choose(t, call))
		f.clock.Advance(time.Second)
		run.Done(Answered)
	}
	home := f.choose(t, call).Server
	f.tellAll(func(_ int, s *State) {
		s.Running = 20
		s.CacheUsed = 30000
		if s.Address == home.Address {
			s.CacheUsed, s.Waiting = 88000, 6
		}
	})
	c := f.choose(t, call)
	is.True(c.Server.ID != home.ID)

	// Where all are full the wait is told, so that a call can be refused at once.
	f.tellAll(func(_ int, s *State) { s.Running, s.Waiting, s.CacheUsed = 50, 8, 95000 })
	c = f.choose(t, call)
	is.True(c.Ahead > 500)
	short := ask("q", 90, 60)
	is.True(f.choose(t, short).Ahead < c.Ahead)
}

// The engine that holds a history has no room left for the prompt beside what runs
// there: a run would yield and be read again from its start, its own history with it.
// The history is fetched by the next engine for a hundredth of that.
func TestFullMemoryIsNotCrowded(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	call := ask("h", 6000, 3000)
	for range 300 { // the size of prompts is known
		f.Sent(call, f.choose(t, call)).Done(Answered)
		f.clock.Advance(time.Second)
	}
	f.tellAll(func(_ int, s *State) { s.CacheUsed = 30000 })
	home := f.choose(t, call).Server
	f.tellAll(func(_ int, s *State) {
		s.Running, s.CacheUsed = 4, 30000
		if s.Address == home.Address {
			s.CacheUsed = s.CacheTotal - 1000
		}
	})
	c := f.choose(t, call)
	is.True(c.Server.ID != home.ID)
	is.True(c.Fetch.IsValid())
}

// The link of the store of kept KV cache is full, and everything that is fetched
// there comes two seconds late. Questions that would fetch a hundred tokens wait
// as long as long prompts do, their runs fill the engines, and more is fetched:
// it goes on after the burst that began it. They are read instead, at once, and
// long prompts leave the link alone until transfers come in time again.
func TestFullLinkIsLeftAlone(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{
		"llm": {Name: "llm", TokenBytes: 1000}, "kept": {Name: "kept", Kept: kept, Link: 100000}, // 100 tokens in a millisecond
	}})
	run := func(name string, shared int, first time.Duration) Choice {
		call := ask(name, shared, 100)
		c := f.choose(t, call)
		ticket := f.Sent(call, c)
		f.clock.Advance(first)
		ticket.Read()
		ticket.Done(Answered)
		return c
	}
	is.Equal(run("small-0", 120, 20*time.Millisecond).Fetch, kept)
	is.Equal(run("long-0", 6000, 200*time.Millisecond).Fetch, kept)
	for i := range 8 {
		run(fmt.Sprint("long-late-", i), 6000, 2500*time.Millisecond)
	}
	is.True(!run("small-1", 120, 20*time.Millisecond).Fetch.IsValid())
	fetched := 0
	for i := range 40 {
		if run(fmt.Sprint("long-then-", i), 6000, 10*time.Millisecond).Fetch == kept {
			fetched++
		}
	}
	is.True(fetched < 10) // 40 would be 600 tokens in a millisecond
	for i := range 200 {
		run(fmt.Sprint("long-soon-", i), 6000, 400*time.Millisecond)
	}
	is.Equal(run("small-2", 120, 20*time.Millisecond).Fetch, kept)
}
