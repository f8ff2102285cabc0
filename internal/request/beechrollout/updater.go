package beechrollout

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Target is the version that an engine is to load.
	Target struct {
		Model      string
		Version    uint64
		Fence      uint64    // fencing number for keepers that get none from the store
		Granted    bool      // a gate has scheduled the update
		FallbackAt time.Time // when the keeper updates the engine on its own if it hears from no gate
	}

	// Report is the state that an engine reports.
	Report struct {
		Known    bool
		Silent   bool // not known since the engine does not answer now, as a sound one may for a moment
		Exited   bool // not known since the engine's process has ended
		Versions map[string]uint64
		Busy     bool // an order is being carried out
		Sequence uint64
		Born     uint64 // when its lifetime began, in Unix milliseconds; 0: not reported
		Running  int
		Waiting  int
	}

	// Updater is the state machine that takes one engine through its weight updates.
	// It is not safe for concurrent use.
	Updater struct {
		settings         Settings
		targets          map[string]Target
		versions         map[string]*VersionHistory
		targetSetAt      time.Time      // when a gate last sent a target
		drainingSince    time.Time      // when the engine stopped taking new requests; zero: it takes them
		orderedAt        time.Time      // when the last order was sent
		missedReports    int            // consecutive
		unansweredOrders int            // consecutive
		unanswered       map[string]int // the same by model
		orderPending     bool           // an order was sent and is not known to have ended
		loadStartedAt    time.Time      // when the order for the load under way was accepted; zero: no load
		versionSumBefore uint64         // Report.versionSum before that load
		loadTime         time.Duration  // of the last load
		lastOrder        Order          // zero: none
		lastReport       Report         // that arrived
		fence            fencing
		hold             Hold                 // as of the last report
		rejected         map[string]rejection // versions that the engine does not know, by model
	}

	// rejection is an order that the engine has rejected because it does not know the version.
	rejection struct {
		target Target
		at     time.Time
	}

	// Step is what to do next: Wait or Order.
	Step interface{ step() }

	// Wait calls for no action for the duration After. Phase is how the engine may be
	// used meanwhile.
	Wait struct {
		After time.Duration
		Phase Phase
	}

	// Order is to be sent for the target under the fencing number, on the condition that
	// the engine's sequence number is still Sequence.
	Order struct {
		Target   Target
		Fence    uint64
		Sequence uint64
		Due      []string // all models that the engine has not loaded in the target version, sorted
	}

	// Answer is an engine's response to an order.
	Answer int

	// Phase is how an engine may be used.
	Phase int

	// Hold is why an update that is due does not begin.
	Hold int
)

// Phases of an engine.
const (
	Serving Phase = iota
	Leaving       // draining: it receives no new requests, since its update is about to start
	Loading       // an order is being carried out
	Down          // it does not answer its own host
	Silent        // it serves, and has not answered its own host for a moment
	Exited        // its process has ended: nothing listens on its host
)

// Answers to orders.
const (
	Taken      Answer = iota // the order is being carried out or already holds
	Conflict                 // another order is being carried out, or the sequence differs: check the state again
	Unanswered               // no answer
	Fenced                   // refused: the engine has seen a higher fencing number
	Rejected                 // refused: the engine does not know the version
)

// Reasons to hold an update back.
const (
	NotHeld          Hold = iota // or none is due
	HeldByGates                  // no gate has granted it
	HeldWithoutFence             // no gate has sent a fencing number yet
	HeldByFence                  // the engine has refused the fencing number
	HeldByRejection              // the engine has rejected the version
)

const (
	idlePollInterval       = 200 * time.Millisecond
	activePollInterval     = 40 * time.Millisecond
	orderRetryInterval     = 700 * time.Millisecond // an order without effect is repeated
	missedReportsUntilTold = 2                      // one report may be lost with a kept-alive connection
	gateTimeout            = 3 * time.Second        // without messages from gates, a keeper acts on its own; gates send every 0.7 s
	inFlightDelay          = 60 * time.Millisecond  // requests sent before the gates learned of the draining have arrived by then
	rejectionRetryInterval = 10 * time.Second       // without a newer announcement
)

