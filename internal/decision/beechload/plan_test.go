package beechload

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// loadTicks is the duration of a load in the simulation.
const loadTicks = 5

// TestMain fixes the seed of the property tests, so that runs are reproducible;
// -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if s := flag.Lookup("rapid.seed"); s.Value.String() == s.DefValue {
		_ = flag.Set(s.Name, "1")
	}
	os.Exit(m.Run())
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func fleet(n int, loaded ...string) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{Server: address(i), Pool: "p", Loaded: slices.Clone(loaded)})
	}
	return out
}

// simulation executes plans step by step until nothing is left to do.
type simulation struct {
	members        []Member
	remainingTicks map[netip.AddrPort]int // until the current load is done
	maxLoading     int                    // most servers loading at the same time
	minServing     int                    // fewest servers with any version of the first model
	maxLoaded      int                    // most models loaded on one server
	ticks          int
}

func (sim *simulation) run(t *testing.T, pools []Pool, maxLoads int) {
	t.Helper()
	sim.remainingTicks = make(map[netip.AddrPort]int)
	sim.minServing = len(sim.members)
	for sim.ticks = 0; sim.ticks < 1000; sim.ticks++ {
		plan := Plan(pools, sim.members, maxLoads)
		if len(plan) == 0 && !slices.ContainsFunc(sim.members, func(m Member) bool { return m.Loading != "" }) {
			return
		}
		loading := 0
		for i := range sim.members {
			m := &sim.members[i]
			sim.advanceLoad(m)
			if s, ok := NextStep(plan, m.Server); ok && m.Loading == "" {
				sim.execute(m, s)
			}
			if m.Loading != "" {
				loading++
			}
			sim.maxLoaded = max(sim.maxLoaded, len(m.Loaded))
		}
		sim.maxLoading = max(sim.maxLoading, loading)
		sim.minServing = min(sim.minServing, sim.serving(modelName(pools[0].Models[0])))
	}
	t.Fatal("no end after 1000 ticks:", sim.members)
}

func (sim *simulation) advanceLoad(m *Member) {
	if m.Loading == "" {
		return
	}
	sim.remainingTicks[m.Server]--
	if sim.remainingTicks[m.Server] == 0 {
		m.Loaded = append(m.Loaded, m.Loading)
		m.Loading = ""
	}
}

func (sim *simulation) execute(m *Member, s Step) {
	switch s := s.(type) {
	case Load:
		m.Loading = s.Model
		sim.remainingTicks[m.Server] = loadTicks
	case Unload:
		m.Loaded = slices.DeleteFunc(m.Loaded, func(o string) bool { return o == s.Model })
	}
}

func (sim *simulation) serving(model string) int {
	n := 0
	for _, m := range sim.members {
		if slices.ContainsFunc(m.Loaded, func(o string) bool { return modelName(o) == model }) {
			n++
		}
	}
	return n
}

// A new version is rolled out to 20 servers, of which three may load at the same
// time. If the old version were unloaded first, or everywhere at once, requests
// would find no server, or all of them the same one.
func TestVersionChangeKeepsServing(t *testing.T) {
	for _, c := range []struct {
		name                  string
		servers, maxModels    int
		minServing, maxLoaded int
	}{
		{"twenty servers", 20, 0, 20, 2},
		{"no room for two versions", 20, 1, 17, 1},
		{"one server", 1, 0, 1, 2},
		{"one server without room", 1, 1, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := simulation{members: fleet(c.servers, "m@1")}
			sim.run(t, []Pool{{Name: "p", Models: []string{"m@2"}, MaxModels: c.maxModels}}, 3)
			t.Logf("done in %d ticks, serving at least %d, loading at most %d, models held at most %d", sim.ticks, sim.minServing, sim.maxLoading, sim.maxLoaded)
			for _, m := range sim.members {
				is.Equal(m.Loaded, []string{"m@2"})
			}
			is.Equal(sim.minServing, c.minServing)
			is.True(sim.maxLoading <= 3)
			is.Equal(sim.maxLoaded, c.maxLoaded)
		})
	}
}

// When one of 20 servers is removed, only the copies that it held, and few others,
// may be loaded on other servers.
func TestRemovedServerMovesFewCopies(t *testing.T) {
	is := is.New(t)
	pool := []Pool{{Name: "p", Models: []string{"a@1", "b@1", "c@1", "d@1", "e@1", "f@1"}, ModelsPerServer: 2}}
	moved, loads := 0, 0
	for removed := range 20 {
		before := Assign(pool, fleet(20))
		after := Assign(pool, slices.Delete(fleet(20), removed, removed+1))
		held := make(map[netip.AddrPort][]string)
		for _, a := range before {
			held[a.Server] = a.Models
		}
		for _, a := range after {
			for _, m := range a.Models {
				loads++
				if !slices.Contains(held[a.Server], m) {
					moved++
				}
			}
		}
	}
	t.Logf("%.1f of %d copies are loaded again when one of 20 servers is removed", float64(moved)/20, loads/20)
	is.True(moved <= 20*3)
	sim := simulation{members: fleet(20)}
	sim.run(t, pool, 3)
	sim.run(t, []Pool{{Name: "p", Models: []string{"a@2", "b@1", "c@1", "d@1", "e@1", "f@1"}, ModelsPerServer: 2}}, 3)
	is.Equal(sim.serving("a"), 7) // 40 places for 6 models
	is.True(sim.minServing >= 7)
}

