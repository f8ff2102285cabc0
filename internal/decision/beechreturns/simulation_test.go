package beechreturns

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/decision/beechquota"
)

type (
	// kind is a kind of callers.
	kind struct {
		share     float64 // of the callers
		class     uint8
		size      float64
		objective time.Duration
		patience  time.Duration // a third of the time that it has
	}

	// scenario is a workspace that asks for several times its quota for a time, in virtual time.
	scenario struct {
		gates     int
		limit     beechquota.Limit
		kinds     []kind
		factor    float64 // demand relative to the limit between rushStart and rushEnd
		rushStart time.Duration
		rushEnd   time.Duration
		storm     float64 // share of the callers that come back at once and often
		loss      float64 // share of the messages that are lost
		events    map[time.Duration]func(s *simulation)
		promises  bool // false: callers are told the time at which the debt is paid
	}

	caller struct {
		id        uint32
		kind      kind
		firstAt   time.Duration
		told      Offer
		toldUntil time.Duration
		storm     int // retries left; 0: it waits and comes back once
	}

	arrivalAt struct {
		at     time.Duration
		caller *caller
	}

	delivery struct {
		at     time.Duration
		to     int
		update *beechquota.Update
		told   []Promise
	}

	simulation struct {
		scenario
		random     *rand.Rand
		clock      *clockwork.FakeClock
		now        time.Duration
		limiters   []*beechquota.Limiter
		books      []*Book
		lastUpdate []time.Duration
		lastTold   []time.Duration
		urgent     []bool
		cut        []bool
		queue      []arrivalAt
		deliveries []delivery
		lifetimes  uint64
		nextID     uint32
		admitted   []admission
		outcome
	}

	admission struct {
		at   time.Duration
		size float64
	}

	// outcome counts callers.
	outcome struct {
		asked, inTime, late int
		returned, again     int // came at their time; and were refused again
		promised, broken    int // came at a time that was promised; and were refused again
		early               int
		bySize              map[float64]*[2]int // callers of the rush: asked, served
	}
)

const (
	step           = 5 * time.Millisecond
	updateInterval = 300 * time.Millisecond
	urgentInterval = 50 * time.Millisecond
	account        = uint32(7)
	length         = 16 * time.Second
	returnTime     = 75 * time.Millisecond
	connectTime    = 30 * time.Millisecond // least time from a return until a gate has read the call
)

var (
	shortBriefs = kind{share: 0.75, size: 1300, objective: 1500 * time.Millisecond, patience: 4800 * time.Millisecond}
	longTags    = kind{share: 0.25, class: 1, size: 9200, objective: 500 * time.Millisecond, patience: 1600 * time.Millisecond}
	bounds      = beechquota.Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 110000}

	// rush is a workspace at three times its quota for six seconds.
	rush = scenario{
		gates: 21, limit: beechquota.Limit{Rate: 500000, Burst: 500000}, kinds: []kind{shortBriefs, longTags},
		factor: 3, rushStart: 4 * time.Second, rushEnd: 10 * time.Second, promises: true,
	}
)

func simulate(c scenario, seed uint64) *simulation {
	s := &simulation{
		scenario: c, random: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClockAt(time.Unix(1000000, 0)),
		limiters: make([]*beechquota.Limiter, c.gates), books: make([]*Book, c.gates), lastUpdate: make([]time.Duration, c.gates), lastTold: make([]time.Duration, c.gates), urgent: make([]bool, c.gates), cut: make([]bool, c.gates),
	}
	s.bySize = make(map[float64]*[2]int)
	for _, k := range c.kinds {
		s.bySize[k.size] = new([2]int)
	}
	for i := range c.gates {
		s.start(i)
	}
	for s.now < length {
		s.step()
	}
	return s
}

// start starts a gate without any state.
func (s *simulation) start(i int) {
	s.lifetimes++
	s.limiters[i] = beechquota.New(fmt.Sprintf("gate-%d", i), s.lifetimes, bounds, s.clock)
	s.limiters[i].SetLimits(map[string]beechquota.Limit{"w": s.limit}, nil)
	s.limiters[i].SetGates(s.gates)
	s.books[i] = NewBook(s.clock, s.random.Float64)
	s.lastUpdate[i] = s.now - time.Duration(s.random.Float64()*float64(updateInterval))
}

func (s *simulation) setLimit(l beechquota.Limit) {
	s.limit = l
	for _, x := range s.limiters {
		x.SetLimits(map[string]beechquota.Limit{"w": l}, nil)
	}
}

func (s *simulation) step() {
	s.now += step
	s.clock.Advance(step)
	for at, event := range s.events {
		if at > s.now-step && at <= s.now {
			event(s)
		}
	}
	s.newCallers()
	due := s.queue
	s.queue = nil
	for _, a := range due {
		if a.at > s.now {
			s.queue = append(s.queue, a)
			continue
		}
		s.handle(a.caller)
	}
	s.exchange()
}

func (s *simulation) newCallers() {
	factor := 0.4
	if s.now >= s.rushStart && s.now < s.rushEnd {
		factor = s.factor
	}
	mean := 0.0
	for _, k := range s.kinds {
		mean += k.share * k.size
	}
	for range poisson(s.random, factor*rush.limit.Rate/mean*step.Seconds()) {
		k := s.kinds[0]
		if s.random.Float64() >= k.share && len(s.kinds) > 1 {
			k = s.kinds[1]
		}
		s.nextID++
		c := &caller{id: s.nextID, kind: k, firstAt: s.now}
		if s.random.Float64() < s.storm {
			c.storm = 8
		}
		s.asked++
		s.count(c, 0)
		s.handle(c)
	}
}

