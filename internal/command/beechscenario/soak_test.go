package beechscenario

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/standin/beechengine"
	"github.com/beechring/beechring/internal/standin/beechplatform"
	"github.com/beechring/beechring/internal/standin/beechservice"
	"github.com/beechring/beechring/internal/state/beechmanifest"
)

type (
	// soak is one random run: failures drawn from a seed, against a small
	// deployment under load.
	soak struct {
		t      *testing.T
		world  *world
		random *rand.Rand
		active []trouble
		broken map[string]bool // processes that some trouble is about
		base   int             // generation applied last
	}

	// trouble is a failure that goes on until it is ended.
	trouble struct {
		name string
		at   string // the process that it is about
		end  func() error
	}

	// mischief begins a kind of failure at a process drawn from those of the
	// given names. A nil end is a failure that is over at once.
	mischief struct {
		name    string
		targets []string
		begin   func(s *soak, target string) (end func() error, err error)
	}
)

const (
	soakSteps = 24
	// weightsLast is how many generations one weights version lasts.
	weightsLast = 2
	mostActive  = 2  // failures at once: single and in pairs, as the brief says
	stepCalls   = 12 // calls that end between two steps, where any can
	// stepLimit ends a step where nothing can go on until a failure ends.
	stepLimit = 700 * time.Millisecond
	// callerLeaves is longer than anything here takes: a call that needs more
	// got no end.
	callerLeaves = 15 * time.Second
)

var (
	seedCount = flag.Int("seeds", 0, "random runs with seeds from the clock, instead of the fixed ones")
	oneSeed   = flag.Uint64("seed", 0, "the seed of one random run to be played again")

	// fixedSeeds run in CI. Every seed that found a fault is added here.
	fixedSeeds = []uint64{
		246184284,
		1, 2, 3, 244692815, 244692816, 244692820, 244692822, 244692829, 244692834,
	}

	agentsOfEngines = []string{"e1", "e2", "e3"}
	allAgents       = []string{"e1", "e2", "e3", "s1"}
	soakEntries     = []string{"n1", "n2"}
	allRoles        = []string{"e1", "e2", "e3", "s1", "n1", "n2"}

	mischiefs = []mischief{
		{"kill", allRoles, beginKill},
		{"freeze", append([]string{"platform"}, allRoles...), beginFreeze},
		{"stop", allRoles, beginStop},
		{"cut once", allAgents, beginCutOnce},
		{"cut", allAgents, beginCut},
		{"silent link", allAgents, beginSilent},
		{"engine crash", agentsOfEngines, beginEngineCrash},
		{"engine killed", agentsOfEngines, beginEngineKill},
		{"engine frozen", agentsOfEngines, beginEngineFreeze},
		{"engine crossed", agentsOfEngines, engineFault(beechengine.Fault{Kind: beechengine.FaultWrongID, Count: 2})},
		{"engine busy", agentsOfEngines, engineFault(beechengine.Fault{Kind: beechengine.FaultBusy, Count: 4})},
		{"events lost", agentsOfEngines, engineFault(beechengine.Fault{Kind: beechengine.FaultLoseEvents, Count: 20})},
		{"service drops replies", []string{"s1"}, serviceFault(beechservice.Fault{Kind: beechservice.FaultDropReply, Count: 3})},
		{"service busy", []string{"s1"}, serviceFault(beechservice.Fault{Kind: beechservice.FaultBusy, Count: 3})},
		{"service crash", []string{"s1"}, serviceFault(beechservice.Fault{Kind: beechservice.FaultCrash, PauseMillis: 200})},
		{"platform down", []string{"platform"}, platformFault(beechplatform.Fault{Down: true})},
		{"platform cut", []string{"platform"}, platformFault(beechplatform.Fault{Cut: true})},
		{"platform slow", []string{"platform"}, platformFault(beechplatform.Fault{SlowMillis: 300})},
		{"platform loses replies", []string{"platform"}, platformFault(beechplatform.Fault{LoseReplies: 4})},
		{"platform loses writes", []string{"platform"}, platformFault(beechplatform.Fault{LoseWrites: 4})},
		{"leases end", []string{"platform"}, platformFault(beechplatform.Fault{ExpireLeases: true})},
		{"configuration", []string{"platform"}, beginApply},
	}
)

// TestSoak mixes all failures from a seed that it prints, and checks at the end
// what must hold. One seed is played again by -seed N, many are run by -seeds N.
func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, seed)
		})
	}
}

func soakSeeds() []uint64 {
	if *oneSeed != 0 {
		return []uint64{*oneSeed}
	}
	if *seedCount == 0 {
		return fixedSeeds
	}
	first := uint64(time.Now().UnixNano() / int64(time.Millisecond) % 1_000_000_000)
	seeds := make([]uint64, *seedCount)
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	return seeds
}

