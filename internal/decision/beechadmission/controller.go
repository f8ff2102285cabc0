package beechadmission

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

type (
	// Mode tells for which services admission is controlled.
	Mode string

	// Request is what decides on the admission of a request.
	Request struct {
		Service   string
		Rank      int // 0 is the most urgent
		Workspace string
		Subject   string // last shared prompt part, or whatever else names the subject
		ID        string
		Objective time.Duration // for the first token
		Prompt    int           // tokens
		Returned  bool          // it was refused before and comes at the time that it was told
		Capacity  float64       // prompt tokens that all engines in service prefill per millisecond; 0: not known
	}

	// Outcome is what became of a request.
	Outcome struct {
		Unread  int // prompt tokens that the engine had to prefill
		Refused bool
	}

	// Admission is Open or *Limits.
	Admission interface{ admission() }

	// Open means that any engine may have the request.
	Open struct{}

	// Limits tells which engines may have a request.
	Limits struct {
		Rank  int
		Level float64 // standing of the request among all that could be refused, from 0 to 1
		kinds []limit
		idle  bool // only idle engines may have it
	}

	// limit is the time in which a typical request of a rank has to get its first token.
	limit struct {
		rank   int
		bound  float64 // milliseconds
		margin float64 // wait that is accepted whatever the prefill takes, in milliseconds
		unread float64 // tokens
		prompt float64 // tokens
	}

	// Controller decides on admission at one gate. It is safe for concurrent use.
	Controller struct {
		mode  Mode
		clock clockwork.Clock

		mu       sync.Mutex
		gates    int
		services map[uint64]*service // by the hash of the name
	}

	service struct {
		name    string // empty until this gate has a request for it
		enabled bool
		kinds   [ranks]kind
		own     demand // of this gate's callers
		fleet   demand // as told by collectors
		pending map[demandKey]counts
		refused [ranks]int64
		short   shortage
	}

	// kind describes the requests of a rank.
	kind struct {
		objective   time.Duration // the tightest
		objectiveAt time.Time
		unread      float64 // running mean
		prompt      float64 // running mean
		known       bool
	}

	// shortage is the last time in which requests were refused.
	shortage struct {
		since, last time.Time
		rank        int     // the most urgent that was refused
		level       float64 // the highest of it
		refused     int
		excess      [ranks]time.Duration // at the last refusal of each rank
	}

	// Shortage is a time in which requests to a service were refused at this gate.
	Shortage struct {
		Service string
		Lasted  time.Duration
		Refused int
	}
)

// The modes.
const (
	Auto Mode = "auto" // services whose servers tell how slow their hosts are
	On   Mode = "on"
	Off  Mode = "off"
)

const (
	ranks = 10 // that engines tell apart
	// A typical request of a more urgent rank has to be expected to get its first token within
	// lowShare to urgentShare of its objective, by the standing of the request that is to be
	// admitted. The other half is for what estimates miss: queues that build up meanwhile, and
	// prompts longer than the typical one.
	urgentShare = 0.5
	lowShare    = 0.4
	// A typical request of the same rank has to get its first token within ownLowShare to ownShare.
	ownShare    = 0.75
	ownLowShare = 0.6
	// spareShare is for requests that are to leave the others their room.
	spareShare = 0.25
	// marginShare of the objective is accepted as a wait even if the prefill alone takes too
	// long: refusing others cannot make it shorter.
	marginShare  = 0.1
	kindSamples  = 32 // weight of the running means, in requests
	objectiveTTL = 10 * time.Second
	// shortagePause is the time without refusals after which a shortage has ended.
	shortagePause = time.Second
	maxServices   = 64
)

// Open implements Admission.
func (Open) admission() {}

func (*Limits) admission() {}

// New returns a controller.
func New(mode Mode, clock clockwork.Clock) *Controller {
	return &Controller{mode: mode, clock: clock, gates: 1, services: make(map[uint64]*service)}
}

