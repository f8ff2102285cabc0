package beechmember

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// Settings configures Members. Zero fields get the defaults given after
	// the semicolons.
	Settings struct {
		Damping    time.Duration // wait after the second loss, doubled by each further loss; 1 s
		MaxDamping time.Duration // maximum wait; 30 s
		LossReset  time.Duration // time a link must hold for its losses to be reset; 60 s
		Retention  time.Duration // how long a process that is gone is kept; 10 min
	}

	// Member is the state of one process.
	Member struct {
		Host        beechstore.Host // from the host list; only Address is set if it was never listed
		Incarnation uint64          // 0 before the first link
		Linked      bool
		Leaving     bool
		Usable      bool
	}

	// Members is one process's view of the other processes. All methods are
	// safe for concurrent use.
	Members struct {
		clock    clockwork.Clock
		settings Settings

		mu      sync.Mutex
		members map[netip.AddrPort]*member
		changed chan struct{}
	}

	member struct {
		host                beechstore.Host
		listed              bool
		lastListLeaving     bool // the last host list showed it as leaving
		incarnation         uint64
		replacedIncarnation uint64 // the greater incarnation before the current one, 0 for none
		linked              bool
		leavingBySelf       bool      // reported by the process itself; final for the incarnation
		leavingByList       bool      // shown by the host list for this incarnation
		linkChangedAt       time.Time // time of the last change of linked
		losses              int
	}
)

const (
	defaultDamping    = time.Second
	defaultMaxDamping = 30 * time.Second
	defaultLossReset  = time.Minute
	defaultRetention  = 10 * time.Minute
	maxDoublings      = 16
)

// New returns Members without any member.
func New(clock clockwork.Clock, settings Settings) *Members {
	if settings.Damping == 0 {
		settings.Damping = defaultDamping
	}
	if settings.MaxDamping == 0 {
		settings.MaxDamping = defaultMaxDamping
	}
	if settings.LossReset == 0 {
		settings.LossReset = defaultLossReset
	}
	if settings.Retention == 0 {
		settings.Retention = defaultRetention
	}
	return &Members{clock: clock, settings: settings, members: map[netip.AddrPort]*member{}, changed: make(chan struct{})}
}

// UpdateHosts applies the platform's host list. A host that is no longer
// listed stays while a link to it is up. The leaving flag of the list applies
// only to the incarnation that is known when the flag first appears, until the
// list clears it: the list is late, and may still show the flag after the
// process has been replaced at the same address.
func (m *Members) UpdateHosts(hosts []beechstore.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, x := range m.members {
		x.listed = false
	}
	for _, h := range hosts {
		x := m.get(h.Address)
		x.host = h
		x.listed = true
		x.leavingByList = h.Leaving && (x.leavingByList || !x.lastListLeaving)
		x.lastListLeaving = h.Leaving
	}
	m.removeGone()
	m.notify()
}

// removeGone removes processes that have been gone for long. If they were
// removed immediately, a process that is leaving would look new when a late
// heartbeat arrives, and would get work again.
func (m *Members) removeGone() {
	for address, x := range m.members {
		if !x.listed && !x.linked && m.clock.Since(x.linkChangedAt) > m.settings.Retention {
			delete(m.members, address)
		}
	}
}

// HandshakeDone reports that a handshake with the process has just been made.
// Unlike a late message, it is accepted even with a smaller incarnation:
// incarnations are derived from clocks, and the clock of a replaced host may
// be behind. Otherwise the host would get no work until its clock had caught
// up.
func (m *Members) HandshakeDone(address netip.AddrPort, incarnation uint64) {
	m.mu.Lock()
	x := m.get(address)
	if incarnation < x.incarnation {
		x.replacedIncarnation = x.incarnation
		x.incarnation = incarnation
		x.leavingBySelf, x.leavingByList = false, false
		x.linked = false
	}
	m.mu.Unlock()
	m.LinkUp(address, incarnation)
}

// LinkUp reports that the link to the process is up.
func (m *Members) LinkUp(address netip.AddrPort, incarnation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.get(address)
	if x.isStale(incarnation) {
		return
	}
	x.advanceTo(incarnation)
	if !x.linked {
		x.linked = true
		x.linkChangedAt = m.clock.Now()
	}
	m.notify()
}

// LinkDown reports that the link to the process is lost.
func (m *Members) LinkDown(address netip.AddrPort, incarnation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.members[address]
	if !ok || x.isStale(incarnation) || !x.linked {
		return
	}
	if m.clock.Since(x.linkChangedAt) >= m.settings.LossReset {
		x.losses = 0
	}
	x.losses++
	x.linked = false
	x.linkChangedAt = m.clock.Now()
	m.notify()
}

// UpdateLeaving applies a process's own report of whether it is leaving. A
// report of true is final for the incarnation.
func (m *Members) UpdateLeaving(address netip.AddrPort, incarnation uint64, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.get(address)
	if x.isStale(incarnation) {
		return
	}
	x.advanceTo(incarnation)
	if leaving && !x.leavingBySelf {
		x.leavingBySelf = true
		m.notify()
	}
}

// Members returns the listed or linked processes, ordered by address.
func (m *Members) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Member, 0, len(m.members))
	for _, x := range m.members {
		if !x.listed && !x.linked {
			continue
		}
		all = append(all, Member{
			Host:        x.host,
			Incarnation: x.incarnation,
			Linked:      x.linked,
			Leaving:     x.leaving(),
			Usable:      m.usable(x),
		})
	}
	slices.SortFunc(all, func(a, b Member) int { return a.Host.Address.Compare(b.Host.Address) })
	return all
}

// Usable reports whether the process may be given new work.
func (m *Members) Usable(address netip.AddrPort) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.members[address]
	return ok && m.usable(x)
}

// Leaving reports whether the process is leaving.
func (m *Members) Leaving(address netip.AddrPort) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.members[address]
	return ok && x.leaving()
}

// Changed returns a channel that is closed at the next change. The end of a
// damping wait is not signalled; only Usable shows it.
func (m *Members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *Members) get(address netip.AddrPort) *member {
	x, ok := m.members[address]
	if !ok {
		x = &member{host: beechstore.Host{Address: address}, linkChangedAt: m.clock.Now()}
		m.members[address] = x
	}
	return x
}

func (m *Members) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Members) usable(x *member) bool {
	return x.linked && !x.leaving() && m.clock.Since(x.linkChangedAt) >= m.damping(x.losses)
}

// damping returns 0 for the first loss, since an ordinary restart is not
// flapping.
func (m *Members) damping(losses int) time.Duration {
	if losses < 2 {
		return 0
	}
	return min(m.settings.Damping<<min(losses-2, maxDoublings), m.settings.MaxDamping)
}

func (x *member) leaving() bool { return x.leavingBySelf || x.leavingByList }

// isStale reports whether a message is about an earlier incarnation.
func (x *member) isStale(incarnation uint64) bool {
	return incarnation < x.incarnation || (incarnation == x.replacedIncarnation && x.replacedIncarnation > 0)
}

// advanceTo moves to a newer incarnation and resets the leaving flags and the
// link of the earlier one; a loss of that link would be ignored as stale. The
// first known incarnation keeps the leaving flag of the host list.
func (x *member) advanceTo(incarnation uint64) {
	if incarnation <= x.incarnation {
		return
	}
	if x.incarnation > 0 {
		x.leavingBySelf, x.leavingByList = false, false
		x.linked = false
	}
	x.incarnation = incarnation
}