// count counts callers of the rush by size: those that asked, and those that were served.
func (s *simulation) count(c *caller, served int) {
	if c.firstAt >= s.rushStart && c.firstAt < s.rushEnd {
		s.bySize[c.kind.size][served]++
	}
}

// servedShare returns the share of the callers of a size that were served.
func (s *simulation) servedShare(size float64) float64 {
	return float64(s.bySize[size][1]) / max(float64(s.bySize[size][0]), 1)
}

func (s *simulation) handle(c *caller) {
	i := s.random.IntN(s.gates)
	l, b := s.limiters[i], s.books[i]
	first := c.told.After == 0
	onTime := !first && s.now >= c.toldUntil
	limit, _ := l.Limit("w")
	supply := Supply{Rate: limit.Rate, Burst: limit.Burst, Gates: s.gates}
	reserve := 0.0
	if s.promises {
		if r, ok := b.Arrive(account, c.id).(Returned); !ok || !r.Promised {
			reserve = b.Reserve(account, supply, ok)
		}
	}
	if onTime {
		s.returned++
		if c.told.Promised {
			s.promised++
		}
	}
	if !first && !onTime {
		s.early++
	}
	switch d := l.AdmitAbove("w", c.kind.size, reserve).(type) {
	case beechquota.Admitted:
		s.urgent[i] = s.urgent[i] || d.Urgent
		s.count(c, 1)
		s.admitted = append(s.admitted, admission{s.now, c.kind.size})
		b.Served(account, c.id)
		if s.now-c.firstAt <= c.kind.objective/2 {
			s.inTime++
		} else {
			s.late++
		}
	case beechquota.Refused:
		s.refuse(c, i, supply, d, onTime)
	}
}

func (s *simulation) refuse(c *caller, i int, supply Supply, d beechquota.Refused, onTime bool) {
	if onTime {
		s.again++
		if c.told.Promised {
			s.broken++
		}
		if c.storm == 0 {
			return
		}
	}
	offer := Offer{After: d.After}
	if s.promises {
		s.urgent[i] = true // as the gate does
		supply.Available, supply.Rate, supply.Undisclosed = d.Available, d.Rate, d.Undisclosed
		offer = s.books[i].Offer(Caller{
			Account: account, Class: c.kind.class, Call: c.id, Size: c.kind.size, Useful: max(c.kind.objective/2-returnTime-(s.now-c.firstAt), 0), Patience: c.kind.patience,
		}, supply)
	}
	c.told, c.toldUntil = offer, s.now+offer.After
	at := c.toldUntil + connectTime + time.Duration(s.random.Float64()*float64(100*time.Millisecond))
	if c.storm > 0 {
		c.storm--
		if c.storm == 0 {
			return
		}
		at = s.now + connectTime
	}
	s.queue = append(s.queue, arrivalAt{at, c})
}

// exchange sends what is due and delivers what has arrived.
func (s *simulation) exchange() {
	for i, l := range s.limiters {
		var update *beechquota.Update
		if since := s.now - s.lastUpdate[i]; since >= updateInterval || s.urgent[i] && since >= urgentInterval {
			u := l.NextUpdate()
			update, s.urgent[i], s.lastUpdate[i] = &u, false, s.now
		}
		var told []Promise
		if s.now-s.lastTold[i] >= urgentInterval {
			if told = s.books[i].Next(); len(told) > 0 {
				s.lastTold[i] = s.now
			}
		}
		if update == nil && len(told) == 0 {
			continue
		}
		for to := range s.limiters {
			if to != i && !s.cut[i] && !s.cut[to] && s.random.Float64() >= s.loss {
				s.deliveries = append(s.deliveries, delivery{s.now + time.Duration(s.random.Float64()*float64(30*time.Millisecond)), to, update, told})
			}
		}
	}
	due := s.deliveries
	s.deliveries = nil
	for _, d := range due {
		if d.at > s.now {
			s.deliveries = append(s.deliveries, d)
			continue
		}
		if d.update != nil {
			s.limiters[d.to].ApplyUpdate(*d.update)
		}
		s.books[d.to].Apply(d.told)
	}
}

// peak returns the most that was admitted in a window, relative to the bound.
func (s *simulation) peak(limit beechquota.Limit) float64 {
	bound := (limit.Rate*bounds.Window.Seconds()+limit.Burst)*(1+bounds.Overage) + bounds.Slack
	most, sum, first := 0.0, 0.0, 0
	for _, a := range s.admitted {
		sum += a.size
		for s.admitted[first].at <= a.at-bounds.Window {
			sum -= s.admitted[first].size
			first++
		}
		most = max(most, sum)
	}
	return most / bound
}

// againShare returns the share of the callers that came at their time and were refused again.
func (s *simulation) againShare() float64 { return float64(s.again) / max(float64(s.returned), 1) }

// brokenShare returns the share of the promises whose callers came and were refused.
func (s *simulation) brokenShare() float64 { return float64(s.broken) / max(float64(s.promised), 1) }

func poisson(r *rand.Rand, mean float64) int {
	n, p := 0, math.Exp(-mean)
	for x := r.Float64(); x > p; n++ {
		x *= r.Float64()
	}
	return n
}

// servedShareOfAll returns the share of the callers of the rush that were served.
func (s *simulation) servedShareOfAll() float64 {
	asked, served := 0, 0
	for _, n := range s.bySize {
		asked, served = asked+n[0], served+n[1]
	}
	return float64(served) / max(float64(asked), 1)
}

func (s *simulation) inTimeShare() float64 { return float64(s.inTime) / max(float64(s.asked), 1) }
