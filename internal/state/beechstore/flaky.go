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
	// Flaky is a Store for tests that injects random faults into the calls to
	// another Store. The same seed gives the same sequence of faults.
	Flaky struct {
		store    Store
		clock    clockwork.Clock
		settings FlakySettings

		mu  sync.Mutex
		rng *rand.Rand
	}

	// FlakySettings holds the probability of each fault, between 0 and 1. Each
	// call and each reply is delayed by up to Delay, a stalled one and a late
	// write by up to Stall.
	FlakySettings struct {
		Refused   float64 // the call is refused and has no effect
		LostCall  float64 // a write has no effect, and its outcome is unknown
		LostReply float64 // a write takes effect, and its outcome is unknown
		LateWrite float64 // a write's outcome is unknown, and it is sent later
		Stalled   float64 // the call or its reply is delayed by up to Stall
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

	flakyPeer       = "flaky"
	flakyRetryAfter = 10 * time.Millisecond
)

var (
	errInjected = errors.New("injected random fault")

	_ Store = (*Flaky)(nil)
)

// NewFlaky returns a Store that injects random faults into the calls to store.
func NewFlaky(store Store, clock clockwork.Clock, seed uint64, settings FlakySettings) *Flaky {
	return &Flaky{store: store, clock: clock, settings: settings, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Get implements Store.
func (f *Flaky) Get(ctx context.Context, key string, importance Importance) (Value, error) {
	return flakyRead(ctx, f, "get "+key, func() (Value, error) {
		return f.store.Get(ctx, key, importance)
	})
}

// CompareAndSwap implements Store.
func (f *Flaky) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte, lease string, importance Importance) (Value, error) {
	return flakyWrite(ctx, f, "compare and swap "+key, func(ctx context.Context) (Value, error) {
		return f.store.CompareAndSwap(ctx, key, version, data, lease, importance)
	})
}

// Delete implements Store.
func (f *Flaky) Delete(ctx context.Context, key string, version uint64, importance Importance) error {
	_, err := flakyWrite(ctx, f, "delete "+key, func(ctx context.Context) (Value, error) {
		return Value{}, f.store.Delete(ctx, key, version, importance)
	})
	return err
}

// Watch implements Store.
func (f *Flaky) Watch(ctx context.Context, key string, version uint64, importance Importance) (Value, error) {
	return flakyRead(ctx, f, "watch "+key, func() (Value, error) {
		return f.store.Watch(ctx, key, version, importance)
	})
}

// Grant implements Store.
func (f *Flaky) Grant(ctx context.Context, ttl time.Duration, importance Importance) (Lease, error) {
	asked := f.clock.Now()
	return flakyWrite(ctx, f, "grant", func(ctx context.Context) (Lease, error) {
		l, err := f.store.Grant(ctx, ttl, importance)
		l.Expires = asked.Add(ttl)
		return l, err
	})
}

// KeepAlive implements Store.
func (f *Flaky) KeepAlive(ctx context.Context, lease Lease, importance Importance) (Lease, error) {
	asked := f.clock.Now()
	return flakyWrite(ctx, f, "keep alive "+lease.ID, func(ctx context.Context) (Lease, error) {
		l, err := f.store.KeepAlive(ctx, lease, importance)
		l.Expires = asked.Add(l.TTL)
		return l, err
	})
}

// Hosts implements Store.
func (f *Flaky) Hosts(ctx context.Context, importance Importance) ([]Host, error) {
	return flakyRead(ctx, f, "hosts", func() ([]Host, error) {
		return f.store.Hosts(ctx, importance)
	})
}

func flakyRead[T any](ctx context.Context, f *Flaky, step string, do func() (T, error)) (T, error) {
	var none T
	if err := f.sleep(ctx); err != nil || f.drawFault() == faultRefused {
		return none, Refused{Step: step, Peer: flakyPeer, After: flakyRetryAfter, Err: errors.Join(errInjected, err)}
	}
	got, err := do()
	if err != nil {
		return none, err
	}
	if err := f.sleep(ctx); err != nil {
		return none, Refused{Step: step, Peer: flakyPeer, After: flakyRetryAfter, Err: err}
	}
	return got, nil
}

func flakyWrite[T any](ctx context.Context, f *Flaky, step string, do func(context.Context) (T, error)) (T, error) {
	var none T
	unknown := UnknownOutcome{Step: step, Peer: flakyPeer, Err: errInjected}
	drawn := f.drawFault()
	if drawn == faultRefused {
		return none, Refused{Step: step, Peer: flakyPeer, After: flakyRetryAfter, Err: errInjected}
	}
	if drawn == faultLateWrite {
		late := f.randomDuration(f.settings.Stall)
		go func() {
			<-f.clock.After(late)
			_, _ = do(context.WithoutCancel(ctx))
		}()
	}
	if err := f.sleep(ctx); err != nil {
		return none, unknown
	}
	if drawn == faultLostCall || drawn == faultLateWrite {
		return none, unknown
	}
	got, err := do(ctx)
	if sleepErr := f.sleep(ctx); sleepErr != nil || drawn == faultLostReply {
		return none, unknown
	}
	if err != nil {
		return none, err
	}
	return got, nil
}

func (f *Flaky) drawFault() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.rng.Float64()
	for _, o := range []struct {
		probability float64
		fault       fault
	}{
		{f.settings.Refused, faultRefused},
		{f.settings.LostCall, faultLostCall},
		{f.settings.LostReply, faultLostReply},
		{f.settings.LateWrite, faultLateWrite},
	} {
		if x < o.probability {
			return o.fault
		}
		x -= o.probability
	}
	return faultNone
}

func (f *Flaky) sleep(ctx context.Context) error {
	longest := f.settings.Delay
	f.mu.Lock()
	if f.rng.Float64() < f.settings.Stalled {
		longest = f.settings.Stall
	}
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.clock.After(f.randomDuration(longest)):
		return nil
	}
}

func (f *Flaky) randomDuration(longest time.Duration) time.Duration {
	if longest <= 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rng.Int64N(int64(longest)))
}
