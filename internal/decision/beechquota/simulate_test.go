package beechquota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// scene is a deployment's gates in virtual time, and what happens to them.
	scene struct {
		gates   int
		places  int           // gates that the workspace's callers come to
		limit   Limit         // of the workspace
		usual   float64       // tokens a second that it asks for, as a part of the rate
		hot     float64       // times its usual
		from    time.Duration // while it is hot
		until   time.Duration
		sizes   func(r *rand.Rand) float64
		mean    float64 // of the sizes
		bounds  Bounds
		loss    float64
		far     time.Duration // until a word arrives
		events  map[time.Duration]func(s *simulation)
		length  time.Duration
		retries bool          // refused callers come back at their time, once
		meet    time.Duration // that a gate takes from its start until it knows the others
		insist  time.Duration // within this callers that found no gate come back
	}

	// way is how gates divide a limit.
	way int

	arrival struct {
		at    time.Duration
		place int
		size  float64
		back  bool
		first time.Duration // when it came first
	}

	admission struct {
		at   time.Duration
		size float64
	}

	delivery struct {
		at   time.Duration
		to   int
		from int
		word Update
	}

	simulation struct {
		scene
		way     way
		seed    uint64
		demand  *rand.Rand
		network *rand.Rand // apart, so that all ways are asked the same
		clock   *clockwork.FakeClock
		now     time.Duration
		ledgers []*Limiter
		urgent  []bool
		spoken  []time.Duration
		lives   uint64
		dead    []time.Duration // until then
		born    []time.Duration // of those that were started again
		cut     []bool
		words   []delivery
		back    []arrival

		admitted     []admission
		asked, given float64
		bySize       [2][2]float64 // large ones or not: asked, admitted
		bytes        int
		waited       []time.Duration // of callers who came back and were let in
	}

	// outcome is what a simulation came to.
	outcome struct {
		over    float64 // most in a window as a part of what is tolerated
		unowed  float64 // part of what an exact bucket would have let in that was not
		large   float64 // share of the largest tenth that was let in, against all
		until   float64 // seconds from a caller's first request until he is in, of those refused first
		perGate float64 // bytes a second of one gate
	}
)

const (
	counting way = iota
	equalShares
	sharesByUse
	oneOwner
)

const (
	simulationStep = 5 * time.Millisecond
	regular        = 300 * time.Millisecond
	urgentSpace    = 50 * time.Millisecond
)

var testBounds = Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 110000}

// prompts are long and short, as two kinds of request have them.
func prompts(r *rand.Rand) float64 {
	mean := 870.0
	if r.Float64() < 0.24 {
		mean = 9200
	}
	return min(mean*math.Exp(r.NormFloat64()*0.7-0.245), 50000)
}

const promptMean = 0.24*9200 + 0.76*870

func simulate(c scene, w way, seed uint64) *simulation {
	s := &simulation{
		scene: c, way: w, seed: seed, demand: rand.New(rand.NewPCG(seed, 1)), network: rand.New(rand.NewPCG(seed, 2)), clock: clockwork.NewFakeClockAt(time.Unix(1000000, 0)),
		urgent: make([]bool, c.gates), spoken: make([]time.Duration, c.gates), dead: make([]time.Duration, c.gates), cut: make([]bool, c.gates), born: make([]time.Duration, c.gates),
		ledgers: make([]*Limiter, c.gates),
	}
	for i := range s.ledgers {
		s.begin(i)
		s.spoken[i] = -time.Duration(s.network.Float64() * float64(regular))
	}
	for s.now < c.length {
		s.step()
	}
	return s
}

// begin starts a gate with nothing in its memory.
func (s *simulation) begin(i int) {
	s.lives++
	l := New(fmt.Sprintf("gate-%d", i), s.lives, s.bounds, s.clock)
	l.SetLimits(map[string]Limit{"w": s.limit}, nil)
	l.SetGates(s.gates)
	if s.way == oneOwner {
		l.SetGates(1)
	}
	s.ledgers[i] = l
}

func (s *simulation) kill(i int, dark time.Duration) { s.dead[i] = s.now + dark }

func (s *simulation) step() {
	s.now += simulationStep
	s.clock.Advance(simulationStep)
	for at, event := range s.events {
		if at > s.now-simulationStep && at <= s.now {
			event(s)
		}
	}
	for i, until := range s.dead {
		if until != 0 && s.now >= until {
			s.dead[i] = 0
			s.begin(i)
			s.born[i], s.spoken[i] = s.now, s.now+s.meet-regular
		}
	}
	s.ask()
	if s.way == counting || s.way == sharesByUse {
		s.speak()
	}
}

// ask has callers come, new ones and those who were refused.
func (s *simulation) ask() {
	rate := s.usual * s.limit.Rate
	if s.now >= s.from && s.now < s.until {
		rate *= s.hot
	}
	mean := rate / s.mean * simulationStep.Seconds()
	for range poisson(s.demand, mean) {
		// callers are uneven: half of them come to a third of the places
		place := s.demand.IntN(s.places)
		if s.demand.Float64() < 0.5 {
			place = s.demand.IntN(max(s.places/3, 1))
		}
		s.arrive(arrival{at: s.now, place: place, size: s.sizes(s.demand)})
	}
	var later []arrival
	for _, a := range s.back {
		if a.at <= s.now {
			s.arrive(a)
		} else {
			later = append(later, a)
		}
	}
	s.back = later
}

