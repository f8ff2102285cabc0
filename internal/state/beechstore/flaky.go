package beechstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Flaky is a Store for tests that fails at random between one process and
	// another Store. The same seed gives the same sequence of faults.
	Flaky struct {
		store Store
		clock clockwork.Clock
		odds  FlakySettings

		mu  sync.Mutex
		rng *rand.Rand
	}

	// FlakySettings of each fault, of 1. Each call and each reply takes up to Delay; a
	// stalled one, and a late write, takes up to Stall.
	FlakySettings struct {
		Refused   float64 // the call is refused and takes no effect
		LostCall  float64 // a write takes no effect, its outcome is unknown
		LostReply float64 // a write takes effect, its outcome is unknown
		LateWrite float64 // a write's outcome is unknown, it takes effect later if it still can
		Stalled   float64 // the caller is held before or after the effect
		Delay     time.Duration
		Stall     time.Duration
	}

	fault int
)

const (
	faultNone fault = iota
	faultRefused
	faultLostCall
	faultLostReply
	faultLateWrite

	flakyPeer  = "flaky"
	flakyAfter = 10 * time.Millisecond
)

var (
	errFlaky = errors.New("a random fault")

	_ Store = (*Flaky)(nil)
)

// NewFlaky puts random faults before store.
func NewFlaky(store Store, clock clockwork.Clock, seed uint64, odds FlakySettings) *Flaky {
	return &Flaky{store: store, clock: clock, odds: odds, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Get is Store's.
func (f *Flaky) Get(ctx context.Context, key string, importance Importance) (Value, error) {
	return flakyRead(ctx, f, "get "+key, func() (Value, error) {
		return f.store.Get(ctx, key, importance)
	})
}

// CompareAndSwap is Store's.
func (f *Flaky) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte, lease string, importance Importance) (Value, error) {
	return flakyWrite(ctx, f, "compare and swap "+key, func(ctx context.Context) (Value, error) {
		return f.store.CompareAndSwap(ctx, key, version, data, lease, importance)
	})
}

// Delete is Store's.
func (f *Flaky) Delete(ctx context.Context, key string, version uint64, importance Importance) error {
	_, err := flakyWrite(ctx, f, "delete "+key, func(ctx context.Context) (Value, error) {
		return Value{}, f.store.Delete(ctx, key, version, importance)
	})
	return err
}

// Watch is Store's.
func (f *Flaky) Watch(ctx context.Context, key string, version uint64, importance Importance) (Value, error) {
	return flakyRead(ctx, f, "watch "+key, func() (Value, error) {
		return f.store.Watch(ctx, key, version, importance)
	})
}

// Grant is Store's.
func (f *Flaky) Grant(ctx context.Context, ttl time.Duration, importance Importance) (Lease, error) {
	asked := f.clock.Now()
	return flakyWrite(ctx, f, "grant", func(ctx context.Context) (Lease, error) {
		l, err := f.store.Grant(ctx, ttl, importance)
		l.Expires = asked.Add(ttl)
		return l, err
	})
}

// KeepAlive is Store's.
func (f *Flaky) KeepAlive(ctx context.Context, lease Lease, importance Importance) (Lease, error) {
	asked := f.clock.Now()
	return flakyWrite(ctx, f, "keep alive "+lease.ID, func(ctx context.Context) (Lease, error) {
		l, err := f.store.KeepAlive(ctx, lease, importance)
		l.Expires = asked.Add(l.TTL)
		return l, err
	})
}

// Hosts is Store's.
func (f *Flaky) Hosts(ctx context.Context, importance Importance) ([]Host, error) {
	return flakyRead(ctx, f, "hosts", func() ([]Host, error) {
		return f.store.Hosts(ctx, importance)
	})
}

func flakyRead[T any](ctx context.Context, f *Flaky, step string, do func() (T, error)) (T, error) {
	var none T
	if err := f.sleep(ctx); err != nil || f.roll() == faultRefused {
		return none, Refused{Step: step, Peer: flakyPeer, After: flakyAfter, Err: errors.Join(errFlaky, err)}
	}
	got, err := do()
	if err != nil {
		return none, err
	}
	if err := f.sleep(ctx); err != nil {
		return none, Refused{Step: step, Peer: flakyPeer, After: flakyAfter, Err: err}
	}
	return got, nil
}

func flakyWrite[T any](ctx context.Context, f *Flaky, step string, do func(context.Context) (T, error)) (T, error) {
	var none T
	unknown := UnknownOutcome{Step: step, Peer: flakyPeer, Err: errFlaky}
	rolled := f.roll()
	if rolled == faultRefused {
		return none, Refused{Step: step, Peer: flakyPeer, After: flakyAfter, Err: errFlaky}
	}
	if rolled == faultLateWrite {
		late := f.upTo(f.odds.Stall)
		go func() {
			<-f.clock.After(late)
			_, _ = do(context.WithoutCancel(ctx))
		}()
	}
	if err := f.sleep(ctx); err != nil {
		return none, unknown
	}
	if rolled == faultLostCall || rolled == faultLateWrite {
		return none, unknown
	}
	got, err := do(ctx)
	if sleepErr := f.sleep(ctx); sleepErr != nil || rolled == faultLostReply {
		return none, unknown
	}
	if err != nil {
		return none, err
	}
	return got, nil
}

func (f *Flaky) roll() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.rng.Float64()
	for _, o := range []struct {
		odds  float64
		fault fault
	}{
		{f.odds.Refused, faultRefused},
		{f.odds.LostCall, faultLostCall},
		{f.odds.LostReply, faultLostReply},
		{f.odds.LateWrite, faultLateWrite},
	} {
		if x < o.odds {
			return o.fault
		}
		x -= o.odds
	}
	return faultNone
}

func (f *Flaky) sleep(ctx context.Context) error {
	longest := f.odds.Delay
	f.mu.Lock()
	if f.rng.Float64() < f.odds.Stalled {
		longest = f.odds.Stall
	}
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.clock.After(f.upTo(longest)):
		return nil
	}
}

func (f *Flaky) upTo(longest time.Duration) time.Duration {
	if longest <= 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rng.Int64N(int64(longest)))
}