func (Wait) step()  {}
func (Order) step() {}

// String returns the phase's name in metrics.
func (p Phase) String() string {
	switch p {
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	case Loading:
		return "loading"
	case Down:
		return "down"
	case Silent:
		return "silent"
	case Exited:
		return "exited"
	}
	return "unknown" // received in a datagram
}

// IsDown reports whether the engine does not answer its own host, for whatever reason.
func (p Phase) IsDown() bool { return p == Down || p == Exited }

// String returns the answer's name in metrics.
func (a Answer) String() string {
	switch a {
	case Taken:
		return "taken"
	case Conflict:
		return "conflict"
	case Fenced:
		return "fenced"
	case Rejected:
		return "rejected"
	}
	return "silent"
}

// String returns the reason's name in logs and metrics, or an empty string without one.
func (h Hold) String() string {
	switch h {
	case HeldByGates:
		return "not granted"
	case HeldWithoutFence:
		return "no fencing number"
	case HeldByFence:
		return "fencing number refused"
	case HeldByRejection:
		return "version rejected"
	}
	return ""
}

// NewUpdater returns an updater that has no target yet.
func NewUpdater(s Settings) *Updater {
	return &Updater{settings: s.withDefaults(), targets: make(map[string]Target), versions: make(map[string]*VersionHistory), rejected: make(map[string]rejection), unanswered: make(map[string]int)}
}

// SetTarget records a target that a gate has sent. An update granted by any gate stays
// granted. Older versions are ignored, so a version that is superseded before its order
// is sent is never loaded.
func (u *Updater) SetTarget(target Target, now time.Time) {
	u.targetSetAt = now
	u.fence.announced = max(u.fence.announced, target.Fence)
	if u.versions[target.Model] == nil {
		u.versions[target.Model] = &VersionHistory{}
	}
	u.versions[target.Model].Add(target.Version, now)
	old, ok := u.targets[target.Model]
	if ok && old.Version > target.Version {
		return
	}
	draining := !u.drainingSince.IsZero() && !u.orderPending
	if ok && old.Granted && (old.Version == target.Version || draining) {
		target.Granted = true
	}
	u.targets[target.Model] = target
}

// NeedsFence reports whether a fencing number should be requested from a gate.
func (u *Updater) NeedsFence() bool { return u.fence.needed() }

// SetFence records a fencing number: the store's revision, which a gate has read after this
// process requested it.
func (u *Updater) SetFence(number uint64) { u.fence.set(number) }

// SetLegacyGates records whether all gates are of a release that reads no fencing numbers for
// keepers. Those that they send with targets are used then, of which a gate that lags behind
// may send a lower one than the last process of this keeper has used.
func (u *Updater) SetLegacyGates(legacy bool) { u.fence.legacy = legacy }

// Fence returns the fencing number that this process has got from the store; 0: none yet.
func (u *Updater) Fence() uint64 { return u.fence.number }

// Held returns why an update that is due does not begin, as of the last report.
func (u *Updater) Held() Hold { return u.hold }

// Due returns the models that the engine has not loaded in the target version, sorted.
func (u *Updater) Due() []string {
	var due []string
	for model, target := range u.targets {
		if have, serves := u.lastReport.Versions[model]; serves && have < target.Version {
			due = append(due, model)
		}
	}
	slices.Sort(due)
	return due
}

// SupersededFor returns for how long the engine's weights have been superseded, as far
// as this keeper knows; 0: they are not.
func (u *Updater) SupersededFor(now time.Time) time.Duration {
	var longest time.Duration
	for model, have := range u.lastReport.Versions {
		if v, ok := u.versions[model]; ok {
			age, _ := v.SupersededFor(have, now)
			longest = max(longest, age)
		}
	}
	return longest
}

