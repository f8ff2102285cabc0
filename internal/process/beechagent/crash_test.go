package beechagent

import (
	"context"
	"encoding/binary"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechlink"
)

// TestCrashIsRecordedWhileInterruptedRunsEnd guards against an agent that panics, or records a crash without the
// prompts, since an interrupted run ends while another one records the crash.
func TestCrashIsRecordedWhileInterruptedRunsEnd(t *testing.T) {
	is := is.New(t)
	a := newBackoffAgent(t)
	g := newTestGeneration(a.clock, "interrupted", 3)
	for i := range g.request.Levels {
		binary.LittleEndian.PutUint64(g.request.Levels[i].Key, uint64(i+1))
	}
	g.request.Fingerprint = 7
	started := a.start(context.Background(), g, a.clock.Now().Add(time.Minute), func(error) {})
	is.True(started != nil)
	g.finish(beechlink.FailedReply{}, a.clock.Now())
	a.recordCrash(1)
	crashes := a.poison.Recent().Crashes
	is.Equal(len(crashes), 1)
	is.Equal(len(crashes[0].Suspects), 3) // two prefixes and the request itself
	a.running.remove(started.id)
}
