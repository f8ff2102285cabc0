package beechfence

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// Slots are the deployment's load slots. Loading weights slows down for
	// all engines while too many load at once, so each load holds a slot.
	Slots struct {
		store    beechstore.Store
		clock    clockwork.Clock
		settings Settings
	}

	// Slot is a load slot that is held until Release or the end of its lease.
	Slot struct {
		slots *Slots
		value beechstore.Value

		mu          sync.Mutex
		lease       beechstore.Lease
		requestedAt time.Time
	}
)

// maxSlotAttempts bounds the writes of one Acquire where there are many slots.
const maxSlotAttempts = 8

// NewSlots makes the slots of the deployment that store belongs to.
func NewSlots(store beechstore.Store, clock clockwork.Clock, settings Settings) *Slots {
	return &Slots{store: store, clock: clock, settings: settings.withDefaults()}
}

// Acquire takes one of n slots, or fails with Busy. It begins at a random
// slot, so that agents which begin together do not all meet at the first.
func (s *Slots) Acquire(ctx context.Context, n int) (*Slot, error) {
	if n <= 0 {
		return nil, Busy{Slots: n, After: s.settings.TTL}
	}
	asked := s.clock.Now()
	lease, err := s.store.Grant(ctx, s.settings.TTL, beechstore.ImportanceConfiguration)
	if err != nil {
		return nil, fmt.Errorf("take a load slot: %w", err)
	}
	start := rand.IntN(n)
	for i := range min(n, maxSlotAttempts) {
		v, err := s.acquireSlot(ctx, fmt.Sprintf("load/slot/%d", (start+i)%n), lease.ID)
		var conflict beechstore.Conflict
		switch {
		case err == nil:
			return &Slot{slots: s, value: v, lease: lease, requestedAt: asked}, nil
		case !errors.As(err, &conflict):
			return nil, fmt.Errorf("take a load slot: %w", err)
		}
	}
	return nil, Busy{Slots: n, After: s.settings.TTL / 4}
}

// acquireSlot settles a lost reply by reading back: the lease's id is the value.
func (s *Slots) acquireSlot(ctx context.Context, key, lease string) (beechstore.Value, error) {
	v, err := s.store.CompareAndSwap(ctx, key, 0, []byte(lease), lease, beechstore.ImportanceConfiguration)
	var unknown beechstore.UnknownOutcome
	if !errors.As(err, &unknown) {
		return v, err
	}
	v, readErr := s.store.Get(ctx, key, beechstore.ImportanceConfiguration)
	if readErr != nil || string(v.Data) != lease {
		return beechstore.Value{}, err
	}
	return v, nil
}

// Remaining is how long a load may still take under this slot. A load that takes
// longer than that runs beside whoever takes the slot next.
func (s *Slot) Remaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.slots.clock.Now()
	passed := max(now.Sub(s.requestedAt), now.Round(0).Sub(s.requestedAt.Round(0)))
	return s.lease.TTL - passed
}

// Renew keeps the slot for another TTL.
func (s *Slot) Renew(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked := s.slots.clock.Now()
	l, err := s.slots.store.KeepAlive(ctx, s.lease, beechstore.ImportanceConfiguration)
	if err != nil {
		return fmt.Errorf("keep a load slot: %w", err)
	}
	s.lease, s.requestedAt = l, asked
	return nil
}

// Release gives the slot back. If that fails it ends with its lease.
func (s *Slot) Release(ctx context.Context) {
	_ = s.slots.store.Delete(ctx, s.value.Key, s.value.Version, beechstore.ImportanceConfiguration)
}
