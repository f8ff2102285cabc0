package beechgossip

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

type (
	// Status of a member. Of two statements with the same incarnation, the greater status
	// holds.
	Status int

	// Member describes a process.
	Member struct {
		Address     netip.AddrPort
		Zone        string
		Capacity    int    // thousandths of a processor core; 0: unknown
		Incarnation uint64 // 0: only the address is known
		Status      Status
	}

	// Settings of a group. DefaultSettings suit hosts a few milliseconds apart.
	Settings struct {
		ProbeInterval   time.Duration
		AckTimeout      time.Duration // before other members are asked to probe
		SuspicionFactor float64       // suspicion lasts so many probe intervals, times the decimal logarithm of the number of members
		Retention       time.Duration // how long a dead member is remembered
		JoinInterval    time.Duration // between attempts to reach a seed
		SeedTime        time.Duration // from the start, in which seeds that start too are waited for
		SettleTime      time.Duration // without new members, until the list is considered complete
		MaxSettleTime   time.Duration
	}

	// Counts are a group's counters.
	Counts struct {
		Members   int
		Probes    int // sent
		Failed    int // probes that no member could get an answer to
		Suspected int // members
		Died      int // members
		Refuted   int // suspicions of this process
		Lists     int // sent
		Rejected  int // invalid members in messages
	}

	// Group is one process's view of the fleet. It is safe for concurrent use.
	Group struct {
		settings Settings
		clock    clockwork.Clock

		mu        sync.Mutex
		random    *rand.Rand
		self      Member
		leaving   bool
		startedAt time.Time
		grownAt   time.Time // when a member was last added
		lastTick  time.Time
		seeds     []netip.AddrPort
		joined    bool // a member has answered
		joinAt    time.Time
		firstSeed int // differs between processes, so that they do not all contact the same seed
		joinTries int
		members   map[netip.AddrPort]*member
		alive     []Member // members that are alive or suspected, with this process, by address
		version   uint64   // changes with alive
		digest    uint64
		stale     bool                   // alive is to be made anew
		changes   map[netip.AddrPort]int // how often a member's state was sent since it changed
		order     []netip.AddrPort       // members left to be probed in this round
		probe     *probe
		probeAt   time.Time
		relayed   map[uint64]relayedProbe
		sequence  uint64
		health    int // 0: answers to probes arrive
		syncAt    time.Time
		counts    Counts
	}

	member struct {
		Member
		changedAt time.Time
	}

	probe struct {
		target   netip.AddrPort
		sequence uint64
		sentAt   time.Time
		indirect bool
	}

	// relayedProbe is a probe on behalf of another member.
	relayedProbe struct {
		origin   netip.AddrPort
		sequence uint64
		sentAt   time.Time
	}
)

// Statuses of members.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

const (
	// TickInterval is the time between calls of Tick.
	TickInterval = 100 * time.Millisecond

	changesFanout      = 3   // members that are sent each Changes
	maxChanges         = 160 // per message, at some 24 bytes each
	maxListed          = 400
	extraTransmissions = 5 // beyond half the binary logarithm of the number of members
	indirectProbes     = 3
	maxHealth          = 8
	stallTime          = 4 * TickInterval // a tick so late means that this process was stopped
	syncInterval       = 500 * time.Millisecond
	reconnectShare     = 0.1 // of the probes go to a dead member, which may have been cut off
	recentlyGone       = 15 * time.Second
	maxSeeds           = 16
	seedsAtOnce        = 2
	rejoinInterval     = 5 * time.Second // between attempts to reach seeds that were lost
	maxRelayed         = 256
	// maxMembers bounds the memory that messages of unknown origin can take.
	maxMembers = 4096
	// maxClockSkew is how far a member's clock may be ahead. A member could not refute a
	// suspicion of an incarnation near the largest number.
	maxClockSkew = 24 * time.Hour
)

