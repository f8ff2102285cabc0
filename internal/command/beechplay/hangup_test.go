package beechplay

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/process/beechsettings"
)

// TestHangupDoesNotEndAStoppingProcess guards against SIGHUP that ends a process at once, with all that is under way,
// while it stops.
func TestHangupDoesNotEndAStoppingProcess(t *testing.T) {
	is := is.New(t)
	folder := beechtrace.Folder(t)
	w, err := NewCluster(processLauncher{t: t, program: buildProgram(t), folder: folder})
	is.NoErr(err)
	w.Configure(1, nil)
	is.NoErr(w.AddGate("gate", beechsettings.GateBounds{
		Revoke: beechsettings.Duration(revokeBound), Grace: beechsettings.Duration(4 * time.Second), Weights: beechsettings.Duration(8 * time.Second),
	}))
	gate := w.Process("gate").(*childProcess)
	for end := time.Now().Add(readyTimeout); !logged(t, folder, "configuration in force") && time.Now().Before(end); {
		time.Sleep(readyPollInterval)
	}
	gate.Signal()
	for end := time.Now().Add(readyTimeout); !logged(t, folder, "gate leaving") && time.Now().Before(end); {
		time.Sleep(readyPollInterval)
	}
	for range 3 {
		time.Sleep(100 * time.Millisecond)
		gate.signal(syscall.SIGHUP, false)
	}
	is.NoErr(gate.Wait())
	is.Equal(gate.killedBy(), "")
	is.NoErr(w.Close())
}
