package beechgossip

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type (
	// fleet is a set of groups that exchange messages in virtual time.
	fleet struct {
		clock   *clockwork.FakeClock
		random  *rand.Rand
		nodes   map[netip.AddrPort]*node
		queue   []delivery
		loss    float64
		sent    int
		largest int // members in one message
	}

	node struct {
		*Group
		up     bool
		frozen bool
		cut    bool
	}

	delivery struct {
		from, to netip.AddrPort
		message  Message
		at       time.Time
	}
)

const step = 10 * time.Millisecond

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 7340)
}

func newFleet(seed uint64) *fleet {
	return &fleet{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[netip.AddrPort]*node)}
}

// start starts or restarts a node with the given seeds.
func (f *fleet) start(n int, seeds ...int) *node {
	var list []netip.AddrPort
	for _, s := range seeds {
		list = append(list, address(s))
	}
	a := address(n)
	f.nodes[a] = &node{Group: New(Member{Address: a, Zone: fmt.Sprint("zone-", n%6), Capacity: 144 + 656*(n%6/5)}, list, DefaultSettings, f.clock, rand.NewPCG(uint64(n), f.random.Uint64())), up: true}
	return f.nodes[a]
}

func (f *fleet) send(from netip.AddrPort, sends []Send) {
	for _, s := range sends {
		f.sent++
		f.largest = max(f.largest, len(members(s.Message)))
		if f.random.Float64() >= f.loss {
			f.queue = append(f.queue, delivery{from, s.To, s.Message, f.clock.Now().Add(time.Duration(1+f.random.IntN(4)) * time.Millisecond)})
		}
	}
}

// run lets the given time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end); f.clock.Advance(step) {
		queue := f.queue
		f.queue = nil
		for _, x := range queue {
			from, to := f.nodes[x.from], f.nodes[x.to]
			switch {
			case to == nil || !to.up || to.cut || (from != nil && from.cut):
			case to.frozen:
				f.queue = append(f.queue, x)
			default:
				f.send(x.to, to.Receive(x.from, x.message))
			}
		}
		if f.clock.Now().UnixMilli()%TickInterval.Milliseconds() < step.Milliseconds() {
			for n := range f.nodes {
				if x := f.nodes[n]; x.up && !x.frozen {
					f.send(n, x.Tick())
				}
			}
		}
	}
}

// agree reports whether all running nodes hold exactly the running nodes.
func (f *fleet) agree() bool {
	up := 0
	for _, x := range f.nodes {
		if x.up {
			up++
		}
	}
	for _, x := range f.nodes {
		if !x.up {
			continue
		}
		if len(x.Members()) != up {
			return false
		}
		for _, m := range x.Members() {
			if !f.nodes[m.Address].up {
				return false
			}
		}
	}
	return true
}

func (f *fleet) until(t *testing.T, what string, limit time.Duration, holds func() bool) time.Duration {
	t.Helper()
	began := f.clock.Now()
	for !holds() {
		if f.clock.Since(began) > limit {
			t.Fatalf("not within %s: %s", limit, what)
		}
		f.run(step)
	}
	return f.clock.Since(began)
}

// All gates are killed and start again within a moment, each with three seeds of which one
// is down. Until they know one another, each reads the store for itself.
func TestAllStartAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for n := 1; n <= 120; n++ {
		f.start(n, 1, 2, 999)
	}
	took := f.until(t, "all know all", 3*time.Second, f.agree)
	t.Logf("all know all after %s and %d messages, of up to %d members", took, f.sent, f.largest)
	is.True(took < 2*time.Second)
	before := f.sent
	f.run(5 * time.Second)
	perSecond := float64(f.sent-before) / 5 / 120
	t.Logf("%.1f messages a second and member", perSecond)
	is.True(perSecond < 10) // does not grow with the number of members
}

// A member dies without a word. All others must notice, and none may be declared dead with it.
func TestDeathIsNoticedByAll(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for n := 1; n <= 60; n++ {
		f.start(n, 1, 2, 3)
	}
	f.until(t, "all know all", 3*time.Second, f.agree)
	f.nodes[address(7)].up = false
	took := f.until(t, "the dead member is gone everywhere", 8*time.Second, f.agree)
	t.Logf("noticed after %s", took)
	for _, x := range f.nodes {
		is.True(x.Counts().Refuted <= 1)
	}
}