// DefaultSettings are the settings of gates.
var DefaultSettings = Settings{
	ProbeInterval: 500 * time.Millisecond, AckTimeout: 250 * time.Millisecond, SuspicionFactor: 2, Retention: 2 * time.Minute,
	JoinInterval: 100 * time.Millisecond, SeedTime: 120 * time.Millisecond, SettleTime: 150 * time.Millisecond, MaxSettleTime: 1200 * time.Millisecond,
}

// New returns the group of a process that knows only its seeds. The incarnation of self is
// set from the clock.
func New(self Member, seeds []netip.AddrPort, s Settings, clock clockwork.Clock, source rand.Source) *Group {
	now := clock.Now()
	self.Incarnation, self.Status = uint64(now.UnixMilli()), Alive
	g := &Group{
		settings: s, clock: clock, random: rand.New(source), self: self, startedAt: now, grownAt: now, lastTick: now, probeAt: now.Add(s.ProbeInterval),
		members: make(map[netip.AddrPort]*member), changes: make(map[netip.AddrPort]int), relayed: make(map[uint64]relayedProbe),
	}
	g.addSeeds(seeds)
	g.firstSeed = g.random.IntN(maxSeeds)
	g.stale = true
	g.refresh()
	return g
}

// AddSeeds adds addresses at which members may be found.
func (g *Group) AddSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addSeeds(seeds)
}

func (g *Group) addSeeds(seeds []netip.AddrPort) {
	for _, seed := range seeds {
		if validAddress(seed) && seed != g.self.Address && len(g.seeds) < maxSeeds && !slices.Contains(g.seeds, seed) {
			g.seeds = append(g.seeds, seed)
		}
	}
}

// Self returns the address of this process.
func (g *Group) Self() netip.AddrPort { return g.self.Address }

// Members returns all members that are alive or suspected, with this process, by address. The
// caller must not change the list.
func (g *Group) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.alive
}

// Version returns a number that changes with the list of members.
func (g *Group) Version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version
}

// Contains reports whether a process is a member.
func (g *Group) Contains(address netip.AddrPort) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.members[address]
	return ok && m.Status <= Suspect
}

// Joined reports whether duties may be taken: another member is known, there are no seeds, or none
// has answered for SeedTime. If all processes of a fleet start at once, those that find no seed yet
// would otherwise each take all duties.
func (g *Group) Joined() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready()
}

func (g *Group) ready() bool {
	return len(g.members) > 0 || len(g.seeds) == 0 || g.clock.Since(g.startedAt) >= g.settings.SeedTime
}

// Settled reports whether the list of members is probably complete: no member was added for a
// while after the start.
func (g *Group) Settled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	return g.ready() && (now.Sub(g.grownAt) >= g.settings.SettleTime || now.Sub(g.startedAt) >= g.settings.MaxSettleTime)
}

// Search returns a message that asks any process for the members that it knows.
func (g *Group) Search() Message {
	g.mu.Lock()
	defer g.mu.Unlock()
	return List{Members: []Member{g.self}, Reply: true}
}

// Counts returns the counters.
func (g *Group) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.counts
	c.Members = len(g.alive)
	return c
}

// Leave returns the messages with which this process tells that it ends.
func (g *Group) Leave() []Send {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.self.Status = Left
	g.queue(g.self.Address)
	return g.spread()
}

// Tick does what is due and returns the messages to send.
func (g *Group) Tick() []Send {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	stalled := now.Sub(g.lastTick) > stallTime
	g.lastTick = now
	if g.leaving {
		return g.spread()
	}
	if stalled {
		g.probe = nil
		for _, m := range g.members {
			if m.Status == Suspect {
				m.changedAt = now // its refutation may not have been read yet
			}
		}
	}
	g.expire(now)
	g.refresh()
	sends := g.join(now)
	sends = append(sends, g.advanceProbe(now)...)
	g.refresh()
	return append(sends, g.spread()...)
}

