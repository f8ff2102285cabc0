package beechmanifest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/platform/beechstore"
)

type (
	// Outcome of Publish: Accepted, Conflict, Unknown or Refused.
	Outcome interface{ outcome() }

	// Accepted says that the manifest is published as Generation.
	Accepted struct{ Generation uint64 }

	// Conflict says that another change came first; nothing was changed.
	// Current is the generation published now.
	Conflict struct{ Current uint64 }

	// Unknown says that the write of the head may have taken effect, or may
	// yet. The history tells in time, by Change.
	Unknown struct {
		Change string
		Err    error
	}

	// Refused says that nothing was changed, and why.
	Refused struct{ Err error }

	// publication is one Publish under way.
	publication struct {
		store beechstore.Store
		clock clockwork.Clock
		base  uint64
		old   head
		value beechstore.Value // of the old head
		next  head
		parts []part
	}

	// staleKey is a key to delete, at the version it had before the head
	// moved.
	staleKey struct {
		key     string
		version uint64
	}
)

const (
	partTries   = 5
	settleTries = 8
	settlePause = 50 * time.Millisecond
)

var errStillUnsettled = errors.New("the head was still unsettled after the last try")

// Publish makes m the generation after base, 0 for the first. It ends by
// ctx's deadline at the latest.
func Publish(ctx context.Context, store beechstore.Store, clock clockwork.Clock, base uint64, m *Manifest) Outcome {
	p := &publication{store: store, clock: clock, base: base}
	if err := p.prepare(ctx, m); err != nil {
		return Refused{Err: err}
	}
	if p.old.Generation != base {
		return Conflict{Current: p.old.Generation}
	}
	if err := p.writeParts(ctx); err != nil {
		return Refused{Err: err}
	}
	stale, err := p.stale(ctx)
	if err != nil {
		return Refused{Err: err}
	}
	o := p.moveHead(ctx)
	if _, ok := o.(Accepted); ok {
		p.remove(ctx, stale)
	}
	return o
}

// History gives the accepted generations that are still listed, the oldest
// first.
func History(ctx context.Context, store beechstore.Store) ([]Change, error) {
	v, err := store.Get(ctx, HeadKey, beechstore.ImportanceConfiguration)
	if err != nil {
		return nil, fmt.Errorf("read the history: %w", err)
	}
	h, err := decodeHead(v)
	if errors.Is(err, ErrNone) {
		return nil, nil
	}
	return h.History, err
}

func (p *publication) prepare(ctx context.Context, m *Manifest) error {
	n := normal(m)
	data, err := Encode(n)
	if err != nil {
		return err
	}
	if _, err := Parse(data); err != nil {
		return err
	}
	if p.parts, err = cut(n); err != nil {
		return err
	}
	if p.old, err = p.readHead(ctx); err != nil {
		return err
	}
	p.next = head{Generation: p.base + 1, Change: newChange()}
	for _, x := range p.parts {
		p.next.Parts = append(p.next.Parts, x.sum)
	}
	for _, sum := range p.old.Parts {
		if !slices.Contains(p.next.Parts, sum) {
			p.next.Retired = append(p.next.Retired, sum)
		}
	}
	done := Change{Generation: p.next.Generation, ID: p.next.Change, At: p.clock.Now().UTC(), Sum: sumOf(data)}
	p.next.History = append(slices.Clone(p.old.History), done)
	if drop := len(p.next.History) - historyKept; drop > 0 {
		p.next.History = p.next.History[drop:]
	}
	return nil
}

// readHead keeps the value for the swap; without a head the old one is zero.
func (p *publication) readHead(ctx context.Context) (head, error) {
	err := p.patient(ctx, func() (err error) {
		p.value, err = p.store.Get(ctx, HeadKey, beechstore.ImportanceConfiguration)
		return err
	})
	if err != nil {
		return head{}, err
	}
	h, err := decodeHead(p.value)
	if errors.Is(err, ErrNone) {
		return head{}, nil
	}
	return h, err
}

// patient waits for the budget of calls rather than give up half-way.
func (p *publication) patient(ctx context.Context, call func() error) error {
	for {
		err := call()
		var over beechstore.OverBudget
		if !errors.As(err, &over) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-p.clock.After(over.After):
		}
	}
}

