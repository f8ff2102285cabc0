package beechfence

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/state/beechera"
	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// Settings configures a Guard or Slots. Zero fields get the defaults given here.
	Settings struct {
		TTL    time.Duration // of a lease; 10 s, longer than any order takes
		Margin time.Duration // the context of an order ends this long before the lease; 2 s
	}

	// Guard protects the orders of one agent to one backend server.
	Guard struct {
		store    beechstore.Store
		clock    clockwork.Clock
		server   netip.AddrPort
		settings Settings
		id       string // random, identifies this Guard

		mu     sync.Mutex
		term   term
		timing Timing
	}

	// Timing tells how old the knowledge of an order was when it was last sent. Times are those
	// of the Guard's clock.
	Timing struct {
		Number uint64
		ReadAt time.Time // just before the conditions and the number were read from the store
		SentAt time.Time // when send was called; zero if it was not, or if the check before the write failed
	}

	// term is a period in which a Guard holds the server's lease with one fencing number.
	term struct {
		lease       beechstore.Lease
		requestedAt time.Time
		number      uint64 // ordered by the store's era first; 0: the Guard holds no lease
	}

	// checkKey is the key of an order's check in its context.
	checkKey struct{}

	// fenceRecord is the value of a server's fence key, which is never deleted. Number counts
	// within an era of the store: a restored store may have lost the latest numbers.
	fenceRecord struct {
		Number uint64 `json:"number"`
		Holder string `json:"holder"`
	}

	// storedNumber is the latest fencing number in the store.
	storedNumber struct {
		fenceRecord
		fence   uint64 // Number, ordered by the store's era first; 0: there is none
		era     uint64
		version uint64 // of the key
	}
)

const (
	recordFormat      = 1
	defaultTTL        = 10 * time.Second
	defaultMargin     = 2 * time.Second
	idBytes           = 12
	maxNumberAttempts = 8

	// maxSends and maxReads bound how often an order is started again, and its reads repeated.
	maxSends = 4
	maxReads = 4

	// fastRead is the longest read that is trusted at once. A longer one means that the store is
	// slow or that the process was paused, which only another read tells apart.
	fastRead = 100 * time.Millisecond

	// maxSlowdown is how much longer slow reads may take than the fastest reads before and than as
	// many typical calls: two stops make two calls longer, but not half of all.
	maxSlowdown = 2

	// maxWriteDelay is the longest time from the reply of the reads to the write of an order. A
	// successor needs three calls to the store after the lease has ended before it sends an order.
	maxWriteDelay = 50 * time.Millisecond
)

var (
	errNumberContended = errors.New("the fencing number changed during each attempt to increment it")
	errNumberTaken     = errors.New("another agent has taken a newer fencing number")

	// ErrOutdated means that the lease and the fencing number were read too long ago, or that the
	// lease is about to end. Nothing was sent.
	ErrOutdated = errors.New("the lease and the fencing number were read too long ago")
)

// New returns a Guard without a lease.
func New(store beechstore.Store, clock clockwork.Clock, server netip.AddrPort, settings Settings) *Guard {
	return &Guard{store: store, clock: clock, server: server, settings: settings.withDefaults(), id: newID()}
}

func (s Settings) withDefaults() Settings {
	if s.TTL == 0 {
		s.TTL = defaultTTL
	}
	if s.Margin == 0 {
		s.Margin = defaultMargin
	}
	return s
}

// Order calls send with the fencing number, one call at a time. The context of send ends a
// margin before the lease, and send must return then. The order's bytes must be written only
// while CheckBeforeWrite of that context succeeds; if it fails, send must return its error, and
// is called again after the lease and the number were read again. LeaseHeld, LeaseExpired,
// ErrOutdated and the errors of beechstore mean that no order was sent. Superseded is returned
// after send. All other errors are those of send.
//
// Conditions are called before the number is read and whenever it is read again. Their errors end
// the order before send.
func (g *Guard) Order(ctx context.Context, send func(ctx context.Context, fence uint64) error, conditions ...func(context.Context) error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for range maxSends {
		if err := g.order(ctx, send, conditions); !errors.Is(err, ErrOutdated) {
			return err
		}
	}
	return fmt.Errorf("order to %s: %w", g.server, ErrOutdated)
}

