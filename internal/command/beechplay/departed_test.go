package beechplay

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

const (
	floodPause = 300 * time.Millisecond // for which a connection of a flood stays open
	leavePause = 40 * time.Millisecond  // between the departures of two callers
)

// TestSuspendedGateSendsNothingForDepartedCallers guards against sending requests whose callers
// left while the gate was suspended, once it continues.
func TestSuspendedGateSendsNothingForDepartedCallers(t *testing.T) {
	is := is.New(t)
	w, err := NewCluster(processLauncher{t: t, program: buildProgram(t), folder: beechtrace.Folder(t)})
	is.NoErr(err)
	w.Configure(1, nil)
	w.SetWeights(1)
	_, err = w.AddEngine("s1", beechsimulator.EngineSettings{Slots: 500})
	is.NoErr(err)
	is.NoErr(w.AddGate("gate", beechsettings.GateBounds{
		Revoke: beechsettings.Duration(revokeBound), Grace: beechsettings.Duration(3 * time.Second), Weights: beechsettings.Duration(8 * time.Second), Retries: 0.2, Spare: 400,
	}))
	gate := w.Process("gate").(*childProcess)
	for end := time.Now().Add(10 * time.Second); w.Runs("warm") == 0 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if c, err := net.Dial("tcp4", w.Places["gate"].String()); err == nil {
			writeCheck(t, c, w, "warm")
			time.Sleep(50 * time.Millisecond)
			_ = c.Close()
		}
	}
	is.True(w.Runs("warm") > 0)
	const callers = 100
	arrived := 0
	for round := range 3 {
		gate.signal(syscall.SIGSTOP, false)
		waitStopped(t, gate.cmd.Process.Pid)
		for n := range callers {
			c, err := net.Dial("tcp4", w.Places["gate"].String())
			is.NoErr(err)
			writeCheck(t, c, w, fmt.Sprintf("left-%d-%d", round, n))
			_ = c.Close()
		}
		gate.signal(syscall.SIGCONT, false)
		time.Sleep(500 * time.Millisecond)
		for n := range callers {
			arrived += w.Runs(fmt.Sprintf("left-%d-%d", round, n))
		}
	}
	t.Logf("%d of %d arrived", arrived, 3*callers)
	is.Equal(arrived, 0)
	is.NoErr(w.Close())
}

// TestOverloadedGateEndsRunsOfDepartedCallers guards against runs that go on since an overloaded gate
// serves new connections before it notices that callers have left, or tells their servers.
func TestOverloadedGateEndsRunsOfDepartedCallers(t *testing.T) {
	is := is.New(t)
	t.Setenv("GOMAXPROCS", "1")
	w, err := NewCluster(processLauncher{t: t, program: buildProgram(t), folder: beechtrace.Folder(t)})
	is.NoErr(err)
	w.Configure(1, func(c Document) {
		for _, route := range c["routes"].([]Document) {
			route["timeoutMs"] = 60000
		}
	})
	w.SetWeights(1)
	engine, err := w.AddEngine("s1", beechsimulator.EngineSettings{Slots: 500})
	is.NoErr(err)
	is.NoErr(w.AddGate("gate", beechsettings.GateBounds{
		Revoke: beechsettings.Duration(revokeBound), Grace: beechsettings.Duration(3 * time.Second), Weights: beechsettings.Duration(8 * time.Second), Retries: 0.2, Spare: 400,
	}))
	const callers, flooders = 60, 500
	engine.SetFaults(beechsimulator.EngineFaults{Hang: true})
	var all []net.Conn
	for end := time.Now().Add(10 * time.Second); len(all) < callers && time.Now().Before(end); {
		c, err := net.Dial("tcp4", w.Places["gate"].String())
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("left-%d", len(all))
		writeRequest(t, c, w, id, "/label/x", time.Minute)
		for range 20 {
			if time.Sleep(10 * time.Millisecond); w.Runs(id) > 0 {
				all = append(all, c)
				break
			}
		}
	}
	is.Equal(len(all), callers)
	stop, sent := flood(t, w.Places["gate"].String(), flooders)
	var left []time.Time
	for _, c := range all {
		time.Sleep(leavePause)
		left = append(left, time.Now())
		_ = c.Close()
	}
	time.Sleep(2 * time.Second)
	stop()
	late, latest := 0, time.Duration(0)
	for n := range callers {
		took := time.Minute
		if ended := engine.EndedAt(fmt.Sprintf("left-%d", n)); !ended.IsZero() {
			took = ended.Sub(left[n])
		}
		latest = max(latest, took)
		if took > 500*time.Millisecond {
			late++
		}
	}
	t.Logf("%d of %d runs went on for over half a second, the longest for %s; %d connections meanwhile", late, callers, latest, sent())
	is.Equal(late, 0)
	is.NoErr(w.Close())
}

