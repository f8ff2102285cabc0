package beechquota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// scenario describes a deployment's gates in virtual time, the load and the faults.
	scenario struct {
		gates         int
		callerGates   int     // number of gates that the workspace's callers use
		limit         Limit   // of the workspace
		baseLoad      float64 // tokens requested per second, relative to the limit's rate
		loadFactor    float64 // multiplies baseLoad from loadStart until loadEnd
		loadStart     time.Duration
		loadEnd       time.Duration
		drawSize      func(r *rand.Rand) float64
		meanSize      float64 // mean of drawSize
		bounds        Bounds
		loss          float64       // fraction of the updates that are lost
		maxDelay      time.Duration // of an update
		events        map[time.Duration]func(s *simulation)
		length        time.Duration
		retries       bool          // refused callers retry once, at the time they were told
		discoveryTime time.Duration // from a gate's restart until it exchanges updates with the others
		retryWithin   time.Duration // callers that reach no gate retry within this time; 0 means never
	}

	// strategy is a way to divide a limit between gates.
	strategy int

	arrival struct {
		at      time.Duration
		gate    int
		size    float64
		retry   bool
		firstAt time.Duration // when it was first refused
	}

	admission struct {
		at   time.Duration
		size float64
	}

	delivery struct {
		at     time.Duration
		to     int
		from   int
		update Update
	}

	simulation struct {
		scenario
		strategy    strategy
		seed        uint64
		demand      *rand.Rand
		network     *rand.Rand // separate from demand, so that all strategies get the same demand
		clock       *clockwork.FakeClock
		now         time.Duration
		limiters    []*Limiter
		urgent      []bool
		lastUpdate  []time.Duration
		lifetimes   uint64
		deadUntil   []time.Duration // when a killed gate restarts; 0 while it runs
		restartedAt []time.Duration // 0 for gates that have not been restarted
		partitioned []bool
		deliveries  []delivery
		retryQueue  []arrival

		admitted                []admission
		askedSize, admittedSize float64
		bySize                  [2][2]float64 // numbers of small and large requests: requested, admitted
		bytes                   int
		retryDelays             []time.Duration // of callers that were refused first and then admitted
	}

	// outcome is the result of a simulation.
	outcome struct {
		peak           float64 // highest usage in a window, relative to the bound
		wronglyRefused float64 // refused part of what an exact bucket would have admitted
		largeRatio     float64 // admitted part of the large requests, relative to that of all requests
		retryDelay     float64 // mean seconds until admission, of callers that were refused first
		bytesPerGate   float64 // bytes of updates per second and gate
	}
)

const (
	sharedCounting strategy = iota
	equalShares
	usageShares
	oneOwner
)

const (
	simulationStep  = 5 * time.Millisecond
	regularInterval = 300 * time.Millisecond
	urgentInterval  = 50 * time.Millisecond
)

var testBounds = Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 110000}

// promptSize draws sizes of two kinds of prompts, long and short ones.
func promptSize(r *rand.Rand) float64 {
	mean := 870.0
	if r.Float64() < 0.24 {
		mean = 9200
	}
	return min(mean*math.Exp(r.NormFloat64()*0.7-0.245), 50000)
}

const meanPromptSize = 0.24*9200 + 0.76*870

func simulate(c scenario, st strategy, seed uint64) *simulation {
	s := &simulation{
		scenario: c, strategy: st, seed: seed, demand: rand.New(rand.NewPCG(seed, 1)), network: rand.New(rand.NewPCG(seed, 2)), clock: clockwork.NewFakeClockAt(time.Unix(1000000, 0)),
		urgent: make([]bool, c.gates), lastUpdate: make([]time.Duration, c.gates), deadUntil: make([]time.Duration, c.gates), partitioned: make([]bool, c.gates), restartedAt: make([]time.Duration, c.gates),
		limiters: make([]*Limiter, c.gates),
	}
	for i := range s.limiters {
		s.start(i)
		s.lastUpdate[i] = -time.Duration(s.network.Float64() * float64(regularInterval))
	}
	for s.now < c.length {
		s.step()
	}
	return s
}