func (g *Guard) order(ctx context.Context, send func(ctx context.Context, fence uint64) error, conditions []func(context.Context) error) error {
	g.timing = Timing{ReadAt: g.clock.Now()}
	if err := g.ensureTerm(ctx); err != nil {
		return err
	}
	t := g.term
	g.timing.Number = t.number
	confirmedAt, err := g.confirm(ctx, t, conditions)
	if err != nil {
		return err
	}
	left := g.remaining(t)
	if left <= 0 {
		return g.expireTerm()
	}
	sendCtx, cancel := clockwork.WithTimeout(ctx, g.clock, left)
	defer cancel()
	g.timing.SentAt = g.clock.Now()
	err = send(context.WithValue(sendCtx, checkKey{}, func() error {
		if g.passed(confirmedAt) > maxWriteDelay || g.remaining(t) <= 0 {
			return ErrOutdated
		}
		return nil
	}), t.number)
	if errors.Is(err, ErrOutdated) {
		g.timing.SentAt = time.Time{}
		return err
	}
	if g.remaining(t) <= 0 || !g.isHighest(ctx, t) {
		g.term = term{}
		return Superseded{Server: g.server, Number: t.number, Err: err}
	}
	return err
}

// CheckBeforeWrite returns the check of an order's context, which succeeds while the order may
// leave. It must be called directly before the write, since the process may be paused at any time
// before. It returns nil for other contexts.
func CheckBeforeWrite(ctx context.Context) func() error {
	check, _ := ctx.Value(checkKey{}).(func() error)
	return check
}

// confirm reads that the conditions hold, that the term's number is the highest and that its lease
// is held, and returns the time of the reply. Reads during which the process may have been paused
// are repeated.
func (g *Guard) confirm(ctx context.Context, t term, conditions []func(context.Context) error) (time.Time, error) {
	calls := append(slices.Clone(conditions),
		func(ctx context.Context) error { return g.readHighest(ctx, t) },
		func(ctx context.Context) error { return g.readHolder(ctx, t) })
	var callTimes []time.Duration
	fastest := time.Duration(math.MaxInt64) // of the reads that took long
	for i := range maxReads {
		g.timing.ReadAt = g.clock.Now()
		for _, call := range calls {
			calledAt := g.clock.Now()
			if err := call(ctx); err != nil {
				return time.Time{}, err
			}
			callTimes = append(callTimes, g.passed(calledAt))
		}
		repliedAt := g.clock.Now()
		took := g.passed(g.timing.ReadAt)
		typical := lowerMedian(callTimes) * time.Duration(len(calls))
		if took <= fastRead || i > 0 && took/maxSlowdown <= min(fastest, typical) {
			return repliedAt, nil
		}
		fastest = min(fastest, took)
	}
	return time.Time{}, ErrOutdated
}

// lowerMedian returns the median, or the smaller of the two middle values.
func lowerMedian(list []time.Duration) time.Duration {
	return slices.Sorted(slices.Values(list))[(len(list)-1)/2]
}

func (g *Guard) readHighest(ctx context.Context, t term) error {
	r, err := g.readNumber(ctx)
	if err != nil {
		return fmt.Errorf("order to %s: %w", g.server, err)
	}
	if r.fence != t.number || r.Holder != g.id {
		return g.expireTerm()
	}
	return nil
}

// readHolder reads the holder key, which alone tells that the lease has ended while no other agent
// has taken a number yet.
func (g *Guard) readHolder(ctx context.Context, t term) error {
	holder, err := g.store.Get(ctx, holderKey(g.server), beechstore.ImportanceConfiguration)
	if err != nil {
		return fmt.Errorf("order to %s: %w", g.server, err)
	}
	if string(holder.Data) != g.holderValue(t.lease) {
		return g.expireTerm()
	}
	return nil
}

// passed returns the time since t by the clock that has advanced more.
func (g *Guard) passed(t time.Time) time.Duration {
	now := g.clock.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// LastTiming returns the timing of the latest call of Order.
func (g *Guard) LastTiming() Timing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.timing
}

// Close deletes the holder key, so that another agent need not wait for the end of the
// lease.
func (g *Guard) Close(ctx context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term.number == 0 {
		return nil
	}
	value := g.holderValue(g.term.lease)
	g.term = term{}
	v, err := g.store.Get(ctx, holderKey(g.server), beechstore.ImportanceOther)
	if err != nil || string(v.Data) != value {
		return err
	}
	return g.store.Delete(ctx, v.Key, v.Version, beechstore.ImportanceOther)
}

// remaining returns the time left for an order in this term, by the clock that has
// advanced more.
func (g *Guard) remaining(t term) time.Duration {
	return t.lease.TTL - g.settings.Margin - g.passed(t.requestedAt)
}

// ensureTerm makes sure that the term has time left and that its number is the highest. If
// another agent has held the lease meanwhile, the decision for the order may be outdated,
// so the order is not sent with a new number. It returns LeaseExpired, and the caller must check
// the server's state again.
func (g *Guard) ensureTerm(ctx context.Context) error {
	if g.term.number == 0 {
		return g.acquireTerm(ctx, 0)
	}
	g.renew(ctx)
	if g.remaining(g.term) > 0 {
		return nil
	}
	return g.acquireTerm(ctx, g.term.number)
}