// A process that ends tells the others, so that they do not wait for its answers.
func TestLeavingIsNoticedAtOnce(t *testing.T) {
	f := newFleet(3)
	for n := 1; n <= 60; n++ {
		f.start(n, 1, 2, 3)
	}
	f.until(t, "all know all", 3*time.Second, f.agree)
	leaving := f.nodes[address(9)]
	f.send(address(9), leaving.Leave())
	f.run(TickInterval)
	leaving.up = false
	f.until(t, "the member that left is gone everywhere", 1500*time.Millisecond, f.agree)
}

// A process is killed and starts again at its address before anybody has noticed. A message
// about its predecessor must not remove it.
func TestRestartReplacesPredecessor(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for n := 1; n <= 20; n++ {
		f.start(n, 1, 2, 3)
	}
	f.until(t, "all know all", 3*time.Second, f.agree)
	old := f.nodes[address(5)].Members()
	f.nodes[address(5)].up = false
	f.run(700 * time.Millisecond)
	f.start(5, 1, 2, 3)
	f.until(t, "all know the new process", 3*time.Second, f.agree)
	for _, m := range old {
		if m.Address == address(5) {
			m.Status = Dead
			f.send(address(1), []Send{{address(2), Changes{Members: []Member{m}}}})
		}
	}
	f.run(3 * time.Second)
	is.True(f.agree())
}

// A host is replaced by one at the same address whose clock is behind. It must not be taken
// for its dead predecessor for good.
func TestPredecessorWithClockAhead(t *testing.T) {
	f := newFleet(5)
	for n := 1; n <= 10; n++ {
		f.start(n, 1, 2, 3)
	}
	f.until(t, "all know all", 3*time.Second, f.agree)
	ahead := Member{Address: address(4), Zone: "zone-4", Incarnation: uint64(f.clock.Now().Add(time.Minute).UnixMilli()), Status: Dead}
	f.send(address(1), []Send{{address(2), Changes{Members: []Member{ahead}}}, {address(3), Changes{Members: []Member{ahead}}}})
	f.run(200 * time.Millisecond)
	f.until(t, "the member is back everywhere", 5*time.Second, f.agree)
}

// A process is suspended for longer than the others wait. It must be accepted again when it
// resumes, and must not declare the others dead because of the time that it has lost.
func TestSuspendedProcessReturns(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	for n := 1; n <= 20; n++ {
		f.start(n, 1, 2, 3)
	}
	f.until(t, "all know all", 3*time.Second, f.agree)
	x := f.nodes[address(8)]
	x.frozen = true
	f.run(6 * time.Second)
	is.True(!f.nodes[address(1)].Contains(address(8)))
	x.frozen = false
	f.until(t, "it is back everywhere", 5*time.Second, f.agree)
	is.Equal(x.Counts().Died, 0)
}

// A part of the fleet is cut off for half a minute. Both sides must find each other again,
// without a seed on the side that is cut off.
func TestPartitionHeals(t *testing.T) {
	f := newFleet(7)
	for n := 1; n <= 20; n++ {
		f.start(n, 1, 2, 3)
	}
	f.until(t, "all know all", 3*time.Second, f.agree)
	for n := 15; n <= 20; n++ {
		f.nodes[address(n)].cut = true
	}
	f.run(30 * time.Second)
	for n := 15; n <= 20; n++ {
		f.nodes[address(n)].cut = false
	}
	f.until(t, "all know all again", 15*time.Second, f.agree)
}

// A tenth of all datagrams is lost. Nobody may be declared dead for it for long, and lists
// must agree in the end.
func TestLossyNetwork(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	f.loss = 0.1
	for n := 1; n <= 40; n++ {
		f.start(n, 1, 2, 3)
	}
	f.until(t, "all know all", 8*time.Second, f.agree)
	f.run(20 * time.Second)
	died := 0
	for _, x := range f.nodes {
		died += x.Counts().Died
	}
	is.Equal(died, 0)
}

