package beechfence

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// Settings of a Guard and of Slots. Zero fields get the defaults named.
	Settings struct {
		TTL    time.Duration // of a lease; 10 s, longer than any order takes
		Margin time.Duration // an order must end so long before its lease; 2 s
	}

	// Guard gives the orders of one agent to one backend server.
	Guard struct {
		store    beechstore.Store
		clock    clockwork.Clock
		server   netip.AddrPort
		settings Settings
		id       string // random, of this agent's Guard

		mu   sync.Mutex
		term term
	}

	// term is a time of holding the server's lease under one number.
	term struct {
		lease  beechstore.Lease
		asked  time.Time
		number uint64 // 0: none is held
	}

	// fenceRecord is the value under a server's fence key, which is never
	// deleted.
	fenceRecord struct {
		Number uint64 `json:"number"`
		Holder string `json:"holder"`
	}
)

const (
	format        = 1
	defaultTTL    = 10 * time.Second
	defaultMargin = 2 * time.Second
	idBytes       = 12
	numberTries   = 8
)

var (
	errContended = errors.New("the fencing number changed at each try to take it")
	errMoved     = errors.New("another agent has taken a number since")
)

// New makes a guard that holds nothing yet.
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

// Order runs send with the fencing number, one order at a time. The context
// that send gets ends a margin before the lease; send must give up with it.
// Errors from before the send are Held, Lapsed and those of beechstore;
// Superseded comes after it; others are send's own.
func (g *Guard) Order(ctx context.Context, send func(ctx context.Context, fence uint64) error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.hold(ctx); err != nil {
		return err
	}
	t := g.term
	left := g.left(t)
	if left <= 0 {
		return g.lapsed()
	}
	sendCtx, cancel := clockwork.WithTimeout(ctx, g.clock, left)
	defer cancel()
	err := send(sendCtx, t.number)
	if g.left(t) <= 0 || !g.stillHighest(ctx, t) {
		g.term = term{}
		return Superseded{Server: g.server, Number: t.number, Err: err}
	}
	return err
}

// Close gives the lease back, so that a successor need not wait for its end.
func (g *Guard) Close(ctx context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term.number == 0 {
		return nil
	}
	mark := g.mark(g.term.lease)
	g.term = term{}
	v, err := g.store.Get(ctx, holderKey(g.server), beechstore.ImportanceOther)
	if err != nil || string(v.Data) != mark {
		return err
	}
	return g.store.Delete(ctx, v.Key, v.Version, beechstore.ImportanceOther)
}

// left is the time for an order under this term, by whichever clock has
// moved more.
func (g *Guard) left(t term) time.Duration {
	now := g.clock.Now()
	passed := max(now.Sub(t.asked), now.Round(0).Sub(t.asked.Round(0)))
	return t.lease.TTL - g.settings.Margin - passed
}

// hold makes sure that the term has time and its number is the highest. If
// another agent has held the server since, the order was decided on what was
// true before that, so it is not given under a new number: Lapsed sends the
// caller back to look at what the server holds now.
func (g *Guard) hold(ctx context.Context) error {
	if g.term.number == 0 {
		return g.take(ctx, 0)
	}
	r, _, err := g.read(ctx)
	if err != nil {
		return fmt.Errorf("order to %s: %w", g.server, err)
	}
	if r.Number != g.term.number || r.Holder != g.id {
		return g.lapsed()
	}
	g.renew(ctx)
	if g.left(g.term) > 0 {
		return nil
	}
	return g.take(ctx, g.term.number)
}

func (g *Guard) lapsed() error {
	number := g.term.number
	g.term = term{}
	return Lapsed{Server: g.server, Number: number}
}

// renew asks for more time once half is gone. A failure leaves the term as it
// is: its time simply runs out.
func (g *Guard) renew(ctx context.Context) {
	if left := g.left(g.term); left <= 0 || left > g.term.lease.TTL/2 {
		return
	}
	asked := g.clock.Now()
	l, err := g.store.KeepAlive(ctx, g.term.lease, beechstore.ImportanceConfiguration)
	if err != nil {
		return
	}
	g.term.lease, g.term.asked = l, asked
}

func (g *Guard) stillHighest(ctx context.Context, t term) bool {
	r, _, err := g.read(ctx)
	return err == nil && r.Number == t.number && r.Holder == g.id
}

// take gets the lease and then the next number. The lease comes first: a
// number taken without it would make a server refuse the rightful holder.
//
// Last is the number of the term that ran out, 0 for none: if the number has
// moved on since, another agent was there.
func (g *Guard) take(ctx context.Context, last uint64) error {
	asked := g.clock.Now()
	l, err := g.store.Grant(ctx, g.settings.TTL, beechstore.ImportanceConfiguration)
	if err != nil {
		return fmt.Errorf("order to %s: %w", g.server, err)
	}
	if err := g.takeHolder(ctx, l); err != nil {
		return err
	}
	number, err := g.takeNumber(ctx, last)
	if errors.Is(err, errMoved) {
		return g.lapsed()
	}
	if err != nil {
		return fmt.Errorf("order to %s: %w", g.server, err)
	}
	g.term = term{lease: l, asked: asked, number: number}
	return nil
}

func (g *Guard) takeHolder(ctx context.Context, l beechstore.Lease) error {
	key := holderKey(g.server)
	mark := g.mark(l)
	_, err := g.store.CompareAndSwap(ctx, key, 0, []byte(mark), l.ID, beechstore.ImportanceConfiguration)
	var conflict beechstore.Conflict
	var unknown beechstore.UnknownOutcome
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return Held{Server: g.server, After: g.settings.TTL}
	case errors.As(err, &unknown):
		v, readErr := g.store.Get(ctx, key, beechstore.ImportanceConfiguration)
		if readErr == nil && string(v.Data) == mark {
			return nil
		}
	}
	return fmt.Errorf("order to %s: %w", g.server, err)
}

// mark is the holder key's value: this guard under this lease. A guard that
// finds its own id under another lease must not take that for its own.
func (g *Guard) mark(l beechstore.Lease) string { return g.id + "/" + l.ID }

// takeNumber moves the number on by one. After a lost reply it takes the next
// one: a number that was skipped does no harm.
func (g *Guard) takeNumber(ctx context.Context, last uint64) (uint64, error) {
	for range numberTries {
		r, version, err := g.read(ctx)
		if err != nil {
			return 0, err
		}
		if last > 0 && r.Number != last && r.Holder != g.id {
			return 0, errMoved
		}
		r.Number++
		r.Holder = g.id
		data, err := beechstore.EncodeValue(format, r)
		if err != nil {
			return 0, err
		}
		_, err = g.store.CompareAndSwap(ctx, fenceKey(g.server), version, data, "", beechstore.ImportanceConfiguration)
		var conflict beechstore.Conflict
		var unknown beechstore.UnknownOutcome
		switch {
		case err == nil:
			return r.Number, nil
		case errors.As(err, &conflict), errors.As(err, &unknown):
		default:
			return 0, err
		}
	}
	return 0, errContended
}

func (g *Guard) read(ctx context.Context) (fenceRecord, uint64, error) {
	v, err := g.store.Get(ctx, fenceKey(g.server), beechstore.ImportanceConfiguration)
	if err != nil || v.Version == 0 {
		return fenceRecord{}, 0, err
	}
	var r fenceRecord
	err = beechstore.DecodeValue(v.Key, v.Data, format, &r)
	return r, v.Version, err
}

func fenceKey(server netip.AddrPort) string { return "fence/" + server.String() }

func holderKey(server netip.AddrPort) string { return "fence/" + server.String() + "/holder" }

func newID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
