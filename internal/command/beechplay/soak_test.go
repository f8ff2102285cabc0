package beechplay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/decision/beechbackup"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

var (
	soakSeed  = flag.Uint64("seed", 0, "run the soak test with this seed only")
	soakSeeds = flag.Int("seeds", 3, "number of seeds of the soak test; beyond the first three they are taken from the clock")
)

// soakVersions are the software versions of the engines.
var soakVersions = []string{"v1", "v2"}

// notRunStatuses promise that a request that may not be repeated has not run.
var notRunStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

const (
	soakDuration     = 14 * time.Second
	soakRequestRate  = 40.0
	revokeBound      = 5 * time.Second
	faultInterval    = 700 * time.Millisecond
	minAnsweredShare = 0.5 // of requests that must be answered under all faults
	// keyValidity is how long a gate may accept keys without the store; it follows
	// from the configured revocation bound.
	keyValidity = revokeBound / 2
	// One of departingEvery callers leaves within maxPatience, whatever it got.
	departingEvery = 8
	maxPatience    = 50 * time.Millisecond
	// departureBound is how long after its caller's departure a request may still begin to run.
	departureBound = 500 * time.Millisecond
)

type (
	// processLauncher starts gates and keepers as separate processes.
	processLauncher struct {
		t       *testing.T
		program string
		folder  string
		env     []string // of its processes, beside that of the test
	}

	// childProcess is a gate or keeper started by processLauncher.
	childProcess struct {
		name          string
		cmd           *exec.Cmd
		output        string
		mu            sync.Mutex
		stopRequested bool // the test stopped or killed it
		exited        chan struct{}
		err           error
	}

	// soak is one run of the test: a cluster of separate processes, the faults
	// injected into it, and the results of its callers.
	soak struct {
		t       *testing.T
		seed    uint64
		cluster *Cluster
		random  *rand.Rand
		client  *http.Client
		gates   []string
		copied  beechsimulator.Snapshot // from which the store is restored

		restarts sync.Mutex // guards the processes of the cluster

		mu              sync.Mutex
		statuses        map[string]int // status by request ID; 0 if there was no answer
		atMostOnce      map[string]bool
		revocableSentAt map[string]time.Time // when a request was sent with the key that gets revoked
		excused         int                  // requests rejected while no gate could verify keys
		storeLostAt     time.Time            // start of the store's current fault; zero if there is none
		revokedAt       time.Time            // when that key was revoked
		answered        int
		disturbances    []time.Time // when a gate was killed, stopped, suspended or resumed
		limitSpans      []limitSpan
		leavings        map[string]*leaving  // callers that left the middle of a stream
		stalls          []time.Time          // when the machine had stood still
		departedAt      map[string]time.Time // when a caller closed its connection without an answer
		disturbedAt     map[string][]time.Time
		poisonSentAt    map[string]time.Time // requests on which engines crash
		poisonGate      map[string]string    // that they were sent to
		longStatus      map[string]int       // of streams of sendLongStreams
		longWhole       int
		favored         string // gate that most requests go to; empty is none
	}
)

func (o processLauncher) start(name, role string, settings any) (Process, error) {
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(o.folder, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	output, err := os.OpenFile(filepath.Join(o.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &childProcess{name: name, cmd: exec.Command(o.program, role, "--settings", file), output: output.Name(), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.Env = append(os.Environ(), o.env...)
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = output.Close()
		close(p.exited)
	}()
	return p, nil
}

func (o processLauncher) Gate(s *beechsettings.Gate) (Process, error) {
	return o.start(s.Name, "gate", s)
}

func (o processLauncher) Keeper(s *beechsettings.Keeper) (Process, error) {
	return o.start(s.Name, "keeper", s)
}

func (p *childProcess) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	p.stopRequested = p.stopRequested || ends
	p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // Wait reports a process that has already exited
}

func (p *childProcess) Signal() { p.signal(syscall.SIGTERM, true) }

func (p *childProcess) Wait() error {
	select {
	case <-p.exited:
		var exit *exec.ExitError
		if errors.As(p.err, &exit) && exit.Sys().(syscall.WaitStatus).Signaled() {
			return nil // killed by this test
		}
		return p.err
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		return fmt.Errorf("%s has not stopped", p.name)
	}
}

// exitedUnexpectedly reports whether the process exited without being stopped by
// the test.
func (p *childProcess) exitedUnexpectedly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return !p.stopRequested
	default:
		return false
	}
}

