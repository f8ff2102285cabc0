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

func testLibrary(clock clockwork.Clock) *library {
	return newLibrary(beechsettings.AgentLimits{
		Grace: beechsettings.Duration(2 * time.Second), Keep: beechsettings.Duration(20 * time.Second), AnswerBytes: 1 << 20,
	}, clock)
}

func testGeneration(clock clockwork.Clock, id string, levels int) *generation {
	r := beechwire.Request{ID: id, Workspace: "w", Repeatable: true, BodyHash: make([]byte, 32)}
	for range levels {
		r.Levels = append(r.Levels, beechwire.Level{Key: make([]byte, 16), Tokens: 16})
	}
	return newGeneration(r, clock.Now(), func() {})
}

func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// Entry hosts are lost for good with many answers that nobody comes back for. What
// is kept of them stays within its bound of memory, however small the answers are
// and in however many pieces they came.
func TestAnswersOfLostEntryHostsStayWithinTheirMemory(t *testing.T) {
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
			l := testLibrary(clock)
			for i := range each.answers {
				g := testGeneration(clock, fmt.Sprintf("request-%d", i), each.levels)
				l.add(g)
				for range each.pieces {
					g.add(make([]byte, each.bytes))
				}
				g.finish(beechlink.EndReply{}, clock.Now())
			}
			l.sweep()
			used := heapBytes() - before
			t.Logf("%d answers kept in %d bytes", l.size(), used)
			is.True(used <= l.keepBytes)
			is.True(l.size() > 0) // the newest are kept
			clock.Advance(20 * time.Second)
			l.sweep()
			is.Equal(l.size(), 0)
		})
	}
}

// What runs for a caller that does not come back is ended after the grace time,
// and what is followed or may not be repeated is not.
func TestRunsOfLostEntryHostsEnd(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := testLibrary(clock)
	left, followed := testGeneration(clock, "left", 0), testGeneration(clock, "followed", 0)
	l.add(left)
	l.add(followed)
	followed.attach()
	clock.Advance(1900 * time.Millisecond)
	abandoned, _ := l.sweep()
	is.Equal(len(abandoned), 0)
	clock.Advance(100 * time.Millisecond)
	abandoned, _ = l.sweep()
	is.Equal(abandoned, []*generation{left})
}
