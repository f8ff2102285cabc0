package beechmanifest

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// headState is the state of the head in the linearizability model.
	headState struct {
		generation uint64
		sum        string
	}

	publishInput struct {
		base uint64
		sum  string
	}

	readInput struct{}

	// fleet is the state of one random run, in which operators publish, readers load and
	// processes follow the head. Each client uses the same store with its own faults.
	fleet struct {
		t     *testing.T
		seed  uint64
		clock clockwork.Clock
		fake  *beechstore.Fake
		ticks atomic.Int64
		wait  sync.WaitGroup

		mu      sync.Mutex
		history []porcupine.Operation
		sums    map[uint64]string // of the manifests that were active in processes, by generation
	}
)

const (
	operators       = 3
	publishesEach   = 5
	readers         = 2
	readsEach       = 8
	followers       = 2
	randomRunLength = 20 * time.Second
)

var runs = flag.Int("runs", 1000, "random runs of each history test")

// Operators publish concurrently while replies are lost, writes arrive late, processes
// stall and the key-value service goes down. If two changes were accepted on the same base,
// or an accepted one were lost, some processes would use a manifest that the operators
// believe to be replaced.
func TestHeadHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(*runs) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFleet(t, seed) })
		})
	}
}

func runFleet(t *testing.T, seed uint64) {
	clock := clockwork.NewRealClock() // uses the virtual time of synctest
	f := &fleet{t: t, seed: seed, clock: clock, fake: beechstore.NewFake(clock), sums: map[uint64]string{}}
	ctx, cancel := context.WithTimeout(t.Context(), randomRunLength)
	for i := range operators {
		f.wait.Go(func() { f.operate(ctx, i) })
	}
	for i := range readers {
		f.wait.Go(func() { f.read(ctx, operators+i) })
	}
	var following sync.WaitGroup
	for i := range followers {
		following.Go(func() { f.follow(ctx, operators+readers+i) })
	}
	f.wait.Go(func() { f.outages(ctx) })
	f.wait.Wait()
	f.fake.SetFaults(beechstore.Faults{})
	time.Sleep(2 * defaultMaxPause)
	f.checkEnd()
	cancel()
	following.Wait()
}

func (f *fleet) rng(client int) *rand.Rand {
	return rand.New(rand.NewPCG(f.seed, uint64(client)))
}

func (f *fleet) store(client int) beechstore.Store {
	return beechstore.NewFlaky(f.fake, f.clock, f.seed*1000+uint64(client), beechstore.FlakySettings{
		Refused: 0.05, LostCall: 0.03, LostReply: 0.06, LateWrite: 0.04, Stalled: 0.03,
		Delay: 4 * time.Millisecond, Stall: 2 * time.Second,
	})
}

func (f *fleet) outages(ctx context.Context) {
	r := f.rng(100)
	for range 3 {
		time.Sleep(upTo(r, time.Second))
		f.fake.SetFaults(beechstore.Faults{Down: true})
		time.Sleep(upTo(r, time.Second))
		f.fake.SetFaults(beechstore.Faults{})
		if ctx.Err() != nil {
			return
		}
	}
}

func (f *fleet) operate(ctx context.Context, client int) {
	r, store := f.rng(client), f.store(client)
	for range publishesEach {
		time.Sleep(upTo(r, 300*time.Millisecond))
		base := uint64(r.IntN(4))
		if g, _, err := Load(ctx, store); err == nil && r.IntN(10) > 0 {
			base = g
		}
		m := variant(r.IntN(4))
		call, within := f.ticks.Add(1), upTo(r, 3*time.Second)
		publishCtx, cancel := context.WithTimeout(ctx, within)
		o := Publish(publishCtx, store, f.clock, base, m)
		cancel()
		f.record(client, call, publishInput{base: base, sum: encodedSum(m)}, o)
	}
}

func (f *fleet) read(ctx context.Context, client int) {
	r, store := f.rng(client), f.store(client)
	for range readsEach {
		time.Sleep(upTo(r, 300*time.Millisecond))
		call := f.ticks.Add(1)
		g, m, err := Load(ctx, store)
		switch {
		case errors.Is(err, ErrNone):
			f.record(client, call, readInput{}, headState{})
		case err == nil:
			f.record(client, call, readInput{}, headState{generation: g, sum: encodedSum(m)})
		}
	}
}

