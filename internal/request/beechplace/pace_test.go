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

	"github.com/beechring/beechring/internal/decision/beechsaturation"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// paceFleet is some gates before engines of which some are slower, in virtual time.
type paceFleet struct {
	clock  *clockwork.FakeClock
	gates  []*Placer
	slow   map[string]float64 // times as long as the others
	random *rand.Rand
	first  map[string]int // requests by engine

	running []running
}

type running struct {
	ticket *Ticket
	until  time.Time
}

func newPaceFleet(gates, engines int, slow func(i int) float64) *paceFleet {
	f := &paceFleet{
		clock: clockwork.NewFakeClock(), slow: make(map[string]float64), random: rand.New(rand.NewPCG(1, 2)), first: make(map[string]int),
	}
	var list []beechcall.Server
	for i := range engines {
		id := fmt.Sprintf("e%02d", i)
		f.slow[id] = slow(i)
		list = append(list, beechcall.Server{ID: id, Service: "llm", Zone: "a", Slots: 8, Address: address(i), Weights: map[string]uint64{"m": 1}})
	}
	for range gates {
		p := New(Settings{Zone: "a", Fronts: gates}, f.clock, weights{}, throttle(f.clock), beechsaturation.New(f.clock, func() {}), func(beechcall.Server, int, []uint64, bool) {})
		p.SetServers(list)
		f.gates = append(f.gates, p)
	}
	return f
}

// play has each gate send fifty requests a second, and gates tell one another
// each second what they have seen.
func (f *paceFleet) play(length time.Duration) {
	const step = 20 * time.Millisecond
	for round := range int(length / step) {
		for i, p := range f.gates {
			f.send(p, fmt.Sprint("own", i, f.clock.Now()))
		}
		f.clock.Advance(step)
		f.answer()
		if round%50 == 49 {
			f.tell()
		}
	}
}

// send chooses an engine, which answers after a while.
func (f *paceFleet) send(p *Placer, subject string) {
	c, ok := p.Choose(ask(subject, 0, 2000), nil)
	if !ok {
		return
	}
	f.first[c.Server.ID]++
	wait := f.random.ExpFloat64() * 30 // behind what nobody knows of
	took := (80 + 2000/60. + wait) * f.slow[c.Server.ID]
	f.running = append(f.running, running{p.Sent(ask(subject, 0, 2000), c), f.clock.Now().Add(time.Duration(took * float64(time.Millisecond)))})
}

func (f *paceFleet) answer() {
	f.running = slices.DeleteFunc(f.running, func(r running) bool {
		if f.clock.Now().Before(r.until) {
			return false
		}
		r.ticket.Read()
		r.ticket.Done(Answered)
		return true
	})
}

func (f *paceFleet) tell() {
	for i, from := range f.gates {
		for _, s := range from.Seen(400) {
			for j, to := range f.gates {
				if i != j {
					to.HearSeen(s)
				}
			}
		}
	}
}

// A third of the engines take three times as long. All gates find out within some
// seconds, though each sees an engine seldom, and send the slow ones less, so that fewer
// callers wait there.
func TestSlowEnginesAreFoundOut(t *testing.T) {
	is := is.New(t)
	f := newPaceFleet(8, 12, func(i int) float64 { return []float64{1, 1, 3}[i%3] })
	f.play(8 * time.Second)
	clear(f.first)
	f.play(4 * time.Second)
	quick, slow := 0, 0
	for id, n := range f.first {
		if f.slow[id] > 1 {
			slow += n
		} else {
			quick += n
		}
	}
	is.True(float64(slow)/4 < 0.5*float64(quick)/8) // per engine
	for _, p := range f.gates {
		for id, factor := range p.Paces() {
			if f.slow[id] == 1 {
				is.Equal(factor, 1.0)
			}
		}
	}
}

// Engines are alike, and what waits at one or the other makes first words differ. None
// may be taken for slow.
func TestEnginesAlikeStayAlike(t *testing.T) {
	is := is.New(t)
	f := newPaceFleet(8, 12, func(int) float64 { return 1 })
	f.play(12 * time.Second)
	for _, factor := range f.gates[0].Paces() {
		is.True(factor > 0.9 && factor < 1.1)
	}
}

// One engine slows down by eight in the middle of its work and recovers. It gets less to do
// within seconds, and is believed to be like the others again later.
func TestEngineThatSlowsDownAndRecovers(t *testing.T) {
	is := is.New(t)
	f := newPaceFleet(8, 12, func(int) float64 { return 1 })
	f.play(5 * time.Second)
	before := f.first["e00"]
	f.slow["e00"] = 8
	f.play(5 * time.Second)
	slowed := f.first["e00"] - before
	is.True(f.gates[1].Paces()["e00"] > 1.2)
	is.True(slowed < before/2)
	f.slow["e00"] = 1
	f.play(20 * time.Second)
	is.True(f.gates[1].Paces()["e00"] < 1.1)
}

// Another gate's word makes no sense, or is of an engine that is gone.
func TestPacesThatMakeNoSense(t *testing.T) {
	is := is.New(t)
	f := newPaceFleet(1, 3, func(int) float64 { return 1 })
	p := f.gates[0]
	f.play(time.Second)
	before := p.Paces()
	var known uint64
	for hash := range p.byHash {
		known = hash
	}
	for _, bad := range []Seen{
		{known, 0, 1},
		{known, -1, 1},
		{known, seenMost + 1, 1},
		{known, 1, math.NaN()},
		{known, 1, math.Inf(1)},
		{known, 1, 100},
		{known + 1, 1, 1},
	} {
		p.HearSeen(bad)
	}
	is.Equal(p.Paces(), before)
}
