package beechplay

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

const (
	turnPeriod    = 100 * time.Millisecond // of a host's processor
	turnShare     = 0.12                   // of a period in which the gate may run
	hostMemory    = 88 << 20               // bytes, beyond which the platform kills a process
	departureTime = 500 * time.Millisecond // within which a departed caller's run must have ended
	departurePart = int(departureTime / turnPeriod)
	endlessRate   = 4 << 20 // bytes a second
)

// endlessDay is a gate with a share of a core, a plain server that never answers, and an engine that sends
// without end.
type endlessDay struct {
	t       *testing.T
	cluster *Cluster
	plain   *beechsimulator.Engine
	engine  *beechsimulator.Engine
	gate    *childProcess

	mu    sync.Mutex
	turns []time.Time // when the gate's turns began
}

// TestEndlessAnswersDelayNoDepartures guards against an endless answer that keeps a host's processor busy, so
// that the runs of callers that have left go on.
func TestEndlessAnswersDelayNoDepartures(t *testing.T) {
	program := buildProgram(t)
	for _, form := range beechsimulator.EndlessForms() {
		t.Run(strings.ReplaceAll(string(form), " ", "-"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newEndlessDay(t, program, form)
			defer d.cluster.Close()
			before := d.open("before", 10)
			endTurns := d.takeTurns()
			late, longest := d.leave("before", before)
			t.Logf("alone: %d of %d runs went on, the longest for %s", late, len(before), longest)
			is.Equal(late, 0)
			endTurns()
			beside := d.open("beside", 20)
			const endless = 8
			garbled := d.ask("garbled", "/pick/x", endless)
			endTurns = d.takeTurns()
			time.Sleep(time.Second)
			late, longest = d.leave("beside", beside)
			memory := peakMemory(t, d.gate)
			for _, c := range garbled {
				_ = c.Close()
			}
			endTurns()
			t.Logf("beside endless answers: %d of %d runs went on, the longest for %s; %d MB at the most; %d MB of answers", late, len(beside), longest, memory>>20, d.engine.EndlessBytes()>>20)
			is.Equal(late, 0)
			is.True(memory < hostMemory)
			time.Sleep(departureTime)
			is.Equal(d.engine.Running(), 0)
		})
	}
}

func newEndlessDay(t *testing.T, program string, form beechsimulator.Endless) *endlessDay {
	t.Helper()
	is := is.New(t)
	w, err := NewCluster(processLauncher{t: t, program: program, folder: beechtrace.Folder(t), env: []string{"GOMAXPROCS=1"}})
	is.NoErr(err)
	w.Configure(1, func(c Document) {
		for _, route := range c["routes"].([]Document) {
			route["timeoutMs"] = 60000
		}
	})
	w.SetWeights(1)
	d := &endlessDay{t: t, cluster: w}
	d.plain, err = w.AddEngine("s1", beechsimulator.EngineSettings{Slots: 500})
	is.NoErr(err)
	d.engine, err = w.AddEngine("e1", beechsimulator.EngineSettings{Slots: 500, Model: Model, Version: 1})
	is.NoErr(err)
	d.plain.SetFaults(beechsimulator.EngineFaults{Hang: true})
	d.engine.SetFaults(beechsimulator.EngineFaults{Endless: form, EndlessRate: endlessRate})
	is.NoErr(w.AddGate("gate", beechsettings.GateBounds{
		Revoke: beechsettings.Duration(revokeBound), Grace: beechsettings.Duration(3 * time.Second), Weights: beechsettings.Duration(8 * time.Second), Retries: 0.2, Spare: 400,
	}))
	d.gate = w.Process("gate").(*childProcess)
	return d
}

// open has callers ask for what does not end, and returns their connections once all run.
func (d *endlessDay) open(name string, count int) []net.Conn {
	d.t.Helper()
	var all []net.Conn
	for end := time.Now().Add(10 * time.Second); len(all) < count && time.Now().Before(end); {
		c, err := net.Dial("tcp4", d.cluster.Places["gate"].String())
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("%s-%d", name, len(all))
		writeRequest(d.t, c, d.cluster, id, "/label/x", time.Minute)
		for range 20 {
			if time.Sleep(10 * time.Millisecond); d.plain.Runs(id) > 0 {
				all = append(all, c)
				break
			}
		}
	}
	if len(all) < count {
		d.t.Fatalf("%d of %d requests run", len(all), count)
	}
	return all
}

