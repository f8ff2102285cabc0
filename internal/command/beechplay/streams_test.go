package beechplay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/standin/beechhome"
)

// momentRun has callers of streams that come back with the last event that they
// saw, while gates and engines fail.
type momentRun struct {
	t     *testing.T
	soak  *soak
	mu    sync.Mutex
	ended map[string]int // how calls ended, counted
}

const (
	momentCallers  = 24
	momentSpan     = 6 * time.Second
	momentGap      = 300 * time.Millisecond
	streamEvents   = 40
	callerWaits    = 800 * time.Millisecond // without an event
	callerIsAway   = 80 * time.Millisecond  // at most
	mostReturns    = 60
	lastEventField = "Last-Event-Id"
)

// TestStreamsOutliveEveryMoment guards against streams of which an event is
// missing, comes twice or never comes where a gate is killed, stopped or
// suspended, or an engine breaks off, at any moment of them.
func TestStreamsSurviveGateAndEngineFailures(t *testing.T) {
	playMoments(t, func(r *momentRun) func() { return r.fail })
}

// TestEnginesThatFailInTwoWays guards against streams whose rest is asked for at an
// engine that answers with an error, and which then end as if they were whole.
func TestStreamsSurviveEngineErrors(t *testing.T) {
	playMoments(t, func(r *momentRun) func() { return r.failEngines })
}

// playMoments plays some seeds with failures of a kind.
func playMoments(t *testing.T, failure func(r *momentRun) func()) {
	program := buildProgram(t)
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed-", seed+1), func(t *testing.T) {
			t.Parallel()
			w, err := NewCluster(outside{t: t, program: program, folder: beechtrace.Folder(t)})
			if err != nil {
				t.Fatal(err)
			}
			r := &momentRun{t: t, ended: map[string]int{}, soak: &soak{t: t, world: w, random: rand.New(rand.NewPCG(seed+1, 0))}}
			r.deploy()
			r.play(seed+1, failure(r))
			t.Log(r.ended)
			if err := w.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

func (r *momentRun) deploy() {
	w := r.soak.world
	w.Configure(1, nil)
	w.SetWeights(1)
	for i := range 3 {
		r.soak.must(w.AddEngine(fmt.Sprintf("e%d", i), beechhome.EngineSettings{
			Model: Model, Version: 1, Slots: 32, Token: 10 * time.Millisecond,
		}))
	}
	bounds := beechsettings.GateBounds{
		Revoke: beechsettings.Duration(revokeBound), Grace: beechsettings.Duration(3 * time.Second), Weights: beechsettings.Duration(8 * time.Second),
		Retries: 0.2, Spare: 400,
	}
	for i := range 3 {
		name := fmt.Sprintf("gate-%d", i)
		if err := w.AddGate(name, bounds); err != nil {
			r.t.Fatal(err)
		}
		r.soak.gates = append(r.soak.gates, name)
	}
	time.Sleep(time.Second)
}

func (r *momentRun) play(seed uint64, fail func()) {
	over := make(chan struct{})
	var callers sync.WaitGroup
	for i := range momentCallers {
		random := rand.New(rand.NewPCG(seed, uint64(1+i)))
		callers.Go(func() {
			for n := 0; ; n++ {
				r.read(fmt.Sprintf("moment-%d-%d", i, n), random)
				select {
				case <-over:
					return
				default:
				}
			}
		})
	}
	for end := time.Now().Add(momentSpan); time.Now().Before(end); {
		time.Sleep(time.Duration(r.soak.random.Int64N(int64(momentGap))))
		fail()
	}
	r.soak.heal()
	close(over)
	callers.Wait()
}

// fail has a gate or an engine fail for a while.
func (r *momentRun) fail() {
	random := r.soak.random
	gate := r.soak.gates[random.IntN(len(r.soak.gates))]
	process := r.soak.world.Process(gate).(*program)
	engine := r.soak.world.Engines[fmt.Sprintf("e%d", random.IntN(3))]
	lasts := time.Duration(random.Int64N(int64(time.Second)))
	troubles := []beechhome.EngineFaults{{CutAfter: 5}, {Drop: true}, {Hang: true}, {Refuse: true}}
	switch kind := random.IntN(6); kind {
	case 0:
		process.signal(syscall.SIGKILL, true)
		r.soak.again(gate, process)
	case 1:
		process.Signal()
		r.soak.again(gate, process)
	case 2:
		process.signal(syscall.SIGSTOP, false)
		time.Sleep(lasts)
		process.signal(syscall.SIGCONT, false)
	default:
		engine.SetFaults(troubles[random.IntN(len(troubles))])
		time.Sleep(lasts)
		engine.SetFaults(beechhome.EngineFaults{})
	}
}

// failEngines has each engine break off, answer with an error, or do neither for a while.
func (r *momentRun) failEngines() {
	troubles := []beechhome.EngineFaults{{}, {CutAfter: 5}, {Status: http.StatusInternalServerError}, {Status: http.StatusNotFound}}
	for i := range 3 {
		r.soak.world.Engines[fmt.Sprintf("e%d", i)].SetFaults(troubles[r.soak.random.IntN(len(troubles))])
	}
}

// read is one caller, who comes back for the rest until it has the last event.
func (r *momentRun) read(name string, random *rand.Rand) {
	seen, last := 0, ""
	for try := range mostReturns {
		gate := r.soak.gates[random.IntN(len(r.soak.gates))]
		next, outcome := r.ask(fmt.Sprintf("%s-%d", name, try), gate, seen)
		r.mu.Lock()
		r.ended[outcome]++
		r.mu.Unlock()
		seen, last = next, outcome
		if outcome == "whole" {
			return
		}
		time.Sleep(time.Duration(random.Int64N(int64(callerIsAway))))
	}
	r.t.Errorf("%s has %d of %d events after %d tries, the last: %s", name, seen, streamEvents, mostReturns, last)
}

// ask sends one request and returns the last event that came, and how it ended.
func (r *momentRun) ask(id, gate string, seen int) (last int, outcome string) {
	ask := beechhome.CallerRequest{
		ID: id, Key: Key, Host: Host, URL: "http://" + r.soak.world.Places[gate].String() + "/pick/x", Left: 5 * time.Second, Body: "question",
		Model: Model, Prompt: 1000, Output: streamEvents, Parts: "c0:400,5b:300," + id + ":300",
	}
	if seen > 0 {
		ask.Headers = map[string]string{lastEventField: strconv.Itoa(seen)}
	}
	request, err := ask.NewRequest()
	if err != nil {
		r.t.Error(err)
		return seen, "not asked"
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	patience := time.AfterFunc(callerWaits, leave)
	defer patience.Stop()
	response, err := http.DefaultTransport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return seen, "no answer"
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return seen, fmt.Sprint("status ", response.StatusCode)
	}
	return r.events(id, seen, response.Body, func() { patience.Reset(callerWaits) })
}

// events reads a stream's events, which go on after the one that was seen. An event
// that is cut off half way does not count.
func (r *momentRun) events(id string, seen int, body io.Reader, came func()) (last int, outcome string) {
	lines := bufio.NewScanner(body)
	name, data := "", ""
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch field {
		case "id":
			name = value
		case "data":
			data = value
		case "":
			if name != strconv.Itoa(seen+1) || data != "token "+name {
				r.t.Errorf("%s: event %q with %q came after %d", id, name, data, seen)
			}
			seen++
			came()
		}
	}
	switch {
	case lines.Err() != nil:
		return seen, "broken off"
	case seen < streamEvents:
		r.t.Errorf("%s: ended as complete after %d of %d events", id, seen, streamEvents)
	}
	return seen, "whole"
}