// LoadTime returns how long the engine's last load took, from the order's acceptance
// to the report of newer weights; 0 before the first load. Only the keeper can measure
// it: gates see the load begin when the order is sent, and an order without an answer may be
// accepted seconds later.
func (u *Updater) LoadTime() time.Duration { return u.loadTime }

// trackLoad measures a load from its start to its end.
func (u *Updater) trackLoad(now time.Time, r Report) {
	switch {
	case r.Busy && u.loadStartedAt.IsZero():
		u.loadStartedAt, u.versionSumBefore = now, r.versionSum()
	case !r.Busy && !u.loadStartedAt.IsZero() && r.versionSum() > u.versionSumBefore:
		u.loadStartedAt, u.loadTime = time.Time{}, now.Sub(u.loadStartedAt)
	case !r.Busy && !u.orderPending:
		u.loadStartedAt = time.Time{}
	}
}

// versionSum returns the sum of the versions of all models; it grows with each load.
func (r Report) versionSum() uint64 {
	sum := uint64(0)
	for _, version := range r.Versions {
		sum += version
	}
	return sum
}

// UnansweredOrders returns how many consecutive orders the engine has not answered. An engine
// that can get no orders counts as one that answers none, so that gates pass it over instead
// of keeping a place in the rollout for it.
func (u *Updater) UnansweredOrders() int {
	switch u.hold {
	case HeldWithoutFence, HeldByFence, HeldByRejection:
		return max(u.unansweredOrders, maxUnansweredOrders)
	}
	return u.unansweredOrders
}

// Restarted reports whether the engine has restarted under the same ID since an earlier
// report: its lifetime began at another time, or its sequence number went back.
func (r Report) Restarted(before Report) bool {
	return (r.Born != before.Born && before.Born != 0) || r.Sequence < before.Sequence
}

// Next returns what to do, given the engine's latest report.
func (u *Updater) Next(now time.Time, r Report) Step {
	if !r.Known {
		u.missedReports++
		return Wait{After: activePollInterval, Phase: u.phaseWithoutReport(r)}
	}
	u.missedReports = 0
	if r.Restarted(u.lastReport) {
		u.endUpdate() // a restart cancels the order that was under way
		u.fence.engineRestarted()
		clear(u.rejected)
	}
	u.trackLoad(now, r)
	u.lastReport = r
	if r.Busy {
		u.orderPending, u.unansweredOrders = true, 0
		return Wait{After: activePollInterval, Phase: Loading}
	}
	if u.orderPending && r.Versions[u.lastOrder.Target.Model] >= u.lastOrder.Target.Version {
		u.endUpdate() // a newer version announced meanwhile is scheduled separately
	}
	due := u.dueTargets(r, now)
	if len(due) == 0 {
		u.hold = NotHeld
		if len(u.Due()) > 0 {
			u.hold = HeldByRejection
		}
		u.endUpdate()
		return Wait{After: idlePollInterval, Phase: Serving}
	}
	target := due[0]
	number, hold := u.fence.current(now)
	if u.hold = hold; hold != NotHeld {
		u.endUpdate()
		return Wait{After: idlePollInterval, Phase: Serving}
	}
	if u.drainingSince.IsZero() && !u.mayUpdate(target, now) {
		u.hold = HeldByGates
		return Wait{After: idlePollInterval, Phase: Serving}
	}
	if u.drainingSince.IsZero() {
		u.drainingSince = now
		return Wait{After: activePollInterval, Phase: Leaving}
	}
	if u.orderPending && now.Sub(u.orderedAt) < orderRetryInterval {
		return Wait{After: activePollInterval, Phase: Loading}
	}
	if u.unansweredOrders > 0 && now.Sub(u.orderedAt) < orderRetryInterval {
		// The order may be carried out at any time or never. Until then the engine
		// serves as before; without new requests it, and with it a whole fleet,
		// would stand idle for as long as orders are lost.
		return Wait{After: activePollInterval, Phase: Serving}
	}
	empty := r.Running == 0 && r.Waiting == 0 && now.Sub(u.drainingSince) >= inFlightDelay
	if u.unansweredOrders == 0 && !empty && now.Sub(u.drainingSince) < u.settings.DrainTime {
		return Wait{After: activePollInterval, Phase: Leaving}
	}
	u.fence.use(number)
	u.lastOrder = Order{Target: target, Fence: number, Sequence: r.Sequence, Due: u.Due()}
	u.orderedAt, u.orderPending = now, true
	return u.lastOrder
}

