package beechmanifest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/beechring/beechring/internal/state/beechera"
	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// Outcome is the result of Publish or Restore: Accepted, Conflict, Unknown or Refused.
	Outcome interface{ outcome() }

	// Accepted means that the manifest was published as Generation.
	Accepted struct{ Generation uint64 }

	// Conflict means that another change was published first, and that this one
	// was not. Current is the published generation.
	Conflict struct{ Current uint64 }

	// Unknown means that the write of the head may have taken effect, or may still do
	// so. If it does, Change is in the history.
	Unknown struct {
		Change string
		Err    error
	}

	// Refused means that nothing was published. Err is the reason.
	Refused struct{ Err error }

	// publication is the state of one call of Publish or Restore.
	publication struct {
		store   beechstore.Store
		clock   clockwork.Clock
		base    uint64
		restore bool // the old head is expected to be missing or corrupt
		old     head
		value   beechstore.Value // stored value of the old head
		next    head
		parts   []part
	}

	// staleKey is a key to delete, with the version that it had before the head was
	// replaced.
	staleKey struct {
		key     string
		version uint64
	}
)

const (
	maxPartAttempts    = 5
	maxConcurrentParts = 8
)

var errHeadReadable = errors.New("nothing to restore: the published head can be read")

// Publish publishes m as the generation after base, which is 0 for the first one, or as the
// first of the store's era if that is higher. It returns by the deadline of ctx at the latest.
func Publish(ctx context.Context, store beechstore.Store, clock clockwork.Clock, base uint64, m *Manifest) Outcome {
	p := &publication{store: store, clock: clock, base: base}
	return p.run(ctx, m)
}

// Restore publishes m as the generation after activeGeneration if the head is missing or
// corrupt. If the head can be read, it changes nothing. Processes accept only newer
// generations, so activeGeneration must be the newest that any of them reports. The history
// starts again with the new generation.
func Restore(ctx context.Context, store beechstore.Store, clock clockwork.Clock, activeGeneration uint64, m *Manifest) Outcome {
	p := &publication{store: store, clock: clock, base: activeGeneration, restore: true}
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
	stale, err := p.findStale(ctx)
	if err != nil {
		return Refused{Err: err}
	}
	o := p.swapHead(ctx)
	if _, ok := o.(Accepted); ok {
		p.deleteStale(ctx, stale)
	}
	return o
}

// History returns the last accepted generations, the oldest first. The head lists at most
// maxHistory of them.
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

// Published returns the newest accepted generation, or 0 if there is none. It costs one
// read.
func Published(ctx context.Context, store beechstore.Store) (uint64, error) {
	changes, err := History(ctx, store)
	if err != nil || len(changes) == 0 {
		return 0, err
	}
	return changes[len(changes)-1].Generation, nil
}

func (p *publication) prepare(ctx context.Context, m *Manifest) error {
	n := canonical(m)
	data, err := Encode(n)
	if err != nil {
		return err
	}
	if _, err := Parse(data); err != nil {
		return err
	}
	if p.parts, err = split(n); err != nil {
		return err
	}
	if p.old, err = p.readHead(ctx); err != nil {
		return err
	}
	p.next = head{Generation: nextGeneration(p.value.Era, p.base), Change: newChangeID()}
	for _, x := range p.parts {
		p.next.Parts = append(p.next.Parts, x.sum)
	}
	for _, sum := range p.old.Parts {
		if !slices.Contains(p.next.Parts, sum) {
			p.next.Retired = append(p.next.Retired, sum)
		}
	}
	change := Change{Generation: p.next.Generation, ID: p.next.Change, At: p.clock.Now().UTC(), Sum: sumOf(data)}
	p.next.History = append(slices.Clone(p.old.History), change)
	if drop := len(p.next.History) - maxHistory; drop > 0 {
		p.next.History = p.next.History[drop:]
	}
	return nil
}

// nextGeneration returns the generation after base. It is higher than all generations of earlier
// eras of the store, since a restored store may have lost the latest ones.
func nextGeneration(era, base uint64) uint64 {
	return max(base+1, beechera.Order(era, 1))
}

// readHead reads the old head and keeps its value for the compare-and-swap. It returns the
// zero head if none is published.
func (p *publication) readHead(ctx context.Context) (head, error) {
	err := p.retryOverBudget(ctx, func() (err error) {
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
		return head{}, errHeadReadable
	case errors.Is(err, ErrNone):
		return head{}, nil
	}
	return h, err
}

// retryOverBudget repeats a call while the call budget is exhausted, so that a publication
// is not abandoned halfway.
func (p *publication) retryOverBudget(ctx context.Context, call func() error) error {
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

// writeParts calls ensurePart for each part, a few of them concurrently.
func (p *publication) writeParts(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentParts)
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

// ensurePart makes sure that a part is stored. A part that the old head names is read and,
// if it is missing or damaged, written again; otherwise the generation would be accepted
// but no process could load it. Any other part is written even if it is stored already:
// the write changes its version, so that another publisher cannot delete it as stale at
// the version that it read before.
func (p *publication) ensurePart(ctx context.Context, x part) error {
	if !slices.Contains(p.old.Parts, x.sum) {
		return p.writePart(ctx, x)
	}
	var v beechstore.Value
	err := p.retryOverBudget(ctx, func() (err error) {
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
	for range maxPartAttempts {
		err = p.retryOverBudget(ctx, func() error {
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

// findStale reads, before the head is replaced, the versions of the parts to delete. These
// are the parts that the head before the old one was the last to name. The parts of the
// old head are kept for processes that are still reading them.
func (p *publication) findStale(ctx context.Context) ([]staleKey, error) {
	var keys []staleKey
	for _, sum := range p.old.Retired {
		if slices.Contains(p.next.Parts, sum) || slices.Contains(p.next.Retired, sum) {
			continue
		}
		var v beechstore.Value
		err := p.retryOverBudget(ctx, func() (err error) {
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

// deleteStale deletes stale parts. Errors are ignored, as a part that remains only takes
// up space.
func (p *publication) deleteStale(ctx context.Context, stale []staleKey) {
	for _, s := range stale {
		_ = p.retryOverBudget(ctx, func() error {
			return p.store.Delete(ctx, s.key, s.version, beechstore.ImportanceOther)
		})
	}
}

func (Accepted) outcome() {}
func (Conflict) outcome() {}
func (Unknown) outcome()  {}
func (Refused) outcome()  {}
