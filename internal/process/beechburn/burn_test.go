package beechburn

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

var promised = Objectives{
	ServedShare:     0.999,
	FirstToken:      1300 * time.Millisecond,
	FirstTokenShare: 0.95,
	Total:           time.Minute,
	TotalShare:      0.95,
}

func start() (*Burn, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(Settings{Objectives: promised}, clock), clock
}

func observe(b *Burn, count int, o Outcome) {
	for range count {
		b.Observe(o)
	}
}

func near(a, b float64) bool {
	return math.Abs(a-b) < 1e-6
}

// An engine crashes at nine, and for some minutes one request in ten fails. The
// operator wants to be called while it lasts and left alone afterwards, with the
// loss still to be read in the longer windows.
func TestOutageIsSeenInEachWindowForItsSpan(t *testing.T) {
	is := is.New(t)
	b, clock := start()
	served := Outcome{Workspace: "socks", Result: Served, FirstToken: 100 * time.Millisecond, Total: time.Second, Prompt: 1000, Cached: 750, Wasted: 50}
	observe(b, 900, served)
	observe(b, 100, Outcome{Workspace: "socks", Result: Failed})

	r := b.Report()
	for _, w := range r.All.Windows {
		is.True(near(w.Burn, 100)) // a tenth where a thousandth is allowed
		is.Equal(w.FirstBurn, 0.0)
		is.True(near(w.HitRate, 0.75))
		is.True(near(w.WastedShare, 0.05))
	}
	is.Equal(r.All.Alert, AlertPage)
	is.Equal(r.Workspaces[0].Alert, AlertPage)

	clock.Advance(10 * time.Minute)
	observe(b, 900, served)
	r = b.Report()
	is.Equal(r.All.Windows[fiveMinutes].Burn, 0.0)
	is.True(near(r.All.Windows[oneHour].Burn, 100.0*1000/1900))
	is.Equal(r.All.Alert, AlertPage) // six hours and one hour still burn

	clock.Advance(2 * time.Hour)
	observe(b, 900, served)
	r = b.Report()
	is.Equal(r.All.Windows[oneHour].Burn, 0.0)
	is.Equal(r.All.Alert, AlertTicket)

	clock.Advance(8 * time.Hour)
	observe(b, 900, served)
	r = b.Report()
	is.Equal(r.All.Windows[sixHours].Burn, 0.0)
	is.True(r.All.Windows[threeDays].Burn > 0)
	is.Equal(r.All.Alert, AlertNone)

	clock.Advance(4 * 24 * time.Hour)
	r = b.Report()
	is.Equal(r.All.Windows[threeDays].Counts, Counts{})
	is.Equal(len(r.Workspaces), 0) // idle workspaces take no memory
}

func TestWhatCountsAgainstThePromise(t *testing.T) {
	is := is.New(t)
	b, _ := start()
	b.Observe(Outcome{Workspace: "w", Result: Served, FirstToken: promised.FirstToken, Total: promised.Total})
	b.Observe(Outcome{Workspace: "w", Result: Served, FirstToken: 2 * time.Second, Total: 2 * time.Minute})
	b.Observe(Outcome{Workspace: "w", Result: Served, Total: time.Second}) // a plain service has no first token
	b.Observe(Outcome{Workspace: "w", Result: Refused})
	for _, r := range []Result{Limited, Invalid, Cancelled} {
		b.Observe(Outcome{Workspace: "w", Result: r, Prompt: -5})
	}
	w := b.Report().Workspaces[0].Windows[oneHour]
	is.True(near(w.ServedBurn, 250))
	is.True(near(w.FirstBurn, 10))
	is.True(near(w.TotalBurn, 1.0/3/0.05))
	is.Equal(w.Excluded, uint64(3))
	is.Equal(w.Prompt, uint64(0))
	is.Equal(b.Report().All.Alert, AlertNone) // one refusal wakes nobody
}

// Entry hosts each see a share of the requests. What the operator reads must be
// what one process that saw all of them would have reported.
func TestMergeIsWhatOneProcessWouldHaveSeen(t *testing.T) {
	is := is.New(t)
	const seed = 7
	random := rand.New(rand.NewPCG(seed, seed))
	clock := clockwork.NewFakeClock()
	whole := New(Settings{Objectives: promised}, clock)
	parts := []*Burn{New(Settings{Objectives: promised}, clock), New(Settings{Objectives: promised}, clock)}
	for range 20_000 {
		clock.Advance(time.Duration(random.IntN(2000)) * time.Millisecond)
		o := Outcome{
			Workspace:  fmt.Sprint("w", random.IntN(3)),
			Result:     Result(random.IntN(int(Cancelled) + 1)),
			FirstToken: time.Duration(random.ExpFloat64() * float64(time.Second)),
			Total:      time.Duration(random.ExpFloat64() * float64(time.Minute)),
			Prompt:     random.IntN(9000),
			Cached:     random.IntN(1000),
		}
		whole.Observe(o)
		parts[random.IntN(len(parts))].Observe(o)
	}
	merged, err := Merge([]Snapshot{parts[0].Snapshot(), parts[1].Snapshot()})
	is.NoErr(err)
	is.Equal(merged.Hosts, 2)
	one, both := whole.Report(), merged.Report()
	is.Equal(both.All, one.All)
	is.True(one.All.Windows[oneHour].FirstP50 < one.All.Windows[oneHour].FirstP99)
	for i, w := range one.Workspaces {
		for n := range w.Windows {
			is.Equal(both.Workspaces[i].Windows[n].Counts, w.Windows[n].Counts)
		}
		p99, want := both.Workspaces[i].Windows[oneHour].FirstP99, w.Windows[oneHour].FirstP99
		is.True(want > 0 && p99 > want*8/10 && p99 < want*12/10) // the first 20 of a host have no percentile
	}
}

