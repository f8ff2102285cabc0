package beechscenario

import (
	"syscall"
	"testing"

	"github.com/matryer/is"
)

const freezeRounds = 50

// TestFrozenProcessStandsStill guards against scenarios whose next step reaches a process that
// was sent SIGSTOP and still runs.
func TestFrozenProcessStandsStill(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, t.TempDir())
	defer d.close()
	is.NoErr(commandPlatform(d, nil))
	p, err := d.process("platform")
	is.NoErr(err)
	for range freezeRounds {
		is.NoErr(d.freeze("platform"))
		is.True(isStopped(p.command.Process.Pid))
		is.NoErr(d.signal("platform", syscall.SIGCONT))
	}
}
