package beechlab

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/decision/beechgossip"
	"github.com/beechring/beechring/internal/decision/beechsummary"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/state/beechreader"
)

type (
	// Settings of a simulated fleet.
	Settings struct {
		Gates   int
		Engines int
		Zones   int
		Seed    uint64
		Length  time.Duration // of the quiet time that is measured
		Rate    float64       // requests of an engine per second
		Loss    float64       // share of the datagrams that are lost
	}

	fleet struct {
		Settings
		clock   *clockwork.FakeClock
		random  *rand.Rand
		started time.Time
		events  queue
		gates   []*gate
		byAddr  map[netip.AddrPort]*gate
		engines []*engine
		byHost  map[netip.Addr]*engine
		// zoneEngines counts the engines of each zone, following has the gates that collect them;
		// nil: to be made anew.
		zoneEngines map[string]int
		following   map[string][]*gate
		measured    bool // messages count
		reads       int  // of the store
		revision    uint64
		near        samples // ages of states at gates of the engine's zone
		far         samples // and of others
		ages        samples // of copies
	}

	gate struct {
		index    int
		address  netip.AddrPort
		zone     string
		members  *beechgossip.Group
		duties   *beechgossip.Duties
		version  uint64
		readers  *beechreader.Group
		board    *beechsummary.Board
		observed bool // applies what it is sent
		dead     bool
		round    uint32
		flushAt  time.Time // of the next flush; zero if none is planned

		confirmed time.Duration // when its copy was last valid, by the time since the start
		revision  uint64        // of its copy
		changedAt time.Time     // when it got the latest copy
		lost      map[netip.Addr]time.Time
		seen      map[netip.Addr]uint32 // number of the latest report, by engine

		in, out           int // datagrams
		bytesIn, bytesOut int
	}

	engine struct {
		host    netip.Addr
		zone    string
		state   beechsummary.State
		changed map[uint32]time.Time // when the load changed that a report has, by its number
		dead    bool
	}

	event struct {
		at    time.Time
		order int
		run   func()
	}

	queue struct {
		list  []event
		order int
	}
)

const (
	startSpread       = 300 * time.Millisecond
	minDelay          = 600 * time.Microsecond // of a datagram
	maxDelay          = 2500 * time.Microsecond
	heartbeatInterval = 200 * time.Millisecond // of keepers
	readPoll          = 50 * time.Millisecond
	watchDelay        = 5 * time.Millisecond  // until the reader is told of a change
	fetchDelay        = 30 * time.Millisecond // of a copy from another gate
	settleTime        = 5 * time.Second       // from the start to the measured time
	joinLimit         = 20 * time.Second
	seedCount         = 3
	weakCapacity      = 144 // thousandths of a core, of five in six gates
	strongCapacity    = 800
	strongEvery       = 6
	firstStartAge     = 600 * time.Millisecond
	maxZones          = 200
)

var (
	// readAges are those of gates under the default bounds.
	readAges    = beechreader.ForBound(2 * time.Second).Earlier(beechreader.CallTime)
	errSettings = errors.New("out of range")
)

// validate returns an error that names the first field out of range.
func (s Settings) validate() error {
	for _, field := range []struct {
		name string
		ok   bool
	}{
		{"gates", s.Gates >= 1 && s.Gates <= 4000},
		{"engines", s.Engines >= 0 && s.Engines <= 50000},
		{"zones", s.Zones >= 1 && s.Zones <= maxZones && s.Zones <= s.Gates},
		{"length", s.Length >= time.Second && s.Length <= time.Hour},
		{"rate", s.Rate >= 0 && s.Rate <= 1000},
		{"loss", s.Loss >= 0 && s.Loss < 1},
	} {
		if !field.ok {
			return fmt.Errorf("field %s: %w", field.name, errSettings)
		}
	}
	return nil
}