// writeParts writes each part that the old head does not name, even if it is
// there already: the write gives it a new version, and so another publisher
// that is about to delete it as stale, at the version it saw, cannot.
func (p *publication) writeParts(ctx context.Context) error {
	for _, x := range p.parts {
		if slices.Contains(p.old.Parts, x.sum) {
			continue
		}
		if err := p.writePart(ctx, x); err != nil {
			return fmt.Errorf("write a part of the manifest: %w", err)
		}
	}
	return nil
}

func (p *publication) writePart(ctx context.Context, x part) error {
	var version uint64
	var err error
	for range partTries {
		err = p.patient(ctx, func() error {
			_, err := p.store.CompareAndSwap(ctx, partKey(x.sum), version, x.data, "", beechstore.ImportanceConfiguration)
			return err
		})
		var conflict beechstore.Conflict
		var unknown beechstore.UnknownOutcome
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			version = conflict.Current
		case errors.As(err, &unknown):
		default:
			return err
		}
	}
	return err
}

// stale reads, before the head moves, the versions of the parts that the head
// before the last one named: those of the last one are kept for readers that
// are under way.
func (p *publication) stale(ctx context.Context) ([]staleKey, error) {
	var keys []staleKey
	for _, sum := range p.old.Retired {
		if slices.Contains(p.next.Parts, sum) || slices.Contains(p.next.Retired, sum) {
			continue
		}
		var v beechstore.Value
		err := p.patient(ctx, func() (err error) {
			v, err = p.store.Get(ctx, partKey(sum), beechstore.ImportanceConfiguration)
			return err
		})
		if err != nil {
			return nil, err
		}
		if v.Version > 0 {
			keys = append(keys, staleKey{key: v.Key, version: v.Version})
		}
	}
	return keys, nil
}

// remove deletes stale parts; one that stays only takes room.
func (p *publication) remove(ctx context.Context, stale []staleKey) {
	for _, s := range stale {
		_ = p.patient(ctx, func() error {
			return p.store.Delete(ctx, s.key, s.version, beechstore.ImportanceRest)
		})
	}
}

// moveHead swaps the head and settles what becomes of it. Sending the same
// swap again after a lost reply is harmless: it has the same version and
// content, so at most one of them takes effect. Once a reply was lost a
// refusal is no longer an answer, since the lost one may still arrive.
func (p *publication) moveHead(ctx context.Context) Outcome {
	data, err := beechstore.Seal(format, p.next)
	if err != nil {
		return Refused{Err: err}
	}
	lost := false
	for range settleTries {
		err = p.patient(ctx, func() error {
			_, err := p.store.CompareAndSwap(ctx, HeadKey, p.value.Version, data, "", beechstore.ImportanceConfiguration)
			return err
		})
		var conflict beechstore.Conflict
		var unknown beechstore.UnknownOutcome
		switch {
		case err == nil:
			return Accepted{Generation: p.next.Generation}
		case errors.As(err, &unknown):
			lost = true
		case !errors.As(err, &conflict) && !lost:
			return Refused{Err: err}
		}
		if o, ok := p.settle(ctx); ok {
			return o
		}
		if !p.pause(ctx) {
			break
		}
	}
	if !lost {
		// Only conflicts whose winner could not be read: nothing was written.
		return Refused{Err: errors.Join(err, errStillUnsettled)}
	}
	return Unknown{Change: p.next.Change, Err: errors.Join(err, errStillUnsettled)}
}

// settle reads the head back. It is sure if the head has moved: then this
// change either is in the history at its generation or never will be.
func (p *publication) settle(ctx context.Context) (Outcome, bool) {
	v, err := p.store.Get(ctx, HeadKey, beechstore.ImportanceConfiguration)
	if err != nil || v.Version == p.value.Version {
		return nil, false
	}
	h, err := decodeHead(v)
	if err != nil {
		return nil, false
	}
	for _, c := range h.History {
		switch {
		case c.Generation != p.next.Generation:
		case c.ID == p.next.Change:
			return Accepted{Generation: c.Generation}, true
		default:
			return Conflict{Current: h.Generation}, true
		}
	}
	return nil, false
}

func (p *publication) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.clock.After(settlePause):
		return true
	}
}

func (Accepted) outcome() {}
func (Conflict) outcome() {}
func (Unknown) outcome()  {}
func (Refused) outcome()  {}
