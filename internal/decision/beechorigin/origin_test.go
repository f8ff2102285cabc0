package beechorigin

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var origin = Origin{Service: "llm", Software: "v1"}

func TestOriginIsKeptForTheLifetimeOfStreams(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r := NewRegistry(clock)
	r.SetLifetime(10 * time.Second)
	r.Record("a", origin, Own)
	clock.Advance(9 * time.Second)
	r.Record("a", origin, Told)
	got, ok := r.Find("a")
	is.True(ok)
	is.Equal(got, origin)
	is.Equal(r.Served("llm"), map[Origin][]string{origin: {"a"}})
	clock.Advance(2 * time.Second)
	_, ok = r.Find("a")
	is.True(!ok)
	is.Equal(len(r.Served("")), 0)
}

// Two requests of callers have the same ID.
func TestContradictingOriginsAreUnknown(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(clockwork.NewFakeClock())
	r.Record("a", origin, Own)
	r.Record("a", Origin{Service: "llm", Software: "v2"}, Told)
	r.Record("a", origin, Told)
	got, ok := r.Find("a")
	is.True(ok)
	is.Equal(got.Software, "")
}

func TestRegistryIsBounded(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(clockwork.NewFakeClock())
	for i := range maxEntries + 3*compactAt {
		r.Record(fmt.Sprint(i), origin, Told)
	}
	is.Equal(r.Len(), maxEntries)
	is.True(len(r.order) < 2*maxEntries)
	_, ok := r.Find(fmt.Sprint(maxEntries))
	is.True(ok)
	_, ok = r.Find("0")
	is.True(!ok)
	long := strings.Repeat("x", maxIDBytes+1)
	r.Record(long, origin, Told)
	r.Record("", origin, Told)
	r.Record("n", Origin{Service: "llm", Software: long}, Told)
	is.Equal(r.Len(), maxEntries)
	_, ok = r.Find(long)
	is.True(!ok)
	got, _ := r.Find("n")
	is.Equal(got.Software, "")
}

// The only version is known only while no stream of another one can be left.
func TestOnlyVersion(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	v := NewVersions(clock)
	v.SetLifetime(10 * time.Second)
	only := func() string {
		version, ok := v.Only("llm")
		is.Equal(ok, version != "")
		return version
	}
	is.Equal(only(), "")
	is.Equal(len(v.SetListed(map[string][]string{"llm": {"v1"}})), 0) // the first list says nothing new
	clock.Advance(9 * time.Second)
	is.Equal(only(), "") // it may have had another one before this process started
	clock.Advance(time.Second)
	is.Equal(only(), "v1")
	is.Equal(v.SetListed(map[string][]string{"llm": {"v1", "v2"}, "app": {"v9"}}), []string{"llm"})
	is.Equal(only(), "")
	is.Equal(len(v.SetListed(map[string][]string{"llm": {"v2"}})), 0)
	clock.Advance(9 * time.Second)
	is.Equal(only(), "")
	is.Equal(v.Recent("llm"), []string{"v1", "v2"})
	clock.Advance(time.Second)
	is.Equal(only(), "v2")
	is.True(v.Heard("llm", "v3")) // from a gate whose list is newer
	is.True(!v.Heard("llm", "v3"))
	is.True(!v.Heard("llm", "v2"))
	is.Equal(only(), "")
	is.Equal(len(v.SetListed(map[string][]string{"llm": {"v2", "v3"}})), 0)
	v.SetListed(nil)
	clock.Advance(11 * time.Second)
	is.Equal(only(), "")
	is.True(!v.Heard("unlisted", "v1"))
	v.SetListed(map[string][]string{"llm": {""}})
	clock.Advance(11 * time.Second)
	is.Equal(only(), "") // an entry without a version
}