// join sends this process's entry to a seed that is not a member: until one answers, and
// later each few seconds, since the fleet may have been split when the seed was lost.
func (g *Group) join(now time.Time) []Send {
	if now.Before(g.joinAt) {
		return nil
	}
	var candidates []netip.AddrPort
	for _, seed := range g.seeds {
		if m, known := g.members[seed]; !known || m.Status > Suspect {
			candidates = append(candidates, seed)
		}
	}
	g.joinAt = now.Add(g.settings.JoinInterval)
	if g.joined {
		g.joinAt = now.Add(rejoinInterval)
	}
	var sends []Send
	for range min(seedsAtOnce, len(candidates)) {
		g.counts.Lists++
		g.joinTries++
		seed := candidates[(g.firstSeed+g.joinTries)%len(candidates)]
		sends = append(sends, Send{seed, List{Members: []Member{g.self}, Reply: true}})
	}
	return sends
}

// expire declares suspects dead and forgets dead members.
func (g *Group) expire(now time.Time) {
	for address, m := range g.members {
		switch {
		case m.Status == Suspect && now.Sub(m.changedAt) >= g.suspicionTime():
			g.counts.Died++
			g.set(m, Dead, now)
		case m.Status > Suspect && now.Sub(m.changedAt) >= g.settings.Retention:
			delete(g.members, address)
		}
	}
}

func (g *Group) suspicionTime() time.Duration {
	intervals := g.settings.SuspicionFactor * max(math.Log10(float64(len(g.alive))), 1)
	return time.Duration(intervals * float64(g.settings.ProbeInterval))
}

// set changes a member's status and queues the change.
func (g *Group) set(m *member, s Status, now time.Time) {
	m.Status, m.changedAt = s, now
	g.queue(m.Address)
	g.stale = true
}

// advanceProbe ends the probe under way when its time is over, and starts the next.
func (g *Group) advanceProbe(now time.Time) []Send {
	patience := time.Duration(1 + g.health)
	if p := g.probe; p != nil {
		age := now.Sub(p.sentAt)
		switch {
		case age >= g.settings.ProbeInterval*patience:
			g.probe = nil
			g.probeFailed(p.target, now)
		case age >= g.settings.AckTimeout*patience && !p.indirect:
			p.indirect = true
			return g.requestProbes(p)
		default:
			return nil
		}
	}
	if now.Before(g.probeAt) {
		return nil
	}
	g.probeAt = now.Add(g.settings.ProbeInterval)
	target, ok := g.nextTarget()
	if !ok {
		return nil
	}
	g.sequence++
	g.counts.Probes++
	g.probe = &probe{target: target, sequence: g.sequence, sentAt: now}
	return []Send{{target, Ping{Sequence: g.sequence, Digest: g.digest, Members: g.takeChangesWith(target)}}}
}

func (g *Group) probeFailed(target netip.AddrPort, now time.Time) {
	g.counts.Failed++
	g.health = min(g.health+1, maxHealth)
	if m, ok := g.members[target]; ok && m.Status == Alive {
		g.counts.Suspected++
		g.set(m, Suspect, now)
	}
}

// requestProbes asks other members to probe the target.
func (g *Group) requestProbes(p *probe) []Send {
	var sends []Send
	for _, helper := range g.pick(indirectProbes, p.target) {
		sends = append(sends, Send{helper, ProbeRequest{Sequence: p.sequence, Target: p.target, Members: g.takeChanges()}})
	}
	return sends
}

// nextTarget returns the member to probe next: each in turn, in a random order.
func (g *Group) nextTarget() (netip.AddrPort, bool) {
	if g.random.Float64() < reconnectShare {
		var dead []netip.AddrPort
		for address, m := range g.members {
			if m.Status == Dead {
				dead = append(dead, address)
			}
		}
		if len(dead) > 0 {
			slices.SortFunc(dead, netip.AddrPort.Compare)
			return dead[g.random.IntN(len(dead))], true
		}
	}
	for range 2 {
		for len(g.order) > 0 {
			target := g.order[0]
			g.order = g.order[1:]
			if m, ok := g.members[target]; ok && m.Status <= Suspect {
				return target, true
			}
		}
		g.order = g.pick(len(g.alive), netip.AddrPort{})
	}
	return netip.AddrPort{}, false
}

