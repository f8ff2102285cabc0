package beechmanifest

import (
	"context"
	"errors"
	"fmt"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/state/beechstore"
)

// loader reads published manifests. It has the parts that it has read, so that
// a change costs a read of the head and of the parts that changed, and a
// manifest of more parts than the budget of calls allows at once is loaded by
// several tries, each going on where the last one ended.
type loader struct {
	store beechstore.Store
	parts map[string][]byte
	clock clockwork.Clock
}

const maxLoadAttempts = 4

// Load reads the published manifest. The error is ErrNone if there is none,
// and beechstore.CorruptValue, beechstore.NewerFormat, MissingPart or Invalid
// if it cannot be used.
func Load(ctx context.Context, store beechstore.Store) (uint64, *Manifest, error) {
	l := &loader{store: store, clock: clockwork.NewRealClock()}
	v, err := store.Get(ctx, HeadKey, beechstore.ImportanceConfiguration)
	if err != nil {
		return 0, nil, fmt.Errorf("load the manifest: %w", err)
	}
	generation, data, err := l.load(ctx, v)
	if err != nil {
		return 0, nil, err
	}
	m, err := Parse(data)
	return generation, m, err
}

// load reads what the head v names, encoded as Parse reads it. If a part is
// gone because the head has moved on meanwhile, the newer head is taken.
func (l *loader) load(ctx context.Context, v beechstore.Value) (uint64, []byte, error) {
	for try := 1; ; try++ {
		h, err := decodeHead(v)
		if err != nil {
			return 0, nil, err
		}
		data, err := l.assemble(ctx, h)
		var missing MissingPart
		if err == nil || !errors.As(err, &missing) || try == maxLoadAttempts {
			return h.Generation, data, err
		}
		again, readErr := l.store.Get(ctx, HeadKey, beechstore.ImportanceConfiguration)
		if readErr != nil || again.Version == v.Version {
			return h.Generation, nil, err
		}
		v = again
	}
}

func (l *loader) assemble(ctx context.Context, h head) ([]byte, error) {
	l.retainParts(h.Parts)
	parts := make([]part, 0, len(h.Parts))
	for _, sum := range h.Parts {
		data, err := l.loadPart(ctx, h.Generation, sum)
		if err != nil {
			return nil, err
		}
		l.parts[sum] = data
		parts = append(parts, part{sum: sum, data: data})
	}
	m, err := join(parts)
	if err != nil {
		return nil, err
	}
	data, err := Encode(m)
	if err != nil {
		return nil, err
	}
	if sum := sumOf(data); len(h.History) > 0 && h.History[len(h.History)-1].Sum != sum {
		return nil, beechstore.CorruptValue{Key: HeadKey, Err: fmt.Errorf("its parts make a manifest of sum %s, not of the one it names", sum)}
	}
	return data, nil
}

func (l *loader) retainParts(sums []string) {
	kept := make(map[string][]byte, len(sums))
	for _, sum := range sums {
		if data, ok := l.parts[sum]; ok {
			kept[sum] = data
		}
	}
	l.parts = kept
}

func (l *loader) loadPart(ctx context.Context, generation uint64, sum string) ([]byte, error) {
	if data, ok := l.parts[sum]; ok {
		return data, nil
	}
	v, err := l.getWithinBudget(ctx, partKey(sum))
	if err != nil {
		return nil, fmt.Errorf("load a part of the manifest: %w", err)
	}
	if v.Version == 0 {
		return nil, MissingPart{Generation: generation, Sum: sum}
	}
	if got := sumOf(v.Data); got != sum {
		return nil, beechstore.CorruptValue{Key: v.Key, Err: fmt.Errorf("its content has the sum %s", got)}
	}
	return v.Data, nil
}

// getWithinBudget waits for the budget of calls. A manifest of thousands of workspaces
// has more parts than a process may read at once; given up on and begun anew
// each time it would never be read, and a process without a configuration would
// stay so.
func (l *loader) getWithinBudget(ctx context.Context, key string) (beechstore.Value, error) {
	for {
		v, err := l.store.Get(ctx, key, beechstore.ImportanceConfiguration)
		var over beechstore.OverBudget
		if !errors.As(err, &over) {
			return v, err
		}
		select {
		case <-l.clock.After(over.After):
		case <-ctx.Done():
			return v, err
		}
	}
}
