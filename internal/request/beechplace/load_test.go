package beechplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechbackoff"
	"github.com/beechring/beechring/internal/decision/beechsaturation"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// newPlainPlacer returns a placer of one of many gates before plain servers.
func newPlainPlacer(clock clockwork.Clock, gates, servers int) *Placer {
	p := New(Settings{Zone: "a", Gates: gates}, clock, fixedWeights{}, newThrottle(clock), beechsaturation.New(clock, func() {}), beechbackoff.New(clock), func(beechcall.Server, int, []uint64, bool) {})
	var list []beechcall.Server
	for i := range servers {
		list = append(list, beechcall.Server{ID: fmt.Sprintf("s%02d", i), Service: "app", Zone: "a", Slots: 6, Address: address(i)})
	}
	p.SetServers(list)
	return p
}

func plainCall(id string) *beechcall.Call {
	return &beechcall.Call{ID: id, Service: "app", Route: route, Workspace: beechcall.Workspace{Name: "w"}}
}

// Hundreds of gates see all servers idle. With a fixed order all of them would send to the same one.
func TestTiesGoToDifferentServers(t *testing.T) {
	is := is.New(t)
	chosen := map[string]int{}
	for gate := range 360 {
		p := newPlainPlacer(clockwork.NewFakeClock(), 360, 18)
		c, ok := p.Choose(plainCall(fmt.Sprint("request ", gate)), nil)
		is.True(ok)
		chosen[c.Server.ID]++
	}
	is.Equal(len(chosen), 18)
	for _, n := range chosen {
		is.True(n < 3*360/18)
	}
}

// A gate of hundreds has a request of its own at each server but the last, which told a full load a
// moment ago. If its own requests counted as one of each gate, it would send to the full one.
func TestUnknownLoadOfManyGates(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	p := newPlainPlacer(clock, 360, 3)
	for _, s := range p.services["app"] {
		s.inFlight = 1
	}
	full := p.services["app"][2]
	p.MergeLoadReport(LoadReport{Server: hashOf(p, full), Running: 6, Waiting: 20, At: clock.Now()})
	clock.Advance(100 * time.Millisecond)
	c, ok := p.Choose(plainCall("request"), nil)
	is.True(ok)
	is.True(c.Server.ID != full.ID)
}

// Another gate was told the load of a server. This one must use it, and not an older one.
func TestLoadsOfOtherGates(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	first, second := newPlainPlacer(clock, 2, 2), newPlainPlacer(clock, 2, 2)
	call := plainCall("request")
	c, _ := first.Choose(call, nil)
	attempt := first.StartAttempt(call, c)
	attempt.ObserveLoad(beechcall.Load{Known: true, Running: 6, Waiting: 9, Slots: 6})
	attempt.Done(Answered)
	reports := first.TakeLoadReports(10)
	is.Equal(len(reports), 1)
	is.Equal(len(first.TakeLoadReports(10)), 0) // told once
	second.MergeLoadReport(reports[0])
	for n := range 20 {
		other, _ := second.Choose(plainCall(fmt.Sprint("other ", n)), nil)
		is.True(other.Server.ID != c.Server.ID)
	}
	reports[0].At, reports[0].Running, reports[0].Waiting = clock.Now().Add(-time.Second), 0, 0
	second.MergeLoadReport(reports[0])
	is.Equal(second.byID[c.Server.ID].answerLoad.Waiting, 9)
	reports[0].At, reports[0].Running = clock.Now().Add(time.Second), -1
	second.MergeLoadReport(reports[0]) // invalid
	is.Equal(second.byID[c.Server.ID].answerLoad.Waiting, 9)
}

// The speed of all engines that many gates have measured reaches one that has seen no request.
func TestSpeedOfOtherGates(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	p := newPlainPlacer(clock, 360, 1)
	is.Equal(p.PrefillRate(), 0)
	for range 4 {
		p.MergeSpeedReport(SpeedReport{Samples: 90, Rate: 70, Fixed: 20})
	}
	is.True(p.PrefillRate() >= 69 && p.PrefillRate() <= 70)
	p.MergeSpeedReport(SpeedReport{Samples: 90, Rate: 1e9, Fixed: 20})
	p.MergeSpeedReport(SpeedReport{Samples: -1, Rate: 9, Fixed: 20})
	is.True(p.PrefillRate() >= 69 && p.PrefillRate() <= 70)
}

func hashOf(p *Placer, s *server) uint64 {
	for hash, x := range p.byHash {
		if x == s {
			return hash
		}
	}
	return 0
}
