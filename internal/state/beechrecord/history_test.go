package beechrecord

import (
	"context"
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
	// claimState is the state of one key in the linearizable model.
	claimState struct {
		body    BodySum // zero before the first claim
		token   string  // empty if the key is free
		answer  string  // empty if not finished
		durable bool    // Finish reported the answer as recorded
	}

	claimInput struct {
		key       Key
		body      BodySum
		faultFree bool // no faults are injected any more, so the answer must be exact
	}

	finishInput struct {
		key    Key
		token  string
		answer string // empty if not run
	}

	// historyRun is one random run: callers repeat requests at several agents,
	// each of which considers itself the owner of every shard, is killed and
	// restarted.
	historyRun struct {
		t     *testing.T
		seed  uint64
		clock clockwork.Clock
		fake  *beechstore.Fake
		ticks atomic.Int64

		mu      sync.Mutex
		agents  []*Records
		history []porcupine.Operation
		ran     map[Key]int // number of runs, without those reported as not run
	}
)

const (
	agentCount      = 3
	callerCount     = 4
	claimsPerCaller = 8
	keyCount        = 4
	lostToken       = "lost"
)

var runs = flag.Int("runs", 1000, "random runs of each history test")

// Callers repeat requests at other agents while replies of the service are
// lost, writes take effect late, agents stall and die, and the service goes
// down. A request that is granted twice makes a booking twice.
func TestClaimHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(*runs) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, seed) })
		})
	}
}

func runHistory(t *testing.T, seed uint64) {
	clock := clockwork.NewRealClock() // virtual time inside synctest
	h := &historyRun{t: t, seed: seed, clock: clock, fake: beechstore.NewFake(clock), ran: map[Key]int{}}
	for i := range agentCount {
		h.agents = append(h.agents, h.agent(i))
	}
	var wait sync.WaitGroup
	for i := range callerCount {
		wait.Go(func() { h.call(i) })
	}
	wait.Go(func() { h.injectFaults() })
	wait.Wait()
	for _, a := range h.agents {
		a.Close()
	}
	h.fake.SetFaults(beechstore.Faults{})
	time.Sleep(5 * time.Second) // the last late write has taken effect
	h.checkEnd()
}

func (h *historyRun) agent(i int) *Records {
	flaky := beechstore.NewFlaky(h.fake, h.clock, h.seed*100+uint64(i), beechstore.FlakySettings{
		Refused: 0.04, LostCall: 0.03, LostReply: 0.06, LateWrite: 0.05, Stalled: 0.03,
		Delay: 4 * time.Millisecond, Stall: 2 * time.Second,
	})
	return New(flaky, h.clock, Settings{Shards: 1, SegmentBytes: 700, SegmentAge: time.Second, CallTimeout: time.Second})
}

func (h *historyRun) rng(client int) *rand.Rand {
	return rand.New(rand.NewPCG(h.seed, uint64(client)))
}

// injectFaults restarts agents and takes the service down.
func (h *historyRun) injectFaults() {
	r := h.rng(100)
	for range 6 {
		time.Sleep(randomDuration(r, 500*time.Millisecond))
		if r.IntN(3) == 0 {
			h.fake.SetFaults(beechstore.Faults{Down: true})
			time.Sleep(randomDuration(r, 1500*time.Millisecond))
			h.fake.SetFaults(beechstore.Faults{})
			continue
		}
		i := r.IntN(agentCount)
		h.mu.Lock()
		old := h.agents[i]
		h.agents[i] = h.agent(i + 10*r.IntN(9))
		h.mu.Unlock()
		old.Close()
	}
}

func (h *historyRun) call(client int) {
	r := h.rng(client)
	for n := range claimsPerCaller {
		time.Sleep(randomDuration(r, 300*time.Millisecond))
		in := claimInput{key: Key{Name: fmt.Sprint(r.IntN(keyCount))}, body: BodySum{1}}
		if r.IntN(10) == 0 {
			in.body = BodySum{2}
		}
		h.mu.Lock()
		agent := h.agents[r.IntN(agentCount)]
		h.mu.Unlock()
		granted, ok := h.claim(agent, client, in, fmt.Sprintf("%d-%d", client, n), randomDuration(r, 3*time.Second)).(Granted)
		if ok {
			h.run(agent, client, r, in.key, granted.Token)
		}
	}
}