// After a restart of the whole fleet, the first steps must load models that no
// server holds, and unloads come last.
func TestUnservedModelsAreLoadedFirst(t *testing.T) {
	is := is.New(t)
	members := fleet(4, "a@1", "old@1")
	plan := Plan([]Pool{{Name: "p", Models: []string{"a@1", "b@1", "c@1"}}}, members, 2)
	is.Equal(plan[0], Load{Server: address(0), Model: "b@1"})
	is.Equal(plan[1], Load{Server: address(1), Model: "b@1"})
	is.Equal(len(plan), 2+4)
	is.Equal(plan[2], Unload{Server: address(0), Model: "old@1"})
	members[3].Loading = "c@1"
	members[2].Leaving = true
	plan = Plan([]Pool{{Name: "p", Models: []string{"a@1", "b@1"}}}, members, -4)
	is.Equal(len(plan), 3) // no load, since one is in progress; no step for the leaving server
}

// For any configuration and members, including duplicates, unknown pools and
// missing addresses, every agent computes the same result: no server holds more
// than it may, no model lacks a server while there are free places, and no step is
// for a server that is leaving or unknown.
func TestInvariantsHoldForAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := rapid.SliceOfN(rapid.SampledFrom([]string{"a@1", "a@2", "b@1", "c@1", "d", "", "@"}), 0, 8)
		pools := []Pool{
			{Name: "p", Models: models.Draw(t, "models"), ModelsPerServer: rapid.IntRange(-1, 4).Draw(t, "hold"), MaxModels: rapid.IntRange(-1, 3).Draw(t, "room")},
			{Name: "p", Models: []string{"x"}},
			{Name: "q", Models: []string{"y"}},
		}
		var members []Member
		for range rapid.IntRange(0, 12).Draw(t, "members") {
			m := Member{
				Server: address(rapid.IntRange(0, 9).Draw(t, "server")), Pool: rapid.SampledFrom([]string{"p", "q", "stranger"}).Draw(t, "pool"),
				Loaded: models.Draw(t, "held"), Leaving: rapid.Bool().Draw(t, "leaving"),
			}
			if rapid.IntRange(0, 9).Draw(t, "none") == 0 {
				m.Server = netip.AddrPort{}
			}
			members = append(members, m)
		}
		got := Assign(pools, members)
		places, copies := 0, make(map[string]int)
		for _, a := range got {
			if slices.ContainsFunc(a.Models, func(m string) bool { return m == "y" }) {
				continue
			}
			if pools[0].ModelsPerServer > 0 && len(a.Models) > pools[0].ModelsPerServer || len(slices.Compact(slices.Clone(a.Models))) != len(a.Models) {
				t.Fatal("too many models or duplicates:", a)
			}
			places++
			for _, m := range a.Models {
				copies[m]++
			}
		}
		want := wantedModels(pools[0])
		if pools[0].ModelsPerServer > 0 {
			places *= pools[0].ModelsPerServer
		} else {
			places *= len(want)
		}
		for i, m := range want {
			if i < places && copies[m] == 0 {
				t.Fatal("no server holds", m, got)
			}
		}
		for _, s := range Plan(pools, members, 2) {
			server := netip.AddrPort{}
			switch s := s.(type) {
			case Load:
				server = s.Server
			case Unload:
				server = s.Server
			}
			if !slices.ContainsFunc(members, func(m Member) bool {
				return m.Server == server && !m.Leaving && m.Pool != "stranger" && server.IsValid()
			}) {
				t.Fatal("step for an ineligible server:", server)
			}
		}
		unique := eligible(members)
		slices.Reverse(unique)
		if !slices.EqualFunc(Assign(pools, unique), got, func(a, b Assignment) bool {
			return a.Server == b.Server && slices.Equal(a.Models, b.Models)
		}) {
			t.Fatal("the result depends on the order of members")
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{20, 400, 12000} {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			var models []string
			for i := range 36 {
				models = append(models, fmt.Sprint("m", i, "@1"))
			}
			pools := []Pool{{Name: "p", Models: models, ModelsPerServer: 2}}
			members := fleet(n, "m0@1")
			for b.Loop() {
				Plan(pools, members, 3)
			}
		})
	}
}
