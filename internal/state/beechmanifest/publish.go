package beechmanifest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/beechring/beechring/internal/state/beechstore"
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
		store   beechstore.Store
		clock   clockwork.Clock
		base    uint64
		restore bool // the old head may be lost or corrupt
		old     head
		value   beechstore.Value // of the old head
		next    head
		parts   []part
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
	partsAtOnce = 8
)

var errReadable = errors.New("the published head can be read, so there is nothing to restore")

// Publish makes m the generation after base, 0 for the first. It ends by
// ctx's deadline at the latest.
func Publish(ctx context.Context, store beechstore.Store, clock clockwork.Clock, base uint64, m *Manifest) Outcome {
	p := &publication{store: store, clock: clock, base: base}
	return p.run(ctx, m)
}

// Restore makes m the generation after inForce where the head is lost or
// corrupt, and changes nothing where it can be read. Processes take only
// newer generations, so inForce must be the newest that any of them reports;
// the history begins anew.
func Restore(ctx context.Context, store beechstore.Store, clock clockwork.Clock, inForce uint64, m *Manifest) Outcome {
	p := &publication{store: store, clock: clock, base: inForce, restore: true}
	return p.run(ctx, m)
}

func (p *publication) run(ctx context.Context, m *Manifest) Outcome {
	if err := p.prepare(ctx, m); err != nil {
		return Refused{Err: err}
	}
	if p.old.Generation != p.base {
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

// Published gives the newest accepted generation by one read, 0 if there is
// none.
func Published(ctx context.Context, store beechstore.Store) (uint64, error) {
	changes, err := History(ctx, store)
	if err != nil || len(changes) == 0 {
		return 0, err
	}
	return changes[len(changes)-1].Generation, nil
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
	var corrupt beechstore.CorruptValue
	switch {
	case p.restore && (errors.Is(err, ErrNone) || errors.As(err, &corrupt)):
		return head{Generation: p.base}, nil
	case p.restore && err == nil:
		return head{}, errReadable
	case errors.Is(err, ErrNone):
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

// writeParts makes sure of each part, a few at a time.
func (p *publication) writeParts(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(partsAtOnce)
	for _, x := range p.parts {
		g.Go(func() error {
			if err := p.ensurePart(ctx, x); err != nil {
				return fmt.Errorf("write a part of the manifest: %w", err)
			}
			return nil
		})
	}
	return g.Wait()
}

// ensurePart reads a part that the old head names: if it were lost or damaged,
// the generation would be accepted but no process could take it. A part that
// the old head does not name is written even if it is there already: the
// write gives it a new version, and so another publisher that is about to
// delete it as stale, at the version it saw, cannot.
func (p *publication) ensurePart(ctx context.Context, x part) error {
	if !slices.Contains(p.old.Parts, x.sum) {
		return p.writePart(ctx, x)
	}
	var v beechstore.Value
	err := p.patient(ctx, func() (err error) {
		v, err = p.store.Get(ctx, partKey(x.sum), beechstore.ImportanceConfiguration)
		return err
	})
	if err != nil || bytes.Equal(v.Data, x.data) {
		return err
	}
	return p.writePart(ctx, x)
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
			return p.store.Delete(ctx, s.key, s.version, beechstore.ImportanceOther)
		})
	}
}

func (Accepted) outcome() {}
func (Conflict) outcome() {}
func (Unknown) outcome()  {}
func (Refused) outcome()  {}