// TestOverloadedGateTurnsConnectionsAway guards against an overload that goes unnoticed since what
// has just arrived is served first.
func TestOverloadedGateTurnsConnectionsAway(t *testing.T) {
	is := is.New(t)
	t.Setenv("GOMAXPROCS", "1")
	folder := beechtrace.Folder(t)
	w, err := NewCluster(processLauncher{t: t, program: buildProgram(t), folder: folder})
	is.NoErr(err)
	w.Configure(1, nil)
	w.SetWeights(1)
	is.NoErr(w.AddGate("gate", beechsettings.GateBounds{
		Revoke: beechsettings.Duration(revokeBound), Grace: beechsettings.Duration(3 * time.Second), Weights: beechsettings.Duration(8 * time.Second), Retries: 0.2, Spare: 400,
	}))
	for end := time.Now().Add(10 * time.Second); !logged(t, folder, "configuration in force") && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
	}
	stop, sent := flood(t, w.Places["gate"].String(), 2000)
	time.Sleep(4 * time.Second)
	stop()
	t.Logf("%d connections", sent())
	is.True(logged(t, folder, `"message":"processor overload changed","process":"gate","overloaded":true`))
	is.NoErr(w.Close())
}

func logged(t *testing.T, folder, text string) bool {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(folder, "gate.log"))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Contains(data, []byte(text))
}

// flood opens connections, sends a request with a long prompt to a service without servers on each,
// and resets it, from as many goroutines as given, until it is stopped.
func flood(t *testing.T, address string, flooders int) (stop func(), sent func() int64) {
	t.Helper()
	var parts []string
	for n := range 400 {
		parts = append(parts, fmt.Sprintf("part%x:100", n))
	}
	ask := beechsimulator.CallerRequest{
		ID: "flood", Key: Key, Host: Host, URL: "http://" + address + "/pick/x", Left: time.Second, Model: Model, Prompt: 40000, Output: 10, Parts: strings.Join(parts, ","),
	}
	r, err := ask.NewRequest()
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	var count atomic.Int64
	ended := make(chan struct{})
	for range flooders {
		group.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				c, err := net.DialTimeout("tcp4", address, time.Second)
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				_, _ = c.Write(text.Bytes())
				count.Add(1)
				time.Sleep(floodPause)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
		})
	}
	return func() { close(ended); group.Wait() }, count.Load
}

func writeCheck(t *testing.T, c net.Conn, w *Cluster, id string) {
	t.Helper()
	writeRequest(t, c, w, id, "/check/x", 5*time.Second)
}

func writeRequest(t *testing.T, c net.Conn, w *Cluster, id, path string, left time.Duration) {
	t.Helper()
	ask := beechsimulator.CallerRequest{ID: id, Key: Key, Host: Host, URL: "http://" + w.Places["gate"].String() + path, Left: left}
	r, err := ask.NewRequest()
	if err == nil {
		err = r.Write(c)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// waitStopped waits until all threads of a process stand still.
func waitStopped(t *testing.T, pid int) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if allStopped(pid) {
			return
		}
	}
	t.Fatal("the process has not stopped")
}

func allStopped(pid int) bool {
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return false
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/stat", pid, thread.Name()))
		_, state, ok := strings.Cut(string(stat), ") ")
		if err != nil || !ok || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}