// ask has callers ask for streams, which the engine answers without end.
func (d *endlessDay) ask(name, path string, count int) []net.Conn {
	d.t.Helper()
	var all []net.Conn
	for n := range count {
		c, err := net.Dial("tcp4", d.cluster.Places["gate"].String())
		if err != nil {
			d.t.Fatal(err)
		}
		ask := beechsimulator.CallerRequest{
			ID: fmt.Sprintf("%s-%d", name, n), Key: Key, Host: Host, URL: "http://" + d.cluster.Places["gate"].String() + path, Left: time.Minute, Model: Model, Prompt: 10, Output: 10, Parts: "a:10",
		}
		r, err := ask.NewRequest()
		if err == nil {
			err = r.Write(c)
		}
		if err != nil {
			d.t.Fatal(err)
		}
		all = append(all, c)
	}
	return all
}

// leave has callers leave one after the other, and returns how many of their runs went on for too long, and
// the time of the longest.
func (d *endlessDay) leave(name string, callers []net.Conn) (late int, longest time.Duration) {
	var left []time.Time
	for _, c := range callers {
		time.Sleep(leavePause)
		left = append(left, time.Now())
		_ = c.Close()
	}
	time.Sleep(2 * time.Second)
	for n := range callers {
		took := time.Minute
		if ended := d.plain.EndedAt(fmt.Sprintf("%s-%d", name, n)); !ended.IsZero() {
			took = ended.Sub(left[n])
		}
		longest = max(longest, took)
		if took > departureTime && d.turnsBetween(left[n], left[n].Add(took)) > departurePart {
			late++
		}
	}
	return late, longest
}

// takeTurns lets the gate run for a share of each period only, until it is ended. Time in which it waits for a
// processor of this machine does not count.
func (d *endlessDay) takeTurns() (end func()) {
	ended := make(chan struct{})
	var turns sync.WaitGroup
	turn := time.Duration(turnShare * float64(turnPeriod))
	turns.Go(func() {
		ticker := time.NewTicker(turnPeriod)
		defer ticker.Stop()
		for {
			d.mu.Lock()
			d.turns = append(d.turns, time.Now())
			d.mu.Unlock()
			begun, waited := time.Now(), d.processorWait()
			d.gate.signal(syscall.SIGCONT, false)
			for left := turn; left > 0; left = turn - (time.Since(begun) - (d.processorWait() - waited)) {
				time.Sleep(left)
			}
			select {
			case <-ended:
				return
			default:
			}
			d.gate.signal(syscall.SIGSTOP, false)
			<-ticker.C
		}
	})
	return func() { close(ended); turns.Wait() }
}

// turnsBetween returns how many turns the gate had begun between two times.
func (d *endlessDay) turnsBetween(from, until time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, at := range d.turns {
		if at.After(from) && at.Before(until) {
			count++
		}
	}
	return count
}

// processorWait returns for how long the gate's threads together have waited for a processor.
func (d *endlessDay) processorWait() time.Duration {
	folder := fmt.Sprintf("/proc/%d/task", d.gate.cmd.Process.Pid)
	threads, _ := os.ReadDir(folder)
	total := time.Duration(0)
	for _, thread := range threads {
		data, err := os.ReadFile(filepath.Join(folder, thread.Name(), "schedstat"))
		if fields := strings.Fields(string(data)); err == nil && len(fields) > 1 {
			waited, _ := strconv.ParseInt(fields[1], 10, 64)
			total += time.Duration(waited)
		}
	}
	return total
}

// peakMemory returns the most memory that a process had at once, in bytes.
func peakMemory(t *testing.T, p *childProcess) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if size, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(size)[0], 10, 64)
			return kilobytes << 10
		}
	}
	t.Fatal("no peak memory")
	return 0
}