func (g *Guard) expireTerm() error {
	number := g.term.number
	g.term = term{}
	return LeaseExpired{Server: g.server, Number: number}
}

// renew extends the lease when at most half of its time is left. After an error the term
// is unchanged and ends with its lease.
func (g *Guard) renew(ctx context.Context) {
	if left := g.remaining(g.term); left <= 0 || left > g.term.lease.TTL/2 {
		return
	}
	requestedAt := g.clock.Now()
	l, err := g.store.KeepAlive(ctx, g.term.lease, beechstore.ImportanceConfiguration)
	if err != nil {
		return
	}
	g.term.lease, g.term.requestedAt = l, requestedAt
}

func (g *Guard) isHighest(ctx context.Context, t term) bool {
	r, err := g.readNumber(ctx)
	return err == nil && r.fence == t.number && r.Holder == g.id
}

// acquireTerm acquires the lease and then the next number. The lease comes first, because
// a number that is taken without it would make the server refuse the current holder.
//
// Last is the number of the previous term, or 0 if there is none. If the stored number
// has increased since then, another agent has held the lease.
func (g *Guard) acquireTerm(ctx context.Context, last uint64) error {
	requestedAt := g.clock.Now()
	l, err := g.store.Grant(ctx, g.settings.TTL, beechstore.ImportanceConfiguration)
	if err != nil {
		return fmt.Errorf("order to %s: %w", g.server, err)
	}
	if err := g.acquireHolderKey(ctx, l); err != nil {
		return err
	}
	number, err := g.acquireNumber(ctx, last)
	if errors.Is(err, errNumberTaken) {
		return g.expireTerm()
	}
	if err != nil {
		return fmt.Errorf("order to %s: %w", g.server, err)
	}
	g.term = term{lease: l, requestedAt: requestedAt, number: number}
	return nil
}

func (g *Guard) acquireHolderKey(ctx context.Context, l beechstore.Lease) error {
	key := holderKey(g.server)
	value := g.holderValue(l)
	_, err := g.store.CompareAndSwap(ctx, key, 0, []byte(value), l.ID, beechstore.ImportanceConfiguration)
	var conflict beechstore.Conflict
	var unknown beechstore.UnknownOutcome
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return LeaseHeld{Server: g.server, After: g.settings.TTL}
	case errors.As(err, &unknown):
		v, readErr := g.store.Get(ctx, key, beechstore.ImportanceConfiguration)
		if readErr == nil && string(v.Data) == value {
			return nil
		}
	}
	return fmt.Errorf("order to %s: %w", g.server, err)
}

// holderValue returns the value of the holder key, which identifies this Guard and the
// lease. A Guard does not hold a key that has its own ID with another lease.
func (g *Guard) holderValue(l beechstore.Lease) string { return g.id + "/" + l.ID }

// acquireNumber increments the stored number. After a lost reply it increments the number
// again, since skipped numbers are harmless.
func (g *Guard) acquireNumber(ctx context.Context, last uint64) (uint64, error) {
	for range maxNumberAttempts {
		r, err := g.readNumber(ctx)
		if err != nil {
			return 0, err
		}
		if last > 0 && r.fence != last && r.Holder != g.id {
			return 0, errNumberTaken
		}
		next := fenceRecord{Number: r.Number + 1, Holder: g.id}
		data, err := beechstore.EncodeValue(recordFormat, next)
		if err != nil {
			return 0, err
		}
		written, err := g.store.CompareAndSwap(ctx, fenceKey(g.server), r.version, data, "", beechstore.ImportanceConfiguration)
		var conflict beechstore.Conflict
		var unknown beechstore.UnknownOutcome
		switch {
		case err == nil && written.Era == r.era:
			return beechera.Order(r.era, next.Number), nil
		case err == nil: // the store was restored since the read
		case errors.As(err, &conflict), errors.As(err, &unknown):
		default:
			return 0, err
		}
	}
	return 0, errNumberContended
}

func (g *Guard) readNumber(ctx context.Context) (storedNumber, error) {
	v, err := g.store.Get(ctx, fenceKey(g.server), beechstore.ImportanceConfiguration)
	n := storedNumber{era: v.Era, version: v.Version}
	if err != nil || v.Version == 0 {
		return n, err
	}
	err = beechstore.DecodeValue(v.Key, v.Data, recordFormat, &n.fenceRecord)
	n.fence = beechera.Order(v.Era, n.Number)
	return n, err
}

func fenceKey(server netip.AddrPort) string { return "fence/" + server.String() }

func holderKey(server netip.AddrPort) string { return "fence/" + server.String() + "/holder" }

func newID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
