package beechmanifest

import (
	"context"
	"errors"
	"fmt"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/state/beechstore"
)

// loader reads published manifests. It caches the parts of the last head, so a change
// costs reads of the head and of the changed parts only. A load that fails also keeps
// the parts that it has read, and the next attempt reads only the others: a manifest
// may have more parts than the call budget allows at once.
type loader struct {
	store beechstore.Store
	parts map[string][]byte // by SHA-256 sum
	clock clockwork.Clock
}

// maxLoadAttempts bounds how often a load starts again because the head has changed.
const maxLoadAttempts = 4

// Load reads the published manifest and its generation. The error is ErrNone if there is
// none, and beechstore.CorruptValue, beechstore.NewerFormat, MissingPart or Invalid if it
// cannot be used.
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

// load reads the manifest of the head v and returns it encoded as by Encode. If a part was
// deleted because a newer head was published meanwhile, it loads the newer one.
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
		return nil, beechstore.CorruptValue{Key: HeadKey, Err: fmt.Errorf("the manifest assembled from its parts has the SHA-256 sum %s, which is not the one in its history", sum)}
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
		return nil, beechstore.CorruptValue{Key: v.Key, Err: fmt.Errorf("its content has the SHA-256 sum %s", got)}
	}
	return v.Data, nil
}

// getWithinBudget reads a value and waits while the call budget is exhausted. A manifest
// with thousands of workspaces has more parts than a process may read at once. If a load
// failed at the end of the budget and started again each time, it might never finish, and
// a process that has just started would never get a configuration.
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
