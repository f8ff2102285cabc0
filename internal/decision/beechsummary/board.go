package beechsummary

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

type (
	// Settings of a board. DefaultSettings are those of gates.
	Settings struct {
		NearSpacingPerGate  time.Duration
		FarSpacingPerEngine time.Duration
		MinSpacing          time.Duration
		MaxSpacing          time.Duration
		FarDelayPerEngine   time.Duration // of loads to other zones
		MaxFarDelay         time.Duration
		StandbyDelay        time.Duration
		ConfirmInterval     time.Duration
		Silence             time.Duration // of a keeper, after which its engine is lost
	}

	// Counts are a board's counters.
	Counts struct {
		Engines  int
		Reports  int // of keepers
		Changes  int // sent
		Sent     int // summaries
		Deferred int // changes that waited for the next summary as one was full
		Recalled int // engines whose state this gate asked for again
		LostHere int // engines whose keepers went silent
	}

	// Board holds the states of all engines that a gate knows. It is safe for concurrent use.
	Board struct {
		settings Settings
		clock    clockwork.Clock

		mu        sync.Mutex
		duty      Duty
		engines   map[netip.Addr]*engine
		audiences [2]audience
		silent    []netip.AddrPort // engines that were lost here and not yet taken by TakeSilent
		counts    Counts
		calledAt  time.Time // the last call that notices stops of this process
		resumedAt time.Time // when this process was last found to have been stopped
	}

	engine struct {
		State
		base      uint8
		known     bool // State holds
		ownZone   bool // its keeper reports to this gate
		primary   bool // this gate sends its changes at once
		direct    bool // it was last heard of by its keeper's report
		handedOn  bool // what is known of it came from another zone to be handed on
		lost      bool
		heardAt   time.Time // its keeper, or another zone's collector
		confirmed time.Time // when it was last confirmed to this zone
		recalled  time.Time
		digest    uint64 // of its address
	}

	// audience is what is still to be sent to a group of receivers.
	audience struct {
		pending     map[netip.Addr]*pendingChange
		lost        []netip.Addr
		sentAt      time.Time
		confirmedAt time.Time
	}

	pendingChange struct {
		parts  Parts
		status bool
		due    time.Time
	}
)

// DefaultSettings make a state at most some tens of milliseconds older than a message to each
// gate would.
var DefaultSettings = Settings{
	NearSpacingPerGate: 800 * time.Microsecond, FarSpacingPerEngine: 500 * time.Microsecond, MinSpacing: 4 * time.Millisecond, MaxSpacing: 100 * time.Millisecond,
	FarDelayPerEngine: 2 * time.Millisecond, MaxFarDelay: 200 * time.Millisecond, StandbyDelay: 150 * time.Millisecond, ConfirmInterval: time.Second, Silence: 800 * time.Millisecond,
}

const (
	// longPrompt is the number of tokens from which on a prompt delays others for longer than
	// a summary takes.
	longPrompt = 1500
	// maxChanges and maxConfirmed keep a summary within a few thousand bytes.
	maxChanges   = 120
	maxConfirmed = 800
	maxParts     = 400 // keys in one summary
	// stallTime is the time between two calls of a board after which this process counts as
	// stopped. Gates call TakeSilent every 100 ms.
	stallTime = 400 * time.Millisecond
	// recallInterval is the time between two recalls of an engine's state.
	recallInterval = 500 * time.Millisecond
	// Never is the time until an audience is due to which nothing is to be sent.
	Never = time.Duration(math.MaxInt64)
)

// New returns a board without engines and without duty.
func New(s Settings, clock clockwork.Clock) *Board {
	b := &Board{settings: s, clock: clock, engines: make(map[netip.Addr]*engine)}
	for i := range b.audiences {
		b.audiences[i].pending = make(map[netip.Addr]*pendingChange)
	}
	return b
}

// SetDuty sets what this gate does. If the zones that it collects have changed, it sends each
// engine's state with its next report.
func (b *Board) SetDuty(d Duty) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := d.Zones != b.duty.Zones
	b.duty = d
	if !changed {
		return
	}
	for i := range b.audiences {
		clear(b.audiences[i].pending)
		b.audiences[i].lost = nil
	}
	for _, e := range b.engines {
		e.ownZone, e.direct = false, false
	}
}

func (d Duty) collects() bool { return d.Zones != "" }

// Counts returns the counters.
func (b *Board) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Engines = len(b.engines)
	return c
}

