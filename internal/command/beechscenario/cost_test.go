package beechscenario

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

const (
	costStreams  = 500
	costRequests = 4000
	costCallers  = 32
	costSpan     = 10 * time.Second
)

// costWorld has one entry host, one agent and an engine whose tokens come each
// 71 ms.
func costWorld(b *testing.B) *world {
	b.Helper()
	w := newWorld(b, b.TempDir())
	b.Cleanup(w.close)
	run(b, w, commandPlatform)
	run(b, w, commandEngine, "e1", "zone-a", "--slots", "6000", "--prefill-rate", "0", "--token-time", "71ms")
	run(b, w, commandEntry, "n1", "zone-a")
	run(b, w, commandUntil, "serving", "n1", "1")
	run(b, w, applyManySlots)
	run(b, w, commandUntil, "generation", "2", "n1", "e1")
	run(b, w, commandSend, "warm", "entry=n1", "tokens=1")
	return w
}

// usedBoth is the processor time of the entry host and of the agent while do
// runs.
func usedBoth(b *testing.B, w *world, do func()) (entry, agent time.Duration) {
	b.Helper()
	entry, agent = usedTime(b, w, "n1"), usedTime(b, w, "e1")
	do()
	return usedTime(b, w, "n1") - entry, usedTime(b, w, "e1") - agent
}

// BenchmarkIdleAgent is what an agent takes beside an idle engine.
func BenchmarkIdleAgent(b *testing.B) {
	w := costWorld(b)
	for b.Loop() {
		_, agent := usedBoth(b, w, func() { time.Sleep(costSpan) })
		b.ReportMetric(100*agent.Seconds()/costSpan.Seconds(), "%core")
		b.ReportMetric(float64(residentBytes(b, w, "e1"))/(1<<20), "MB")
	}
}

// BenchmarkTokenCost is the processor time of the entry host and of the agent
// for each token of streams that go on at 14 tokens a second.
func BenchmarkTokenCost(b *testing.B) {
	w := costWorld(b)
	for b.Loop() {
		ctx, stop := context.WithCancel(context.Background())
		calls := make([]*call, costStreams)
		for i := range calls {
			calls[i] = newCall(ctx, fmt.Sprint(i), request{
				Entry: w.processes["n1"].address, Key: "loop-key", Model: "fit-advisor",
				Prompt: fmt.Sprintf("question %d", i), Tokens: 2000, Stream: true,
			})
		}
		time.Sleep(2 * time.Second)
		before := countEvents(calls)
		entry, agent := usedBoth(b, w, func() { time.Sleep(costSpan) })
		tokens := float64(countEvents(calls) - before)
		b.ReportMetric(float64(entry.Microseconds())/tokens, "entry-us/token")
		b.ReportMetric(float64(agent.Microseconds())/tokens, "agent-us/token")
		b.ReportMetric(tokens/costSpan.Seconds(), "tokens/s")
		stop()
		for _, c := range calls {
			<-c.done
		}
	}
}

func countEvents(calls []*call) int {
	count := 0
	for _, c := range calls {
		count += c.eventCount()
	}
	return count
}

// BenchmarkRequestCost is the processor time for each small unstreamed request.
func BenchmarkRequestCost(b *testing.B) {
	w := costWorld(b)
	for b.Loop() {
		entry, agent := usedBoth(b, w, func() { sendPlain(b, w) })
		b.ReportMetric(float64(entry.Microseconds())/costRequests, "entry-us/request")
		b.ReportMetric(float64(agent.Microseconds())/costRequests, "agent-us/request")
	}
}

func sendPlain(b *testing.B, w *world) {
	b.Helper()
	var wait sync.WaitGroup
	for caller := range costCallers {
		wait.Go(func() {
			for n := range costRequests / costCallers {
				c := newCall(context.Background(), fmt.Sprint(caller, n), request{
					Entry: w.processes["n1"].address, Key: "loop-key", Model: "fit-advisor",
					Prompt: fmt.Sprintf("question %d of %d", n, caller), Tokens: 1,
				})
				<-c.done
			}
		})
	}
	wait.Wait()
}

// BenchmarkInForce is the time from the start of `apply` until two entry hosts
// and two agents have the new configuration, and of that what apply takes.
func BenchmarkInForce(b *testing.B) {
	w := twoZones(b)
	generation := 1
	for b.Loop() {
		began := time.Now()
		run(b, w, commandApply, "usual.json", fmt.Sprint("base=", generation))
		applied := time.Since(began)
		generation++
		run(b, w, commandUntil, "generation", fmt.Sprint(generation), "n1", "n2", "e1", "e2")
		b.ReportMetric(float64(applied.Milliseconds()), "apply-ms")
		b.ReportMetric(float64(time.Since(began).Milliseconds()), "in-force-ms")
	}
}

// BenchmarkRestart is the time from the start of all entry hosts' processes, with
// the platform's service down, until they are ready and serve both agents.
func BenchmarkRestart(b *testing.B) {
	w := twoZones(b)
	run(b, w, commandUntil, "shared", "e1")
	if err := w.kill("platform"); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		for _, name := range []string{"n1", "n2"} {
			if err := w.kill(name); err != nil {
				b.Fatal(err)
			}
		}
		began := time.Now()
		for _, name := range []string{"n1", "n2"} {
			if err := w.restart(name); err != nil {
				b.Fatal(err)
			}
		}
		run(b, w, commandUntil, "ready", "n1", "n2")
		run(b, w, commandUntil, "serving", "n1", "2")
		run(b, w, commandUntil, "serving", "n2", "2")
		b.ReportMetric(float64(time.Since(began).Milliseconds()), "ready-ms")
	}
}

// twoZones has two entry hosts and two agents.
func twoZones(b *testing.B) *world {
	b.Helper()
	w := newWorld(b, b.TempDir())
	b.Cleanup(w.close)
	run(b, w, commandPlatform)
	run(b, w, commandEngine, "e1", "zone-a")
	run(b, w, commandEngine, "e2", "zone-b")
	run(b, w, commandSeeds, "e1", "e2")
	run(b, w, commandEntry, "n1", "zone-a")
	run(b, w, commandEntry, "n2", "zone-b")
	run(b, w, commandUntil, "serving", "n1", "2")
	run(b, w, commandUntil, "serving", "n2", "2")
	run(b, w, commandUntil, "generation", "1", "n1", "n2", "e1", "e2")
	return w
}

func run(b *testing.B, w *world, do command, arguments ...string) {
	b.Helper()
	if err := do(w, arguments); err != nil {
		b.Fatal(err)
	}
}
