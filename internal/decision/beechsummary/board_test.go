package beechsummary

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type (
	// zone is a set of gates, two of them collectors, with the keepers that report to these.
	zone struct {
		clock   *clockwork.FakeClock
		random  *rand.Rand
		gates   []*gate
		engines []State
		changed []time.Time // when an engine's state last changed
		loss    float64
		sent    int
	}

	// gate applies what its board returns.
	gate struct {
		*Board
		states map[netip.Addr]State
		heard  map[netip.Addr]time.Time
		parts  map[netip.Addr]Parts
		dead   bool
	}
)

// alone is the only collector of an engine's zone.
var alone = Collecting{Collected: true, Alone: true}

func host(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}) }

func newZone(gates, engines int) *zone {
	z := &zone{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(1, 2)), engines: make([]State, engines), changed: make([]time.Time, engines)}
	for i := range gates {
		g := &gate{Board: New(DefaultSettings, z.clock), states: map[netip.Addr]State{}, heard: map[netip.Addr]time.Time{}, parts: map[netip.Addr]Parts{}}
		if i < 2 {
			g.SetDuty(Duty{Zones: "mill", Gates: gates - 1, ZoneEngines: engines})
		}
		z.gates = append(z.gates, g)
	}
	for i := range z.engines {
		z.engines[i] = State{Status: Status{Port: 80, Phase: 1, CacheTotal: 1000}}
	}
	return z
}

// report sends an engine's state to both collectors.
func (z *zone) report(i int, parts Parts) {
	z.engines[i].Number++
	for slot, g := range z.gates[:2] {
		if !g.dead && z.random.Float64() >= z.loss {
			g.Report(host(i), z.engines[i], parts, Collecting{Collected: true, Slot: slot})
		}
	}
}

// run lets time pass; every engine reports at least every 300 ms.
func (z *zone) run(d time.Duration) {
	for end := z.clock.Now().Add(d); z.clock.Now().Before(end); z.clock.Advance(5 * time.Millisecond) {
		for i := range z.engines {
			if (z.clock.Now().UnixMilli()+int64(i)*7)%300 < 5 {
				z.report(i, Parts{})
			}
		}
		z.flush()
	}
}

func (z *zone) flush() {
	for _, from := range z.gates[:2] {
		if from.dead || from.Due(Near) > 0 {
			continue
		}
		for _, s := range from.Next(Near) {
			for _, to := range z.gates {
				if to == from || to.dead {
					continue
				}
				z.sent++
				if z.random.Float64() >= z.loss {
					z.deliver(from, to, s, Peer)
				}
			}
		}
	}
}

func (z *zone) deliver(from, to *gate, s Summary, origin Origin) {
	updates, recall := to.Apply(s, origin)
	for _, u := range updates {
		switch v := u.(type) {
		case Changed:
			to.states[v.Engine.Addr()], to.heard[v.Engine.Addr()] = v.State, z.clock.Now()
			p := to.parts[v.Engine.Addr()]
			p.add(v.Parts)
			to.parts[v.Engine.Addr()] = p
		case Confirmed:
			to.heard[v.Engine.Addr()] = z.clock.Now()
		case Lost:
			delete(to.states, v.Engine.Addr())
		}
	}
	if len(recall) > 0 && z.random.Float64() >= z.loss {
		for _, answer := range from.Answer(recall, func(netip.Addr) Parts { return Parts{} }) {
			z.deliver(from, to, answer, origin)
		}
	}
}

func (z *zone) holds(i int) bool {
	for _, g := range z.gates[2:] {
		if got, ok := g.states[host(i)]; !ok || got.Load != z.engines[i].Load || !got.Status.equal(z.engines[i].Status) {
			return false
		}
	}
	return true
}

// A long prompt is announced at an engine. Gates that learned of it late would queue their
// requests behind it unknowingly.
func TestLongPromptIsKnownAtOnce(t *testing.T) {
	is := is.New(t)
	z := newZone(10, 20)
	z.run(2 * time.Second)
	z.engines[3].Reading = 9000
	z.report(3, Parts{Added: []uint64{7}})
	z.run(30 * time.Millisecond)
	is.True(z.holds(3))
	for _, g := range z.gates[2:] {
		is.Equal(g.parts[host(3)].Added, []uint64{7})
	}
}

// Both collectors hear every report. Each change must be sent once, and what does not change
// must cost next to nothing.
func TestEachChangeIsSentOnce(t *testing.T) {
	is := is.New(t)
	z := newZone(12, 40)
	z.run(2 * time.Second)
	changes := func() int { return z.gates[0].Counts().Changes + z.gates[1].Counts().Changes }
	before, sent := changes(), z.sent
	z.run(5 * time.Second)
	is.Equal(changes(), before)
	is.True(z.sent-sent <= 2*6*11) // two collectors confirm each second
	for i := range z.engines {
		z.engines[i].Running++
		z.report(i, Parts{})
		z.run(20 * time.Millisecond)
	}
	z.run(time.Second)
	is.Equal(changes()-before, 40)
}

