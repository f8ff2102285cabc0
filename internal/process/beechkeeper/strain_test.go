package beechkeeper

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechstrain"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// nextStrain returns the next strain, or nil if none arrives.
func (g *gate) nextStrain(wait time.Duration) *beechwire.Strain {
	select {
	case m := <-g.pressure:
		return &m.Strains[0]
	case <-time.After(wait):
		return nil
	}
}

const (
	arrives = 5 * time.Second
	none    = 50 * time.Millisecond // datagrams to this host have arrived by then
)

func strainReport(slowness int, ranks ...beechstrain.RankLoad) Report {
	return Report{Report: beechrollout.Report{Known: true}, CacheTotal: 100_000, Slowness: slowness, Ranks: ranks}
}

// poll makes the keeper read a report after an interval.
func poll(t *testing.T, k *Keeper, reports chan Report, after time.Duration, r Report) {
	k.deps.Clock.(*clockwork.FakeClock).Advance(after)
	reports <- r
	k.pollEngine(t.Context())
}

// The slowness of an engine's host changes many times a second. It is worth something only if
// gates are told at once, and what is told has to be bounded.
func TestChangedSlownessIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	reports := make(chan Report, 1)
	k := newKeeper(t, engine{reports: reports})
	near, far := newGate(t), newGate(t)
	k.receive(near.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: k.settings.Zone}})
	k.receive(far.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: "loft"}})
	ranks := []beechstrain.RankLoad{{Urgency: 3, Running: 9, CacheUsed: 60_000}}
	poll(t, k, reports, 0, strainReport(100, ranks...))
	first := near.nextStrain(arrives)
	is.True(first != nil)
	is.Equal(first.Slow, 100)
	is.Equal(first.Ranks, []beechwire.RankLoad{{Urgency: 3, Run: 9, Used: 60_000}})
	is.True(far.nextStrain(arrives) != nil)

	poll(t, k, reports, urgentInterval/2, strainReport(250, ranks...))
	is.True(near.nextStrain(none) == nil) // too soon after the last
	poll(t, k, reports, urgentInterval/2, strainReport(250, ranks...))
	second := near.nextStrain(arrives)
	is.True(second != nil)
	is.Equal(second.Slow, 250)
	is.True(second.Number > first.Number)
	is.True(far.nextStrain(none) == nil) // bytes between zones are paid for
	poll(t, k, reports, 2*urgentInterval, strainReport(260, ranks...))
	is.True(near.nextStrain(none) == nil) // about the same
	poll(t, k, reports, urgentInterval, strainReport(100, ranks...))
	is.True(far.nextStrain(arrives) != nil)
}

// What an engine runs changes with each request; gates are told of what matters for a choice.
func TestNotableRanksAreReported(t *testing.T) {
	is := is.New(t)
	reports := make(chan Report, 1)
	k := newKeeper(t, engine{reports: reports})
	g := newGate(t)
	k.receive(g.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: k.settings.Zone}})
	poll(t, k, reports, 0, strainReport(100))
	is.True(g.nextStrain(arrives) != nil)
	poll(t, k, reports, ranksInterval, strainReport(100, beechstrain.RankLoad{Urgency: 5, Running: 1, CacheUsed: 900}))
	is.True(g.nextStrain(none) == nil)
	poll(t, k, reports, ranksInterval, strainReport(100, beechstrain.RankLoad{Urgency: 5, Running: 2, CacheUsed: 9000}))
	is.True(g.nextStrain(arrives) != nil)
}

// A message is lost, or a gate has started since: the strain is repeated.
func TestUnchangedStrainIsRepeated(t *testing.T) {
	is := is.New(t)
	reports := make(chan Report, 1)
	k := newKeeper(t, engine{reports: reports})
	g := newGate(t)
	k.receive(g.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: k.settings.Zone}})
	for range 2 {
		poll(t, k, reports, strainInterval, strainReport(100))
		is.True(g.nextStrain(arrives) != nil)
	}
	newcomer := newGate(t)
	k.receive(newcomer.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: k.settings.Zone}})
	is.True(newcomer.nextStrain(arrives) != nil)
}

// Engines of which the host's slowness is not known are served as before: nothing is said of
// them, whatever they run.
func TestNoStrainWithoutSlowness(t *testing.T) {
	is := is.New(t)
	reports := make(chan Report, 1)
	k := newKeeper(t, engine{reports: reports})
	g := newGate(t)
	k.receive(g.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: k.settings.Zone}})
	for range 3 {
		poll(t, k, reports, strainInterval, strainReport(0, beechstrain.RankLoad{Urgency: 3, Running: 9, CacheUsed: 60_000}, beechstrain.RankLoad{Urgency: 5, Running: 9}))
	}
	is.True(g.nextStrain(none) == nil)
}

// Callers compete for room at engines whose hosts tell nothing. Gates announce what they send, and
// the keeper tells all gates how urgent the requests are that wait.
func TestQueueIsReportedByUrgency(t *testing.T) {
	is := is.New(t)
	reports := make(chan Report, 1)
	k := newKeeper(t, engine{reports: reports})
	k.deps.ReportUrgencies = true
	g := newGate(t)
	k.receive(g.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: k.settings.Zone}})
	poll(t, k, reports, 0, strainReport(0))
	is.True(g.nextStrain(arrives) != nil)
	for _, urgency := range []int{0, 5, 5, 5, 5} {
		message := &beechwire.Pressure{Strains: []beechwire.Strain{{Ranks: []beechwire.RankLoad{{Urgency: urgency, Wait: 1, Read: 600}}}}}
		k.receive(g.Address(), beechdatagram.Pressure{Pressure: message})
	}
	r := strainReport(0, beechstrain.RankLoad{Urgency: 5, Running: 9, CacheUsed: 9000})
	r.Running, r.Waiting = 10, 4
	poll(t, k, reports, urgentInterval, r)
	strain := g.nextStrain(arrives)
	is.True(strain != nil)
	is.Equal(strain.Ranks, []beechwire.RankLoad{{Urgency: 5, Run: 9, Used: 9000, Wait: 4, Read: 2400}})
	is.Equal(strain.Read, 600) // the urgent one was admitted and is being prefilled

	k.engineRestarted(Report{})
	poll(t, k, reports, strainInterval, strainReport(0))
	strain = g.nextStrain(arrives)
	is.True(strain != nil)
	is.Equal(len(strain.Ranks), 0)
}

// An engine does not answer its keeper: what was last known of it is not told as news.
func TestNoStrainOfSilentEngine(t *testing.T) {
	is := is.New(t)
	reports := make(chan Report, 1)
	k := newKeeper(t, engine{reports: reports})
	g := newGate(t)
	k.receive(g.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: k.settings.Zone}})
	poll(t, k, reports, 0, strainReport(250))
	is.True(g.nextStrain(arrives) != nil)
	k.deps.Clock.(*clockwork.FakeClock).Advance(2 * strainInterval)
	k.pollEngine(t.Context())
	is.True(g.nextStrain(none) == nil)
}