// pick returns up to n other members at random, without the excluded one.
func (g *Group) pick(n int, excluded netip.AddrPort) []netip.AddrPort {
	var picked []netip.AddrPort
	start := 0
	if n < len(g.alive) {
		start = g.random.IntN(len(g.alive))
	}
	if n >= len(g.alive)/2 {
		for _, i := range g.random.Perm(len(g.alive)) {
			if a := g.alive[i].Address; a != g.self.Address && a != excluded && len(picked) < n {
				picked = append(picked, a)
			}
		}
		return picked
	}
	for tries := 0; tries < 4*n && len(picked) < n; tries++ {
		a := g.alive[(start+g.random.IntN(len(g.alive)))%len(g.alive)].Address
		if a != g.self.Address && a != excluded && !slices.Contains(picked, a) {
			picked = append(picked, a)
		}
	}
	return picked
}

// spread sends queued changes to a few members.
func (g *Group) spread() []Send {
	if len(g.changes) == 0 {
		return nil
	}
	targets := g.pick(changesFanout, netip.AddrPort{})
	var sends []Send
	for _, to := range targets {
		if list := g.takeChanges(); len(list) > 0 {
			sends = append(sends, Send{to, Changes{Members: list}})
		}
	}
	return sends
}

// queue notes that a member's state is to be sent.
func (g *Group) queue(address netip.AddrPort) { g.changes[address] = 0 }

// takeChanges returns the changes to send with a message, those that were sent least first.
func (g *Group) takeChanges() []Member {
	if len(g.changes) == 0 {
		return nil
	}
	due := slices.SortedFunc(maps.Keys(g.changes), func(x, y netip.AddrPort) int { return cmp.Or(cmp.Compare(g.changes[x], g.changes[y]), x.Compare(y)) })
	limit := extraTransmissions + int(math.Ceil(math.Log2(float64(len(g.alive)+1))/2))
	var list []Member
	for _, address := range due[:min(len(due), maxChanges)] {
		if address == g.self.Address {
			list = append(list, g.self)
		} else if m, ok := g.members[address]; ok {
			list = append(list, m.Member)
		}
		if g.changes[address]++; g.changes[address] >= limit {
			delete(g.changes, address)
		}
	}
	return list
}

// takeChangesWith returns the changes to send to a member, with what is said of it if that is
// not good, so that it can refute it.
func (g *Group) takeChangesWith(to netip.AddrPort) []Member {
	list := g.takeChanges()
	if m, ok := g.members[to]; ok && m.Status != Alive {
		list = append(list, m.Member)
	}
	return list
}

// Receive handles a message and returns the answers.
func (g *Group) Receive(from netip.AddrPort, m Message) []Send {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, x := range members(m) {
		g.merge(x, now)
	}
	g.refresh()
	switch v := m.(type) {
	case Ping:
		answer := Send{from, Ack{Sequence: v.Sequence, Digest: g.digest, Members: g.takeChangesWith(from)}}
		return append(g.compare(from, v.Digest, now), answer)
	case Ack:
		return g.receiveAck(from, v, now)
	case ProbeRequest:
		return g.relayProbe(from, v, now)
	case List:
		g.joined = g.joined || len(v.Members) > 0
		if v.Reply {
			return g.lists(from, false)
		}
	case Changes:
	}
	return nil
}

func (g *Group) receiveAck(from netip.AddrPort, a Ack, now time.Time) []Send {
	if p := g.probe; p != nil && p.sequence == a.Sequence {
		g.probe = nil
		g.health = max(g.health-1, 0)
	}
	if r, ok := g.relayed[a.Sequence]; ok {
		delete(g.relayed, a.Sequence)
		return []Send{{r.origin, Ack{Sequence: r.sequence, Digest: g.digest}}}
	}
	return g.compare(from, a.Digest, now)
}

