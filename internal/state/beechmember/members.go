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
	// Settings of Members. Zero fields get the defaults named.
	Settings struct {
		Damping    time.Duration // wait after the second loss, doubled by each further one; 1 s
		MaxDamping time.Duration // longest such wait; 30 s
		LossReset  time.Duration // a link that holds so long has its losses forgotten; 60 s
		Retention  time.Duration // a process that is gone is remembered so long; 10 min
	}

	// Member is what is known of one process.
	Member struct {
		Host        beechstore.Host // from the list; only the address if it was never there
		Incarnation uint64          // 0 before the first link
		Linked      bool
		Leaving     bool
		Usable      bool
	}

	// Members is the view of one process. All methods may be called at once.
	Members struct {
		clock    clockwork.Clock
		settings Settings

		mu      sync.Mutex
		members map[netip.AddrPort]*member
		changed chan struct{}
	}

	member struct {
		host        beechstore.Host
		listed      bool
		listLeaving bool // the list said that it leaves
		incarnation uint64
		replaced    uint64 // a greater incarnation that was there before
		linked      bool
		saidLeaving bool      // its own word, which is final
		toldLeaving bool      // the list's word on this incarnation
		since       time.Time // of the last change of linked
		losses      int
	}
)

const (
	defaultDamping    = time.Second
	defaultMaxDamping = 30 * time.Second
	defaultForget     = time.Minute
	defaultRemember   = 10 * time.Minute
	maxDoublings      = 16
)

// New starts without members.
func New(clock clockwork.Clock, settings Settings) *Members {
	if settings.Damping == 0 {
		settings.Damping = defaultDamping
	}
	if settings.MaxDamping == 0 {
		settings.MaxDamping = defaultMaxDamping
	}
	if settings.LossReset == 0 {
		settings.LossReset = defaultForget
	}
	if settings.Retention == 0 {
		settings.Retention = defaultRemember
	}
	return &Members{clock: clock, settings: settings, members: map[netip.AddrPort]*member{}, changed: make(chan struct{})}
}

// UpdateHosts takes the platform's host list. A host that is no longer listed
// stays while a link to it is up. That it leaves is believed once, of the
// incarnation that is there then, until the list takes it back: the list is late,
// and may go on saying so of a process that has been replaced at the same address.
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
		x.toldLeaving = h.Leaving && (x.toldLeaving || !x.listLeaving)
		x.listLeaving = h.Leaving
	}
	m.forget()
	m.notify()
}

// forget drops what has been gone for long. Dropped at once, a process that
// said that it leaves would look new to a late heartbeat, and get work again.
func (m *Members) forget() {
	for address, x := range m.members {
		if !x.listed && !x.linked && m.clock.Since(x.since) > m.settings.Retention {
			delete(m.members, address)
		}
	}
}

// HandshakeDone says that a handshake with the process was made just now. Unlike late
// news it is believed also with a smaller incarnation: incarnations come from
// clocks, and a host that was replaced may have one that is behind. Without this
// a replaced host would get no work until its clock had caught up.
func (m *Members) HandshakeDone(address netip.AddrPort, incarnation uint64) {
	m.mu.Lock()
	x := m.get(address)
	if incarnation < x.incarnation {
		x.replaced = x.incarnation
		x.incarnation = incarnation
		x.saidLeaving, x.toldLeaving = false, false
		x.linked = false
	}
	m.mu.Unlock()
	m.LinkUp(address, incarnation)
}

// LinkUp says that a link to the process is up.
func (m *Members) LinkUp(address netip.AddrPort, incarnation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.get(address)
	if x.outdated(incarnation) {
		return
	}
	x.renew(incarnation)
	if !x.linked {
		x.linked = true
		x.since = m.clock.Now()
	}
	m.notify()
}

// LinkDown says that the link to the process is lost.
func (m *Members) LinkDown(address netip.AddrPort, incarnation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.members[address]
	if !ok || x.outdated(incarnation) || !x.linked {
		return
	}
	if m.clock.Since(x.since) >= m.settings.LossReset {
		x.losses = 0
	}
	x.losses++
	x.linked = false
	x.since = m.clock.Now()
	m.notify()
}

// UpdateLeaving takes a process's own word about leaving.
func (m *Members) UpdateLeaving(address netip.AddrPort, incarnation uint64, leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.get(address)
	if x.outdated(incarnation) {
		return
	}
	x.renew(incarnation)
	if leaving && !x.saidLeaving {
		x.saidLeaving = true
		m.notify()
	}
}

// Members gives what is known, ordered by address.
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

// Usable tells whether the process may be given new work.
func (m *Members) Usable(address netip.AddrPort) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.members[address]
	return ok && m.usable(x)
}

// Changed gives a channel that closes with the next change. The end of a
// damping wait is no change; Usable tells it.
func (m *Members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *Members) get(address netip.AddrPort) *member {
	x, ok := m.members[address]
	if !ok {
		x = &member{host: beechstore.Host{Address: address}, since: m.clock.Now()}
		m.members[address] = x
	}
	return x
}

func (m *Members) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Members) usable(x *member) bool {
	return x.linked && !x.leaving() && m.clock.Since(x.since) >= m.damping(x.losses)
}

// damping is nothing for the first loss: an ordinary restart is no flapping.
func (m *Members) damping(losses int) time.Duration {
	if losses < 2 {
		return 0
	}
	return min(m.settings.Damping<<min(losses-2, maxDoublings), m.settings.MaxDamping)
}

func (x *member) leaving() bool { return x.saidLeaving || x.toldLeaving }

// outdated tells whether news of an incarnation is about one that is gone.
func (x *member) outdated(incarnation uint64) bool {
	return incarnation < x.incarnation || (incarnation == x.replaced && x.replaced > 0)
}

// renew forgets what an earlier incarnation has said, and its link, whose
// loss would be passed over as late news. The first one that is seen keeps
// what the list has said of it.
func (x *member) renew(incarnation uint64) {
	if incarnation <= x.incarnation {
		return
	}
	if x.incarnation > 0 {
		x.saidLeaving, x.toldLeaving = false, false
		x.linked = false
	}
	x.incarnation = incarnation
}
