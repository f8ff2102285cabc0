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
	// Slots are the load slots of the deployment. If too many engines load weights at the
	// same time, all loads slow down, so each load must hold a slot.
	Slots struct {
		store    beechstore.Store
		clock    clockwork.Clock
		settings Settings
	}

	// Slot is a load slot that is held until Release or until its lease ends.
	Slot struct {
		slots *Slots
		value beechstore.Value

		mu          sync.Mutex
		lease       beechstore.Lease
		requestedAt time.Time
	}
)

// maxSlotAttempts bounds the writes of one call of Acquire if there are many slots.
const maxSlotAttempts = 8

// NewSlots returns the load slots of the deployment that the store belongs to.
func NewSlots(store beechstore.Store, clock clockwork.Clock, settings Settings) *Slots {
	return &Slots{store: store, clock: clock, settings: settings.withDefaults()}
}

// Acquire acquires one of n slots, or returns Busy. It starts at a random slot, so that
// agents that start at the same time do not all try the same slot first.
func (s *Slots) Acquire(ctx context.Context, n int) (*Slot, error) {
	if n <= 0 {
		return nil, Busy{Slots: n, After: s.settings.TTL}
	}
	requestedAt := s.clock.Now()
	lease, err := s.store.Grant(ctx, s.settings.TTL, beechstore.ImportanceConfiguration)
	if err != nil {
		return nil, fmt.Errorf("acquire a load slot: %w", err)
	}
	start := rand.IntN(n)
	for i := range min(n, maxSlotAttempts) {
		v, err := s.acquireSlot(ctx, fmt.Sprintf("load/slot/%d", (start+i)%n), lease.ID)
		var conflict beechstore.Conflict
		switch {
		case err == nil:
			return &Slot{slots: s, value: v, lease: lease, requestedAt: requestedAt}, nil
		case !errors.As(err, &conflict):
			return nil, fmt.Errorf("acquire a load slot: %w", err)
		}
	}
	return nil, Busy{Slots: n, After: s.settings.TTL / 4}
}

// acquireSlot tries to acquire one slot. After a lost reply it reads the key back, whose
// value is the ID of the lease.
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

// Remaining returns the time until the lease of the slot ends. A load that takes longer may
// run at the same time as one by the next holder of the slot.
func (s *Slot) Remaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.slots.clock.Now()
	passed := max(now.Sub(s.requestedAt), now.Round(0).Sub(s.requestedAt.Round(0)))
	return s.lease.TTL - passed
}

// Renew extends the lease of the slot to its full TTL.
func (s *Slot) Renew(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	requestedAt := s.slots.clock.Now()
	l, err := s.slots.store.KeepAlive(ctx, s.lease, beechstore.ImportanceConfiguration)
	if err != nil {
		return fmt.Errorf("renew a load slot: %w", err)
	}
	s.lease, s.requestedAt = l, requestedAt
	return nil
}

// Release frees the slot. If that fails, the slot becomes free when its lease ends.
func (s *Slot) Release(ctx context.Context) {
	_ = s.slots.store.Delete(ctx, s.value.Key, s.value.Version, beechstore.ImportanceConfiguration)
}