// TestSoak injects random faults into separate processes: kills, stops and
// suspensions; a store that is down, does not answer or drops its history; engines
// that reject requests, hang, reset connections, close streams and return errors;
// new weights, new configurations and a revoked key. The guarantees of the users'
// requirements must hold throughout.
func TestSoak(t *testing.T) {
	program := buildProgram(t)
	seeds := []uint64{*soakSeed}
	if *soakSeed == 0 {
		seeds = nil
		for i := range *soakSeeds {
			seed := uint64(i + 1)
			if i >= 3 {
				seed = uint64(time.Now().UnixNano()) + uint64(i)
			}
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, program, seed)
		})
	}
}

func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "beechring")
	build := exec.Command("go", "build", "-o", program, "github.com/beechring/beechring/cmd/beechring")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

func runSoak(t *testing.T, binary string, seed uint64) {
	w, err := NewCluster(processLauncher{t: t, program: binary, folder: beechtrace.Folder(t)})
	if err != nil {
		t.Fatal(err)
	}
	s := &soak{
		t: t, seed: seed, cluster: w, random: rand.New(rand.NewPCG(seed, seed)), client: &http.Client{Timeout: 7 * time.Second},
		statuses: make(map[string]int), atMostOnce: make(map[string]bool), revocableSentAt: make(map[string]time.Time), departedAt: make(map[string]time.Time), leavings: make(map[string]*leaving),
		disturbedAt: make(map[string][]time.Time), poisonSentAt: make(map[string]time.Time), poisonGate: make(map[string]string), longStatus: make(map[string]int),
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go s.watchStalls(ctx)
	s.deploy()
	s.copied = w.Store.Snapshot()
	s.sendRequests()
	s.check()
	s.checkBackups()
	s.client.CloseIdleConnections()
	if err := w.Close(); err != nil {
		t.Error(err)
	}
}

func (s *soak) deploy() {
	s.cluster.Backups = beechbackup.On
	s.cluster.Models = []string{OtherModel, ThirdModel}
	s.cluster.Configure(1, nil)
	s.cluster.SetWeights(1)
	for _, model := range s.cluster.Models {
		s.cluster.SetWeightsOf(model, 1)
	}
	for i := range 3 {
		s.must(s.cluster.AddEngine(fmt.Sprintf("e%d", i), beechsimulator.EngineSettings{Model: Model, Version: 1, Slots: 32, Token: 20 * time.Millisecond, Load: 300 * time.Millisecond, Software: soakVersions[i%len(soakVersions)], Slowness: 100}))
		s.must(s.cluster.AddEngine(fmt.Sprintf("s%d", i), beechsimulator.EngineSettings{Slots: 32}))
	}
	bounds := beechsettings.GateBounds{
		Revoke: beechsettings.Duration(revokeBound), Grace: beechsettings.Duration(6 * time.Second), Weights: beechsettings.Duration(8 * time.Second),
		Retries: 0.2, Spare: 50,
	}
	for i := range 3 {
		name := fmt.Sprintf("gate-%d", i)
		if err := s.cluster.AddGate(name, bounds); err != nil {
			s.t.Fatal(err)
		}
		s.gates = append(s.gates, name)
	}
	time.Sleep(time.Second)
}

func (s *soak) must(_ *beechsimulator.Engine, err error) {
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *soak) sendRequests() {
	var callers sync.WaitGroup
	done := make(chan struct{})
	go func() {
		defer close(done)
		var limits sync.WaitGroup
		limits.Go(s.injectLimits)
		limits.Go(s.injectPoison)
		limits.Go(s.injectEndless)
		limits.Go(s.injectCopies)
		limits.Go(s.favorGate)
		limits.Go(s.sendLongStreams)
		limits.Go(s.announceSeries)
		defer limits.Wait()
		version := 1
		for end := time.Now().Add(soakDuration - 4*time.Second); time.Now().Before(end); time.Sleep(faultInterval) {
			version++
			s.injectFault(version)
		}
		s.endFaults()
	}()
	draw := rand.New(rand.NewPCG(s.random.Uint64(), 1))
	departures := rand.New(rand.NewPCG(s.seed, 2)) // of its own, so that a seed's other draws stay as they were
	skew := rand.New(rand.NewPCG(s.seed, 4))
	midway := rand.New(rand.NewPCG(s.seed, 6))
	for n, end := 0, time.Now().Add(soakDuration); time.Now().Before(end); n++ {
		path, key := []string{"/pick/", "/card/", "/label/", "/check/"}[draw.IntN(4)], Key
		if draw.IntN(5) == 0 {
			key = IsolateKey
		}
		gate := s.gates[draw.IntN(len(s.gates))]
		if favored := s.favoredGate(); favored != "" && skew.IntN(favoredOf) > 0 {
			gate = favored
		}
		if departures.IntN(departingEvery) == 0 {
			patience := time.Duration(departures.Int64N(int64(maxPatience)))
			callers.Go(func() { s.sendAndDepart(fmt.Sprintf("departing-%d", n), gate, path, patience) })
		}
		if l := drawLeaving(midway, gate); l != nil && (path == "/pick/" || path == "/card/") {
			callers.Go(func() { s.leaveMidway(fmt.Sprintf("leaving-%d", n), path, l) })
		}
		callers.Add(1)
		go func() {
			defer callers.Done()
			s.sendRequest(fmt.Sprintf("soak-%d", n), gate, path, key)
		}()
		time.Sleep(time.Duration(draw.ExpFloat64() / soakRequestRate * float64(time.Second)))
	}
	callers.Wait()
	<-done
}

// injectFault injects one fault. Faults of the store and the engines last until a
// later fault replaces them or the run ends.
func (s *soak) injectFault(version int) {
	gate := s.gates[s.random.IntN(len(s.gates))]
	s.restarts.Lock()
	process := s.cluster.Process(gate).(*childProcess)
	s.restarts.Unlock()
	engine := s.cluster.Engines[[]string{"e0", "e1", "e2", "s0", "s1", "s2"}[s.random.IntN(6)]]
	troubles := []beechsimulator.EngineFaults{{}, {Refuse: true}, {Hang: true}, {Drop: true}, {CutAfter: 2}, {Status: http.StatusInternalServerError}, {SilentOrders: true}}
	switch s.random.IntN(10) {
	case 0:
		s.recordDisturbance(gate)
		process.signal(syscall.SIGKILL, true)
		s.restartGate(gate, process)
		s.recordDisturbance(gate)
	case 1:
		s.recordDisturbance(gate)
		process.Signal()
		s.restartGate(gate, process)
		s.recordDisturbance(gate)
	case 2:
		s.recordDisturbance(gate)
		process.signal(syscall.SIGSTOP, false)
		time.Sleep(time.Duration(s.random.IntN(2500)) * time.Millisecond)
		process.signal(syscall.SIGCONT, false)
		s.recordDisturbance(gate)
	case 3:
		s.killKeeper(fmt.Sprintf("keeper-e%d", s.random.IntN(3)))
	case 4:
		s.setStoreLost(true)
		s.cluster.Store.SetFaults([]beechsimulator.StoreFaults{{Status: http.StatusServiceUnavailable}, {Silent: true}, {Slow: 200 * time.Millisecond}, {Deaf: true}, {Body: "<html>"}}[s.random.IntN(5)])
	case 5:
		s.cluster.Store.SetFaults(beechsimulator.StoreFaults{})
		s.setStoreLost(false)
		if version%2 == 0 {
			s.cluster.Store.RestoreAndRewrite(s.copied)
		} else {
			s.cluster.Store.Compact()
		}
		s.copied = s.cluster.Store.Snapshot()
	case 6:
		s.cluster.SetWeights(version)
	case 7:
		s.revoke(version)
	default:
		trouble := troubles[s.random.IntN(len(troubles))]
		if trouble.Refuse && version%2 == 0 {
			trouble.RetryAfter = "1.5"
		}
		engine.SetFaults(trouble)
	}
}

// restartGate waits until a gate has exited and starts it again.
func (s *soak) restartGate(name string, p *childProcess) {
	if err := p.Wait(); err != nil {
		s.t.Error(err)
	}
	s.restarts.Lock()
	defer s.restarts.Unlock()
	s.restart(name, p)
}

// restart waits until a process has exited and starts it again. The caller holds the lock of
// restarts.
func (s *soak) restart(name string, p *childProcess) {
	if err := p.Wait(); err != nil {
		s.t.Error(err)
	}
	if err := s.cluster.Start(name); err != nil {
		s.t.Error(err)
	}
}

// revoke removes a key from the configuration permanently.
func (s *soak) revoke(version int) {
	s.cluster.Configure(version, func(c Document) { c["tenants"] = c["tenants"].([]Document)[:1] })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revokedAt.IsZero() {
		s.revokedAt = time.Now()
	}
}

// setStoreLost records the start or the end of a fault of the store.
func (s *soak) setStoreLost(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !lost:
		s.storeLostAt = time.Time{}
	case s.storeLostAt.IsZero():
		s.storeLostAt = time.Now()
	}
}