func runSoak(t *testing.T, seed uint64) {
	t.Logf("play again: go test -count=1 -run TestSoak ./internal/command/beechscenario -seed %d", seed)
	s := &soak{
		t: t, world: newWorld(t, beechtrace.Folder(t)), random: rand.New(rand.NewPCG(seed, 0)),
		broken: map[string]bool{}, base: 1,
	}
	defer s.world.close()
	s.must("deploy", s.deploy())
	s.startLoads(seed)
	for range soakSteps {
		s.step()
	}
	s.must("end all failures", s.endAll())
	s.must("recover", s.recover())
	s.check()
}

func (s *soak) must(what string, err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatalf("%s: %v", what, err)
	}
}

func (s *soak) deploy() error {
	steps := [][]string{
		{"platform"},
		{"engine", "e1", "zone-a"},
		{"engine", "e2", "zone-a"},
		{"engine", "e3", "zone-b", "--cache-tokens", "4000"},
		{"service", "s1", "zone-a", "--delay", "20ms"},
		{"seeds", "e1", "e3"},
		{"entry", "n1", "zone-a"},
		{"entry", "n2", "zone-b"},
		{"until", "serving", "n1", "4"},
		{"until", "serving", "n2", "4"},
	}
	for _, step := range steps {
		if err := commands[step[0]](s.world, step[1:]); err != nil {
			return fmt.Errorf("%v: %w", step, err)
		}
	}
	return nil
}

func (s *soak) startLoads(seed uint64) {
	base := request{
		Key: "loop-key", Model: "fit-advisor", System: "You advise members on the size of their socks.",
		History: "row row row ", Prompt: "Which size?", Tokens: 30, Stream: true, Left: callerLeaves,
	}
	plan := loadPlan{entries: soakEntries, members: defaultMembers, seed: seed}
	add := func(name string, callers int, change func(p *loadPlan)) {
		p := plan
		p.name, p.callers, p.base = name, callers, base
		p.base.Prompt = name
		change(&p)
		s.world.startLoad(p)
	}
	add("streams", 4, func(_ *loadPlan) {})
	add("plain", 2, func(p *loadPlan) { p.base.Stream = false })
	add("solis", 2, func(p *loadPlan) { p.base.Key = "solis-key" })
	add("resumed", 3, func(p *loadPlan) { p.resume = true })
	add("keyed", 2, func(p *loadPlan) { p.keyed = true })
	add("hurried", 2, func(p *loadPlan) { p.base.Timeout = 400 * time.Millisecond })
	add("parcels", 3, func(p *loadPlan) { p.base.Service, p.repeat = "shipping/shipments", true })
}

// step begins a failure or ends one, and lets the load go on for a while.
func (s *soak) step() {
	s.t.Helper()
	if len(s.active) == mostActive || len(s.active) > 0 && s.random.IntN(2) == 0 {
		s.must("end a failure", s.endOne(s.random.IntN(len(s.active))))
	} else {
		s.begin()
	}
	ended := len(s.world.allCalls())
	limit := time.Now().Add(stepLimit)
	for len(s.world.allCalls()) < ended+stepCalls && time.Now().Before(limit) {
		time.Sleep(pollPause)
	}
}

func (s *soak) begin() {
	s.t.Helper()
	m := mischiefs[s.random.IntN(len(mischiefs))]
	target := m.targets[s.random.IntN(len(m.targets))]
	if s.broken[target] {
		return
	}
	s.t.Logf("%s at %s", m.name, target)
	end, err := m.begin(s, target)
	s.must(m.name+" at "+target, err)
	if end != nil {
		s.broken[target] = true
		s.active = append(s.active, trouble{name: m.name, at: target, end: end})
	}
}

func (s *soak) endOne(i int) error {
	over := s.active[i]
	s.active = slices.Delete(s.active, i, i+1)
	delete(s.broken, over.at)
	s.t.Logf("end of %s at %s", over.name, over.at)
	return over.end()
}

func (s *soak) endAll() error {
	for len(s.active) > 0 {
		if err := s.endOne(0); err != nil {
			return err
		}
	}
	return s.endCounted()
}

// endCounted ends the service's faults that are told in calls: with little
// load towards the end some would be left for the calls of recover, which then
// are truly told that nobody knows.
func (s *soak) endCounted() error {
	for _, kind := range []beechservice.FaultKind{beechservice.FaultDropReply, beechservice.FaultBusy} {
		if _, err := serviceFault(beechservice.Fault{Kind: kind, Count: 0})(s, "s1"); err != nil {
			return err
		}
	}
	return nil
}

// recover checks that everything serves again once nothing is broken any more:
// each entry host reaches each server, with the newest configuration in force.
func (s *soak) recover() error {
	w := s.world
	for _, l := range w.loads {
		if err := l.halt(); err != nil {
			return err
		}
	}
	for _, entry := range soakEntries {
		if err := commandUntil(w, []string{"serving", entry, "4"}); err != nil {
			return err
		}
	}
	if err := commandUntil(w, append([]string{"generation", fmt.Sprint(s.base)}, allRoles...)); err != nil {
		return err
	}
	for i, entry := range soakEntries {
		if err := s.askLast(fmt.Sprintf("last-%d", i), entry); err != nil {
			return err
		}
	}
	return nil
}