func (q *queue) Len() int { return len(q.list) }
func (q *queue) Less(i, j int) bool {
	if !q.list[i].at.Equal(q.list[j].at) {
		return q.list[i].at.Before(q.list[j].at)
	}
	return q.list[i].order < q.list[j].order
}
func (q *queue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *queue) Push(x any)    { q.list = append(q.list, x.(event)) }
func (q *queue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

func (f *fleet) after(d time.Duration, run func()) {
	f.events.order++
	heap.Push(&f.events, event{f.clock.Now().Add(d), f.events.order, run})
}

// run lets the given time pass.
func (f *fleet) run(ctx context.Context, d time.Duration) error {
	for end := f.clock.Now().Add(d); len(f.events.list) > 0 && !f.events.list[0].at.After(end); {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		e := heap.Pop(&f.events).(event)
		f.clock.Advance(e.at.Sub(f.clock.Now()))
		e.run()
	}
	return nil
}

// repeat runs a function at intervals, as long as it returns true.
func (f *fleet) repeat(interval time.Duration, run func() bool) {
	f.after(interval, func() {
		if run() {
			f.repeat(interval, run)
		}
	})
}

func newFleet(s Settings) *fleet {
	f := &fleet{Settings: s, clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(s.Seed, 1)), byAddr: make(map[netip.AddrPort]*gate), byHost: make(map[netip.Addr]*engine), zoneEngines: make(map[string]int)}
	f.started, f.revision = f.clock.Now(), 1
	var seeds []netip.AddrPort
	for i := range min(seedCount, s.Gates) {
		seeds = append(seeds, gateAddress(i))
	}
	for i := range s.Gates {
		f.after(time.Duration(f.random.Int64N(int64(startSpread))), func() { f.startGate(i, seeds) })
	}
	for i := range s.Engines {
		f.startEngine(i)
	}
	return f
}

func gateAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7340)
}

func (f *fleet) zoneName(i int) string { return fmt.Sprintf("zone-%d", i%f.Zones) }

func (f *fleet) startGate(i int, seeds []netip.AddrPort) {
	capacity := weakCapacity
	if i/f.Zones%strongEvery == 0 {
		capacity = strongCapacity
	}
	g := &gate{
		index: i, address: gateAddress(i), zone: f.zoneName(i), observed: i >= f.Zones && i < 2*f.Zones, lost: make(map[netip.Addr]time.Time), seen: make(map[netip.Addr]uint32),
		board: beechsummary.New(beechsummary.DefaultSettings, f.clock),
	}
	g.readers = beechreader.New(g.address)
	self := beechgossip.Member{Address: g.address, Zone: g.zone, Capacity: capacity}
	g.members = beechgossip.New(self, seeds, beechgossip.DefaultSettings, f.clock, rand.NewPCG(f.Seed, uint64(i)+2))
	f.gates = append(f.gates, g)
	f.byAddr[g.address] = g
	f.repeat(beechgossip.TickInterval, func() bool {
		if !g.dead {
			f.gossip(g, g.members.Tick())
			f.refreshDuties(g)
		}
		return !g.dead
	})
	f.repeat(beechreader.InquiryInterval, func() bool {
		if !g.dead {
			f.inquire(g)
		}
		return !g.dead
	})
	f.repeat(readPoll, func() bool {
		if !g.dead {
			f.read(g)
		}
		return !g.dead
	})
}

func (f *fleet) refreshDuties(g *gate) {
	if g.version == g.members.Version() || !g.members.Joined() {
		return
	}
	g.version = g.members.Version()
	d := beechgossip.Assign(g.members.Members(), g.address, g.zone, f.zoneEngines)
	g.duties, f.following = d, nil
	g.readers.SetReaders(d.Readers, d.ZoneReaders[g.zone])
	g.board.SetDuty(beechsummary.Duty{Zones: d.CollectedZones(), Gates: len(d.Neighbors), ZoneEngines: d.Engines})
	f.planFlush(g)
}

// send counts a datagram and delivers it after a while.
func (f *fleet) send(from *gate, to netip.AddrPort, m beechdatagram.Message, deliver func(to *gate)) {
	data, err := beechdatagram.Encode(m)
	if err != nil {
		return
	}
	receiver := f.byAddr[to]
	if f.measured {
		from.out++
		from.bytesOut += len(data)
		if receiver != nil {
			receiver.in++
			receiver.bytesIn += len(data)
		}
	}
	if receiver == nil || f.random.Float64() < f.Loss {
		return
	}
	f.after(f.delay(), func() {
		if !receiver.dead {
			deliver(receiver)
		}
	})
}

func (f *fleet) delay() time.Duration {
	return minDelay + time.Duration(f.random.Int64N(int64(maxDelay-minDelay)))
}