// Guards against the loss of a version that another gate announces before this one has the service in its list.
func TestVersionHeardOfBeforeItsServiceIsListed(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	v := NewVersions(clock)
	v.SetLifetime(10 * time.Second)
	is.True(!v.Heard("llm", "v2")) // no streams of the service are known here that others should be told of
	v.SetListed(map[string][]string{"llm": {"v1"}})
	is.Equal(v.Recent("llm"), []string{"v1", "v2"})
	clock.Advance(10 * time.Second)
	is.Equal(v.Recent("llm"), []string{"v1"})
}

func drawGates(t *rapid.T) []Gate {
	var gates []Gate
	for n := range rapid.IntRange(0, 60).Draw(t, "gates") {
		gates = append(gates, Gate{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000), Zone: fmt.Sprint("z", rapid.IntRange(0, 4).Draw(t, "zone")),
		})
	}
	return gates
}

// Whoever is asked, gates that keep an origin are among them, in more than one zone if there are
// several.
func TestReplicasAreAsked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gates := drawGates(t)
		id := rapid.StringN(1, 16, 16).Draw(t, "id")
		kept := Replicas(id, gates)
		if len(kept) != min(copies, len(gates)) {
			t.Fatalf("%d replicas of %d gates", len(kept), len(gates))
		}
		asked := Asked(id, "z0", rapid.Permutation(gates).Draw(t, "order"))
		if len(asked) > maxAsked {
			t.Fatalf("%d asked", len(asked))
		}
		for _, g := range kept {
			if !slices.Contains(asked, g) {
				t.Fatalf("%v is not asked", g)
			}
		}
		zones := func(list []Gate) int {
			names := make(map[string]bool)
			for _, g := range list {
				names[g.Zone] = true
			}
			return len(names)
		}
		if zones(gates) > 1 && zones(kept) < 2 {
			t.Fatalf("all replicas in one of %d zones", zones(gates))
		}
	})
}

// A gate is lost: all but its own part of the origins stay where they are.
func TestReplicasChangeLittle(t *testing.T) {
	is := is.New(t)
	var gates []Gate
	for n := range 20 {
		gates = append(gates, Gate{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000), Zone: fmt.Sprint("z", n%4)})
	}
	for n := range 500 {
		id := fmt.Sprint(n)
		before := Replicas(id, gates)
		after := Replicas(id, gates[1:])
		moved := 0
		for _, g := range after {
			if !slices.Contains(before, g) {
				moved++
			}
		}
		is.True(moved <= 1 || slices.Contains(before, gates[0]))
		is.True(moved <= 2)
	}
}

func BenchmarkReplicas(b *testing.B) {
	for _, count := range []int{4, 68, 450} {
		var gates []Gate
		for n := range count {
			gates = append(gates, Gate{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000), Zone: fmt.Sprint("z", n%33)})
		}
		b.Run(fmt.Sprint(count, " gates"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Replicas("9c41d07be2a35f68", gates)
			}
		})
	}
}

// Guards against telling a beginning to a gate that is not asked when another gate takes the stream up.
func TestSurvivorIsAskedByAllGates(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{2, 3, 4, 40} {
		var gates []Gate
		for n := range size {
			gates = append(gates, Gate{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7340), Zone: fmt.Sprint(n % 4)})
		}
		without := func(n int) []Gate { return slices.Delete(slices.Clone(gates), n, n+1) }
		elsewhere, told := 0, 0
		for n := range 300 {
			id := fmt.Sprint("stream-", n)
			began := n % size
			survivor := Survivor(id, gates[began].Zone, without(began))
			is.Equal(len(survivor), 1)
			told++
			if survivor[0].Zone != gates[began].Zone {
				elsewhere++
			}
			for asks := range size {
				if asks != began && gates[asks] != survivor[0] {
					is.True(slices.Contains(Asked(id, "elsewhere", without(asks)), survivor[0]))
				}
			}
		}
		is.True(elsewhere*10 >= told*9)
	}
	is.Equal(len(Survivor("alone", "z", nil)), 0)
}