func TestSnapshotSurvivesJSONAndGarbageIsRefused(t *testing.T) {
	is := is.New(t)
	b, _ := start()
	observe(b, 30, Outcome{Workspace: "socks", Result: Served, FirstToken: 123 * time.Millisecond, Total: time.Second, Prompt: 10})
	data, err := json.Marshal(b.Snapshot())
	is.NoErr(err)
	var s Snapshot
	is.NoErr(json.Unmarshal(data, &s))
	is.Equal(s.Report().All, b.Report().All)
	p99 := s.Report().Workspaces[0].Windows[oneHour].FirstP99
	is.True(p99 > 110*time.Millisecond && p99 < 136*time.Millisecond)

	var out strings.Builder
	is.NoErr(Table(&out, s.Report(), 20))
	is.True(strings.Contains(out.String(), "socks"))
	is.True(strings.Contains(out.String(), "99.9% served, 95% first token within 1.3s"))

	s.All.Windows[0].FirstTimes = "not a histogram"
	_, err = Merge([]Snapshot{b.Snapshot(), s})
	is.True(err != nil)
	_, err = Merge(nil)
	is.True(err != nil)
}

// Callers invent workspaces, or the configuration grows beyond what a host was
// sized for. Nothing may be lost from the sum, and memory must stay bounded.
func TestWorkspacesBeyondTheLimitAreCountedTogether(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := New(Settings{Objectives: promised, Workspaces: 2, Histograms: 1}, clock)
	for _, name := range []string{"a", "b", "c", "d"} {
		observe(b, 25, Outcome{Workspace: name, Result: Served, FirstToken: time.Second})
	}
	s := b.Snapshot()
	is.Equal(len(s.Workspaces), 3)
	is.Equal(s.Workspaces[0].Workspace, OtherWorkspaces)
	is.Equal(s.Workspaces[0].Windows[oneHour].Served, uint64(50))
	is.Equal(b.recents, 1)

	clock.Advance(4 * 24 * time.Hour)
	observe(b, 25, Outcome{Workspace: "e", Result: Served, FirstToken: time.Second})
	is.Equal(b.Snapshot().Workspaces[0].Workspace, "e")
	is.Equal(b.recents, 1)
}

// BenchmarkMemory reports what 9,300 workspaces hold after three days, when all
// have sent something in every bucket of every window and enough of it in the
// last hour for percentiles, which is the most there can be.
func BenchmarkMemory(b *testing.B) {
	const workspaces = 9300
	for b.Loop() {
		before := heap()
		burn, clock := start()
		for i := windowCount - 1; i >= 0; i-- {
			for range windowBuckets + 1 {
				fill(burn, workspaces)
				clock.Advance(windows[i].span / windowBuckets)
			}
		}
		for range enoughForPercentiles {
			fill(burn, workspaces)
		}
		b.ReportMetric(float64(heap()-before)/workspaces, "B/workspace")
		b.ReportMetric(float64(burn.recents), "histograms")
		b.ReportMetric(longestWait(burn), "us-wait/snapshot")
		runtime.KeepAlive(burn)
	}
}

// longestWait is for how long at most a snapshot holds up a request that wants
// to be counted, in microseconds.
func longestWait(b *Burn) float64 {
	done := make(chan struct{})
	go func() {
		b.Snapshot()
		close(done)
	}()
	longest := time.Duration(0)
	for {
		select {
		case <-done:
			return float64(longest.Microseconds())
		default:
		}
		began := time.Now()
		b.Observe(Outcome{Workspace: "w0", Result: Invalid})
		longest = max(longest, time.Since(began))
	}
}

func fill(b *Burn, workspaces int) {
	for i := range workspaces {
		b.Observe(Outcome{Workspace: fmt.Sprint("w", i), Result: Served, FirstToken: time.Duration(rand.ExpFloat64() * float64(time.Second))})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func BenchmarkObserve(b *testing.B) {
	burn := New(Settings{Objectives: promised}, clockwork.NewRealClock())
	o := Outcome{Workspace: "socks", Result: Served, FirstToken: time.Second, Total: time.Minute, Prompt: 900, Cached: 800}
	b.ReportAllocs()
	for b.Loop() {
		burn.Observe(o)
	}
}