// RecordAnswer records how the engine responded to the last order. An order without an
// answer may still be carried out as long as the sequence number matches; carrying it out
// changes that number.
func (u *Updater) RecordAnswer(a Answer) {
	switch a {
	case Taken:
		u.orderPending, u.unansweredOrders = true, 0
		if u.loadStartedAt.IsZero() {
			u.loadStartedAt, u.versionSumBefore = u.orderedAt, u.lastReport.versionSum()
		}
	case Conflict:
		u.orderPending = false
		u.orderedAt = time.Time{}
	case Unanswered:
		u.orderPending = false
		u.unansweredOrders++
		u.unanswered[u.lastOrder.Target.Model]++
	case Fenced:
		u.fence.refuse(u.lastOrder.Fence, u.orderedAt)
		u.endUpdate()
	case Rejected:
		u.rejected[u.lastOrder.Target.Model] = rejection{target: u.lastOrder.Target, at: u.orderedAt}
		u.endUpdate()
	}
}

// phaseWithoutReport returns the phase while reports are missing.
func (u *Updater) phaseWithoutReport(r Report) Phase {
	phase := u.phase()
	switch {
	case u.missedReports < missedReportsUntilTold:
		return phase
	case r.Exited:
		return Exited
	case !r.Silent:
		return Down
	case phase == Serving:
		return Silent
	}
	return phase
}

func (u *Updater) phase() Phase {
	switch {
	case u.orderPending:
		return Loading
	case !u.drainingSince.IsZero() && u.unansweredOrders == 0:
		return Leaving
	}
	return Serving
}

// endUpdate lets the engine take new requests again.
func (u *Updater) endUpdate() {
	u.drainingSince, u.loadStartedAt = time.Time{}, time.Time{}
	u.orderPending, u.unansweredOrders = false, 0
	clear(u.unanswered)
}

// mayUpdate reports whether the update may start: a gate has granted it, or no gate
// is heard and the fallback delay is over.
func (u *Updater) mayUpdate(target Target, now time.Time) bool {
	return target.Granted || (now.Sub(u.targetSetAt) >= gateTimeout && !now.Before(target.FallbackAt))
}

// dueTargets returns the targets that the engine has not loaded yet and that may be ordered:
// first those that a gate has granted, among them the models with fewest unanswered orders,
// among these the one whose weights have been superseded for longest.
func (u *Updater) dueTargets(r Report, now time.Time) []Target {
	var due []Target
	for model, target := range u.targets {
		have, serves := r.Versions[model]
		if serves && have < target.Version && !u.isRejected(target, now) {
			due = append(due, target)
		}
	}
	supersededFor := func(t Target) time.Duration {
		age, _ := u.versions[t.Model].SupersededFor(r.Versions[t.Model], now)
		return age
	}
	slices.SortFunc(due, func(x, y Target) int {
		switch {
		case x.Granted && !y.Granted:
			return -1
		case y.Granted && !x.Granted:
			return 1
		}
		return cmp.Or(
			cmp.Compare(u.unanswered[x.Model], u.unanswered[y.Model]),
			cmp.Compare(supersededFor(y), supersededFor(x)),
			cmp.Compare(x.Model, y.Model),
		)
	})
	return due
}

// isRejected reports whether the engine has recently rejected a target's version and nothing has
// been announced since. A restored store may have lost the version, which operators then
// announce again.
func (u *Updater) isRejected(t Target, now time.Time) bool {
	r, ok := u.rejected[t.Model]
	return ok && t.Version == r.target.Version && t.Fence <= r.target.Fence && now.Sub(r.at) < rejectionRetryInterval
}
