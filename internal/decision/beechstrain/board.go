package beechstrain

import (
	"cmp"
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
		NearSpacing  time.Duration // between messages to the gates of this zone
		FarSpacing   time.Duration // between messages to other zones, to which each byte is paid for
		StandbyDelay time.Duration // after which the second collector of a zone takes the first for silent
		Silence      time.Duration // after which a lower number is that of a keeper that has restarted
	}

	// Counts are a board's counters.
	Counts struct {
		Hosts   int
		Reports int // of keepers
		Applied int // strains of other gates that were new
		Late    int // strains that were not newer than what was known
		Sent    int // strains in messages, to each audience
	}

	// Role is what a gate does with the report of a keeper.
	Role int

	// Audience is a group of receivers.
	Audience int

	// Board keeps the strains of all engines' hosts and which are to be passed on. It is safe
	// for concurrent use.
	Board struct {
		settings Settings
		clock    clockwork.Clock

		mu     sync.Mutex
		hosts  map[netip.Addr]*host
		sentAt [audiences]time.Time
		counts Counts
	}

	host struct {
		strain  Strain
		heardAt time.Time
		due     [audiences]time.Time // zero: nothing is to be sent
	}
)

// Roles.
const (
	Listener Role = iota // passes nothing on
	Primary
	Standby
)

// Audiences.
const (
	Near Audience = iota // the gates of this zone
	Far                  // the other zones
	audiences
)

const (
	// Never is the time until an audience is due to which nothing is to be sent.
	Never      = time.Duration(math.MaxInt64)
	maxStrains = 100 // in one message, at some 30 bytes each
)

// DefaultSettings of gates.
var DefaultSettings = Settings{
	NearSpacing: 10 * time.Millisecond, FarSpacing: 100 * time.Millisecond, StandbyDelay: 150 * time.Millisecond, Silence: 3 * time.Second,
}

// New returns a board that knows no hosts.
func New(s Settings, clock clockwork.Clock) *Board {
	return &Board{settings: s, clock: clock, hosts: make(map[netip.Addr]*host)}
}

// RoleOf returns the role of a collector for the engine at a host. The two collectors of a zone
// share its engines.
func RoleOf(engine netip.Addr, slot int, alone bool) Role {
	text, _ := engine.MarshalBinary() // never fails
	if alone || int(xxhash.Sum64(text)%2) == slot {
		return Primary
	}
	return Standby
}

// Report takes the report of a keeper. It returns false if the report is not newer than what is
// known.
func (b *Board) Report(s Strain, r Role) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Reports++
	now := b.clock.Now()
	h, ok := b.record(s, now)
	if !ok || r == Listener {
		return ok
	}
	due := now
	if r == Standby {
		due = due.Add(b.settings.StandbyDelay)
	}
	for a := range h.due {
		h.setDue(Audience(a), due)
	}
	return true
}

// Apply takes strains that another gate has sent, and returns those that are newer than what was
// known. Those to hand on are due to the gates of this zone; the others have reached them.
func (b *Board) Apply(strains []Strain, handOn bool) []Strain {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var newer []Strain
	for _, s := range strains {
		h, ok := b.record(s, now)
		if ok {
			b.counts.Applied++
			newer = append(newer, s)
		}
		switch {
		case ok && handOn:
			h.setDue(Near, now)
		case !handOn && s.Number >= h.strain.Number:
			h.due = [audiences]time.Time{} // the other collector has sent it
		}
	}
	return newer
}

// record keeps a strain that is newer than the known one of its host.
func (b *Board) record(s Strain, now time.Time) (*host, bool) {
	h, known := b.hosts[s.Host]
	if !known {
		h = &host{}
		b.hosts[s.Host] = h
	}
	if known && s.Number <= h.strain.Number && now.Sub(h.heardAt) < b.settings.Silence {
		b.counts.Late++
		return h, false
	}
	h.strain, h.heardAt = s, now
	return h, true
}

// setDue makes a strain due, unless it is due earlier.
func (h *host) setDue(a Audience, at time.Time) {
	if h.due[a].IsZero() || at.Before(h.due[a]) {
		h.due[a] = at
	}
}

// Due returns the time until a message is to be sent to an audience, or Never.
func (b *Board) Due(a Audience) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var first time.Time
	for _, h := range b.hosts {
		if !h.due[a].IsZero() && (first.IsZero() || h.due[a].Before(first)) {
			first = h.due[a]
		}
	}
	if first.IsZero() {
		return Never
	}
	if earliest := b.sentAt[a].Add(b.spacing(a)); first.Before(earliest) {
		first = earliest
	}
	return max(first.Sub(b.clock.Now()), 0)
}

func (b *Board) spacing(a Audience) time.Duration {
	if a == Far {
		return b.settings.FarSpacing
	}
	return b.settings.NearSpacing
}

// Next returns the strains that are due to an audience, the earliest first and as many as one
// message takes.
func (b *Board) Next(a Audience) []Strain {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var due []*host
	for _, h := range b.hosts {
		if !h.due[a].IsZero() && !h.due[a].After(now) {
			due = append(due, h)
		}
	}
	slices.SortFunc(due, func(x, y *host) int {
		return cmp.Or(x.due[a].Compare(y.due[a]), x.strain.Host.Compare(y.strain.Host))
	})
	due = due[:min(len(due), maxStrains)]
	if len(due) == 0 {
		return nil
	}
	strains := make([]Strain, 0, len(due))
	for _, h := range due {
		h.due[a] = time.Time{}
		strains = append(strains, h.strain)
	}
	b.sentAt[a] = now
	b.counts.Sent += len(strains)
	return strains
}

// Forget drops hosts whose engines are no longer listed.
func (b *Board) Forget(listed func(netip.Addr) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for address := range b.hosts {
		if !listed(address) {
			delete(b.hosts, address)
		}
	}
}

// Counts returns the counters.
func (b *Board) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Hosts = len(b.hosts)
	return c
}
