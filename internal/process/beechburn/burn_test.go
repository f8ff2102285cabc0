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

var testObjectives = Objectives{
	ServedShare:     0.999,
	FirstToken:      1300 * time.Millisecond,
	FirstTokenShare: 0.95,
	Total:           time.Minute,
	TotalShare:      0.95,
}

func newTestBurn() (*Burn, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(Settings{Objectives: testObjectives}, clock), clock
}

func observeTimes(b *Burn, count int, o Outcome) {
	for range count {
		b.Observe(o)
	}
}

func almostEqual(a, b float64) bool {
	return math.Abs(a-b) < 1e-6
}

// An engine crashes and for some minutes one request in ten fails. There must
// be an alert while it lasts and none afterwards, with the errors still visible
// in the longer windows.
func TestOutageShowsInEachWindowForItsLength(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBurn()
	served := Outcome{Workspace: "socks", Result: Served, FirstToken: 100 * time.Millisecond, Total: time.Second, Prompt: 1000, Cached: 750, Wasted: 50}
	observeTimes(b, 900, served)
	observeTimes(b, 100, Outcome{Workspace: "socks", Result: Failed})

	r := b.Report()
	for _, w := range r.All.Windows {
		is.True(almostEqual(w.Burn, 100)) // 10% failed, 0.1% is allowed
		is.Equal(w.FirstBurn, 0.0)
		is.True(almostEqual(w.HitRate, 0.75))
		is.True(almostEqual(w.WastedShare, 0.05))
	}
	is.Equal(r.All.Alert, AlertPage)
	is.Equal(r.Workspaces[0].Alert, AlertPage)

	clock.Advance(10 * time.Minute)
	observeTimes(b, 900, served)
	r = b.Report()
	is.Equal(r.All.Windows[fiveMinutes].Burn, 0.0)
	is.True(almostEqual(r.All.Windows[oneHour].Burn, 100.0*1000/1900))
	is.Equal(r.All.Alert, AlertPage) // the six-hour and one-hour windows are still over their rate

	clock.Advance(2 * time.Hour)
	observeTimes(b, 900, served)
	r = b.Report()
	is.Equal(r.All.Windows[oneHour].Burn, 0.0)
	is.Equal(r.All.Alert, AlertTicket)

	clock.Advance(8 * time.Hour)
	observeTimes(b, 900, served)
	r = b.Report()
	is.Equal(r.All.Windows[sixHours].Burn, 0.0)
	is.True(r.All.Windows[threeDays].Burn > 0)
	is.Equal(r.All.Alert, AlertNone)

	clock.Advance(4 * 24 * time.Hour)
	r = b.Report()
	is.Equal(r.All.Windows[threeDays].Counts, Counts{})
	is.Equal(len(r.Workspaces), 0) // idle workspaces take no memory
}

func TestWhichOutcomesSpendTheErrorBudget(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBurn()
	b.Observe(Outcome{Workspace: "w", Result: Served, FirstToken: testObjectives.FirstToken, Total: testObjectives.Total})
	b.Observe(Outcome{Workspace: "w", Result: Served, FirstToken: 2 * time.Second, Total: 2 * time.Minute})
	b.Observe(Outcome{Workspace: "w", Result: Served, Total: time.Second}) // a plain service has no first token
	b.Observe(Outcome{Workspace: "w", Result: Refused})
	for _, r := range []Result{Limited, Invalid, Cancelled} {
		b.Observe(Outcome{Workspace: "w", Result: r, Prompt: -5})
	}
	w := b.Report().Workspaces[0].Windows[oneHour]
	is.True(almostEqual(w.ServedBurn, 250))
	is.True(almostEqual(w.FirstBurn, 10))
	is.True(almostEqual(w.TotalBurn, 1.0/3/0.05))
	is.Equal(w.Excluded, uint64(3))
	is.Equal(w.Prompt, uint64(0))
	is.Equal(b.Report().All.Alert, AlertNone) // below minBadRequests
}

