package beechfence

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/state/beechstore"
)

// The store comes back from a copy that lacks the latest fencing number, and gives it out again. An
// engine would then take orders of two agents under one number.
func TestFencingNumberIsNotGivenTwiceAfterStoreIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		store := beechstore.NewFake(clock)
		numbers := func(g *Guard) (number uint64) {
			is.NoErr(g.Order(context.Background(), func(_ context.Context, fence uint64) error {
				number = fence
				return nil
			}))
			return number
		}
		copied := store.Snapshot()
		first := numbers(New(store, clock, server, Settings{}))
		time.Sleep(time.Minute)
		store.Restore(copied)
		second := numbers(New(store, clock, server, Settings{}))
		t.Log(first, second)
		is.True(second > first)
	})
}