// Forget drops engines that are no longer listed.
func (b *Board) Forget(listed func(netip.Addr) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for host := range b.engines {
		if !listed(host) {
			delete(b.engines, host)
			for i := range b.audiences {
				delete(b.audiences[i].pending, host)
			}
		}
	}
}

// Report takes the report of an engine's keeper, which may be in a zone that this gate does not
// collect any more: keepers report to it for a while after. It returns false if the report is
// older than the last one.
func (b *Board) Report(host netip.Addr, s State, parts Parts, c Collecting) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.counts.Reports++
	b.noticeStop(now)
	e := b.engine(host)
	if e.known && !e.lost && s.Number < e.Number && now.Sub(e.heardAt) < b.settings.Silence {
		return false
	}
	first := !e.known || e.ownZone != c.Collected || e.lost
	statusChanged := first || !s.Status.equal(e.Status) || s.OutdatedSince.IsZero() != e.OutdatedSince.IsZero()
	loadChanged := first || loadChanged(e.Load, s.Load)
	urgent := statusChanged || len(parts.Added) > 0 || s.Reading-e.Reading >= longPrompt
	e.ownZone, e.direct, e.known, e.lost, e.heardAt = c.Collected, true, true, false, now
	e.primary = c.Alone || int(e.digest%2) == c.Slot
	if !statusChanged && !loadChanged && parts.empty() {
		e.State.Reading = s.Reading
		return true
	}
	e.State = s
	if statusChanged {
		e.base = uint8(s.Number)
	}
	if c.Collected && b.duty.collects() {
		b.notify(host, e, parts, statusChanged, urgent, now)
	}
	return true
}

// loadChanged reports whether a load tells more than time passing does: what is being read
// becomes less at a known rate.
func loadChanged(x, y Load) bool {
	reading := y.Reading > x.Reading || (x.Reading > 0) != (y.Reading > 0)
	return reading || x.Running != y.Running || x.Waiting != y.Waiting || x.CacheUsed != y.CacheUsed
}

// notify notes a change of an engine of this zone for both audiences.
func (b *Board) notify(host netip.Addr, e *engine, parts Parts, status, urgent bool, now time.Time) {
	near, far := now, now.Add(min(b.settings.FarDelayPerEngine*time.Duration(b.duty.ZoneEngines), b.settings.MaxFarDelay))
	if urgent {
		far = now
	}
	if !e.primary {
		near, far = near.Add(b.settings.StandbyDelay), far.Add(b.settings.StandbyDelay)
	}
	b.audiences[Near].add(host, parts, status, near)
	b.audiences[Far].add(host, parts, status, far)
}

func (a *audience) add(host netip.Addr, parts Parts, status bool, due time.Time) {
	p, ok := a.pending[host]
	if !ok {
		p = &pendingChange{due: due}
		a.pending[host] = p
	}
	p.parts.add(parts)
	p.status = p.status || status
	if due.Before(p.due) {
		p.due = due
	}
}

func (e *engine) address(host netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(host, e.Status.Port)
}

func (b *Board) engine(host netip.Addr) *engine {
	e, ok := b.engines[host]
	if !ok {
		text, _ := host.MarshalBinary() // never fails
		e = &engine{digest: xxhash.Sum64(text)}
		b.engines[host] = e
	}
	return e
}

// Apply takes a summary. It returns what this gate learns from it, and the hosts whose state
// the sender should send again.
func (b *Board) Apply(s Summary, origin Origin) (updates []Update, recall []netip.Addr) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for _, c := range s.Changes {
		if u, ok := b.applyChange(c, origin, now); ok {
			updates = append(updates, u)
		} else if b.recall(c.Host, now) {
			recall = append(recall, c.Host)
		}
	}
	for _, c := range s.Confirmed {
		e := b.engine(c.Host)
		switch {
		case e.ownZone:
		case e.known && uint8(e.Number) == c.Number:
			e.heardAt, e.lost, e.direct, e.handedOn = now, false, false, b.handsOn(origin)
			updates = append(updates, Confirmed{e.address(c.Host)})
		case b.recall(c.Host, now):
			recall = append(recall, c.Host)
		}
	}
	for _, host := range s.Lost {
		if e := b.engine(host); !e.ownZone && e.known {
			e.known, e.lost = false, true
			updates = append(updates, Lost{e.address(host)})
			if b.handsOn(origin) {
				b.audiences[Near].lost = append(b.audiences[Near].lost, host)
			}
		}
	}
	return updates, recall
}

func (b *Board) handsOn(origin Origin) bool { return origin == Other && b.duty.collects() }