// Each entry host sees a share of the requests. The merged report must equal
// that of one process that saw all of them.
func TestMergeEqualsOneProcessThatSawAllRequests(t *testing.T) {
	is := is.New(t)
	const seed = 7
	random := rand.New(rand.NewPCG(seed, seed))
	clock := clockwork.NewFakeClock()
	single := New(Settings{Objectives: testObjectives}, clock)
	parts := []*Burn{New(Settings{Objectives: testObjectives}, clock), New(Settings{Objectives: testObjectives}, clock)}
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
		single.Observe(o)
		parts[random.IntN(len(parts))].Observe(o)
	}
	merged, err := Merge([]Snapshot{parts[0].Snapshot(), parts[1].Snapshot()})
	is.NoErr(err)
	is.Equal(merged.Hosts, 2)
	one, both := single.Report(), merged.Report()
	is.Equal(both.All, one.All)
	is.True(one.All.Windows[oneHour].FirstP50 < one.All.Windows[oneHour].FirstP99)
	for i, w := range one.Workspaces {
		for n := range w.Windows {
			is.Equal(both.Workspaces[i].Windows[n].Counts, w.Windows[n].Counts)
		}
		p99, want := both.Workspaces[i].Windows[oneHour].FirstP99, w.Windows[oneHour].FirstP99
		is.True(want > 0 && p99 > want*8/10 && p99 < want*12/10) // the first 20 requests on a host are not in its histograms
	}
}

func TestSnapshotRoundTripsThroughJSONAndInvalidHistogramsAreRejected(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBurn()
	observeTimes(b, 30, Outcome{Workspace: "socks", Result: Served, FirstToken: 123 * time.Millisecond, Total: time.Second, Prompt: 10})
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

// The configuration may have more workspaces than a host was sized for. The
// total must stay complete and memory bounded.
func TestWorkspacesBeyondTheLimitAreCountedTogether(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := New(Settings{Objectives: testObjectives, Workspaces: 2, Histograms: 1}, clock)
	for _, name := range []string{"a", "b", "c", "d"} {
		observeTimes(b, 25, Outcome{Workspace: name, Result: Served, FirstToken: time.Second})
	}
	s := b.Snapshot()
	is.Equal(len(s.Workspaces), 3)
	is.Equal(s.Workspaces[0].Workspace, OtherWorkspaces)
	is.Equal(s.Workspaces[0].Windows[oneHour].Served, uint64(50))
	is.Equal(b.recentCount, 1)

	clock.Advance(4 * 24 * time.Hour)
	observeTimes(b, 25, Outcome{Workspace: "e", Result: Served, FirstToken: time.Second})
	is.Equal(b.Snapshot().Workspaces[0].Workspace, "e")
	is.Equal(b.recentCount, 1)
}

// BenchmarkMemory reports the memory of 9,300 workspaces after three days in
// the worst case: all sent requests in every bucket of every window, and enough
// in the last hour for percentiles.
func BenchmarkMemory(b *testing.B) {
	const workspaces = 9300
	for b.Loop() {
		before := heapBytes()
		burn, clock := newTestBurn()
		for i := windowCount - 1; i >= 0; i-- {
			for range windowBuckets + 1 {
				fill(burn, workspaces)
				clock.Advance(windows[i].span / windowBuckets)
			}
		}
		for range minForPercentiles {
			fill(burn, workspaces)
		}
		b.ReportMetric(float64(heapBytes()-before)/workspaces, "B/workspace")
		b.ReportMetric(float64(burn.recentCount), "histograms")
		b.ReportMetric(longestObserveWait(burn), "us-wait/snapshot")
		runtime.KeepAlive(burn)
	}
}

// longestObserveWait returns the longest time that a snapshot blocks Observe,
// in microseconds.
func longestObserveWait(b *Burn) float64 {
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

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func BenchmarkObserve(b *testing.B) {
	burn := New(Settings{Objectives: testObjectives}, clockwork.NewRealClock())
	o := Outcome{Workspace: "socks", Result: Served, FirstToken: time.Second, Total: time.Minute, Prompt: 900, Cached: 800}
	b.ReportAllocs()
	for b.Loop() {
		burn.Observe(o)
	}
}
