package beechagent

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechsettings"
)

func newTestRegistry(clock clockwork.Clock) *generationRegistry {
	return newGenerationRegistry(beechsettings.AgentLimits{
		Grace: beechsettings.Duration(2 * time.Second), Keep: beechsettings.Duration(20 * time.Second), AnswerBytes: 1 << 20,
	}, clock)
}

func newTestGeneration(clock clockwork.Clock, id string, levels int) *generation {
	request := beechwire.Request{ID: id, Workspace: "w", Repeatable: true, BodyHash: make([]byte, 32)}
	for range levels {
		request.Levels = append(request.Levels, beechwire.Level{Key: make([]byte, 16), Tokens: 16})
	}
	return newGeneration(request, clock.Now(), func() {})
}

func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// After entry hosts are lost for good, many ended answers remain to which no caller
// reconnects. The memory they retain must stay within the limit, regardless of the
// size of the answers and the number of pieces.
func TestRetainedAnswersStayWithinMemoryLimit(t *testing.T) {
	for name, each := range map[string]struct{ answers, pieces, bytes, levels int }{
		"tiny":          {40_000, 1, 8, 2},
		"long prompts":  {10_000, 2, 20, 60},
		"many pieces":   {4_000, 200, 24, 4},
		"few and large": {100, 20, 16 << 10, 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			before := heapBytes()
			r := newTestRegistry(clock)
			for i := range each.answers {
				g := newTestGeneration(clock, fmt.Sprintf("request-%d", i), each.levels)
				r.add(g)
				for range each.pieces {
					g.appendPiece(make([]byte, each.bytes))
				}
				g.finish(beechlink.EndReply{}, clock.Now())
			}
			r.sweep()
			used := heapBytes() - before
			t.Logf("%d answers retained in %d bytes", r.size(), used)
			is.True(used <= r.maxBytes)
			is.True(r.size() > 0) // the newest are retained
			clock.Advance(20 * time.Second)
			r.sweep()
			is.Equal(r.size(), 0)
		})
	}
}

// A running generation whose caller does not reconnect is reported as abandoned after
// the grace period, and one with an attached stream is not.
func TestSweepReportsAbandonedGenerations(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r := newTestRegistry(clock)
	left, followed := newTestGeneration(clock, "left", 0), newTestGeneration(clock, "followed", 0)
	r.add(left)
	r.add(followed)
	followed.attach()
	clock.Advance(1900 * time.Millisecond)
	abandoned, _ := r.sweep()
	is.Equal(len(abandoned), 0)
	clock.Advance(100 * time.Millisecond)
	abandoned, _ = r.sweep()
	is.Equal(abandoned, []*generation{left})
}