// start starts a gate without any state.
func (s *simulation) start(i int) {
	s.lifetimes++
	l := New(fmt.Sprintf("gate-%d", i), s.lifetimes, s.bounds, s.clock)
	l.SetLimits(map[string]Limit{"w": s.limit}, nil)
	l.SetGates(s.gates)
	if s.strategy == oneOwner {
		l.SetGates(1)
	}
	s.limiters[i] = l
}

func (s *simulation) kill(i int, downtime time.Duration) { s.deadUntil[i] = s.now + downtime }

func (s *simulation) step() {
	s.now += simulationStep
	s.clock.Advance(simulationStep)
	for at, event := range s.events {
		if at > s.now-simulationStep && at <= s.now {
			event(s)
		}
	}
	for i, until := range s.deadUntil {
		if until != 0 && s.now >= until {
			s.deadUntil[i] = 0
			s.start(i)
			s.restartedAt[i], s.lastUpdate[i] = s.now, s.now+s.discoveryTime-regularInterval
		}
	}
	s.generateRequests()
	if s.strategy == sharedCounting || s.strategy == usageShares {
		s.exchangeUpdates()
	}
}

// generateRequests handles new requests and the retries that are due.
func (s *simulation) generateRequests() {
	rate := s.baseLoad * s.limit.Rate
	if s.now >= s.loadStart && s.now < s.loadEnd {
		rate *= s.loadFactor
	}
	mean := rate / s.meanSize * simulationStep.Seconds()
	for range poisson(s.demand, mean) {
		// callers are uneven: half of them use a third of the gates
		gate := s.demand.IntN(s.callerGates)
		if s.demand.Float64() < 0.5 {
			gate = s.demand.IntN(max(s.callerGates/3, 1))
		}
		s.handle(arrival{at: s.now, gate: gate, size: s.drawSize(s.demand)})
	}
	var later []arrival
	for _, a := range s.retryQueue {
		if a.at <= s.now {
			s.handle(a)
		} else {
			later = append(later, a)
		}
	}
	s.retryQueue = later
}

func (s *simulation) handle(a arrival) {
	i := a.gate
	for s.deadUntil[i] != 0 { // the load balancer sends callers to another gate
		i = (i + 1) % s.gates
		if i == a.gate {
			if s.retryWithin > 0 {
				a.at = s.now + simulationStep + time.Duration(s.network.Float64()*float64(s.retryWithin))
				s.retryQueue = append(s.retryQueue, a)
			}
			return
		}
	}
	large := 0
	if a.size > 12000 {
		large = 1
	}
	if !a.retry {
		s.askedSize += a.size
		s.bySize[large][0]++
	}
	switch d := s.limiters[s.decider(i)].Admit("w", a.size).(type) {
	case Admitted:
		s.admitted = append(s.admitted, admission{s.now, a.size})
		s.admittedSize += a.size
		s.bySize[large][1]++
		s.urgent[i] = s.urgent[i] || d.Urgent
		if a.retry {
			s.retryDelays = append(s.retryDelays, s.now-a.firstAt)
		}
	case Refused:
		if s.retries && !a.retry {
			s.retryQueue = append(s.retryQueue, arrival{at: s.now + d.After, gate: s.network.IntN(s.callerGates), size: a.size, retry: true, firstAt: s.now})
		}
	}
}

// decider returns the gate that decides on a request received by gate i.
func (s *simulation) decider(i int) int {
	if s.strategy != oneOwner || s.partitioned[i] {
		return i
	}
	for o := range s.limiters {
		if s.deadUntil[o] == 0 && !s.partitioned[o] {
			return o
		}
	}
	return i
}