// A datagram names members that do not exist, with values that no member sends. They must not
// fill the memory, and no real member may be lost by them for good.
func TestForgedMembers(t *testing.T) {
	is := is.New(t)
	f := newFleet(9)
	for n := 1; n <= 6; n++ {
		f.start(n, 1)
	}
	f.until(t, "all know all", 3*time.Second, f.agree)
	victim := f.nodes[address(2)]
	forged := []Member{
		{},
		{Address: netip.AddrPortFrom(netip.IPv4Unspecified(), 7)},
		{Address: netip.MustParseAddrPort("224.0.0.1:7"), Incarnation: 1},
		{Address: address(3), Incarnation: math.MaxUint64, Status: Dead},
		{Address: address(3), Incarnation: 1, Status: 9},
	}
	victim.Receive(address(66), Changes{Members: forged})
	is.Equal(victim.Counts().Rejected, len(forged))
	is.True(victim.Contains(address(3)))
	for n := range maxMembers/maxListed + 2 {
		list := List{}
		for i := range maxListed {
			list.Members = append(list.Members, Member{Address: address(100000 + n*maxListed + i), Incarnation: 1})
		}
		victim.Receive(address(66), list)
	}
	is.True(len(victim.Members()) <= maxMembers+1)
}

// A process starts a moment before its seeds. If it took all duties meanwhile, each process of a
// fleet that starts would read the store for itself.
func TestStartBeforeSeeds(t *testing.T) {
	is := is.New(t)
	f := newFleet(11)
	early := f.start(5, 1, 2)
	f.run(100 * time.Millisecond)
	is.True(!early.Joined())
	f.start(1, 1, 2)
	f.run(120 * time.Millisecond)
	is.True(early.Joined())
	is.Equal(len(early.Members()), 2)
	f.run(300 * time.Millisecond)
	is.True(early.Settled())
	is.Equal(len(early.Members()), 2)
	alone := f.start(6, 99)
	f.run(time.Second)
	is.True(alone.Joined() && alone.Settled()) // no seed has ever answered
}

// Seeds are stale. An address learned elsewhere must be enough to join.
func TestJoinByAddressFromElsewhere(t *testing.T) {
	f := newFleet(10)
	f.start(1, 99)
	f.start(2, 98)
	f.run(2 * time.Second)
	f.nodes[address(2)].Receive(address(77), List{Members: []Member{{Address: address(1)}}})
	f.until(t, "both know each other", 3*time.Second, f.agree)
}

// Duties move only as far as members come and go: a reader that changed with each member
// would read the store anew each time.
func TestDutiesMoveLittle(t *testing.T) {
	is := is.New(t)
	var all []Member
	for n := 1; n <= 60; n++ {
		all = append(all, Member{Address: address(n), Zone: "a", Capacity: 144 + 656*(n%6/5)})
	}
	first := Choose(all, "read", 2)
	for _, a := range first {
		for _, m := range all {
			if m.Address == a {
				is.Equal(m.Capacity, 800) // a weak host gets no duty beside strong ones
			}
		}
	}
	var others []Member
	for _, m := range all {
		if m.Address != first[0] {
			others = append(others, m)
		}
	}
	is.Equal(Choose(others, "read", 1)[0], first[1])
	is.Equal(len(Choose(nil, "read", 2)), 0)
}

// The only gate of a zone dies, or is the only one. The engines of that zone must still be
// reported by two.
func TestZoneWithoutGatesIsCollected(t *testing.T) {
	is := is.New(t)
	const members = maxDirectMembers + 4
	var all []Member
	for n := 1; n <= members; n++ {
		all = append(all, Member{Address: address(n), Zone: fmt.Sprint("zone-", min(n, 3))})
	}
	engines := map[string]int{"zone-1": 5, "zone-3": 5, "zone-9": 5}
	collecting := map[string]int{}
	for n := 1; n <= members; n++ {
		d := Assign(all, address(n), fmt.Sprint("zone-", min(n, 3)), engines)
		_, collects := d.Collects["zone-1"]
		is.True(n != 1 || collects)
		for zone := range d.Collects {
			collecting[zone]++
		}
	}
	is.Equal(collecting, map[string]int{"zone-1": 2, "zone-3": 2, "zone-9": 2})
}

