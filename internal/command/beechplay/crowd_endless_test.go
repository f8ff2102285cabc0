package beechplay

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/decision/beechbackup"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

const (
	endlessTimeout = 12 * time.Second
	trickle        = 2 << 10 // bytes a second
	trickleTime    = 1500 * time.Millisecond
	endlessStreams = 8 // of each kind, at a time
	endlessEvents  = 50
	endlessToken   = 20 * time.Millisecond
	soundPause     = 20 * time.Millisecond // between the requests of a caller beside
)

// endlessCall is an engine that answers a call with bytes without end.
type endlessCall struct {
	engine, call string
	part         int // of the forms, with which it begins
}

// endlessCalls are answered in all forms within some seconds: calls that are made seldom by two engines each.
var endlessCalls = []endlessCall{
	{"report", beechsimulator.CallReport, 0},
	{"health", beechsimulator.CallHealth, 0},
	{"order-0", beechsimulator.CallOrder, 0},
	{"order-1", beechsimulator.CallOrder, 1},
	{"events-0", beechsimulator.CallEvents, 0},
	{"events-1", beechsimulator.CallEvents, 1},
	{"list-0", beechsimulator.CallList, 0},
	{"list-1", beechsimulator.CallList, 1},
	{"copies", beechsimulator.CallMove, 0},
	{"copies", beechsimulator.CallDrop, 0},
	{"requests-0", beechsimulator.CallRequest, 0},
	{"requests-1", beechsimulator.CallRequest, 1},
}

// endlessDeployment is a gate and keepers, each in a process of its own, before engines that send without end.
type endlessDeployment struct {
	*crowdDeployment
	asking  sync.WaitGroup // callers
	client  *http.Client
	streams atomic.Int32 // asked for
}

// TestCrowdsAtKeepersOfEndlessServers guards against answers without end, to calls or to requests, that take more
// memory than a keeper or gate has, or keep it from its other work.
func TestCrowdsAtKeepersOfEndlessServers(t *testing.T) {
	is := is.New(t)
	d := newEndlessDeployment(t, buildProgram(t))
	defer d.client.CloseIdleConnections()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range endlessStreams {
		d.keepStreaming(ctx, "gate", OtherModel, "/pick/")
		d.keepStreaming(ctx, "gate", ThirdModel, "/card/")
	}
	d.keepStreaming(ctx, "health", Model, "/card/")
	d.keepAsking(ctx)
	d.setRate(0)
	d.cluster.SetWeights(2)
	for _, name := range []string{"keeper-list-0", "keeper-list-1"} { // they list the cache as they start
		is.NoErr(d.cluster.Stop(name))
		is.NoErr(d.cluster.Start(name))
	}
	for end := time.Now().Add(endlessTimeout); time.Now().Before(end) && !d.allFormsSent(); {
		time.Sleep(50 * time.Millisecond)
	}
	d.t.Logf("at full speed: %s", d.counts())
	is.True(d.allFormsSent())
	d.setRate(trickle)
	time.Sleep(trickleTime)
	cancel()
	d.asking.Wait()
	t.Logf("%d requests beside; %s", d.asked.Load(), d.counts())
	for name, p := range d.cluster.processes {
		p := p.(*childProcess)
		is.True(!p.exitedUnexpectedly())
		peak := peakMemory(t, p)
		t.Logf("%s: %d MB at the most", name, peak>>20)
		is.True(peak < hostMemory)
	}
}

