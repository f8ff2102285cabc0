package beechplay

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/standin/beechcrowd"
	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

const (
	crowdMemory  = 134     // MB of a gate, the smallest usual host
	crowdBody    = 4 << 20 // bytes, the operators' limit
	crowdClients = 48

	ordinaryBody = 1 << 10
	steadyBody   = 256 << 10 // of a caller that sends steadily
	steadyPause  = 10 * time.Millisecond

	turnLimit    = 10 * time.Second       // for a crowd to do what it wants to
	crowdStay    = 500 * time.Millisecond // for which it stays then
	patientLimit = 30 * time.Second       // for a caller that comes again as it is told
)

// crowdCase is a crowd in front of one gate.
type crowdCase struct {
	name        string // of the case; empty: that of the form
	form        string
	path        string // empty: that of the plain service
	clients     int    // 0: crowdClients
	descriptors int    // of the gate; 0: not told
	hang        bool   // the engines answer nothing
	allCores    bool   // the gate runs on all cores; otherwise on one, as on its usual host
	keys        int    // workspaces of the crowd; 0: one
	key         string // of the crowd; empty: that of an ordinary caller
}

// crowdDeployment is a gate in a process of its own, before servers in the test's process.
type crowdDeployment struct {
	t       *testing.T
	cluster *Cluster
	gate    *childProcess
	asked   atomic.Int32
}

// TestCrowdsAtGate guards against clients whose requests together take more memory or descriptors than the gate's
// host has, or all that ordinary callers need. It needs a machine without other load.
func TestCrowdsAtGate(t *testing.T) {
	program := buildProgram(t)
	for _, c := range []crowdCase{
		{form: "length"},
		{form: "chunks"},
		{form: "small-chunks"},
		{name: "small-chunks-cores", form: "small-chunks", allCores: true},
		{form: "whole", path: "/pick/x", hang: true},
		{name: "whole-many-keys", form: "whole", path: "/pick/x", hang: true, keys: 8},
		{form: "announced"},
		{form: "endless"},
		{form: "heads", clients: 800},
		{form: "trickle"},
		{form: "kept"},
		{form: "behind", path: "/pick/x", hang: true},
		{form: "deaf"},
		{form: "mixed"},
		{form: "idle", clients: 400, descriptors: 256},
		{name: "trickle-descriptors", form: "trickle", clients: 400, descriptors: 256},
		{name: "heads-descriptors", form: "heads", clients: 400, descriptors: 256},
		{name: "short-descriptors", form: "short", clients: 400, descriptors: 256},
		{name: "unknown-key", form: "short", key: "key-of-nobody", clients: 400, descriptors: 256},
		{name: "behind-many", form: "behind", path: "/pick/x", hang: true, clients: 1200},
	} {
		if c.name == "" {
			c.name = c.form
		}
		t.Run(c.name, func(t *testing.T) { newCrowdDeployment(t, program, c).endure(c) })
	}
}

// TestCrowdsAtGateThatStops guards against clients that keep a stopping gate from its end.
func TestCrowdsAtGateThatStops(t *testing.T) {
	program := buildProgram(t)
	for _, form := range []string{"mixed", "behind"} {
		t.Run(form, func(t *testing.T) {
			is := is.New(t)
			c := crowdCase{form: form}
			d := newCrowdDeployment(t, program, c)
			observation := beechcrowd.Observe(d.gate.cmd.Process.Pid, d.cluster.Places["gate"])
			crowd := d.call(c)
			defer crowd.Stop()
			crowd.AwaitTurns(turnLimit)
			d.gate.Signal()
			is.NoErr(d.gate.Wait())
			used := observation.Now()
			t.Logf("%d KB unread, %d descriptors", used.Unread>>10, used.Descriptors)
			output, err := os.ReadFile(d.gate.output)
			is.NoErr(err)
			is.True(strings.Contains(string(output), "gate stopped"))
		})
	}
}