// A fleet of a few gates: each follows all keepers itself.
func TestFewMembersFollowDirectly(t *testing.T) {
	is := is.New(t)
	var all []Member
	for n := 1; n <= maxDirectMembers+1; n++ {
		all = append(all, Member{Address: address(n), Zone: "a"})
	}
	engines := map[string]int{"a": 5}
	is.True(Assign(all[:maxDirectMembers], address(1), "a", engines).Direct)
	is.True(!Assign(all, address(1), "a", engines).Direct)
}

// A change of the store must reach each member by one step to its zone and one within it.
func TestAudiencesReachAll(t *testing.T) {
	is := is.New(t)
	var all []Member
	for n := 1; n <= 60; n++ {
		all = append(all, Member{Address: address(n), Zone: fmt.Sprint("zone-", n%6)})
	}
	reached := map[netip.AddrPort]bool{}
	sends := 0
	for n := 1; n <= 60; n++ {
		audience := Assign(all, address(n), fmt.Sprint("zone-", n%6), nil).Dependents()
		sends += len(audience)
		for _, a := range audience {
			reached[a] = true
		}
	}
	is.Equal(len(reached), 60) // the first reader too, by its standby
	is.True(sends <= 2*60)
}

// Members hold different lists while processes start and stop. At least one must take itself for
// the first reader, or none reads early.
func TestDifferentListsHaveAReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "members")
		readers := 0
		for i := range n {
			list := []Member{{Address: address(i + 1)}}
			for j := range n {
				if j != i && rapid.Bool().Draw(t, "knows") {
					list = append(list, Member{Address: address(j + 1)})
				}
			}
			if Assign(list, address(i+1), "", nil).Readers[0] == address(i+1) {
				readers++
			}
		}
		if readers == 0 {
			t.Fatal("no member takes itself for the first reader")
		}
	})
}

// Whatever order deaths, restarts, cuts and losses come in, all lists agree once they end.
func TestListsAgreeAfterAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"))
		count := rapid.IntRange(2, 12).Draw(t, "members")
		for n := 1; n <= count; n++ {
			f.start(n, 1, 2)
		}
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			x := f.nodes[address(rapid.IntRange(1, count).Draw(t, "which"))]
			switch rapid.SampledFrom([]string{"kill", "freeze", "cut", "lose", "restart"}).Draw(t, "fault") {
			case "kill":
				x.up = false
			case "freeze":
				x.frozen = true
			case "cut":
				x.cut = true
			case "lose":
				f.loss = 0.3
			case "restart":
				f.start(rapid.IntRange(1, count).Draw(t, "restarted"), 1, 2)
			}
			f.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "tenths")) * 100 * time.Millisecond)
		}
		f.loss = 0
		for n := 1; n <= count; n++ {
			x := f.nodes[address(n)]
			x.frozen, x.cut = false, false
			if !x.up {
				f.start(n, 1, 2)
			}
		}
		for range 80 {
			if f.agree() {
				return
			}
			f.run(500 * time.Millisecond)
		}
		for a, x := range f.nodes {
			t.Logf("%s holds %d of %d, %+v", a, len(x.Members()), count, x.Counts())
		}
		t.Fatal("lists do not agree after 40 s")
	})
}

// Members are suspended for a second or so and go on, alone or a third of them at once. None may be
// taken for dead: its duties would move to others and back.
func TestSilentMembersStayMembers(t *testing.T) {
	for _, members := range []int{3, 8, 40} {
		for _, silent := range []int{1, members / 3} {
			for offset := time.Duration(0); offset < DefaultSettings.ProbeInterval; offset += 100 * time.Millisecond {
				t.Run(fmt.Sprint(silent, " of ", members, " after ", offset), func(t *testing.T) {
					is := is.New(t)
					f := newFleet(uint64(members))
					for n := 1; n <= members; n++ {
						f.start(n, 1, 2)
					}
					f.until(t, "all are known", 10*time.Second, f.agree)
					f.run(5*time.Second + offset)
					for n := 1; n <= silent; n++ {
						f.nodes[address(n)].frozen = true
					}
					f.run(1200 * time.Millisecond)
					is.True(f.agree())
					for n := 1; n <= silent; n++ {
						f.nodes[address(n)].frozen = false
					}
					f.run(3 * time.Second)
					is.True(f.agree())
					for _, x := range f.nodes {
						is.Equal(x.Counts().Died, 0)
					}
				})
			}
		}
	}
}
