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

// loadTicks is how long a load takes in the played fleet.
const loadTicks = 5

// TestMain gives the random tests the same seed each time; -rapid.seed tries
// others.
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

func fleet(n int, held ...string) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{Server: address(i), Pool: "p", Loaded: slices.Clone(held)})
	}
	return out
}

// play carries out a plan step by step until nothing is left to do.
type play struct {
	members []Member
	left    map[netip.AddrPort]int // ticks of a load
	most    int                    // loading at once
	least   int                    // servers of the first model, any version
	room    int                    // most models held by one server
	ticks   int
}

func (p *play) run(t *testing.T, pools []Pool, maxLoads int) {
	t.Helper()
	p.left = make(map[netip.AddrPort]int)
	p.least = len(p.members)
	for p.ticks = 0; p.ticks < 1000; p.ticks++ {
		plan := Plan(pools, p.members, maxLoads)
		if len(plan) == 0 && !slices.ContainsFunc(p.members, func(m Member) bool { return m.Loading != "" }) {
			return
		}
		busy := 0
		for i := range p.members {
			m := &p.members[i]
			p.work(m)
			if s, ok := NextStep(plan, m.Server); ok && m.Loading == "" {
				p.order(m, s)
			}
			if m.Loading != "" {
				busy++
			}
			p.room = max(p.room, len(m.Loaded))
		}
		p.most = max(p.most, busy)
		p.least = min(p.least, p.serving(name(pools[0].Models[0])))
	}
	t.Fatal("never done", p.members)
}

func (p *play) work(m *Member) {
	if m.Loading == "" {
		return
	}
	p.left[m.Server]--
	if p.left[m.Server] == 0 {
		m.Loaded = append(m.Loaded, m.Loading)
		m.Loading = ""
	}
}

func (p *play) order(m *Member, s Step) {
	switch s := s.(type) {
	case Load:
		m.Loading = s.Model
		p.left[m.Server] = loadTicks
	case Unload:
		m.Loaded = slices.DeleteFunc(m.Loaded, func(o string) bool { return o == s.Model })
	}
}

func (p *play) serving(model string) int {
	n := 0
	for _, m := range p.members {
		if slices.ContainsFunc(m.Loaded, func(o string) bool { return name(o) == model }) {
			n++
		}
	}
	return n
}

// A new version is shipped to twenty servers of which three may load at once. If
// the old one were dropped first, or everywhere at once, callers would find no server,
// or one for all.
func TestVersionChangeKeepsServing(t *testing.T) {
	for _, c := range []struct {
		name           string
		servers, room  int
		least, highest int
	}{
		{"twenty servers", 20, 0, 20, 2},
		{"no room for two versions", 20, 1, 17, 1},
		{"one server", 1, 0, 1, 2},
		{"one server without room", 1, 1, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := play{members: fleet(c.servers, "m@1")}
			p.run(t, []Pool{{Name: "p", Models: []string{"m@2"}, MaxModels: c.room}}, 3)
			t.Logf("done in %d ticks, serving at least %d, loading at most %d, models held at most %d", p.ticks, p.least, p.most, p.room)
			for _, m := range p.members {
				is.Equal(m.Loaded, []string{"m@2"})
			}
			is.Equal(p.least, c.least)
			is.True(p.most <= 3)
			is.Equal(p.room, c.highest)
		})
	}
}

// Hosts are replaced every day. When one of twenty goes, only the copies that it
// held, and few others, should be loaded again somewhere.
func TestFewCopiesMove(t *testing.T) {
	is := is.New(t)
	pool := []Pool{{Name: "p", Models: []string{"a@1", "b@1", "c@1", "d@1", "e@1", "f@1"}, ModelsPerServer: 2}}
	moved, loads := 0, 0
	for gone := range 20 {
		before := Assign(pool, fleet(20))
		after := Assign(pool, slices.Delete(fleet(20), gone, gone+1))
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
	t.Logf("%.1f of %d copies are loaded anew when one of 20 servers goes", float64(moved)/20, loads/20)
	is.True(moved <= 20*3)
	p := play{members: fleet(20)}
	p.run(t, pool, 3)
	p.run(t, []Pool{{Name: "p", Models: []string{"a@2", "b@1", "c@1", "d@1", "e@1", "f@1"}, ModelsPerServer: 2}}, 3)
	is.Equal(p.serving("a"), 7) // 40 places for 6 models
	is.True(p.least >= 7)
}

// The first steps after a restart of everything go to models that nobody
// serves, and what is not wanted is dropped last.
func TestUrgentModelsFirst(t *testing.T) {
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
	is.Equal(len(plan), 3) // no load: one is under way; no order to the leaving one
}

// Any configuration and any list of members, with doubles, strangers and no
// address, gives every agent the same answer: no server has more than it may
// hold, no model is left without a server while there are places, and no step
// goes to a server that is leaving or unknown.
func TestAnyFleet(t *testing.T) {
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
				t.Fatal("holds too many", a)
			}
			places++
			for _, m := range a.Models {
				copies[m]++
			}
		}
		want := wanted(pools[0])
		if pools[0].ModelsPerServer > 0 {
			places *= pools[0].ModelsPerServer
		} else {
			places *= len(want)
		}
		for i, m := range want {
			if i < places && copies[m] == 0 {
				t.Fatal("nobody holds", m, got)
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
				t.Fatal("order to", server)
			}
		}
		unique := live(members)
		slices.Reverse(unique)
		if !slices.EqualFunc(Assign(pools, unique), got, func(a, b Assignment) bool {
			return a.Server == b.Server && slices.Equal(a.Models, b.Models)
		}) {
			t.Fatal("the order of members matters")
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
