package beechplace

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechbackoff"
	"github.com/beechring/beechring/internal/decision/beechsaturation"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechfresh"
)

type (
	// fleet is a placer with its engines and the tokens that it announced to them.
	fleet struct {
		*Placer
		clock         *clockwork.FakeClock
		servers       []beechcall.Server
		announced     map[string]int
		healthWeights fixedWeights
	}

	fixedWeights map[netip.AddrPort]float64
)

// newThrottle returns a throttle of a single gate without known limits.
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

// newFleet returns a fleet with n engines, alternately in zones a and b, that serve model m at
// version 1, and as many servers of a plain service.
func newFleet(n int) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), announced: make(map[string]int), healthWeights: fixedWeights{}}
	f.Placer = New(Settings{Zone: "a", Gates: 1}, f.clock, f.healthWeights, newThrottle(f.clock), beechsaturation.New(f.clock, func() {}), beechbackoff.New(f.clock), func(s beechcall.Server, tokens int, _ []uint64, _ bool) { f.announced[s.ID] += tokens })
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

// reportAll sends a report of every keeper. edit changes the state of the i-th engine.
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

// newCall returns a call with shared parts up to the given subject, followed by tokens of its
// own.
func newCall(subject string, shared, own int) *beechcall.Call {
	return &beechcall.Call{
		ID: subject, Service: "llm", Model: "m", Route: route, PromptTokens: shared + own, Workspace: beechcall.Workspace{Name: "w"},
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

// A burst of short prompts arrives at once. It must be spread over the engines instead of
// going to the one that was idle in the last report.
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
	is.True(len(count) >= 6) // at least those of the gate's zone
}

// Many requests share one history. They go to the engine that caches it, and to more engines
// before the queue there gets long.
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

// An engine is prefilling a long prompt of another gate, as its keeper reports. Short prompts
// must not queue behind it.
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
	is.True(f.announced["e02"] == 0) // short prompts are not announced
	long := newCall("long", 0, 9000)
	long.Parts = nil
	c := f.choose(t, long)
	f.StartAttempt(long, c)
	is.Equal(f.announced[c.Server.ID], 9000)
}

// All engines are full. Requests are still placed, and evenly: engines decide themselves what
// they accept.
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

// The prefill rate is learned from responses.
func TestLearnsPrefillRate(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for i := range 200 {
		call := newCall(fmt.Sprint("s", i), 0, 8000)
		call.Parts = nil
		attempt := f.StartAttempt(call, f.choose(t, call))
		f.clock.Advance(100 * time.Millisecond) // 80 tokens per millisecond
		attempt.FirstByte()
		attempt.Done(Answered)
	}
	is.True(f.prefill.rate > 70 && f.prefill.rate < 90)
}

// Engines take 80 ms for any first token and prefill 75 tokens per millisecond beyond that.
// With a rate alone they would appear to prefill 30: predicted waits at the engine that caches
// a history would be three times too long, and its requests would go elsewhere.
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
	for i := range 600 { // full engines: every request waits half a second
		tokens := float64(200)
		if i%3 == 0 {
			tokens = 4000
		}
		s.learn(tokens, 580+tokens/75)
	}
	is.True(s.rate < 40) // must not appear faster because of the wait
}

func BenchmarkChoose(b *testing.B) {
	f := newFleet(56)
	f.reportAll(nil)
	call := newCall("s", 6300, 2800)
	for b.Loop() {
		_, _ = f.Choose(call, nil)
	}
}

// Two thirds of the fleet are not serving, and an engine's memory is full. A long prompt has
// no prefill queue there but would wait a second for memory, although the next engine has
// room.
func TestLongPromptAvoidsFullMemory(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	call := newCall("h", 6000, 3000)
	for range 100 { // each occupies memory for a second
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

	// If all engines are full, the predicted wait is returned so that a call can be rejected
	// at once.
	f.reportAll(func(_ int, s *State) { s.Running, s.Waiting, s.CacheUsed = 50, 8, 95000 })
	c = f.choose(t, call)
	is.True(c.QueueTime > 500)
	short := newCall("q", 90, 60)
	is.True(f.choose(t, short).QueueTime < c.QueueTime)
}

// The engine that caches a history has no room for the prompt: a running request would be
// preempted and prefilled again from its start, including its own history. Fetching the
// history to another engine costs a hundredth of that.
func TestCacheHitDoesNotForcePreemption(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	call := newCall("h", 6000, 3000)
	for range 300 { // lets the placer learn the prompt size
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
