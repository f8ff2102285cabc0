package beechadmission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// model plays callers, gates and engines in steps of a millisecond.
	model struct {
		clock   *clockwork.FakeClock
		start   time.Time
		random  *rand.Rand
		gates   []*gate
		engines []*engine
		kinds   []*callers
		calls   []*call // all that arrived
		back    []*call // refused ones that come back
		ids     int

		report      time.Duration           // age of what gates know of engines
		lost        func(from, to int) bool // messages between gates; nil: none
		each        func(m *model, now int) // called each millisecond
		refusedIdle int                     // refusals while all engines were idle
	}

	gate struct {
		controller *Controller
		down       bool
		sent       []sending
	}

	// sending is a prompt that a gate has sent to an engine.
	sending struct {
		engine, at, tokens int
	}

	// callers sends requests of a kind.
	callers struct {
		rank       int
		perSecond  func(now int) float64
		prompt     int
		own        int // tokens of the prompt that are never cached
		output     int
		objective  time.Duration
		deadline   time.Duration
		workspaces []string
		weights    func(now int) []float64
		repeats    int           // after refusals
		impatience time.Duration // time until they come back
		subjects   int
		spread     float64 // how many times the usual prompt the largest is
	}

	call struct {
		kind      *callers
		workspace string
		subject   string
		arrived   int // milliseconds since the start
		prompt    int
		own       int
		unread    int
		left      int // output tokens
		tries     int
		due       int // when it comes back
		first     int // when its first token came; 0: not yet
		refusedAt int // last refusal; 0: none
		refused   bool
		done      bool
	}

	engine struct {
		dead    bool
		slots   int
		memory  int
		running []*call
		waiting []*call
		ready   int // end of the step under way
		reports []Room
	}
)

const (
	gateCount   = 8
	engineCount = 30
	prefillRate = 56. // tokens per millisecond
	chunk       = 2048
	baseStep    = 3.8
	slotStep    = 0.09
)

func newModel(seed uint64, kinds ...*callers) *model {
	start := time.Unix(1_000_000_000+int64(seed), 0)
	m := &model{clock: clockwork.NewFakeClockAt(start), random: rand.New(rand.NewPCG(1, seed)), kinds: kinds, report: 80 * time.Millisecond}
	m.start = m.clock.Now()
	for range gateCount {
		m.gates = append(m.gates, &gate{controller: m.newController()})
	}
	for range engineCount {
		m.engines = append(m.engines, &engine{slots: 64, memory: 107_000})
	}
	return m
}

func (m *model) newController() *Controller {
	c := New(On, m.clock)
	c.SetGates(gateCount)
	return c
}

// without makes all gates admit everything.
func (m *model) without() *model {
	for _, g := range m.gates {
		g.controller = New(Off, m.clock)
	}
	return m
}

func (m *model) play(seconds int) {
	for now := range seconds * 1000 {
		if m.each != nil {
			m.each(m, now)
		}
		for _, k := range m.kinds {
			for m.random.Float64() < k.perSecond(now)/1000 {
				m.arrive(m.newCall(k, now), now)
				if m.random.Float64() < 0.5 {
					break
				}
			}
		}
		m.comeBack(now)
		for _, e := range m.engines {
			e.step(now)
		}
		if now%500 == 0 {
			m.exchange(now)
		}
		m.clock.Advance(time.Millisecond)
	}
}

func (m *model) newCall(k *callers, now int) *call {
	draw, weights := m.random.Float64(), k.weights(now)
	i := 0
	for ; i < len(weights)-1 && draw >= weights[i]; i++ {
		draw -= weights[i]
	}
	scale := 1.
	if k.spread > 1 && m.random.Float64() < 0.1 {
		scale = k.spread
	}
	return &call{
		kind: k, workspace: k.workspaces[i], subject: fmt.Sprint(k.rank, m.random.IntN(max(k.subjects, 1))), arrived: now,
		prompt: int(float64(k.prompt) * scale), own: int(float64(k.own) * scale), left: k.output,
	}
}

