package beechplay

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

// versionChangesTest has software versions join and leave beside all other faults.
type versionChangesTest struct {
	*versionTest
	paths  map[string]*beechsimulator.StorePath
	listed []int // of versionServers, in the order in which they joined
}

const (
	versionServers = 4 // versions, with two servers each
	soleTime       = 10500 * time.Millisecond
	maxCut         = 3 * time.Second
)

// TestStreamsAreNotJoinedWhileVersionsComeAndGo guards against streams with events of two software versions, and against
// refusing the rest of too many streams, while versions join and leave, and gates are cut off from the store, suspended,
// killed and stopped, one beside the other.
func TestStreamsAreNotJoinedWhileVersionsComeAndGo(t *testing.T) {
	program := buildProgram(t)
	for seed := range uint64(*soakSeeds) {
		t.Run(fmt.Sprint("seed-", seed+1), func(t *testing.T) {
			t.Parallel()
			w, err := NewCluster(processLauncher{t: t, program: program, folder: beechtrace.Folder(t)})
			if err != nil {
				t.Fatal(err)
			}
			r := &versionChangesTest{
				versionTest: &versionTest{streamTest: &streamTest{t: t, outcomes: map[string]int{}, restarts: map[string]time.Time{}, soak: &soak{t: t, cluster: w, random: rand.New(rand.NewPCG(seed+1, 2))}}},
				paths:       map[string]*beechsimulator.StorePath{}, listed: []int{0},
			}
			r.deployChanges()
			r.run(seed+1, r.change, r.readVersions)
			if err := w.Close(); err != nil {
				t.Error(err)
			}
			began, went := answeredShare(&r.begun, &r.startsAsked), answeredShare(&r.wentOn, &r.takenUp)
			t.Logf("%.2f of %d new streams began, %.2f of %d streams that were taken up went on", began, r.startsAsked.Load(), went, r.takenUp.Load())
			if r.takenUp.Load() == 0 || went < began/2 {
				t.Errorf("%.2f of the streams that were taken up went on, %.2f of the new ones began", went, began)
			}
		})
	}
}

// deployChanges starts gates, each with its own way to the store and the last with no other way to what the others know,
// and waits until they have known one version alone for as long as streams can be resumed.
func (r *versionChangesTest) deployChanges() {
	w := r.soak.cluster
	w.Configure(1, func(c Document) { c["routes"].([]Document)[0]["maxAttempts"] = 1 })
	w.SetWeights(1)
	for n := range 2 * versionServers {
		name := fmt.Sprintf("e%d", n)
		r.soak.must(w.AddEngine(name, beechsimulator.EngineSettings{Model: Model, Version: 1, Slots: 32, Token: 10 * time.Millisecond, Software: fmt.Sprint("v", n/2)}))
		w.Engines[name].SetFaults(beechsimulator.EngineFaults{CutAfter: 5, CutEvery: 2})
		if n >= 2 {
			w.Store.RemoveServer(name)
		}
	}
	bounds := beechsettings.GateBounds{
		Revoke: beechsettings.Duration(revokeBound), Grace: beechsettings.Duration(3 * time.Second), Weights: beechsettings.Duration(8 * time.Second), Retries: 0.2, Spare: 400,
	}
	for n := range 3 {
		if n == 2 {
			for _, gate := range r.soak.gates {
				w.gates[gate].Seeds = w.seeds // from its next start on
			}
			w.CutDatagrams()
		}
		name := fmt.Sprintf("gate-%d", n)
		r.paths[name] = &beechsimulator.StorePath{Store: w.Store}
		if err := w.ServeStore(r.paths[name]); err != nil {
			r.t.Fatal(err)
		}
		if err := w.AddGate(name, bounds); err != nil {
			r.t.Fatal(err)
		}
		r.soak.gates = append(r.soak.gates, name)
	}
	time.Sleep(soleTime)
}

// change has a version join or leave, or cuts, suspends, kills or stops a gate, beside what follows. Engines cut every
// other stream all the while.
func (r *versionChangesTest) change() {
	random := r.soak.random
	gate := r.soak.gates[random.IntN(len(r.soak.gates))]
	lasts := time.Duration(random.Int64N(int64(maxCut)))
	process := r.soak.cluster.Process(gate).(*childProcess)
	switch random.IntN(7) {
	case 0:
		r.join()
	case 1:
		if len(r.listed) > 1 {
			r.leave()
		}
	case 2:
		path := r.paths[r.soak.gates[1+random.IntN(2)]]
		path.SetCut(true)
		time.AfterFunc(lasts, func() { path.SetCut(false) })
	case 3:
		process.signal(syscall.SIGSTOP, false)
		time.AfterFunc(lasts, func() { process.signal(syscall.SIGCONT, false) })
	case 4:
		process.signal(syscall.SIGKILL, true)
		r.restart(gate, process)
	case 5:
		process.Signal()
		r.restart(gate, process)
	}
}

func (r *versionChangesTest) join() {
	last := r.listed[len(r.listed)-1]
	if last+1 == versionServers {
		return
	}
	r.listed = append(r.listed, last+1)
	for _, name := range r.servers(last + 1) {
		r.soak.cluster.ListServer(name, "ready")
	}
}

func (r *versionChangesTest) leave() {
	for _, name := range r.servers(r.listed[0]) {
		r.soak.cluster.Store.RemoveServer(name)
	}
	r.listed = r.listed[1:]
}

func (r *versionChangesTest) servers(version int) [2]string {
	return [2]string{fmt.Sprintf("e%d", 2*version), fmt.Sprintf("e%d", 2*version+1)}
}