func (f *fleet) gossip(from *gate, sends []beechgossip.Send) {
	for _, s := range sends {
		f.send(from, s.To, beechdatagram.Gossip{Gossip: beechconvert.WireGossip(s.Message)}, func(to *gate) {
			f.gossip(to, to.members.Receive(from.address, s.Message))
		})
	}
}

// read reads the store if the copy of a gate is old enough.
func (f *fleet) read(g *gate) {
	now := f.clock.Since(f.started)
	age := now - g.confirmed
	if g.revision == 0 {
		age += firstStartAge
	}
	if g.members.Joined() && age >= readAges.ForRole(g.readers.Role())-readPoll {
		f.reads++
		g.confirmed, g.revision = now, f.revision
	}
}

// inquire has the age of a gate's copy proved.
func (f *fleet) inquire(g *gate) {
	now := f.clock.Since(f.started)
	if f.measured {
		f.ages.add(now - g.confirmed)
	}
	number := g.readers.StartInquiry(now)
	for _, to := range g.readers.Targets() {
		f.send(g, to, beechdatagram.Inquiry{Inquiry: &beechwire.Inquiry{Number: number}}, func(to *gate) { f.sendProof(to, g.address, number) })
	}
}

func (f *fleet) sendProof(from *gate, to netip.AddrPort, number uint64) {
	if from.revision == 0 {
		return
	}
	age, revision := f.clock.Since(f.started)-from.confirmed, from.revision
	proof := &beechwire.Proof{Number: number, Operators: beechwire.Held{Revision: revision, Age: age.Milliseconds()}}
	f.send(from, to, beechdatagram.Proof{Proof: proof}, func(to *gate) {
		at, ok := to.readers.ConfirmedAt(number, age)
		switch {
		case ok && to.revision == revision:
			to.confirmed = max(to.confirmed, at)
		case to.revision < revision:
			f.after(fetchDelay, func() { f.takeCopy(to, revision) })
		}
	})
}

// takeCopy gives a gate a newer copy and lets it tell those that rely on it.
func (f *fleet) takeCopy(g *gate, revision uint64) {
	if g.dead || g.revision >= revision {
		return
	}
	g.revision, g.changedAt = revision, f.clock.Now()
	if g.duties == nil {
		return
	}
	for _, to := range g.duties.Dependents() {
		f.sendProof(g, to, 0)
	}
}

func (f *fleet) startEngine(i int) {
	e := &engine{
		host: netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), zone: f.zoneName(i), changed: make(map[uint32]time.Time),
		state: beechsummary.State{Status: beechsummary.Status{Port: 8080, Phase: 1, CacheTotal: 95000, Weights: []beechsummary.Weights{{Model: "model", Version: 1}}}},
	}
	f.engines = append(f.engines, e)
	f.byHost[e.host] = e
	f.zoneEngines[e.zone]++
	f.after(time.Duration(f.random.Int64N(int64(heartbeatInterval))), func() {
		f.repeat(heartbeatInterval, func() bool {
			if !e.dead {
				f.report(e, beechsummary.Parts{})
			}
			return !e.dead
		})
	})
	if f.Rate > 0 {
		f.planRequest(e)
	}
}

// planRequest lets an engine run a request and plans the next one.
func (f *fleet) planRequest(e *engine) {
	f.after(time.Duration(f.random.ExpFloat64()/f.Rate*float64(time.Second)), func() {
		if e.dead {
			return
		}
		f.change(e, 1)
		f.after(time.Duration(100+f.random.Int64N(200))*time.Millisecond, func() { f.change(e, -1) })
		f.planRequest(e)
	})
}

func (f *fleet) change(e *engine, running int) {
	e.state.Running += running
	e.changed[e.state.Number+1] = f.clock.Now()
	f.report(e, beechsummary.Parts{})
}

// report sends an engine's state to the gates that collect it.
func (f *fleet) report(e *engine, parts beechsummary.Parts) {
	e.state.Number++
	state := e.state
	for _, g := range f.collectors(e.zone) {
		if f.measured {
			g.in++
		}
		f.after(f.delay(), func() {
			if !g.dead && f.random.Float64() >= f.Loss {
				rank, collected := g.duties.Collects[e.zone]
				g.board.Report(e.host, state, parts, beechsummary.Collecting{Collected: collected, Slot: rank.Slot, Alone: rank.Alone})
				f.planFlush(g)
			}
		})
	}
}

