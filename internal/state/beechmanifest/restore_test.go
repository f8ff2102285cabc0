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

// The store comes back from a copy that lacks the latest generation, and operators publish another
// change, which gets its number. It must come into force where the lost one was.
func TestGenerationPublishedAfterStoreIsRestoredComesIntoForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		store := beechstore.NewFake(clock)
		holder := NewHolder()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		done := make(chan struct{})
		go func() { defer close(done); _ = NewWatcher(store, holder, clock, WatcherSettings{}).Serve(ctx) }()
		mustPublish(t, store, 0, canonical(variant(0)))
		copied := store.Snapshot()
		mustPublish(t, store, 1, canonical(variant(1)))
		time.Sleep(10 * time.Second)
		is.Equal(holder.Generation(), uint64(2))
		store.Restore(copied)
		accepted, ok := Publish(ctx, store, clock, 1, canonical(variant(2))).(Accepted)
		is.True(ok)
		time.Sleep(10 * time.Second)
		is.Equal(holder.Generation(), accepted.Generation)
		want, err := Encode(canonical(variant(2)))
		is.NoErr(err)
		_, data := holder.Encoded()
		is.Equal(string(data), string(want))
		_, ok = Publish(ctx, store, clock, accepted.Generation, canonical(variant(3))).(Accepted) // goes on from there
		is.True(ok)
		time.Sleep(10 * time.Second)
		is.Equal(holder.Generation(), accepted.Generation+1)
		cancel()
		<-done
	})
}
