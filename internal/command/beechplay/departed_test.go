package beechplay

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/standin/beechsimulator"
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

func writeCheck(t *testing.T, c net.Conn, w *Cluster, id string) {
	ask := beechsimulator.CallerRequest{ID: id, Key: Key, Host: Host, URL: "http://" + w.Places["gate"].String() + "/check/x", Left: 5 * time.Second}
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