// relayProbe probes a member on behalf of another.
func (g *Group) relayProbe(from netip.AddrPort, r ProbeRequest, now time.Time) []Send {
	if _, known := g.members[r.Target]; !known {
		return nil
	}
	for sequence, old := range g.relayed {
		if now.Sub(old.sentAt) > g.settings.ProbeInterval*maxHealth {
			delete(g.relayed, sequence)
		}
	}
	if len(g.relayed) >= maxRelayed {
		return nil
	}
	g.sequence++
	g.relayed[g.sequence] = relayedProbe{origin: from, sequence: r.Sequence, sentAt: now}
	return []Send{{r.Target, Ping{Sequence: g.sequence, Digest: g.digest, Members: g.takeChangesWith(r.Target)}}}
}

// compare exchanges lists with a member that holds another one. While changes are still to be
// sent, lists differ and will agree by themselves.
func (g *Group) compare(with netip.AddrPort, digest uint64, now time.Time) []Send {
	if digest == g.digest || len(g.changes) > 0 || now.Sub(g.syncAt) < syncInterval {
		return nil
	}
	g.syncAt = now
	return g.lists(with, true)
}

// lists returns messages with all members, and those that are gone since lately, which the receiver
// may not have heard. They are several if there are many members.
func (g *Group) lists(to netip.AddrPort, reply bool) []Send {
	var sends []Send
	all := slices.Clone(g.alive)
	for _, m := range g.members {
		if m.Status > Suspect && g.clock.Since(m.changedAt) < recentlyGone {
			all = append(all, m.Member)
		}
	}
	slices.SortFunc(all, func(x, y Member) int { return x.Address.Compare(y.Address) })
	for part := range slices.Chunk(all, maxListed) {
		sends = append(sends, Send{to, List{Members: part}})
	}
	g.counts.Lists += len(sends)
	last := sends[len(sends)-1].Message.(List)
	last.Reply = reply
	sends[len(sends)-1].Message = last
	return sends
}

// merge applies what another process says of a member.
func (g *Group) merge(m Member, now time.Time) {
	switch known, ok := g.members[m.Address]; {
	case !validAddress(m.Address) || m.Status < Alive || m.Status > Left || m.Incarnation > uint64(now.Add(maxClockSkew).UnixMilli()):
		g.counts.Rejected++
	case m.Address == g.self.Address:
		g.refute(m)
	case m.Incarnation == 0:
		g.addSeeds([]netip.AddrPort{m.Address})
	case !ok && m.Status <= Suspect && len(g.members) < maxMembers:
		g.members[m.Address] = &member{Member: m, changedAt: now}
		g.grownAt = now
		g.queue(m.Address)
		g.stale = true
	case ok && (m.Incarnation > known.Incarnation || (m.Incarnation == known.Incarnation && m.Status > known.Status)):
		known.Member, known.changedAt = m, now
		g.queue(m.Address)
		g.stale = true
	}
}

// refute raises this process's incarnation if others suspect it, or hold a predecessor at its
// address whose clock was ahead.
func (g *Group) refute(m Member) {
	if m.Incarnation < g.self.Incarnation || (m.Incarnation == g.self.Incarnation && m.Status == Alive) || g.leaving {
		return
	}
	g.counts.Refuted++
	g.health = min(g.health+1, maxHealth)
	g.self.Incarnation = m.Incarnation + 1
	g.queue(g.self.Address)
	g.stale = true
}

// refresh makes the list of members and its digest anew if members have changed.
func (g *Group) refresh() {
	if !g.stale {
		return
	}
	g.stale = false
	list := make([]Member, 0, len(g.members)+1)
	list = append(list, g.self)
	for _, m := range g.members {
		if m.Status <= Suspect {
			list = append(list, m.Member)
		}
	}
	slices.SortFunc(list, func(x, y Member) int { return x.Address.Compare(y.Address) })
	g.alive, g.digest = list, 0
	for _, m := range list {
		text, _ := m.Address.MarshalBinary() // never fails
		g.digest ^= xxhash.Sum64(binary.BigEndian.AppendUint64(text, m.Incarnation))
	}
	g.version++
}

func validAddress(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
