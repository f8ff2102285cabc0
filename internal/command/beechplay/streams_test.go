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
	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

// streamTest runs callers that resume interrupted streams after the last event
// they received, while gates and engines fail.
type streamTest struct {
	t        *testing.T
	soak     *soak
	mu       sync.Mutex
	outcomes map[string]int       // number of calls by outcome
	restarts map[string]time.Time // when a gate was last started again
}

const (
	streamCallers     = 24
	faultDuration     = 6 * time.Second
	maxFaultInterval  = 300 * time.Millisecond
	streamEvents      = 40
	eventTimeout      = 800 * time.Millisecond // longest wait for an event
	maxReconnectDelay = 80 * time.Millisecond
	maxAttempts       = 60
	lastEventHeader   = "Last-Event-Id"
)

// TestStreamsSurviveGateAndEngineFailures guards against missing, duplicated or
// never delivered events when a gate is killed, stopped or suspended, or an engine
// closes its connection, at any point of a stream.
func TestStreamsSurviveGateAndEngineFailures(t *testing.T) {
	runStreamTest(t, func(r *streamTest) func() { return r.injectFault })
}

// TestStreamsSurviveEngineErrors guards against streams that end as if complete
// after the engine that was to resume them has answered with an error.
func TestStreamsSurviveEngineErrors(t *testing.T) {
	runStreamTest(t, func(r *streamTest) func() { return r.failEngines })
}

// runStreamTest runs several seeds with the given kind of failure.
func runStreamTest(t *testing.T, failure func(r *streamTest) func()) {
	program := buildProgram(t)
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed-", seed+1), func(t *testing.T) {
			t.Parallel()
			w, err := NewCluster(processLauncher{t: t, program: program, folder: beechtrace.Folder(t)})
			if err != nil {
				t.Fatal(err)
			}
			r := &streamTest{t: t, outcomes: map[string]int{}, restarts: map[string]time.Time{}, soak: &soak{t: t, cluster: w, random: rand.New(rand.NewPCG(seed+1, 0))}}
			r.deploy([]string{"", "", ""}, nil)
			r.run(seed+1, failure(r), r.readStream)
			t.Log(r.outcomes)
			if err := w.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

// deploy starts an engine for each of the given software versions, and three gates.
func (r *streamTest) deploy(software []string, edit func(c Document)) {
	w := r.soak.cluster
	w.Configure(1, edit)
	w.SetWeights(1)
	for i, version := range software {
		r.soak.must(w.AddEngine(fmt.Sprintf("e%d", i), beechsimulator.EngineSettings{
			Model: Model, Version: 1, Slots: 32, Token: 10 * time.Millisecond, Software: version,
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

// run has callers read streams, one after the other, while fail injects faults.
func (r *streamTest) run(seed uint64, fail func(), read func(name string, random *rand.Rand)) {
	over := make(chan struct{})
	var callers sync.WaitGroup
	for i := range streamCallers {
		random := rand.New(rand.NewPCG(seed, uint64(1+i)))
		callers.Go(func() {
			for n := 0; ; n++ {
				read(fmt.Sprintf("moment-%d-%d", i, n), random)
				select {
				case <-over:
					return
				default:
				}
			}
		})
	}
	for end := time.Now().Add(faultDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(r.soak.random.Int64N(int64(maxFaultInterval))))
		fail()
	}
	r.soak.endFaults()
	close(over)
	callers.Wait()
}

// injectFault makes a gate or an engine fail for a random time.
func (r *streamTest) injectFault() {
	random := r.soak.random
	gate := r.soak.gates[random.IntN(len(r.soak.gates))]
	process := r.soak.cluster.Process(gate).(*childProcess)
	engine := r.soak.cluster.Engines[fmt.Sprintf("e%d", random.IntN(3))]
	lasts := time.Duration(random.Int64N(int64(time.Second)))
	troubles := []beechsimulator.EngineFaults{{CutAfter: 5}, {Drop: true}, {Hang: true}, {Refuse: true}}
	switch kind := random.IntN(6); kind {
	case 0:
		process.signal(syscall.SIGKILL, true)
		r.restart(gate, process)
	case 1:
		process.Signal()
		r.restart(gate, process)
	case 2:
		process.signal(syscall.SIGSTOP, false)
		time.Sleep(lasts)
		process.signal(syscall.SIGCONT, false)
	default:
		engine.SetFaults(troubles[random.IntN(len(troubles))])
		time.Sleep(lasts)
		engine.SetFaults(beechsimulator.EngineFaults{})
	}
}

// restart starts a gate again once it has ended.
func (r *streamTest) restart(gate string, process *childProcess) {
	r.soak.restart(gate, process)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restarts[gate] = time.Now()
}

// failEngines makes each engine close its streams early, answer with an error, or
// work normally until the next call.
func (r *streamTest) failEngines() {
	troubles := []beechsimulator.EngineFaults{{}, {CutAfter: 5}, {Status: http.StatusInternalServerError}, {Status: http.StatusNotFound}}
	for i := range 3 {
		r.soak.cluster.Engines[fmt.Sprintf("e%d", i)].SetFaults(troubles[r.soak.random.IntN(len(troubles))])
	}
}

// readStream reads one stream as a caller that resumes until it has the last
// event.
func (r *streamTest) readStream(name string, random *rand.Rand) {
	seen, last := 0, ""
	for try := range maxAttempts {
		gate := r.soak.gates[random.IntN(len(r.soak.gates))]
		next, outcome := r.attempt(fmt.Sprintf("%s-%d", name, try), gate, seen)
		r.mu.Lock()
		r.outcomes[outcome]++
		r.mu.Unlock()
		seen, last = next, outcome
		if outcome == "whole" {
			return
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxReconnectDelay))))
	}
	r.t.Errorf("%s has %d of %d events after %d attempts; last outcome: %s", name, seen, streamEvents, maxAttempts, last)
}

// attempt sends one request and returns the last event received and the outcome.
func (r *streamTest) attempt(id, gate string, seen int) (last int, outcome string) {
	ask := beechsimulator.CallerRequest{
		ID: id, Key: Key, Host: Host, URL: "http://" + r.soak.cluster.Places[gate].String() + "/pick/x", Left: 5 * time.Second, Body: "question",
		Model: Model, Prompt: 1000, Output: streamEvents, Parts: "c0:400,5b:300," + id + ":300",
	}
	if seen > 0 {
		ask.Headers = map[string]string{lastEventHeader: strconv.Itoa(seen)}
	}
	request, err := ask.NewRequest()
	if err != nil {
		r.t.Error(err)
		return seen, "not asked"
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	timeout := time.AfterFunc(eventTimeout, leave)
	defer timeout.Stop()
	response, err := http.DefaultTransport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return seen, "no answer"
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return seen, fmt.Sprint("status ", response.StatusCode)
	}
	return r.readEvents(id, seen, response.Body, func() { timeout.Reset(eventTimeout) })
}

// readEvents reads the events of a stream, which must continue after the last
// event seen. An incomplete event does not count.
func (r *streamTest) readEvents(id string, seen int, body io.Reader, onEvent func()) (last int, outcome string) {
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
				r.t.Errorf("%s: event %q with data %q followed event %d", id, name, data, seen)
			}
			seen++
			onEvent()
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
