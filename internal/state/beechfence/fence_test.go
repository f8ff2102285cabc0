package beechfence

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// engine is a backend server that takes orders. One that checks refuses a
	// number lower than the highest it has seen.
	engine struct {
		t      *testing.T
		checks bool

		mu      sync.Mutex
		highest uint64
		givenBy map[uint64]string
		loaded  string
	}

	// sleeper is a Store whose holder is paused in one call of Get.
	sleeper struct {
		beechstore.Store
		gets   int
		before int // which Get pauses, before it is made
		after  int // which Get pauses, after it is made
	}
)

const pause = 30 * time.Second

var (
	runs   = flag.Int("runs", 1000, "random runs of each history test")
	server = netip.MustParseAddrPort("10.0.0.1:8000")

	errOldNumber = errors.New("the number is old")
)

// apply takes an order as an HTTP client and a server would: the client looks
// at its context last, then the server sees the number.
func (e *engine) apply(ctx context.Context, agent string, number uint64, model string) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if by, ok := e.givenBy[number]; ok && by != agent {
		e.t.Errorf("number %d is %s's and %s's", number, by, agent)
	}
	e.givenBy[number] = agent
	if number < e.highest {
		if e.checks {
			return errOldNumber
		}
		e.t.Errorf("%s gave an order with number %d after one with %d", agent, number, e.highest)
	}
	e.highest = max(e.highest, number)
	e.loaded = model
	return nil
}

func newEngine(t *testing.T, checks bool) *engine {
	return &engine{t: t, checks: checks, givenBy: map[uint64]string{}}
}

func (s *sleeper) Get(ctx context.Context, key string, i beechstore.Importance) (beechstore.Value, error) {
	s.gets++
	if s.gets == s.before {
		time.Sleep(pause)
	}
	v, err := s.Store.Get(ctx, key, i)
	if s.gets == s.after {
		time.Sleep(pause)
	}
	return v, err
}

// An agent is paused at some step of an order, its lease lapses, and a newer
// agent loads the next version. The old one wakes and believes that it still
// holds the lease. If its order arrived, the engine would go back to weights
// that its callers' cache keys no longer match.
func TestPausedAgentDoesNoHarm(t *testing.T) {
	steps := map[string]struct {
		store  sleeper
		inSend bool
	}{
		"before the last look at the number": {store: sleeper{before: 2}},
		"after the last look at the number":  {store: sleeper{after: 2}},
		"before the send":                    {inSend: true},
	}
	for name, step := range steps {
		for _, checks := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/checks=%v", name, checks), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					clock := clockwork.NewRealClock()
					store := beechstore.NewFake(clock)
					e := newEngine(t, checks)
					slow := step.store
					slow.Store = store
					old := New(&slow, clock, server, Settings{})
					warm := func(ctx context.Context, n uint64) error { return e.apply(ctx, "old", n, "v1") }
					slow.gets = 10 // the first order is not paused
					is.NoErr(old.Order(t.Context(), warm))
					slow.gets = 1

					var wait sync.WaitGroup
					var err error
					wait.Go(func() {
						err = old.Order(t.Context(), func(ctx context.Context, n uint64) error {
							if step.inSend {
								time.Sleep(pause)
							}
							return e.apply(ctx, "old", n, "v1 again")
						})
					})
					time.Sleep(pause / 2)
					newer := New(store, clock, server, Settings{})
					is.NoErr(newer.Order(t.Context(), func(ctx context.Context, n uint64) error { return e.apply(ctx, "new", n, "v2") }))
					wait.Wait()
					is.True(err != nil)
					is.Equal(e.loaded, "v2")
				})
			})
		}
	}
}