func (m *model) arrive(c *call, now int) {
	if c.tries == 0 {
		m.calls = append(m.calls, c)
	}
	c.tries++
	up := slices.DeleteFunc(slices.Clone(m.gates), func(g *gate) bool { return g.down })
	g := up[m.random.IntN(len(up))]
	m.ids++
	q := Request{
		Service: "llm", Rank: c.kind.rank, Workspace: c.workspace, Subject: c.subject, ID: fmt.Sprint(m.ids),
		Objective: c.kind.objective, Prompt: c.prompt, Capacity: m.capacity(),
	}
	admission := g.controller.Check(q)
	best := m.choose(g, c, admission, now)
	if best < 0 {
		g.controller.Record(q, Outcome{Unread: c.own, Refused: true})
		m.refuse(c, now)
		return
	}
	c.unread = m.engines[best].unread(c)
	g.controller.Record(q, Outcome{Unread: c.unread})
	g.sent = append(g.sent, sending{best, now, c.unread})
	m.engines[best].waiting = append(m.engines[best].waiting, c)
}

// choose returns the better of two engines, or a negative number if it may not have the call and most
// others may not either.
func (m *model) choose(g *gate, c *call, admission Admission, now int) int {
	var alive, open []int
	rooms := make(map[int]Room)
	for i, e := range m.engines {
		if e.dead {
			continue
		}
		alive, rooms[i] = append(alive, i), m.room(g, i, now)
		if l, limited := admission.(*Limits); !limited || l.Admit(rooms[i]) {
			open = append(open, i)
		}
	}
	better := func(list []int) int {
		x, y := list[m.random.IntN(len(list))], list[m.random.IntN(len(list))]
		if rooms[x].wait(float64(c.prompt))+float64(rooms[x].Running)/100 < rooms[y].wait(float64(c.prompt))+float64(rooms[y].Running)/100 {
			return x
		}
		return y
	}
	best := better(alive)
	switch {
	case slices.Contains(open, best):
		return best
	case 2*len(open) >= len(alive):
		return better(open)
	}
	return -1
}

func (m *model) capacity() float64 {
	sum := 0.
	for _, e := range m.engines {
		if !e.dead {
			sum += prefillRate * 0.8
		}
	}
	return sum
}

func (m *model) refuse(c *call, now int) {
	c.refused, c.refusedAt = true, now
	if !slices.ContainsFunc(m.engines, func(e *engine) bool { return !e.dead && (len(e.waiting) > 0 || len(e.running) >= e.slots/2) }) {
		m.refusedIdle++
	}
	if c.tries <= c.kind.repeats {
		c.due = now + int(c.kind.impatience.Milliseconds())
		m.back = append(m.back, c)
	}
}

func (m *model) comeBack(now int) {
	due := m.back
	m.back = nil
	for _, c := range due {
		if c.due > now {
			m.back = append(m.back, c)
			continue
		}
		c.refused = false
		m.arrive(c, now)
	}
}

// room is what a gate knows of an engine: a report some time ago, and what it sent since. Without
// a report the engine counts as this gate's share of it.
func (m *model) room(g *gate, i, now int) Room {
	age := int(m.report.Milliseconds())
	sent := 0
	for _, s := range g.sent {
		if s.engine == i && s.at > now-min(age, 500) {
			sent += s.tokens
		}
	}
	reports := m.engines[i].reports
	if len(reports) <= age {
		return Room{Rate: prefillRate / float64(len(m.gates)), Fixed: 16, Queued: float64(sent), Slots: 64, Residence: 500}
	}
	r := reports[len(reports)-1-age]
	r.Queued = max(r.Queued-float64(age)*r.Rate/2, 0) + float64(sent)
	return r
}

func (m *model) exchange(now int) {
	sum := make([]*Totals, len(m.gates))
	for i := range m.gates {
		sum[i] = NewTotals()
	}
	for from, g := range m.gates {
		demands, _ := g.controller.TakeDemands()
		for to := range m.gates {
			if m.lost == nil || from == to || !m.lost(from, to) {
				sum[to].Add(demands, 500*time.Millisecond, true)
			}
		}
		g.sent = slices.DeleteFunc(g.sent, func(s sending) bool { return s.at < now-500 })
	}
	for i, g := range m.gates {
		if !g.down {
			g.controller.Merge(sum[i].Take(Near, 100))
		}
	}
}

// unread is how much of a prompt an engine has to prefill: the fuller its memory is of requests,
// the fewer shared parts it has.
func (e *engine) unread(c *call) int {
	missing := min(max((float64(e.used())/float64(e.memory)-0.2)/0.6, 0), 1)
	return c.own + int(missing*float64(c.prompt-c.own))
}

func (e *engine) used() int {
	used := 0
	for _, c := range e.running {
		used += c.prompt
	}
	return used
}