// follow runs a process that watches the head and restarts at random times.
func (f *fleet) follow(ctx context.Context, client int) {
	r, store := f.rng(client), f.store(client)
	for ctx.Err() == nil {
		life, cancel := context.WithTimeout(ctx, time.Second+upTo(r, 10*time.Second))
		holder := NewHolder()
		var watching sync.WaitGroup
		watching.Go(func() { _ = NewWatcher(store, holder, f.clock, WatcherSettings{}).Serve(life) })
		var last uint64
		for life.Err() == nil {
			changed := holder.Changed()
			last = f.checkActive(holder, last)
			select {
			case <-changed:
			case <-life.Done():
			}
		}
		cancel()
		watching.Wait()
	}
}

func (f *fleet) checkActive(h *Holder, last uint64) uint64 {
	g, data := h.Encoded()
	if g < last {
		f.t.Errorf("a process returned from generation %d to %d", last, g)
	}
	if g == 0 {
		return last
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if sum, ok := f.sums[g]; ok && sum != sumOf(data) {
		f.t.Errorf("generation %d was active with two different contents", g)
	}
	f.sums[g] = sumOf(data)
	return g
}

func (f *fleet) record(client int, call int64, in, out any) {
	end := f.ticks.Add(1)
	if _, ok := out.(Unknown); ok {
		end = math.MaxInt64 // it may still take effect
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

func (f *fleet) checkEnd() {
	f.mu.Lock()
	defer f.mu.Unlock()
	model := headModel().ToModel()
	if !porcupine.CheckOperations(model, f.history) {
		for _, o := range f.history {
			f.t.Log(model.DescribeOperation(o.Input, o.Output), o.Call, o.Return)
		}
		f.t.Error("the history is not linearizable")
	}
	changes, err := History(context.Background(), f.fake)
	if err != nil {
		f.t.Errorf("history: %v", err)
	}
	for i, c := range changes {
		if c.Generation != uint64(i+1) {
			f.t.Errorf("history lists generation %d at index %d", c.Generation, i)
		}
		if sum, ok := f.sums[c.Generation]; ok && sum != c.Sum {
			f.t.Errorf("the active manifest of generation %d is not the accepted one", c.Generation)
		}
	}
	if _, _, err := Load(context.Background(), f.fake); err != nil && !errors.Is(err, ErrNone) {
		f.t.Errorf("the published manifest cannot be read at the end: %v", err)
	}
	if n := uint64(len(changes)); n > 0 && f.sums[n] == "" {
		f.t.Errorf("generation %d is not active in any process", n)
	}
}

func headModel() *porcupine.NondeterministicModel {
	return &porcupine.NondeterministicModel{
		Init: func() []any { return []any{headState{}} },
		Step: func(state, input, output any) []any { return headStep(state.(headState), input, output) },
		DescribeOperation: func(input, output any) string {
			return fmt.Sprintf("%+v -> %T%+v", input, output, output)
		},
	}
}

func headStep(s headState, input, output any) []any {
	in, ok := input.(publishInput)
	if !ok {
		return statesIf(s, output.(headState) == s)
	}
	next := headState{generation: in.base + 1, sum: in.sum}
	switch o := output.(type) {
	case Accepted:
		return statesIf(next, s.generation == in.base && o.Generation == next.generation)
	case Conflict:
		return statesIf(s, s.generation != in.base && s.generation == o.Current)
	case Unknown:
		return append(statesIf(next, s.generation == in.base), s)
	}
	return statesIf(s, true)
}

func statesIf(s headState, ok bool) []any {
	if !ok {
		return nil
	}
	return []any{s}
}

// variant returns one of a few manifests, so that parts become unused and are used again.
func variant(i int) *Manifest {
	m := &Manifest{
		Deployment: "random",
		Targets:    Targets{FirstToken: Duration(time.Second), Share: 0.5, WasteWeight: float64(i % 2), MaxLoads: 1},
		Priorities: []string{"one"},
	}
	for n := range 2 + i/2 {
		m.Workspaces = append(m.Workspaces, Workspace{
			Name: fmt.Sprintf("w%d", n), Keys: []string{sumOf([]byte{byte(n)})}, Priority: "one", Weight: 1,
		})
	}
	return m
}

func encodedSum(m *Manifest) string {
	data, err := Encode(canonical(m))
	if err != nil {
		panic(err)
	}
	return sumOf(data)
}

func upTo(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d)))
}