func newCrowdDeployment(t *testing.T, program string, c crowdCase) *crowdDeployment {
	t.Helper()
	is := is.New(t)
	launcher := processLauncher{t: t, program: program, folder: beechtrace.Folder(t), env: []string{"GOMAXPROCS=1"}}
	if c.allCores {
		launcher.env = nil
	}
	w, err := NewCluster(launcher)
	is.NoErr(err)
	t.Cleanup(func() {
		for _, p := range w.processes {
			p.(*childProcess).signal(syscall.SIGKILL, true)
		}
		_ = w.Close()
	})
	w.Memory, w.Descriptors = crowdMemory, c.descriptors
	w.Configure(1, func(d Document) {
		for _, route := range d["routes"].([]Document) {
			route["timeoutMs"] = 10000
		}
		d["limits"].(Document)["maxBodyBytes"] = crowdBody
		tenants := d["tenants"].([]Document)
		for n := range c.keys {
			tenants = append(tenants, Document{"name": fmt.Sprint("crowd-", n), "apiKeys": []string{crowdKey(n)}, "priority": 1})
		}
		d["tenants"] = tenants
	})
	w.SetWeights(1)
	_, err = w.AddEngine("s1", beechsimulator.EngineSettings{Slots: 500})
	is.NoErr(err)
	engine, err := w.AddEngine("e1", beechsimulator.EngineSettings{Slots: 500, Model: Model, Version: 1})
	is.NoErr(err)
	engine.SetFaults(beechsimulator.EngineFaults{Hang: c.hang})
	is.NoErr(w.AddGate("gate", beechsettings.GateBounds{
		Revoke: beechsettings.Duration(revokeBound), Grace: beechsettings.Duration(3 * time.Second), Weights: beechsettings.Duration(8 * time.Second), Retries: 0.2, Spare: 400,
	}))
	d := &crowdDeployment{t: t, cluster: w, gate: w.Process("gate").(*childProcess)}
	ctx, cancel := context.WithTimeout(t.Context(), patientLimit)
	defer cancel()
	is.NoErr(d.caller(Key, ordinaryBody, 0).AskPatiently(ctx)) // once the gate is up
	return d
}

func crowdKey(n int) string { return fmt.Sprint("key-of-crowd-", n) }

// endure has a crowd come, and checks what its callers and its host must not lose.
func (d *crowdDeployment) endure(c crowdCase) {
	t, is := d.t, is.New(d.t)
	observation := beechcrowd.Observe(d.gate.cmd.Process.Pid, d.cluster.Places["gate"])
	crowd := d.call(c)
	ordinary, steady := make(chan error, 1), make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), patientLimit)
	defer cancel()
	go func() { ordinary <- d.caller(Key, ordinaryBody, 0).AskPatiently(ctx) }()
	go func() { steady <- d.caller(IsolateKey, steadyBody, steadyPause).AskPatiently(ctx) }()
	crowd.AwaitTurns(turnLimit)
	time.Sleep(crowdStay)
	ordinaryErr, steadyErr := <-ordinary, <-steady
	t.Logf("during the crowd: ordinary %v, steady %v, %+v, %s", ordinaryErr, steadyErr, crowd.Counts(), observation.Now())
	crowd.Stop()
	afterErr := d.caller(Key, ordinaryBody, 0).AskPatiently(ctx)
	largestErr := d.caller(Key, crowdBody, 0).AskPatiently(ctx)
	used, err := observation.End()
	t.Logf("%s; after it: ordinary %v, largest %v", used, afterErr, largestErr)
	is.True(!d.gate.exitedUnexpectedly())
	is.NoErr(err)
	is.NoErr(ordinaryErr)
	is.NoErr(steadyErr)
	is.NoErr(afterErr)
	is.NoErr(largestErr)
	is.True(used.Resident+used.Unread < crowdMemory<<20)
	if c.descriptors > 0 {
		is.True(used.Descriptors < c.descriptors)
	}
}

// call starts the crowd.
func (d *crowdDeployment) call(c crowdCase) *beechcrowd.Crowd {
	d.t.Helper()
	s := beechcrowd.Settings{
		Form: c.form, Clients: crowdClients, Address: d.cluster.Places["gate"], Host: Host, Path: "/label/x", BodyBytes: crowdBody,
		Header: func(n int) http.Header {
			key := cmp.Or(c.key, Key)
			if c.keys > 0 {
				key = crowdKey(n % c.keys)
			}
			return d.header(fmt.Sprint("crowd-", n), key, c.path != "")
		},
	}
	if c.path != "" {
		s.Path = c.path
	}
	if c.clients > 0 {
		s.Clients = c.clients
	}
	crowd, err := beechcrowd.New(s)
	if err != nil {
		d.t.Fatal(err)
	}
	return crowd
}

// header returns the header of a request, with a prompt or without one.
func (d *crowdDeployment) header(id, key string, prompt bool) http.Header {
	ask := beechsimulator.CallerRequest{ID: id, Key: key, Host: Host, URL: "http://" + d.cluster.Places["gate"].String(), Left: 5 * time.Second}
	if prompt {
		ask.Model, ask.Prompt, ask.Output, ask.Parts = Model, 10, 10, "a:10"
	}
	r, err := ask.NewRequest()
	if err != nil {
		d.t.Error(err)
		return nil
	}
	return r.Header
}

// caller returns a caller of the plain service that behaves.
func (d *crowdDeployment) caller(key string, size int, pause time.Duration) beechcrowd.Caller {
	return beechcrowd.Caller{
		Address: d.cluster.Places["gate"], Host: Host, Path: "/label/x", Bytes: size, Pause: pause,
		Header: func() http.Header { return d.header(fmt.Sprint("ordinary-", d.asked.Add(1)), key, false) },
	}
}
