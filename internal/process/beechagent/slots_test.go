package beechagent

import (
	"context"
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/state/beechfence"
	"github.com/beechring/beechring/internal/state/beechstore"
)

// slotStore stops the process after the reply to the write of a load slot.
type slotStore struct {
	beechstore.Store
	run func()
}

func (s *slotStore) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte, lease string, i beechstore.Importance) (beechstore.Value, error) {
	v, err := s.Store.CompareAndSwap(ctx, key, version, data, lease, i)
	if key == "load/slot/0" {
		s.run()
	}
	return v, err
}

// Guards against more loads at a time than slots, when an agent goes on after a stop in which its
// slot has passed to another.
func TestAgentWhoseSlotEndedDuringAStopOrdersNoLoad(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	store := beechstore.NewFake(clock)
	e := startOrderedEngine(t)
	stopped := &slotStore{Store: store, run: func() {
		clock.Advance(slotLeaseTime)
		_, err := beechfence.NewSlots(store, clock, beechfence.Settings{}).Acquire(context.Background(), 1)
		is.NoErr(err)
	}}
	a := &Agent{settings: &beechsettings.Agent{Backend: e.address}, clock: clock, store: stopped, engine: e.client()}
	guard := beechfence.New(stopped, clock, e.address, beechfence.Settings{})
	slots := beechfence.NewSlots(stopped, clock, beechfence.Settings{})
	err := a.load(t.Context(), guard, slots, &orderTrace{clock: clock}, newHolder, 1)
	t.Logf("orders %v, error of the load: %v", e.seen(), err)
	is.True(err != nil)
	is.True(!slices.ContainsFunc(e.seen(), func(o orderSeen) bool { return o.Load == newHolder }))
}

// Guards against a load beside the next holder of the slot, when the store ended the slot's lease
// before its time.
func TestAgentWhoseSlotTheStoreEndedOrdersNoLoad(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	store := beechstore.NewFake(clock)
	e := startOrderedEngine(t)
	stopped := &slotStore{Store: store, run: func() {
		clock.Advance(stopTime)
		store.ExpireLeases()
		_, err := beechfence.NewSlots(store, clock, beechfence.Settings{}).Acquire(context.Background(), 1)
		is.NoErr(err)
	}}
	a := &Agent{settings: &beechsettings.Agent{Backend: e.address}, clock: clock, store: stopped, engine: e.client()}
	guard := beechfence.New(stopped, clock, e.address, beechfence.Settings{})
	slots := beechfence.NewSlots(stopped, clock, beechfence.Settings{})
	loading, cancel := context.WithTimeout(t.Context(), clientDialTimeout)
	defer cancel()
	err := a.load(loading, guard, slots, &orderTrace{clock: clock}, newHolder, 1)
	t.Logf("orders %v, error of the load: %v", e.seen(), err)
	is.True(err != nil)
	is.Equal(len(e.seen()), 0)
}
