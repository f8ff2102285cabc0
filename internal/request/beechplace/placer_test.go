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
)

type (
	// fleet is a placer with engines, and what it announced.
	fleet struct {
		*Placer
		clock         *clockwork.FakeClock
		servers       []beechcall.Server
		announced     map[string]int
		healthWeights fixedWeights
	}

	fixedWeights map[netip.AddrPort]float64
)

// throttle knows no limits yet, and is the only gate's.
func newThrottle(clock clockwork.Clock) *beechthrottle.Throttle {
	t := beechthrottle.New("gate", 1, beechfresh.BootClock{}, clock, func(beechthrottle.Event) {}, func() {})
	t.SetGates(1)
	return t
}

func (w fixedWeights) Weight(s netip.AddrPort) float64 {
	if v, ok := w[s]; ok {
		return v
	}
	return 1
}

var kvStoreAddress = netip.MustParseAddrPort("10.9.0.1:80")

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
}

// newFleet has n engines, in zones a and b by turns, that serve model m at
// version 1, and as many servers of a plain service.
func newFleet(n int) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), announced: make(map[string]int), healthWeights: fixedWeights{}}
	f.Placer = New(Settings{Zone: "a", Gates: 1}, f.clock, f.healthWeights, newThrottle(f.clock), beechroom.New(f.clock, func() {}), func(s beechcall.Server, tokens int, _ []uint64, _ bool) { f.announced[s.ID] += tokens })
	for i := range n {
		zone := []string{"a", "b"}[i%2]
		f.servers = append(f.servers,
			beechcall.Server{ID: fmt.Sprintf("e%02d", i), Service: "llm", Address: address(i), Zone: zone, Slots: 48, ListedAt: 1, Weights: map[string]uint64{"m": 1}},
			beechcall.Server{ID: fmt.Sprintf("p%02d", i), Service: "app", Address: address(1000 + i), Zone: zone, Slots: 6, ListedAt: 1})
	}
	f.SetServers(f.servers)
	f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{
		"llm": {Name: "llm"}, "kept": {Name: "kept", KVStore: kvStoreAddress},
	}})
	f.SetLatestVersion("m", 1)
	return f
}

// tellAll has every keeper say that its engine serves, with a load.
func (f *fleet) reportAll(edit func(i int, s *State)) {
	for i := 0; i < len(f.servers); i += 2 {
		s := State{Address: f.servers[i].Address, Weights: map[string]uint64{"m": f.byID[f.servers[i].ID].weights["m"]}, CacheTotal: 100000}
		if edit != nil {
			edit(i/2, &s)
		}
		f.UpdateState(s)
	}
}

var route = &beechcall.Route{Name: "pick", Objective: 600 * time.Millisecond}