// The collector that is responsible for an engine dies. The other one sends its changes a
// moment later, before anybody has noticed the death.
func TestStandbySendsForDeadCollector(t *testing.T) {
	is := is.New(t)
	z := newZone(8, 30)
	z.run(2 * time.Second)
	z.gates[0].dead = true
	for i := range z.engines {
		z.engines[i].Running = 5
		z.report(i, Parts{})
	}
	z.run(DefaultSettings.StandbyDelay + 30*time.Millisecond)
	for i := range z.engines {
		is.True(z.holds(i))
	}
}

// A host dies with its engine and its keeper. Gates must not take its last state for true.
func TestSilentKeeperIsReported(t *testing.T) {
	is := is.New(t)
	z := newZone(6, 5)
	z.run(2 * time.Second)
	z.engines = z.engines[:4]
	z.run(DefaultSettings.Silence + DefaultSettings.ConfirmInterval + 100*time.Millisecond)
	for _, g := range z.gates[2:] {
		_, ok := g.states[host(4)]
		is.True(!ok)
		is.Equal(len(g.states), 4)
	}
	is.Equal(len(z.gates[0].TakeSilent()), 1)
	is.Equal(len(z.gates[0].TakeSilent()), 0)
	z.engines = append(z.engines, State{Number: 1 << 20, Status: Status{Port: 80}})
	z.run(time.Second)
	is.True(z.holds(4)) // it is back
}

// A gate starts while nothing changes. It must learn all states, not only the later changes.
func TestStartingGateLearnsAllStates(t *testing.T) {
	is := is.New(t)
	z := newZone(4, 200)
	z.run(2 * time.Second)
	g := &gate{Board: New(DefaultSettings, z.clock), states: map[netip.Addr]State{}, heard: map[netip.Addr]time.Time{}, parts: map[netip.Addr]Parts{}}
	z.gates = append(z.gates, g)
	z.run(1500 * time.Millisecond)
	is.Equal(len(g.states), 200)
	for _, s := range z.gates[0].Answer(nil, func(netip.Addr) Parts { return Parts{Added: []uint64{1, 2, 3, 4}} }) {
		is.True(len(s.Changes) <= maxChanges) // fits into a datagram
	}
}

// While gates start, one takes itself for the only one and collects the engines of all zones.
// Once it knows the others it must believe them, and must not report the engines as lost whose
// keepers report to it no longer.
func TestFormerCollectorBelievesOthers(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := New(DefaultSettings, clock)
	b.SetDuty(Duty{Zones: "barn mill"})
	b.Report(host(1), State{Number: 1, Status: Status{Port: 80}}, Parts{}, alone)
	b.SetDuty(Duty{Zones: "mill"})
	b.Report(host(1), State{Number: 2, Load: Load{Running: 1}, Status: Status{Port: 80}}, Parts{}, Collecting{})
	status := Status{Port: 80}
	updates, _ := b.Apply(Summary{Changes: []Change{{Host: host(1), Number: 3, Base: 3, Load: Load{Running: 7}, Status: &status}}}, Other)
	is.Equal(updates[0].(Changed).State.Running, 7)
	is.Equal(b.Next(Near)[0].Changes[0].Load.Running, 7) // handed on
	clock.Advance(2 * DefaultSettings.Silence)
	b.Next(Near)
	is.Equal(len(b.TakeSilent()), 0)
}

// Another zone's collector sends its summary to one collector of this zone, which hands it on.
func TestOtherZonesAreHandedOn(t *testing.T) {
	is := is.New(t)
	z, other := newZone(5, 3), newZone(2, 0)
	other.clock = z.clock
	far := New(DefaultSettings, z.clock)
	far.SetDuty(Duty{Zones: "mill", ZoneEngines: 1})
	engine := netip.MustParseAddr("10.2.0.1")
	z.run(time.Second)
	far.Report(engine, State{Number: 5, Load: Load{Running: 2}, Status: Status{Port: 80}}, Parts{Added: []uint64{9}}, alone)
	for _, s := range far.Next(Far) {
		z.deliver(&gate{Board: far}, z.gates[0], s, Other)
	}
	z.run(50 * time.Millisecond)
	for _, g := range z.gates[1:] {
		is.Equal(g.states[engine].Running, 2)
		is.Equal(g.parts[engine].Added, []uint64{9})
	}
	is.Equal(z.gates[0].Next(Far), nil) // and not back to other zones
}