// Enable starts to control a service in mode Auto.
func (c *Controller) Enable(name string) {
	if c.mode != Auto {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.service(xxhash.Sum64String(name)); s != nil {
		s.enabled = true
	}
}

// SetGates sets the number of gates that send to the same engines.
func (c *Controller) SetGates(n int) {
	c.mu.Lock()
	c.gates = max(n, 1)
	c.mu.Unlock()
}

// service returns the state of a service, or nil if there are too many. The caller holds the lock.
func (c *Controller) service(key uint64) *service {
	s, ok := c.services[key]
	if !ok {
		if len(c.services) >= maxServices {
			return nil
		}
		s = &service{own: newDemand(), fleet: newDemand(), pending: make(map[demandKey]counts)}
		c.services[key] = s
	}
	return s
}

// controlled returns the state of a service that is controlled, or nil. The caller holds the lock.
func (c *Controller) controlled(name string) *service {
	key := xxhash.Sum64String(name)
	switch c.mode {
	case On:
		return c.service(key)
	case Auto:
		if s, ok := c.services[key]; ok && s.enabled {
			return s
		}
	case Off:
	}
	return nil
}

// Controls reports whether the admission to a service is controlled.
func (c *Controller) Controls(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controlled(name) != nil
}

// Check returns where a request may be sent.
func (c *Controller) Check(q Request) Admission {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.controlled(q.Service)
	if s == nil || q.Rank < 0 || q.Rank >= ranks {
		return Open{}
	}
	now := c.clock.Now()
	inDemand := s.ranksInDemand(q.Rank, now)
	within := s.standing(q, c.gates, now)
	limits := &Limits{Rank: q.Rank, Level: rankedLevel(inDemand, q.Rank, within.place), idle: within.idleOnly}
	for rank := range q.Rank + 1 {
		k := &s.kinds[rank]
		if !inDemand[rank] || !k.known || k.objective <= 0 {
			continue
		}
		share, margin := lowShare+(urgentShare-lowShare)*limits.Level, marginShare
		switch {
		case within.last:
			share, margin = within.spare, 0
		case rank == q.Rank:
			share = ownLowShare + (ownShare-ownLowShare)*within.place
		}
		objective := milliseconds(k.objective)
		limits.kinds = append(limits.kinds, limit{rank: rank, bound: share * objective, margin: margin * objective, unread: s.unread(rank, now), prompt: k.prompt})
	}
	if len(limits.kinds) == 0 {
		return Open{}
	}
	return limits
}

// rankedLevel returns the standing of a request among those of all ranks in demand but the most
// urgent, which divide the range evenly, given its standing within its rank.
func rankedLevel(inDemand [ranks]bool, rank int, within float64) float64 {
	moreUrgent, lessUrgent := 0, 0
	for r, asked := range inDemand {
		switch {
		case asked && r < rank:
			moreUrgent++
		case asked && r > rank:
			lessUrgent++
		}
	}
	if moreUrgent == 0 {
		return within
	}
	return (float64(lessUrgent) + within) / float64(lessUrgent+moreUrgent)
}

// Record counts a request once it is known whether it was refused.
func (c *Controller) Record(q Request, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.controlled(q.Service)
	if s == nil || q.Rank < 0 || q.Rank >= ranks {
		return
	}
	now := c.clock.Now()
	s.name = q.Service
	s.kinds[q.Rank].learn(q, o, now)
	n := counts{asked: 1, work: int64(o.Unread)}
	if o.Refused {
		n.refused = 1
		s.refused[q.Rank]++
	}
	workspace := uint32(xxhash.Sum64String(q.Workspace))
	for _, key := range []demandKey{{q.Rank, 0}, {q.Rank, workspace}} {
		s.own.add(key, n, now)
		s.addPending(key, n)
		if workspace == 0 {
			break
		}
	}
}

func (k *kind) learn(q Request, o Outcome, now time.Time) {
	if !k.known {
		k.known, k.unread, k.prompt = true, float64(o.Unread), float64(q.Prompt)
	}
	k.unread += (float64(o.Unread) - k.unread) / kindSamples
	k.prompt += (float64(q.Prompt) - k.prompt) / kindSamples
	if q.Objective > 0 && (k.objective == 0 || q.Objective <= k.objective || now.Sub(k.objectiveAt) > objectiveTTL) {
		k.objective, k.objectiveAt = q.Objective, now
	}
}

// unread returns the tokens that a typical request of a rank has to have prefilled.
func (s *service) unread(rank int, now time.Time) float64 {
	if mean, ok := s.fleet.meanWork(rank, now); ok {
		return mean
	}
	return s.kinds[rank].unread
}

// NoteRefusal records that a request was refused by its limits, and the excess at the engine that it
// would have got. It returns true for the first one of a shortage.
func (c *Controller) NoteRefusal(name string, l *Limits, excess time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.controlled(name)
	if s == nil {
		return false
	}
	now := c.clock.Now()
	first := s.short.refused == 0
	if first {
		s.short = shortage{since: now, rank: l.Rank, level: l.Level}
	}
	s.short.last, s.short.excess[l.Rank] = now, excess
	s.short.refused++
	if l.Rank < s.short.rank || (l.Rank == s.short.rank && l.Level > s.short.level) {
		s.short.rank, s.short.level = l.Rank, l.Level
	}
	return first
}

// EndedShortages returns the shortages that have ended since the last call.
func (c *Controller) EndedShortages() []Shortage {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var list []Shortage
	for _, s := range c.services {
		if s.short.refused > 0 && now.Sub(s.short.last) > shortagePause {
			list = append(list, Shortage{Service: s.name, Lasted: s.short.last.Sub(s.short.since), Refused: s.short.refused})
			s.short = shortage{}
		}
	}
	return list
}

// After returns in what time a service would have room for requests of a rank if no others came; 0 if
// none was refused lately. It returns false if the service is not controlled.
func (c *Controller) After(name string, rank int) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.controlled(name)
	if s == nil || rank < 0 || rank >= ranks {
		return 0, false
	}
	if s.short.refused == 0 || c.clock.Since(s.short.last) > shortagePause {
		return 0, true
	}
	return s.short.excess[rank], true
}

// Admit reports whether an engine may have the request.
func (l *Limits) Admit(r Room) bool { return l.Excess(r) <= 0 }

// Excess returns how much longer than it may the first token of a more urgent request would
// take at an engine; 0: the engine may have the request.
func (l *Limits) Excess(r Room) time.Duration {
	if r.idle() {
		return 0
	}
	excess := 0.0
	if l.idle {
		excess = max(r.wait(0), 1)
	}
	for _, k := range l.kinds {
		prefill := k.unread/max(r.Rate, minRate) + r.Fixed
		excess = max(excess, r.wait(k.prompt)-max(k.bound-prefill, k.margin))
	}
	return time.Duration(math.Ceil(excess * float64(time.Millisecond)))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