// applyChange returns false if this gate lacks an earlier change of the engine.
func (b *Board) applyChange(c Change, origin Origin, now time.Time) (Update, bool) {
	e := b.engine(c.Host)
	if e.ownZone {
		b.covered(c)
		return Confirmed{e.address(c.Host)}, true // its keeper's own report has said so
	}
	if e.known && c.Number < e.Number && now.Sub(e.heardAt) < b.settings.Silence {
		return Confirmed{e.address(c.Host)}, true // it came late
	}
	if c.Status == nil && (!e.known || e.base != c.Base) {
		return nil, false
	}
	e.Number, e.Load, e.known, e.lost, e.direct, e.heardAt = c.Number, c.Load, true, false, false, now
	if c.Status != nil {
		e.Status, e.base, e.OutdatedSince = *c.Status, c.Base, time.Time{}
		if c.OutdatedFor > 0 {
			e.OutdatedSince = now.Add(-c.OutdatedFor)
		}
	}
	e.handedOn = b.handsOn(origin)
	if e.handedOn {
		b.audiences[Near].add(c.Host, c.Parts, c.Status != nil, now)
	}
	return Changed{e.address(c.Host), e.State, c.Parts}, true
}

// covered drops a change that the other collector of the zone has sent.
func (b *Board) covered(c Change) {
	e := b.engines[c.Host]
	if e.primary || c.Number < e.Number {
		return
	}
	for i := range b.audiences {
		delete(b.audiences[i].pending, c.Host)
	}
}

func (b *Board) recall(host netip.Addr, now time.Time) bool {
	e := b.engine(host)
	if e.ownZone || now.Sub(e.recalled) < recallInterval {
		return false
	}
	e.recalled = now
	b.counts.Recalled++
	return true
}

// Due returns the time until a summary is to be sent to an audience, or Never. Confirmations
// and the silence of keepers are due at ConfirmInterval.
func (b *Board) Due(to Audience) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.duty.collects() {
		return Never
	}
	now := b.clock.Now()
	b.noticeStop(now)
	a := &b.audiences[to]
	next := a.confirmedAt.Add(b.settings.ConfirmInterval)
	if len(a.lost) > 0 {
		next = now
	}
	for _, p := range a.pending {
		if p.due.Before(next) {
			next = p.due
		}
	}
	if earliest := a.sentAt.Add(b.spacing(to)); next.Before(earliest) {
		next = earliest
	}
	return max(next.Sub(now), 0)
}

func (b *Board) spacing(to Audience) time.Duration {
	d := b.settings.NearSpacingPerGate * time.Duration(b.duty.Gates)
	if to == Far {
		d = b.settings.FarSpacingPerEngine * time.Duration(b.duty.ZoneEngines)
	}
	return min(max(d, b.settings.MinSpacing), b.settings.MaxSpacing)
}

// Next returns the summaries that are due to an audience now, which may be none.
func (b *Board) Next(to Audience) []Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if !b.duty.collects() {
		return nil
	}
	b.noticeStop(now)
	b.findLost(now)
	a := &b.audiences[to]
	var s Summary
	s.Lost, a.lost = a.lost, nil
	s.Changes = b.takeChanges(a, now)
	confirms := now.Sub(a.confirmedAt) >= b.settings.ConfirmInterval
	if confirms {
		a.confirmedAt = now
		s.Confirmed = b.confirmations(to, now)
	}
	if len(s.Changes)+len(s.Lost)+len(s.Confirmed) == 0 {
		return nil
	}
	a.sentAt = now
	b.counts.Changes += len(s.Changes)
	summaries := []Summary{s}
	for len(summaries[len(summaries)-1].Confirmed) > maxConfirmed {
		last := &summaries[len(summaries)-1]
		rest := last.Confirmed[maxConfirmed:]
		last.Confirmed = last.Confirmed[:maxConfirmed]
		summaries = append(summaries, Summary{Confirmed: rest})
	}
	b.counts.Sent += len(summaries)
	return summaries
}

// takeChanges returns the changes that are due to an audience, the earliest first.
func (b *Board) takeChanges(a *audience, now time.Time) []Change {
	var due []netip.Addr
	for host, p := range a.pending {
		if !p.due.After(now) {
			due = append(due, host)
		}
	}
	slices.SortFunc(due, func(x, y netip.Addr) int {
		return cmp.Or(a.pending[x].due.Compare(a.pending[y].due), x.Compare(y))
	})
	var changes []Change
	parts := 0
	for i, host := range due {
		p, e := a.pending[host], b.engines[host]
		parts += len(p.parts.Added) + len(p.parts.Evicted) + len(p.parts.Stored)
		if len(changes) == maxChanges || (parts > maxParts && len(changes) > 0) {
			b.counts.Deferred += len(due) - i
			break
		}
		delete(a.pending, host)
		if e.known {
			changes = append(changes, e.change(host, p, now))
		}
	}
	return changes
}