func (s *simulation) arrive(a arrival) {
	i := a.place
	for s.dead[i] != 0 { // the balancer sends callers elsewhere
		i = (i + 1) % s.gates
		if i == a.place {
			if s.insist > 0 {
				a.at = s.now + simulationStep + time.Duration(s.network.Float64()*float64(s.insist))
				s.back = append(s.back, a)
			}
			return
		}
	}
	large := 0
	if a.size > 12000 {
		large = 1
	}
	if !a.back {
		s.asked += a.size
		s.bySize[large][0]++
	}
	switch d := s.ledgers[s.decider(i)].Admit("w", a.size).(type) {
	case Admitted:
		s.admitted = append(s.admitted, admission{s.now, a.size})
		s.given += a.size
		s.bySize[large][1]++
		s.urgent[i] = s.urgent[i] || d.Urgent
		if a.back {
			s.waited = append(s.waited, s.now-a.first)
		}
	case Refused:
		if s.retries && !a.back {
			s.back = append(s.back, arrival{at: s.now + d.After, place: s.network.IntN(s.places), size: a.size, back: true, first: s.now})
		}
	}
}

// decider is who decides on a request that came to a gate.
func (s *simulation) decider(i int) int {
	if s.way != oneOwner || s.cut[i] {
		return i
	}
	for o := range s.ledgers {
		if s.dead[o] == 0 && !s.cut[o] {
			return o
		}
	}
	return i
}

// speak has gates tell one another.
func (s *simulation) speak() {
	for i, l := range s.ledgers {
		since := s.now - s.spoken[i]
		if s.dead[i] != 0 || !s.met(i) || since < urgentSpace || since < regular && !s.urgent[i] {
			continue
		}
		s.urgent[i], s.spoken[i] = false, s.now
		w := l.NextUpdate()
		for to := range s.ledgers {
			if to != i && s.met(to) && !s.cut[i] && !s.cut[to] && s.network.Float64() >= s.loss {
				s.bytes += 20 + 22*len(w.Usages)
				s.words = append(s.words, delivery{s.now + time.Duration(s.network.Float64()*float64(s.far)), to, i, w})
			}
		}
	}
	var later []delivery
	for _, d := range s.words {
		switch {
		case d.at > s.now:
			later = append(later, d)
		case s.dead[d.to] == 0 && !s.cut[d.to]:
			s.hear(s.ledgers[d.to], d.word)
		}
	}
	s.words = later
}

// met tells whether a gate knows the others.
func (s *simulation) met(i int) bool { return s.born[i] == 0 || s.now >= s.born[i]+s.meet }

// hear has a gate take in a word. Shares by use are those of a gate that is alone, which
// it follows all the time.
func (s *simulation) hear(l *Limiter, w Update) {
	l.ApplyUpdate(w)
	if s.way == sharesByUse {
		for _, a := range l.accounts {
			a.part = l.sharedOut(a)
		}
		l.alone = true
	}
}

// most is the most that was admitted in a window, as a part of what is tolerated.
func (s *simulation) most() float64 { return mostOf(s.admitted, s.limit, s.bounds) }

func mostOf(admitted []admission, limit Limit, b Bounds) float64 {
	bound := (limit.Rate*b.Window.Seconds()+limit.Burst)*(1+b.Overage) + b.Slack
	most, sum, first := 0.0, 0.0, 0
	for _, a := range admitted {
		sum += a.size
		for admitted[first].at <= a.at-b.Window {
			sum -= admitted[first].size
			first++
		}
		most = max(most, sum)
	}
	return most / bound
}

// outcome judges what was admitted.
func (s *simulation) outcome() outcome {
	o := outcome{over: s.most(), perGate: float64(s.bytes) / s.length.Seconds() / float64(s.gates)}
	exact := simulate(s.scene.calm(), oneOwner, s.seed)
	o.unowed = max(exact.given-s.given, 0) / exact.given
	all := (s.bySize[0][1] + s.bySize[1][1]) / (s.bySize[0][0] + s.bySize[1][0])
	o.large = s.bySize[1][1] / max(s.bySize[1][0], 1) / all
	for _, w := range s.waited {
		o.until += w.Seconds() / float64(len(s.waited))
	}
	return o
}

// calm is the scene without what befalls gates: one of them decides all.
func (c scene) calm() scene {
	c.events = nil
	c.loss, c.retries = 0, false
	c.gates = 1
	c.places = 1
	return c
}

func poisson(r *rand.Rand, mean float64) int {
	n, p := 0, math.Exp(-mean)
	for x := r.Float64(); x > p; n++ {
		x *= r.Float64()
	}
	return n
}

// each has something befall the gates that a test picks.
func each(picks func(i int) bool, f func(s *simulation, i int)) func(*simulation) {
	return func(s *simulation) {
		for i := range s.gates {
			if picks(i) {
				f(s, i)
			}
		}
	}
}

func everybody(int) bool { return true }

func everySecond(i int) bool { return i%2 == 0 }

func everySixth(i int) bool { return i%6 == 0 }

func killed(s *simulation, i int) { s.kill(i, 800*time.Millisecond) }

func limited(l Limit) func(s *simulation, i int) {
	return func(s *simulation, i int) { s.ledgers[i].SetLimits(map[string]Limit{"w": l}, nil) }
}

func part(l Limit, of float64) Limit { return Limit{Rate: l.Rate * of, Burst: l.Burst * of} }