// step admits waiting requests by rank, prefills a chunk and makes a token of each running request.
func (e *engine) step(now int) {
	defer e.record()
	if e.dead || now < e.ready {
		return
	}
	slices.SortStableFunc(e.waiting, func(x, y *call) int { return x.kind.rank - y.kind.rank })
	used := e.used()
	for len(e.waiting) > 0 && len(e.running) < e.slots && used+e.waiting[0].prompt <= e.memory {
		used += e.waiting[0].prompt
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	left := chunk
	for _, c := range e.running {
		if c.unread > 0 {
			read := min(c.unread, left)
			c.unread -= read
			left -= read
		}
	}
	took := baseStep + slotStep*float64(len(e.running)) + float64(chunk-left)/prefillRate
	e.ready = now + max(int(took+0.5), 1)
	e.running = slices.DeleteFunc(e.running, func(c *call) bool {
		if c.unread > 0 {
			return false
		}
		if c.first == 0 {
			c.first = e.ready
		}
		c.left--
		c.done = c.left <= 0
		return c.done
	})
}

// record keeps what the engine would report now.
func (e *engine) record() {
	queued, waiting := 0, len(e.waiting)
	for _, c := range e.running {
		queued += c.unread
		if c.first == 0 {
			waiting++
		}
	}
	for _, c := range e.waiting {
		queued += c.unread
	}
	used := e.used()
	e.reports = append(e.reports, Room{
		Rate: prefillRate * 0.8, Fixed: 16, Queued: float64(queued), Running: len(e.running) + len(e.waiting) - waiting, Waiting: waiting, Slots: e.slots,
		Free: float64(e.memory - used), Used: float64(used), Residence: 500,
	})
}

// killEngines loses the first engines with all that they run.
func (m *model) killEngines(n int) {
	for _, e := range m.engines[:n] {
		e.dead = true
		e.running, e.waiting = nil, nil
	}
}

func (m *model) reviveEngines() {
	for _, e := range m.engines {
		e.dead = false
	}
}

// result is what callers of some time got, as shares.
type result struct {
	calls                   int
	inTime, served, refused float64
}

// outcome sums up calls that arrived in a span of seconds.
func (m *model) outcome(from, to float64, which func(c *call) bool) result {
	var r result
	for _, c := range m.calls {
		if float64(c.arrived) < from*1000 || float64(c.arrived) >= to*1000 || !which(c) {
			continue
		}
		r.calls++
		took := time.Duration(c.first-c.arrived) * time.Millisecond
		switch {
		case c.first > 0 && took <= c.kind.objective:
			r.inTime++
			r.served++
		case c.first > 0 && took <= c.kind.deadline:
			r.served++
		case c.refused:
			r.refused++
		}
	}
	n := float64(max(r.calls, 1))
	return result{r.calls, r.inTime / n, r.served / n, r.refused / n}
}

func ofRank(rank int) func(c *call) bool {
	return func(c *call) bool { return c.kind.rank == rank }
}

func constant(rate float64) func(int) float64 { return func(int) float64 { return rate } }

// during returns a rate that is higher between two moments, in milliseconds.
func during(rate, higher float64, from, to int) func(int) float64 {
	return func(now int) float64 {
		if now >= from && now < to {
			return higher
		}
		return rate
	}
}

// tagging asks for a few tokens on long prompts, and drafting for many on short ones.
func tagging(perSecond func(int) float64) *callers {
	return &callers{
		rank: 0, perSecond: perSecond, prompt: 9200, own: 2900, output: 7, objective: 500 * time.Millisecond, deadline: 5 * time.Second,
		workspaces: []string{"a", "b", "c", "d"}, weights: even(4), repeats: 1, impatience: 300 * time.Millisecond, subjects: 200, spread: 3,
	}
}

func drafting(perSecond func(int) float64) *callers {
	return &callers{
		rank: 2, perSecond: perSecond, prompt: 830, own: 630, output: 42, objective: 1500 * time.Millisecond, deadline: 15 * time.Second,
		workspaces: []string{"a", "b", "c", "d"}, weights: even(4), repeats: 1, impatience: 300 * time.Millisecond, subjects: 200, spread: 4,
	}
}

func even(n int) func(int) []float64 {
	list := make([]float64, n)
	for i := range list {
		list[i] = 1 / float64(n)
	}
	return func(int) []float64 { return list }
}
