package beechmanifest

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/state/beechstore"
)

// silentWatches is a service that answers all calls but watches.
type silentWatches struct{ beechstore.Store }

func (s silentWatches) Watch(ctx context.Context, _ string, _ uint64, _ beechstore.Importance) (beechstore.Value, error) {
	<-ctx.Done()
	return beechstore.Value{}, ctx.Err()
}

// Guards against a configuration that never reaches processes that rely on watchers, or on a watch, which hear nothing.
func TestNewGenerationReachesProcessesWhoeverWatches(t *testing.T) {
	const inForce = 5 * time.Second
	store := func() beechstore.Store { return beechstore.NewFake(clockwork.NewRealClock()) }
	for name, test := range map[string]struct {
		watches bool
		wrap    func(beechstore.Store) beechstore.Store
	}{
		"its zone's watchers are cut off": {false, func(s beechstore.Store) beechstore.Store { return s }},
		"its own watch is silent":         {true, func(s beechstore.Store) beechstore.Store { return silentWatches{s} }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				published, holder := store(), NewHolder()
				mustPublish(t, published, 0, variant(0))
				ctx, cancel := context.WithCancel(t.Context())
				w := NewWatcher(test.wrap(published), holder, clockwork.NewRealClock(), WatcherSettings{Watching: func() bool { return test.watches }, Check: inForce - 2*time.Second})
				done := make(chan struct{})
				go func() { defer close(done); _ = w.Serve(ctx) }()
				time.Sleep(time.Minute)
				mustPublish(t, published, 1, variant(1))
				time.Sleep(inForce)
				is.Equal(holder.Generation(), uint64(2))
				cancel()
				<-done
			})
		})
	}
}
