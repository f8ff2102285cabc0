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
	// engine is a backend server that executes orders. If checks is set, it refuses an
	// order with a number below the highest one that it has received.
	engine struct {
		t      *testing.T
		checks bool

		mu            sync.Mutex
		highest       uint64
		agentByNumber map[uint64]string
		loaded        string
	}

	// pausingStore is a store whose user is paused in one call of Get.
	pausingStore struct {
		beechstore.Store
		gets        int
		pauseBefore int // the call, counted from 1, that pauses before it is sent
		pauseAfter  int // the call, counted from 1, that pauses after its reply
	}
)

const pause = 30 * time.Second

var (
	runs   = flag.Int("runs", 1000, "random runs of each history test")
	server = netip.MustParseAddrPort("10.0.0.1:8000")

	errOldNumber = errors.New("outdated fencing number")
)

// apply executes an order as an HTTP client and a server would: first the client checks the
// context, then the server checks the number.
func (e *engine) apply(ctx context.Context, agent string, number uint64, model string) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if by, ok := e.agentByNumber[number]; ok && by != agent {
		e.t.Errorf("number %d was used by agents %s and %s", number, by, agent)
	}
	e.agentByNumber[number] = agent
	if number < e.highest {
		if e.checks {
			return errOldNumber
		}
		e.t.Errorf("agent %s sent an order with number %d after one with %d", agent, number, e.highest)
	}
	e.highest = max(e.highest, number)
	e.loaded = model
	return nil
}

func newEngine(t *testing.T, checks bool) *engine {
	return &engine{t: t, checks: checks, agentByNumber: map[uint64]string{}}
}

func (s *pausingStore) Get(ctx context.Context, key string, i beechstore.Importance) (beechstore.Value, error) {
	s.gets++
	if s.gets == s.pauseBefore {
		time.Sleep(pause)
	}
	v, err := s.Store.Get(ctx, key, i)
	if s.gets == s.pauseAfter {
		time.Sleep(pause)
	}
	return v, err
}

// An agent is paused during an order, its lease ends, and another agent loads the next
// version. Then the first agent continues as if it still held the lease. If the engine
// executed its order, it would return to outdated weights, which no longer match the cache
// keys of its callers.
func TestPausedAgentCannotOverrideNewerOrder(t *testing.T) {
	steps := map[string]struct {
		store  pausingStore
		inSend bool
	}{
		"before the last check of the number": {store: pausingStore{pauseBefore: 2}},
		"after the last check of the number":  {store: pausingStore{pauseAfter: 2}},
		"before the send":                     {inSend: true},
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
					slow.gets = 10 // beyond the calls that pause, so that the first order does not
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

// Two agents want to send orders to the same server. The second one must not before the
// first gives up its lease or the lease ends.
func TestSecondAgentWaitsForTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		store := beechstore.NewFake(clock)
		first, second := New(store, clock, server, Settings{}), New(store, clock, server, Settings{})
		var numbers []uint64
		order := func(_ context.Context, n uint64) error { numbers = append(numbers, n); return nil }
		is.NoErr(first.Order(t.Context(), order))
		var held LeaseHeld
		is.True(errors.As(second.Order(t.Context(), order), &held))
		is.NoErr(first.Close(t.Context()))
		is.NoErr(second.Order(t.Context(), order))
		is.True(errors.As(first.Order(t.Context(), order), &held))
		time.Sleep(defaultTTL)
		is.NoErr(first.Order(t.Context(), order))
		is.Equal(numbers, []uint64{1, 2, 3})
	})
}

// The key-value service is slow, calls and replies are lost, and agents stall. Orders must
// still reach a server in the order of their numbers, even if it does not check them.
func TestOrdersArriveInNumberOrder(t *testing.T) {
	given := 0
	for seed := range uint64(*runs) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { given += runOrders(t, seed) })
		})
	}
	if given < *runs {
		t.Errorf("only %d orders succeeded in %d runs", given, *runs)
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

// More engines need to load weights than the weight store can serve at full speed. The
// number of concurrent loads must stay within the limit, even while replies are lost.
func TestLoadSlotsAreBounded(t *testing.T) {
	most := 0
	for seed := range uint64(*runs) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { most = max(most, runSlots(t, seed)) })
		})
	}
	if most != 3 {
		t.Errorf("at most %d slots were held at the same time, want 3", most)
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
				if err != nil || slot.Remaining() < 2*time.Second {
					continue
				}
				mu.Lock()
				loading++
				most = max(most, loading)
				if loading > 3 {
					t.Errorf("%d loads at the same time, want at most 3", loading)
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