// Two agents believe that a live server is theirs. The second waits until the
// first gives its lease back or is gone for its length.
func TestSecondAgentWaitsForTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		store := beechstore.NewFake(clock)
		first, second := New(store, clock, server, Settings{}), New(store, clock, server, Settings{})
		var numbers []uint64
		order := func(_ context.Context, n uint64) error { numbers = append(numbers, n); return nil }
		is.NoErr(first.Order(t.Context(), order))
		var held Held
		is.True(errors.As(second.Order(t.Context(), order), &held))
		is.NoErr(first.Close(t.Context()))
		is.NoErr(second.Order(t.Context(), order))
		is.True(errors.As(first.Order(t.Context(), order), &held))
		time.Sleep(defaultTTL)
		is.NoErr(first.Order(t.Context(), order))
		is.Equal(numbers, []uint64{1, 2, 3})
	})
}

// The service is down or slow, replies are lost, agents stall: whatever
// happens, orders reach a server in the order of their numbers, also one that
// does not look at them.
func TestOrdersStayInOrder(t *testing.T) {
	given := 0
	for seed := range uint64(*runs) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { given += runOrders(t, seed) })
		})
	}
	if given < *runs {
		t.Errorf("only %d orders were given in %d runs", given, *runs)
	}
}

func runOrders(t *testing.T, seed uint64) int {
	clock := clockwork.NewRealClock()
	store := beechstore.NewFake(clock)
	e := newEngine(t, false)
	var wait sync.WaitGroup
	var mu sync.Mutex
	given := 0
	for i := range 3 {
		wait.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			g := New(flaky(store, clock, seed*10+uint64(i)), clock, server, Settings{})
			for range 6 {
				time.Sleep(upTo(r, 8*time.Second))
				err := g.Order(t.Context(), func(ctx context.Context, n uint64) error {
					time.Sleep(upTo(r, 3*time.Second))
					return e.apply(ctx, fmt.Sprint(i), n, "v")
				})
				mu.Lock()
				if err == nil {
					given++
				}
				mu.Unlock()
				if r.IntN(3) == 0 {
					_ = g.Close(t.Context())
				}
			}
		})
	}
	wait.Wait()
	time.Sleep(time.Minute) // the last late write has arrived
	return given
}

// More engines want to load than the weight store serves at full speed. At
// most so many load at once, also while replies are lost.
func TestLoadSlotsAreBounded(t *testing.T) {
	most := 0
	for seed := range uint64(*runs) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { most = max(most, runSlots(t, seed)) })
		})
	}
	if most != 3 {
		t.Errorf("at most %d slots were held at once, want 3", most)
	}
}

func runSlots(t *testing.T, seed uint64) int {
	clock := clockwork.NewRealClock()
	store := beechstore.NewFake(clock)
	var wait sync.WaitGroup
	var mu sync.Mutex
	loading, most := 0, 0
	for i := range 6 {
		wait.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			slots := NewSlots(flaky(store, clock, seed*10+uint64(i)), clock, Settings{})
			for range 4 {
				time.Sleep(upTo(r, 2*time.Second))
				slot, err := slots.Acquire(t.Context(), 3)
				if err != nil || slot.Left() < 2*time.Second {
					continue
				}
				mu.Lock()
				loading++
				most = max(most, loading)
				if loading > 3 {
					t.Errorf("%d load at once", loading)
				}
				mu.Unlock()
				time.Sleep(upTo(r, 2*time.Second))
				mu.Lock()
				loading--
				mu.Unlock()
				slot.Release(t.Context())
			}
		})
	}
	wait.Wait()
	time.Sleep(time.Minute) // the last late write has arrived
	return most
}

func flaky(store beechstore.Store, clock clockwork.Clock, seed uint64) beechstore.Store {
	return beechstore.NewFlaky(store, clock, seed, beechstore.FlakySettings{
		Refused: 0.03, LostCall: 0.03, LostReply: 0.05, LateWrite: 0.03, Stalled: 0.05,
		Delay: 5 * time.Millisecond, Stall: 15 * time.Second,
	})
}

func upTo(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d)))
}
