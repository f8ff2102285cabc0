package beechplace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechbackoff"
	"github.com/beechring/beechring/internal/decision/beechsaturation"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// paceFleet simulates gates and engines, some of them slower, in virtual time.
type paceFleet struct {
	clock    *clockwork.FakeClock
	gates    []*Placer
	slowdown map[string]float64 // factor on the time that an engine takes
	random   *rand.Rand
	requests map[string]int // by engine

	running []pendingRequest
}

type pendingRequest struct {
	ticket *Attempt
	until  time.Time
}

func newPaceFleet(gates, engines int, slow func(i int) float64) *paceFleet {
	f := &paceFleet{
		clock: clockwork.NewFakeClock(), slowdown: make(map[string]float64), random: rand.New(rand.NewPCG(1, 2)), requests: make(map[string]int),
	}
	var list []beechcall.Server
	for i := range engines {
		id := fmt.Sprintf("e%02d", i)
		f.slowdown[id] = slow(i)
		list = append(list, beechcall.Server{ID: id, Service: "llm", Zone: "a", Slots: 8, Address: address(i), Weights: map[string]uint64{"m": 1}})
	}
	for range gates {
		p := New(Settings{Zone: "a", Gates: gates}, f.clock, fixedWeights{}, newThrottle(f.clock), beechsaturation.New(f.clock, func() {}), beechbackoff.New(f.clock), func(beechcall.Server, int, []uint64, bool) {})
		p.SetServers(list)
		f.gates = append(f.gates, p)
	}
	return f
}

// run has each gate send fifty requests per second and exchange reports every second.
func (f *paceFleet) run(length time.Duration) {
	const step = 20 * time.Millisecond
	for round := range int(length / step) {
		for i, p := range f.gates {
			f.send(p, fmt.Sprint("own", i, f.clock.Now()))
		}
		f.clock.Advance(step)
		f.completeRequests()
		if round%50 == 49 {
			f.exchangeReports()
		}
	}
}

// send chooses an engine for a request and schedules its response.
func (f *paceFleet) send(p *Placer, subject string) {
	c, ok := p.Choose(newCall(subject, 0, 2000), nil)
	if !ok {
		return
	}
	f.requests[c.Server.ID]++
	queued := f.random.ExpFloat64() * 30 // queue unknown to the gates
	took := (80 + 2000/60. + queued) * f.slowdown[c.Server.ID]
	f.running = append(f.running, pendingRequest{p.StartAttempt(newCall(subject, 0, 2000), c), f.clock.Now().Add(time.Duration(took * float64(time.Millisecond)))})
}

func (f *paceFleet) completeRequests() {
	f.running = slices.DeleteFunc(f.running, func(r pendingRequest) bool {
		if f.clock.Now().Before(r.until) {
			return false
		}
		r.ticket.FirstByte()
		r.ticket.Done(Answered)
		return true
	})
}

func (f *paceFleet) exchangeReports() {
	for i, from := range f.gates {
		for _, s := range from.TakePaceReports(400) {
			for j, to := range f.gates {
				if i != j {
					to.MergePaceReport(s)
				}
			}
		}
	}
}

// A third of the engines take three times as long. All gates must detect this within seconds,
// though each sends few requests to an engine, and send fewer requests to the slow ones.
func TestSlowEnginesGetLessWork(t *testing.T) {
	is := is.New(t)
	f := newPaceFleet(8, 12, func(i int) float64 { return []float64{1, 1, 3}[i%3] })
	f.run(8 * time.Second)
	clear(f.requests)
	f.run(4 * time.Second)
	quick, slow := 0, 0
	for id, n := range f.requests {
		if f.slowdown[id] > 1 {
			slow += n
		} else {
			quick += n
		}
	}
	is.True(float64(slow)/4 < 0.5*float64(quick)/8) // per engine
	for _, p := range f.gates {
		for id, factor := range p.Paces() {
			if f.slowdown[id] == 1 {
				is.Equal(factor, 1.0)
			}
		}
	}
}

// Engines are equally fast, and unknown queues make their response times differ. None may be
// classified as slow.
func TestEqualEnginesGetEqualPace(t *testing.T) {
	is := is.New(t)
	f := newPaceFleet(8, 12, func(int) float64 { return 1 })
	f.run(12 * time.Second)
	for _, factor := range f.gates[0].Paces() {
		is.True(factor > 0.9 && factor < 1.1)
	}
}

// One engine becomes eight times slower and recovers. It must get fewer requests within
// seconds, and be rated like the others again after its recovery.
func TestEngineSlowdownAndRecovery(t *testing.T) {
	is := is.New(t)
	f := newPaceFleet(8, 12, func(int) float64 { return 1 })
	f.run(5 * time.Second)
	before := f.requests["e00"]
	f.slowdown["e00"] = 8
	f.run(5 * time.Second)
	slowed := f.requests["e00"] - before
	is.True(f.gates[1].Paces()["e00"] > 1.2)
	is.True(slowed < before/2)
	f.slowdown["e00"] = 1
	f.run(20 * time.Second)
	is.True(f.gates[1].Paces()["e00"] < 1.1)
}

// Reports of other gates with invalid values or for unknown engines must change nothing.
func TestInvalidPaceReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	f := newPaceFleet(1, 3, func(int) float64 { return 1 })
	p := f.gates[0]
	f.run(time.Second)
	before := p.Paces()
	var known uint64
	for hash := range p.byHash {
		known = hash
	}
	for _, bad := range []PaceReport{
		{known, 0, 1},
		{known, -1, 1},
		{known, maxReportSamples + 1, 1},
		{known, 1, math.NaN()},
		{known, 1, math.Inf(1)},
		{known, 1, 100},
		{known + 1, 1, 1},
	} {
		p.MergePaceReport(bad)
	}
	is.Equal(p.Paces(), before)
}

// One of two engines has a single slow sample. The other must not appear many times as fast, which
// would leave the first without requests.
func TestSingleSlowSampleOfTwoEnginesCountsLittle(t *testing.T) {
	is := is.New(t)
	f := newLimitedPair()
	now := f.clock.Now()
	for range maxPaceSamples {
		f.recordPace(f.byID["e2"], 10, 10, now)
	}
	f.recordPace(f.byID["e1"], 80, 10, now)
	f.updateMedianPace()
	is.Equal(f.Paces(), map[string]float64{"e1": 1, "e2": 1})
}