func (s *soak) endFaults() {
	s.cluster.Store.SetFaults(beechsimulator.StoreFaults{})
	s.setStoreLost(false)
	for _, e := range s.cluster.Engines {
		e.SetFaults(beechsimulator.EngineFaults{})
		e.SetEndless("", 0, 0)
		e.SetTwice(0)
	}
}

func (s *soak) sendRequest(id, gate, path, key string) {
	streams := path == "/pick/" || path == "/card/"
	ask := beechsimulator.CallerRequest{ID: id, Key: key, Host: Host, URL: "http://" + s.cluster.Places[gate].String() + path + id, Left: 5 * time.Second, Body: "question"}
	if streams {
		ask.Model, ask.Prompt, ask.Output, ask.Parts = Model, 1000, 10, "c0:400,5b:300,"+strings.TrimPrefix(id, "soak-")+":300"
	}
	r, err := ask.NewRequest()
	if err != nil {
		s.t.Error(err)
		return
	}
	s.mu.Lock()
	s.atMostOnce[id] = path != "/check/" && path != "/pick/"
	if key == IsolateKey {
		s.revocableSentAt[id] = time.Now()
	}
	s.mu.Unlock()
	status := 0
	if response, err := s.client.Do(r); err == nil {
		body, failed := io.ReadAll(response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
		switch {
		case failed != nil:
			status = 0
		case status == http.StatusOK && streams && !isStreamOfOneVersion(string(body)):
			s.t.Errorf("%s: incomplete stream ended as complete: %q", id, body)
		case status == http.StatusOK && !streams && !bytes.HasPrefix(body, []byte("POST "+path+id+" ")):
			s.t.Errorf("%s: answer of another request: %q", id, body)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[id] = status
	switch {
	case status == http.StatusOK:
		s.answered++
	case status == http.StatusServiceUnavailable && !s.storeLostAt.IsZero() && time.Since(s.storeLostAt) > keyValidity && key == Key:
		s.excused++
	}
}

// isStreamOfOneVersion reports whether a body is a whole stream by engines of one software version.
func isStreamOfOneVersion(body string) bool {
	for _, version := range soakVersions {
		if strings.ReplaceAll(body, " by "+version+"\n", "\n") == expectedStream(10) {
			return true
		}
	}
	return false
}

// sendAndDepart sends a request and closes the connection soon after, whether it is answered or not.
func (s *soak) sendAndDepart(id, gate, path string, patience time.Duration) {
	c, err := net.Dial("tcp4", s.cluster.Places[gate].String())
	if err != nil {
		return // the gate is down
	}
	ask := beechsimulator.CallerRequest{ID: id, Key: Key, Host: Host, URL: "http://" + s.cluster.Places[gate].String() + path + "x", Left: 5 * time.Second, Body: "question"}
	if path == "/pick/" || path == "/card/" {
		ask.Model, ask.Prompt, ask.Output, ask.Parts = Model, 1000, 10, "c0:400,5b:300,"+id+":300"
	}
	r, err := ask.NewRequest()
	if err != nil {
		s.t.Error(err)
		return
	}
	_ = r.Write(c)
	time.Sleep(patience)
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departedAt[id] = time.Now()
}

// checkDepartures checks that no request began to run long after its caller had left.
func (s *soak) checkDepartures() {
	begun := 0
	for id, left := range s.departedAt {
		for name, e := range s.cluster.Engines {
			at := e.BegunAt(id)
			if !at.IsZero() {
				begun++
			}
			if at.After(left.Add(departureBound)) {
				s.t.Errorf("%s: began to run at %s %s after its caller had left", id, name, at.Sub(left))
			}
		}
	}
	s.t.Logf("%d callers left early, %d of their requests ran", len(s.departedAt), begun)
}

// check compares the callers' results with the requests that ran.
func (s *soak) check() {
	for id, status := range s.statuses {
		runs := s.cluster.Runs(id)
		if s.atMostOnce[id] && runs > 1 {
			s.t.Errorf("%s: ran %d times, may run at most once", id, runs)
		}
		if s.atMostOnce[id] && runs > 0 && slices.Contains(notRunStatuses, status) {
			s.t.Errorf("%s: ran, though its caller got status %d", id, status)
		}
		if sent, ok := s.revocableSentAt[id]; ok && !s.revokedAt.IsZero() && sent.After(s.revokedAt.Add(revokeBound)) && runs > 0 {
			s.t.Errorf("%s: ran with a key %s after it was revoked", id, sent.Sub(s.revokedAt))
		}
	}
	s.checkOrders()
	s.checkLimits()
	s.checkDepartures()
	s.checkLeavings()
	s.checkPoison()
	s.checkMemory()
	for name, p := range s.cluster.processes {
		if p.(*childProcess).exitedUnexpectedly() {
			log, _ := os.ReadFile(p.(*childProcess).output)
			s.t.Errorf("%s exited unexpectedly:\n%s", name, log[max(len(log)-2000, 0):])
		}
	}
	s.t.Logf("%d of %d answered, %d copies of answers", s.answered, len(s.statuses), s.copiesSent())
	if float64(s.answered) < minAnsweredShare*float64(len(s.statuses)-len(s.revocableSentAt)-s.excused) {
		s.t.Errorf("only %d of %d requests were answered", s.answered, len(s.statuses))
	}
}