func (h *historyRun) claim(agent *Records, client int, in claimInput, requestID string, within time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	call := h.ticks.Add(1)
	a := agent.Claim(ctx, in.key, in.body, requestID)
	_, open := a.(Unknown)
	h.record(client, call, in, a, open && !in.faultFree)
	return a
}

func (h *historyRun) run(agent *Records, client int, r *rand.Rand, key Key, token string) {
	h.mu.Lock()
	h.ran[key]++
	if h.ran[key] > 1 {
		h.t.Errorf("request %v ran %d times", key, h.ran[key])
	}
	h.mu.Unlock()
	time.Sleep(randomDuration(r, 200*time.Millisecond))
	in := finishInput{key: key, token: token}
	var o Outcome = NotRun{}
	switch r.IntN(8) {
	case 0:
		return // the outcome is never reported
	case 1, 2:
		h.mu.Lock()
		h.ran[key]--
		h.mu.Unlock()
	default:
		in.answer = "answer of " + token
		o = Ran{Status: 200, Body: []byte(in.answer)}
	}
	if r.IntN(4) == 0 {
		h.mu.Lock()
		agent = h.agents[r.IntN(agentCount)]
		h.mu.Unlock()
	}
	call := h.ticks.Add(1)
	err := agent.Finish(context.Background(), key, token, o)
	h.record(client, call, in, err, err != nil)
}

// record adds an operation to the history. An open one may take effect at any
// later time.
func (h *historyRun) record(client int, call int64, in, out any, open bool) {
	end := h.ticks.Add(1)
	if open {
		end = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history = append(h.history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

func (h *historyRun) checkEnd() {
	fresh := New(h.fake, h.clock, Settings{Shards: 1})
	for i := range keyCount {
		key := Key{Name: fmt.Sprint(i)}
		h.claim(fresh, 0, claimInput{key: key, body: BodySum{1}, faultFree: true}, "last", time.Minute)
	}
	fresh.Close()
	model := claimModel().ToModel()
	if porcupine.CheckOperations(model, h.history) {
		return
	}
	for _, o := range h.history {
		h.t.Log(o.Call, o.Return, model.DescribeOperation(o.Input, o.Output))
	}
	h.t.Error("the history is not linearizable")
}

func claimModel() *porcupine.NondeterministicModel {
	return &porcupine.NondeterministicModel{
		Partition: byKey,
		Init:      func() []any { return []any{claimState{}} },
		Step: func(state, input, output any) []any {
			var next []any
			for _, s := range claimStep(state.(claimState), input, output) {
				next = append(next, s)
			}
			return next
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %T %+v", input, output, output) },
	}
}

func byKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := map[Key][]porcupine.Operation{}
	for _, o := range history {
		key := Key{}
		switch in := o.Input.(type) {
		case claimInput:
			key = in.key
		case finishInput:
			key = in.key
		}
		parts[key] = append(parts[key], o)
	}
	var all [][]porcupine.Operation
	for _, p := range parts {
		all = append(all, p)
	}
	return all
}

func claimStep(s claimState, input, output any) []claimState {
	if in, ok := input.(finishInput); ok {
		return finishStep(s, in, output)
	}
	in := input.(claimInput)
	// The agent of a claim with an unknown outcome may free its key, since it
	// never returned the token.
	free := (s.token == "" || s.token == lostToken) && (s.body == BodySum{} || s.body == in.body)
	switch o := output.(type) {
	case Granted:
		return onlyIf(free, claimState{body: in.body, token: o.Token})
	case Done:
		return onlyIf(s.body == in.body && s.answer != "" && string(o.Body) == s.answer, s)
	case Mismatch:
		return onlyIf(s.body != BodySum{} && s.body != in.body, s)
	case Unknown:
		if in.faultFree {
			return onlyIf(s.token != "" && !s.durable && s.body == in.body, s)
		}
		return append(onlyIf(free, claimState{body: in.body, token: lostToken}), s)
	}
	return onlyIf(!in.faultFree, s) // refused
}

func finishStep(s claimState, in finishInput, output any) []claimState {
	finished := claimState{body: s.body, token: in.token, answer: in.answer, durable: output == nil && in.answer != ""}
	if in.answer == "" {
		finished.token = ""
	}
	took := onlyIf(s.token == in.token && s.answer == "", finished)
	if output != nil {
		return append(took, s)
	}
	return took
}

func onlyIf(ok bool, s claimState) []claimState {
	if !ok {
		return nil
	}
	return []claimState{s}
}

func randomDuration(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d)))
}