// askLast asks as callers do: a refusal as not run, as a server that has just
// come back may still give, is followed by the same call again.
func (s *soak) askLast(name, entry string) error {
	parcel := name + "-parcel"
	calls := [][]string{
		{name, "entry=" + entry, "prompt=" + name, "persist=yes"},
		{parcel, "entry=" + entry, "service=shipping/shipments", "body=" + parcel, "idem=" + parcel, "persist=yes"},
	}
	for _, call := range calls {
		if err := commandSend(s.world, call); err != nil {
			return err
		}
		if err := commandUntil(s.world, []string{"persisted", call[0]}); err != nil {
			if c, callErr := s.world.call(call[0]); callErr == nil {
				return fmt.Errorf("%w: over %t, %s", err, c.isOver(), c.describe())
			}
			return err
		}
		if err := commandExpect(s.world, []string{call[0], "status=200", "whole=yes"}); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) check() {
	s.t.Helper()
	for _, name := range []string{"whole", "once", "notrun", "told", "isolated", "monotone", "fenced", "settled"} {
		if err := invariants[name](s.world); err != nil {
			s.t.Errorf("%s does not hold: %v", name, err)
		}
	}
	served, refused, other := 0, 0, 0
	for _, c := range s.world.allCalls() {
		switch {
		case c.status == http.StatusOK && c.code == "" && c.err == nil:
			served++
		case c.ran == "no":
			refused++
		default:
			other++
		}
	}
	s.t.Logf("%d calls: %d served, %d refused as not run, %d broken off or unknown", served+refused+other, served, refused, other)
}

func beginKill(s *soak, name string) (func() error, error) {
	return func() error { return s.world.restart(name) }, s.world.kill(name)
}

// beginStop replaces a process gracefully.
func beginStop(s *soak, name string) (func() error, error) {
	return func() error { return s.world.restart(name) }, s.world.stop(name)
}

func beginFreeze(s *soak, name string) (func() error, error) {
	return func() error { return s.world.signal(name, syscall.SIGCONT) }, s.world.signal(name, syscall.SIGSTOP)
}

func beginCutOnce(s *soak, name string) (func() error, error) {
	s.world.cutters[name].cut(false)
	return nil, nil
}

func beginCut(s *soak, name string) (func() error, error) {
	s.world.cutters[name].cut(true)
	return s.mend(name), nil
}

func beginSilent(s *soak, name string) (func() error, error) {
	s.world.cutters[name].hush(inward, outward)
	return s.mend(name), nil
}

func (s *soak) mend(name string) func() error {
	return func() error {
		s.world.cutters[name].mend()
		return nil
	}
}

func beginEngineCrash(s *soak, name string) (func() error, error) {
	pause := 50 + s.random.Int64N(400)
	return nil, s.fault(name+".engine", beechengine.Fault{Kind: beechengine.FaultCrash, PauseMillis: pause})
}

func beginEngineKill(s *soak, name string) (func() error, error) {
	return func() error { return s.world.restart(name + ".engine") }, s.world.kill(name + ".engine")
}

func beginEngineFreeze(s *soak, name string) (func() error, error) {
	return beginFreeze(s, name+".engine")
}

func engineFault(f beechengine.Fault) func(s *soak, name string) (func() error, error) {
	return func(s *soak, name string) (func() error, error) { return nil, s.fault(name+".engine", f) }
}

func serviceFault(f beechservice.Fault) func(s *soak, name string) (func() error, error) {
	return func(s *soak, name string) (func() error, error) { return nil, s.fault(name+".service", f) }
}

func platformFault(f beechplatform.Fault) func(s *soak, name string) (func() error, error) {
	return func(s *soak, name string) (func() error, error) {
		return func() error { return s.fault(name, beechplatform.Fault{}) }, s.fault(name, f)
	}
}

func (s *soak) fault(name string, fault any) error {
	p, err := s.world.process(name)
	if err != nil {
		return err
	}
	err = postJSON(p.address, "/standin/fault", fault)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil // the stand-in is down just now
	}
	return err
}

// beginApply puts the next generation in force, or a second change from the same
// base, which must be told that it lost.
func beginApply(s *soak, _ string) (func() error, error) {
	manifest := usualManifest()
	manifest.Models[0].Weights = fmt.Sprint(1 + s.base/weightsLast)
	data, err := beechmanifest.Encode(manifest)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(s.world.dir+"/again.json", data, 0o644); err != nil {
		return nil, err
	}
	base := fmt.Sprintf("base=%d", s.base)
	if err := commandApply(s.world, []string{"again.json", base}); err != nil {
		return nil, err
	}
	s.base++
	return nil, commandApply(s.world, []string{"again.json", base, "expect=conflict"})
}