// A load that changes at an engine of another zone can wait, a phase or a long prompt cannot.
func TestUrgentChangesCrossZonesAtOnce(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := New(DefaultSettings, clock)
	b.SetDuty(Duty{Zones: "mill", ZoneEngines: 10})
	report := func(edit func(s *State)) {
		s := State{Number: uint32(clock.Now().UnixMilli()), Status: Status{Port: 80}}
		edit(&s)
		b.Report(host(1), s, Parts{}, alone)
	}
	report(func(*State) {})
	b.Next(Far)
	clock.Advance(DefaultSettings.ConfirmInterval / 2)
	report(func(s *State) { s.Running = 1 })
	is.Equal(b.Due(Far), 10*DefaultSettings.FarDelayPerEngine)
	report(func(s *State) { s.Running, s.Status.Phase = 1, 2 })
	is.Equal(b.Due(Far), time.Duration(0))
	is.True(b.Next(Far)[0].Changes[0].Status != nil)
	is.Equal(b.Due(Near), time.Duration(0))
}

// Whatever is lost, and whichever collector dies, all gates hold the true states in the end.
func TestStatesAgreeAfterLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newZone(5, 6)
		z.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		z.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			i := rapid.IntRange(0, 5).Draw(t, "engine")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				z.engines[i].Running = rapid.IntRange(0, 9).Draw(t, "running")
			case 1:
				z.engines[i].Status.Phase = rapid.IntRange(0, 4).Draw(t, "phase")
			case 2:
				z.engines[i].Status.Weights = []Weights{{"m", rapid.Uint64().Draw(t, "version")}}
			case 3:
				z.gates[rapid.IntRange(0, 1).Draw(t, "collector")].dead = rapid.Bool().Draw(t, "dead") && !slices.ContainsFunc(z.gates[:2], func(g *gate) bool { return g.dead })
			}
			z.report(i, Parts{})
			z.run(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
		}
		z.loss = 0
		z.gates[0].dead, z.gates[1].dead = false, false
		z.run(3 * time.Second)
		for i := range z.engines {
			if !z.holds(i) {
				t.Fatalf("engine %d is %+v, a gate holds %+v", i, z.engines[i], z.gates[2].states[host(i)])
			}
		}
	})
}

// The samples of many gates are summed up, and a zone's own go to the other zones once.
func TestTotalsSumUp(t *testing.T) {
	is := is.New(t)
	b := NewTotals()
	now := time.Unix(100, 0)
	b.Add(Measurements{Paces: []Pace{{Engine: 1, Samples: 1, Log: 1}}, Speed: Speed{Samples: 1, Rate: 60, Fixed: 10}, Loads: []ServerLoad{{Server: 5, Running: 3, At: now}}}, true)
	b.Add(Measurements{Paces: []Pace{{Engine: 1, Samples: 3, Log: 0}, {Engine: 2, Samples: 0, Log: 9}}, Speed: Speed{Samples: 3, Rate: 80, Fixed: 30}, Loads: []ServerLoad{{Server: 5, Running: 1, At: now.Add(-time.Second)}}}, false)
	is.Equal(b.Take(Near, 9), Measurements{Paces: []Pace{{Engine: 1, Samples: 4, Log: 0.25}}, Speed: Speed{Samples: 4, Rate: 75, Fixed: 25}, Loads: []ServerLoad{{Server: 5, Running: 3, At: now}}})
	is.Equal(b.Take(Far, 9).Paces, []Pace{{Engine: 1, Samples: 1, Log: 1}})
	is.True(b.Take(Near, 9).Empty())
	is.True(b.Take(Far, 9).Empty())
}

// Guards against a collector that goes on after a stop and reports all engines as lost, since it
// has not yet read what their keepers sent meanwhile.
func TestCollectorThatWasStoppedLosesNoEngine(t *testing.T) {
	is := is.New(t)
	z := newZone(6, 5)
	z.run(2 * time.Second)
	z.gates[0].dead = true
	z.run(DefaultSettings.Silence + time.Second)
	z.gates[0].dead = false
	is.Equal(len(z.gates[0].TakeSilent()), 0)
	z.flush()
	for _, g := range z.gates[2:] {
		is.Equal(len(g.states), 5)
	}
	z.run(time.Second)
	for i := range z.engines {
		is.True(z.holds(i))
	}
}

// Guards against a collector that goes on after a stop and confirms an engine that was lost
// meanwhile.
func TestCollectorThatWasStoppedConfirmsNoLostEngine(t *testing.T) {
	is := is.New(t)
	z := newZone(6, 5)
	z.run(2 * time.Second)
	z.gates[0].dead = true
	z.engines = z.engines[:4]
	z.run(DefaultSettings.Silence + DefaultSettings.ConfirmInterval + 100*time.Millisecond)
	z.gates[0].dead = false
	for range 400 {
		z.run(5 * time.Millisecond)
		for _, g := range z.gates[2:] {
			_, ok := g.states[host(4)]
			is.True(!ok)
			is.Equal(len(g.states), 4)
		}
	}
	is.Equal(len(z.gates[0].TakeSilent()), 1)
}
