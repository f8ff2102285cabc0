package beechadmission

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

type (
	// Demand is what was asked of a service since the last message.
	Demand struct {
		Service   uint64 // hash of the name
		Rank      int
		Workspace uint32 // hash of the name; 0: all
		Asked     int64
		Refused   int64
		Work      int64 // prompt tokens to be prefilled
	}

	// Audience is whom Totals are sent to.
	Audience int

	// Totals sums up the demands of many gates. It is safe for concurrent use.
	Totals struct {
		mu        sync.Mutex
		audiences [2]total
	}

	total struct {
		covered time.Duration
		sums    map[totalKey]counts
	}

	totalKey struct {
		service uint64
		demandKey
	}

	// State describes a controlled service, for metrics.
	State struct {
		AskedPerSecond   map[int]float64 // by rank, over all gates
		RefusedPerSecond map[int]float64 // by rank, over all gates
		Refused          map[int]int64   // by rank, by this gate
		Short            bool            // requests are being refused
		Rank             int             // if Short: the most urgent rank of which requests are refused
		Level            float64         // if Short: the standing up to which they are
	}
)

// The audiences: gates of the own availability zone and collectors of the others.
const (
	Near Audience = iota
	Far
)

const (
	maxAsked = 1 << 24 // requests in one message
	maxWork  = 1 << 40 // tokens in one message
	// maxCovered is the time of a thousand gates between two messages.
	maxCovered = 1000 * time.Second
	// maxPending bounds what is not sent, for instance while there is no collector.
	maxPending = 1024
)

func (s *service) addPending(key demandKey, n counts) {
	if _, known := s.pending[key]; !known && len(s.pending) >= maxPending {
		return
	}
	s.pending[key] = s.pending[key].plus(n)
}

func (n counts) plus(m counts) counts {
	return counts{n.asked + m.asked, n.refused + m.refused, n.work + m.work}
}

// TakeDemands returns what was asked of this gate since the last call, and whether it controls any
// service.
func (c *Controller) TakeDemands() (list []Demand, controls bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, s := range c.services {
		controls = controls || s.enabled || c.mode == On
		for k, n := range s.pending {
			list = append(list, newDemandMessage(totalKey{key, k}, n))
		}
		clear(s.pending)
	}
	return list, controls
}

func newDemandMessage(k totalKey, n counts) Demand {
	return Demand{Service: k.service, Rank: k.rank, Workspace: k.workspace, Asked: n.asked, Refused: n.refused, Work: n.work}
}

// Merge takes the demand of several gates as a collector has summed it up, and the sum of the times that
// it covers. Invalid entries are ignored. In mode Auto it starts to control the services that others
// control.
func (c *Controller) Merge(list []Demand, covered time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	covered = min(max(covered, 0), maxCovered)
	for _, s := range c.services {
		s.fleet.covered.add(covered.Seconds(), recentHalfLife, now)
	}
	for _, d := range list {
		if c.mode == Off || !d.valid() {
			continue
		}
		s := c.service(d.Service)
		if s == nil {
			continue
		}
		s.enabled = true
		s.fleet.heardAt = now
		s.fleet.add(demandKey{d.Rank, d.Workspace}, counts{d.Asked, d.Refused, d.Work}, now)
	}
}

func (d Demand) valid() bool {
	return d.Rank >= 0 && d.Rank < ranks && d.Asked > 0 && d.Asked <= maxAsked && d.Refused >= 0 && d.Refused <= d.Asked && d.Work >= 0 && d.Work <= maxWork
}

// States describes the controlled services by name.
func (c *Controller) States() map[string]State {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	states := make(map[string]State)
	for _, s := range c.services {
		if s.name != "" {
			states[s.name] = s.state(now)
		}
	}
	return states
}

func (s *service) state(now time.Time) State {
	state := State{AskedPerSecond: make(map[int]float64), RefusedPerSecond: make(map[int]float64), Refused: make(map[int]int64)}
	for rank := range ranks {
		if m, ok := s.current(now).meters[demandKey{rank: rank}]; ok {
			state.AskedPerSecond[rank] = m.asked.rate(recentHalfLife, now)
			state.RefusedPerSecond[rank] = m.refused.rate(recentHalfLife, now)
		}
		if s.refused[rank] > 0 {
			state.Refused[rank] = s.refused[rank]
		}
	}
	if state.Short = s.short.refused > 0 && now.Sub(s.short.last) <= shortagePause; state.Short {
		state.Rank, state.Level = s.short.rank, s.short.level
	}
	return state
}

// NewTotals returns empty totals.
func NewTotals() *Totals {
	t := &Totals{}
	for i := range t.audiences {
		t.audiences[i].sums = make(map[totalKey]counts)
	}
	return t
}

// Add takes the demands of a gate, or those of another zone, which are not sent to other zones
// again, and the time that they cover.
func (t *Totals) Add(list []Demand, covered time.Duration, ownZone bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for audience := range t.audiences {
		if ownZone || Audience(audience) == Near {
			t.audiences[audience].covered += min(max(covered, 0), maxCovered)
		}
	}
	for _, d := range list {
		if !d.valid() {
			continue
		}
		key, n := totalKey{d.Service, demandKey{d.Rank, d.Workspace}}, counts{d.Asked, d.Refused, d.Work}
		for audience := range t.audiences {
			sums := t.audiences[audience].sums
			if _, known := sums[key]; (known || len(sums) < maxPending) && (ownZone || Audience(audience) == Near) {
				sums[key] = sums[key].plus(n)
			}
		}
	}
}

// Take returns and clears the sums for an audience, the ranks first and then the workspaces that
// asked most, at most limit of them.
func (t *Totals) Take(to Audience, limit int) (list []Demand, covered time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := t.audiences[to].sums
	for _, key := range slices.SortedFunc(maps.Keys(sums), func(x, y totalKey) int { return cmp.Compare(x.service, y.service) }) {
		list = append(list, newDemandMessage(key, sums[key]))
	}
	clear(sums)
	covered, t.audiences[to].covered = t.audiences[to].covered, 0
	return MostAsked(list, limit), covered
}

// MostAsked returns the demands that fit into a message: the ranks first, and then the workspaces that
// asked most.
func MostAsked(list []Demand, limit int) []Demand {
	slices.SortStableFunc(list, func(x, y Demand) int {
		return cmp.Or(cmp.Compare(min(x.Workspace, 1), min(y.Workspace, 1)), cmp.Compare(y.Asked, x.Asked))
	})
	return list[:min(len(list), limit)]
}