func (e *engine) change(host netip.Addr, p *pendingChange, now time.Time) Change {
	c := Change{Host: host, Number: e.Number, Base: e.base, Load: e.Load, Parts: p.parts}
	if p.status {
		status := e.Status
		c.Status = &status
		if !e.OutdatedSince.IsZero() {
			c.OutdatedFor = now.Sub(e.OutdatedSince)
		}
	}
	return c
}

// noticeStop starts the silence of all keepers again after this process was stopped: what they
// sent meanwhile may not have been read yet.
func (b *Board) noticeStop(now time.Time) {
	if !b.calledAt.IsZero() && now.Sub(b.calledAt) >= stallTime {
		b.resumedAt = now
	}
	b.calledAt = now
}

// heardSinceStop reports whether what is known of an engine is not older than a stop of this
// process, in which the engine may have been lost.
func (b *Board) heardSinceStop(e *engine) bool {
	return !e.direct || b.resumedAt.IsZero() || !e.heardAt.Before(b.resumedAt)
}

// silence returns for how long an engine's keeper could have been heard and was not.
func (b *Board) silence(e *engine, now time.Time) time.Duration {
	if e.heardAt.Before(b.resumedAt) {
		return now.Sub(b.resumedAt)
	}
	return now.Sub(e.heardAt)
}

// findLost notes the engines whose keepers report to this gate and are silent.
func (b *Board) findLost(now time.Time) {
	for host, e := range b.engines {
		if e.direct && e.known && b.silence(e, now) >= b.settings.Silence {
			e.known, e.lost = false, true
			b.counts.LostHere++
			b.silent = append(b.silent, e.address(host))
			if !e.ownZone {
				continue
			}
			for i := range b.audiences {
				b.audiences[i].lost = append(b.audiences[i].lost, host)
				delete(b.audiences[i].pending, host)
			}
		}
	}
}

// TakeSilent returns the engines whose keepers reported to this gate and have gone silent since
// the last call.
func (b *Board) TakeSilent() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.noticeStop(now)
	b.findLost(now)
	list := b.silent
	b.silent = nil
	return list
}

// confirmations returns the engines that are confirmed to an audience: to other zones those of
// this zone, of which this gate is the primary collector; to this zone also those of others.
func (b *Board) confirmations(to Audience, now time.Time) []Confirmation {
	var list []Confirmation
	for _, host := range slices.SortedFunc(maps.Keys(b.engines), netip.Addr.Compare) {
		e := b.engines[host]
		_, pending := b.audiences[to].pending[host]
		switch {
		case !e.known || pending || !b.heardSinceStop(e):
		case e.ownZone && !e.primary:
		case !e.ownZone && (to == Far || !e.handedOn || !e.heardAt.After(e.confirmed)):
		default:
			if to == Near {
				e.confirmed = now
			}
			list = append(list, Confirmation{host, uint8(e.Number)})
		}
	}
	return list
}

// States returns the state of each engine that is known.
func (b *Board) States() []Changed {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Changed
	for host, e := range b.engines {
		if e.known {
			list = append(list, Changed{Engine: e.address(host), State: e.State})
		}
	}
	return list
}

// Answer returns the states of the given engines, or of all if none are given, for a gate that
// has recalled them.
func (b *Board) Answer(hosts []netip.Addr, parts func(netip.Addr) Parts) []Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if len(hosts) == 0 {
		hosts = slices.SortedFunc(maps.Keys(b.engines), netip.Addr.Compare)
	}
	var summaries []Summary
	var s Summary
	keys := 0
	for _, host := range hosts {
		e, ok := b.engines[host]
		if !ok || !e.known || !b.heardSinceStop(e) {
			continue
		}
		p := &pendingChange{status: true, parts: parts(host)}
		s.Changes = append(s.Changes, e.change(host, p, now))
		keys += len(p.parts.Added) + len(p.parts.Stored)
		if len(s.Changes) >= maxChanges || keys >= maxParts {
			summaries, s, keys = append(summaries, s), Summary{}, 0
		}
	}
	if len(s.Changes) > 0 {
		summaries = append(summaries, s)
	}
	return summaries
}