func newEndlessDeployment(t *testing.T, program string) *endlessDeployment {
	t.Helper()
	is := is.New(t)
	w, err := NewCluster(processLauncher{t: t, program: program, folder: beechtrace.Folder(t), env: []string{"GOMAXPROCS=1"}})
	is.NoErr(err)
	t.Cleanup(func() {
		for _, p := range w.processes {
			p.(*childProcess).signal(syscall.SIGKILL, true)
		}
		_ = w.Close()
	})
	w.Memory, w.Backups, w.Models = hostMemory>>20, beechbackup.On, []string{OtherModel, ThirdModel}
	w.Configure(1, nil)
	for _, model := range []string{Model, OtherModel, ThirdModel} {
		w.SetWeightsOf(model, 1)
	}
	w.Models = nil
	_, err = w.AddEngine("s1", beechsimulator.EngineSettings{Slots: 500})
	is.NoErr(err)
	models := map[string]string{"requests-0": OtherModel, "requests-1": OtherModel, "copies": ThirdModel, "sound": ThirdModel}
	for _, c := range append(endlessCalls, endlessCall{engine: "sound"}) {
		if w.Engines[c.engine] != nil {
			continue
		}
		_, err := w.AddEngine(c.engine, beechsimulator.EngineSettings{Slots: 64, Model: cmp.Or(models[c.engine], Model), Version: 1, Token: endlessToken, Slowness: 100})
		is.NoErr(err)
	}
	is.NoErr(w.AddGate("gate", beechsettings.GateBounds{
		Revoke: beechsettings.Duration(revokeBound), Grace: beechsettings.Duration(time.Second), Weights: beechsettings.Duration(8 * time.Second), Retries: 0.2, Spare: 400,
	}))
	d := &endlessDeployment{crowdDeployment: &crowdDeployment{t: t, cluster: w, gate: w.Process("gate").(*childProcess)}, client: &http.Client{Transport: &http.Transport{}}}
	ctx, cancel := context.WithTimeout(t.Context(), patientLimit)
	defer cancel()
	is.NoErr(d.caller(Key, ordinaryBody, 0).AskPatiently(ctx)) // once the gate is up
	return d
}

// setRate has the engines send without end at a rate.
func (d *endlessDeployment) setRate(rate int) {
	half := len(beechsimulator.AllEndlessForms()) / 2
	for _, c := range endlessCalls {
		d.cluster.Engines[c.engine].SetEndlessCall(c.call, beechsimulator.EndlessCall{First: c.part * half, Rate: rate})
	}
}

// allFormsSent reports whether each call was answered in each form.
func (d *endlessDeployment) allFormsSent() bool {
	sent := make(map[string]int)
	for _, c := range endlessCalls {
		sent[c.call] += d.cluster.Engines[c.engine].EndlessCalls(c.call)
	}
	for _, n := range sent {
		if n < len(beechsimulator.AllEndlessForms()) {
			return false
		}
	}
	return true
}

func (d *endlessDeployment) counts() string {
	var texts []string
	for _, c := range endlessCalls {
		e := d.cluster.Engines[c.engine]
		texts = append(texts, fmt.Sprintf("%s %s %d (%d MB)", c.engine, c.call, e.EndlessCalls(c.call), e.EndlessBytes()>>20))
	}
	return strings.Join(texts, ", ")
}

// keepStreaming has a caller ask for a stream of a model, again and again until the context ends.
func (d *endlessDeployment) keepStreaming(ctx context.Context, place, model, path string) {
	d.asking.Go(func() {
		for ctx.Err() == nil {
			id := fmt.Sprint("stream-", d.streams.Add(1))
			ask := beechsimulator.CallerRequest{
				ID: id, Key: Key, Host: Host, URL: "http://" + d.cluster.Places[place].String() + path + id, Left: 5 * time.Second,
				Model: model, Prompt: 600, Output: endlessEvents, Parts: strings.ReplaceAll(id, "stream-", "a") + ":600",
			}
			r, err := ask.NewRequest()
			if err != nil {
				d.t.Error(err)
				return
			}
			response, err := d.client.Do(r.WithContext(ctx))
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			time.Sleep(soundPause)
		}
	})
}

// keepAsking has a caller ask the plain server until the context ends. Each request must be served.
func (d *endlessDeployment) keepAsking(ctx context.Context) {
	caller := d.caller(Key, ordinaryBody, 0)
	d.asking.Go(func() {
		for ctx.Err() == nil {
			if err := caller.Ask(); err != nil {
				d.t.Errorf("beside servers that send without end: %v", err)
			}
			time.Sleep(soundPause)
		}
	})
}