// ask is a request about a subject, with a prompt of its own behind it.
func newCall(subject string, shared, own int) *beechcall.Call {
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
	f.reportAll(nil)
	count := map[string]int{}
	for i := range 240 {
		call := newCall(fmt.Sprint("s", i), 0, 700)
		call.Parts = nil
		c := f.choose(t, call)
		f.StartAttempt(call, c)
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
func TestHotPrefixIsReplicated(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	f.reportAll(nil)
	first := f.choose(t, newCall("hot", 6300, 2800))
	f.StartAttempt(newCall("hot", 6300, 2800), first)
	f.clock.Advance(500 * time.Millisecond)
	f.reportAll(nil)
	is.Equal(f.choose(t, newCall("hot", 6300, 2800)).Server.ID, first.Server.ID)
	servers := map[string]bool{}
	for range 40 {
		c := f.choose(t, newCall("hot", 6300, 2800))
		f.StartAttempt(newCall("hot", 6300, 2800), c)
		servers[c.Server.ID] = true
	}
	is.True(len(servers) > 2)
}

// A long prompt is read by the engine that looked best. Short questions of other
// gates would wait behind it, had its keeper not told them.
func TestShortPromptAvoidsLongPrefill(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.reportAll(func(i int, s *State) {
		if i == 0 {
			s.Reading = 20000
		}
	})
	for i := range 10 {
		call := newCall(fmt.Sprint("q", i), 0, 300)
		call.Parts = nil
		c := f.choose(t, call)
		is.True(c.Server.ID != "e00")
		f.StartAttempt(call, c).Done(Answered)
	}
	is.True(f.announced["e02"] == 0) // short ones are not told of
	long := newCall("long", 0, 9000)
	long.Parts = nil
	c := f.choose(t, long)
	f.StartAttempt(long, c)
	is.Equal(f.announced[c.Server.ID], 9000)
}

// All engines are full. Choosing goes on, and evenly: it is the engines that
// know what they can take.
func TestSaturation(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.reportAll(func(_ int, s *State) { s.Running, s.Waiting, s.CacheUsed = 48, 30, 95000 })
	count := map[string]int{}
	for i := range 200 {
		call := newCall(fmt.Sprint("s", i), 0, 500)
		call.Parts = nil
		c := f.choose(t, call)
		f.StartAttempt(call, c)
		count[c.Server.ID]++
	}
	is.Equal(len(count), 4)
	for _, n := range count {
		is.True(n > 30)
	}
}

// What the rate of reading is learned from real answers.
func TestLearnsPrefillRate(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for i := range 200 {
		call := newCall(fmt.Sprint("s", i), 0, 8000)
		call.Parts = nil
		attempt := f.StartAttempt(call, f.choose(t, call))
		f.clock.Advance(100 * time.Millisecond) // 80 tokens in a millisecond
		attempt.FirstByte()
		attempt.Done(Answered)
	}
	is.True(f.prefill.rate > 70 && f.prefill.rate < 90)
}

// Engines take 80 ms for any first word and read 75 tokens in a millisecond
// beyond that. Taken as one they seem to read 30; a history's engine is believed
// to have callers wait three times as long as it does, and they go elsewhere.
func TestFixedLatencyIsSeparatedFromPrefillRate(t *testing.T) {
	is := is.New(t)
	s := prefillModel{rate: Defaults.PrefillRate}
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
	f.reportAll(nil)
	call := newCall("s", 6300, 2800)
	for b.Loop() {
		_, _ = f.Choose(call, nil)
	}
}

// Two thirds of a fleet are dark, and the memory of an engine is full of runs.
// Nothing is ahead of a long prompt there to be read, but it waits for others to
// end; its caller hears nothing for a second, though the next engine has room.
func TestLongPromptAvoidsFullMemory(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	call := newCall("h", 6000, 3000)
	for range 100 { // runs like these stay for a second
		run := f.StartAttempt(call, f.choose(t, call))
		f.clock.Advance(time.Second)
		run.Done(Answered)
	}
	home := f.choose(t, call).Server
	f.reportAll(func(_ int, s *State) {
		s.Running = 20
		s.CacheUsed = 30000
		if s.Address == home.Address {
			s.CacheUsed, s.Waiting = 88000, 6
		}
	})
	c := f.choose(t, call)
	is.True(c.Server.ID != home.ID)

	// Where all are full the wait is told, so that a call can be refused at once.
	f.reportAll(func(_ int, s *State) { s.Running, s.Waiting, s.CacheUsed = 50, 8, 95000 })
	c = f.choose(t, call)
	is.True(c.QueueTime > 500)
	short := newCall("q", 90, 60)
	is.True(f.choose(t, short).QueueTime < c.QueueTime)
}

// The engine that holds a history has no room left for the prompt beside what runs
// there: a run would yield and be read again from its start, its own history with it.
// The history is fetched by the next engine for a hundredth of that.
func TestCacheHitDoesNotForcePreemption(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	call := newCall("h", 6000, 3000)
	for range 300 { // the size of prompts is known
		f.StartAttempt(call, f.choose(t, call)).Done(Answered)
		f.clock.Advance(time.Second)
	}
	f.reportAll(func(_ int, s *State) { s.CacheUsed = 30000 })
	home := f.choose(t, call).Server
	f.reportAll(func(_ int, s *State) {
		s.Running, s.CacheUsed = 4, 30000
		if s.Address == home.Address {
			s.CacheUsed = s.CacheTotal - 1000
		}
	})
	c := f.choose(t, call)
	is.True(c.Server.ID != home.ID)
	is.True(c.Fetch.IsValid())
}