// collectors returns the gates that follow the keepers of a zone.
func (f *fleet) collectors(zone string) []*gate {
	if f.following == nil {
		f.following = make(map[string][]*gate)
		for _, g := range f.gates {
			if g.duties == nil {
				continue
			}
			for name := range f.zoneEngines {
				if _, collects := g.duties.Collects[name]; collects || g.duties.Direct {
					f.following[name] = append(f.following[name], g)
				}
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(f.following[zone]), func(g *gate) bool { return g.dead })
}

// planFlush plans the next summary of a collector.
func (f *fleet) planFlush(g *gate) {
	wait := min(g.board.Due(beechsummary.Near), g.board.Due(beechsummary.Far))
	if wait == beechsummary.Never {
		return
	}
	at := f.clock.Now().Add(wait)
	if !g.flushAt.IsZero() && !at.Before(g.flushAt) {
		return
	}
	g.flushAt = at
	f.after(wait, func() {
		if g.dead || !g.flushAt.Equal(at) {
			return
		}
		g.flushAt = time.Time{}
		f.flush(g)
		f.planFlush(g)
	})
}

func (f *fleet) flush(g *gate) {
	if g.board.Due(beechsummary.Near) == 0 {
		for _, s := range g.board.Next(beechsummary.Near) {
			f.sendSummary(g, s)
		}
	}
	if g.board.Due(beechsummary.Far) == 0 {
		for _, s := range g.board.Next(beechsummary.Far) {
			message := beechdatagram.Summary{Summary: beechconvert.WireSummary(s, true)}
			for _, zone := range slices.Sorted(maps.Keys(g.duties.OtherZones)) {
				to := g.duties.Collectors[zone]
				f.send(g, to[f.random.IntN(len(to))], message, func(to *gate) { f.apply(g, to, s, beechsummary.Other) })
			}
		}
	}
}

// sendSummary sends a summary to the gates of a collector's zone, some of which forward it.
func (f *fleet) sendSummary(g *gate, s beechsummary.Summary) {
	g.round++
	plain := beechconvert.WireSummary(s, false)
	for _, branch := range beechsummary.Fan(g.duties.Neighbors, g.round) {
		message := *plain
		message.Forward = beechconvert.WireAddresses(branch.Forward)
		f.send(g, branch.To, beechdatagram.Summary{Summary: &message}, func(relay *gate) {
			f.apply(g, relay, s, beechsummary.Peer)
			for _, to := range branch.Forward {
				f.send(relay, to, beechdatagram.Summary{Summary: plain}, func(to *gate) { f.apply(g, to, s, beechsummary.Peer) })
			}
		})
	}
}

func (f *fleet) apply(from, to *gate, s beechsummary.Summary, origin beechsummary.Origin) {
	collects := to.duties != nil && len(to.duties.Collects) > 0
	if !to.observed && !collects {
		return
	}
	updates, recall := to.board.Apply(s, origin)
	for _, u := range updates {
		switch v := u.(type) {
		case beechsummary.Changed:
			f.observe(to, v)
		case beechsummary.Lost:
			to.lost[v.Engine.Addr()] = f.clock.Now()
		case beechsummary.Confirmed:
		}
	}
	if collects {
		f.planFlush(to)
	}
	if len(recall) == 0 {
		return
	}
	f.send(to, from.address, beechdatagram.Recall{Recall: &beechwire.Recall{}}, func(asked *gate) {
		for _, answer := range asked.board.Answer(recall, func(netip.Addr) beechsummary.Parts { return beechsummary.Parts{} }) {
			f.send(asked, to.address, beechdatagram.Summary{Summary: beechconvert.WireSummary(answer, false)}, func(back *gate) { f.apply(asked, back, answer, origin) })
		}
	})
}

// observe records how old a state is when it arrives.
func (f *fleet) observe(g *gate, c beechsummary.Changed) {
	e := f.byHost[c.Engine.Addr()]
	at, ok := e.changed[c.State.Number]
	if !ok || !g.observed || !f.measured || c.State.Number <= g.seen[e.host] {
		return
	}
	g.seen[e.host] = c.State.Number
	if age := f.clock.Since(at); e.zone == g.zone {
		f.near.add(age)
	} else {
		f.far.add(age)
	}
}