// exchangeUpdates sends the updates that are due and delivers those that have arrived.
func (s *simulation) exchangeUpdates() {
	for i, l := range s.limiters {
		since := s.now - s.lastUpdate[i]
		if s.deadUntil[i] != 0 || !s.discovered(i) || since < urgentInterval || since < regularInterval && !s.urgent[i] {
			continue
		}
		s.urgent[i], s.lastUpdate[i] = false, s.now
		update := l.NextUpdate()
		for to := range s.limiters {
			if to != i && s.discovered(to) && !s.partitioned[i] && !s.partitioned[to] && s.network.Float64() >= s.loss {
				s.bytes += 20 + 22*len(update.Usages)
				s.deliveries = append(s.deliveries, delivery{s.now + time.Duration(s.network.Float64()*float64(s.maxDelay)), to, i, update})
			}
		}
	}
	var later []delivery
	for _, d := range s.deliveries {
		switch {
		case d.at > s.now:
			later = append(later, d)
		case s.deadUntil[d.to] == 0 && !s.partitioned[d.to]:
			s.deliver(s.limiters[d.to], d.update)
		}
	}
	s.deliveries = later
}

// discovered reports whether a gate exchanges updates with the others.
func (s *simulation) discovered(i int) bool {
	return s.restartedAt[i] == 0 || s.now >= s.restartedAt[i]+s.discoveryTime
}

// deliver applies an update at a gate. With usageShares, the gate stays restricted to its share
// as if it were isolated.
func (s *simulation) deliver(l *Limiter, update Update) {
	l.ApplyUpdate(update)
	if s.strategy == usageShares {
		for _, a := range l.accounts {
			a.lastShare = l.usageShare(a)
		}
		l.isolated = true
	}
}

// peak returns the highest usage in a window, relative to the bound.
func (s *simulation) peak() float64 { return peakOf(s.admitted, s.limit, s.bounds) }

func peakOf(admitted []admission, limit Limit, b Bounds) float64 {
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

// evaluate computes the outcome; an exact bucket is simulated for comparison.
func (s *simulation) evaluate() outcome {
	o := outcome{peak: s.peak(), bytesPerGate: float64(s.bytes) / s.length.Seconds() / float64(s.gates)}
	exact := simulate(s.scenario.withoutFaults(), oneOwner, s.seed)
	o.wronglyRefused = max(exact.admittedSize-s.admittedSize, 0) / exact.admittedSize
	all := (s.bySize[0][1] + s.bySize[1][1]) / (s.bySize[0][0] + s.bySize[1][0])
	o.largeRatio = s.bySize[1][1] / max(s.bySize[1][0], 1) / all
	for _, w := range s.retryDelays {
		o.retryDelay += w.Seconds() / float64(len(s.retryDelays))
	}
	return o
}

// withoutFaults returns the scenario without faults, and with a single gate that decides.
func (c scenario) withoutFaults() scenario {
	c.events = nil
	c.loss, c.retries = 0, false
	c.gates = 1
	c.callerGates = 1
	return c
}

func poisson(r *rand.Rand, mean float64) int {
	n, p := 0, math.Exp(-mean)
	for x := r.Float64(); x > p; n++ {
		x *= r.Float64()
	}
	return n
}

// onGates returns an event that applies f to the selected gates.
func onGates(picks func(i int) bool, f func(s *simulation, i int)) func(*simulation) {
	return func(s *simulation) {
		for i := range s.gates {
			if picks(i) {
				f(s, i)
			}
		}
	}
}

func allGates(int) bool { return true }

func secondGates(i int) bool { return i%2 == 0 }

func sixthGates(i int) bool { return i%6 == 0 }

func kill(s *simulation, i int) { s.kill(i, 800*time.Millisecond) }

func withLimit(l Limit) func(s *simulation, i int) {
	return func(s *simulation, i int) { s.limiters[i].SetLimits(map[string]Limit{"w": l}, nil) }
}

func scaled(l Limit, of float64) Limit { return Limit{Rate: l.Rate * of, Burst: l.Burst * of} }
