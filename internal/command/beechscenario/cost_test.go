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
	steps := []struct {
		do        command
		arguments []string
	}{
		{commandPlatform, nil},
		{commandEngine, []string{"e1", "zone-a", "--slots", "6000", "--prefill-rate", "0", "--token-time", "71ms"}},
		{commandEntry, []string{"n1", "zone-a"}},
		{commandUntil, []string{"serving", "n1", "1"}},
		{applyManySlots, nil},
		{commandUntil, []string{"generation", "2", "n1", "e1"}},
		{commandSend, []string{"warm", "entry=n1", "tokens=1"}},
	}
	for _, step := range steps {
		if err := step.do(w, step.arguments); err != nil {
			b.Fatal(err)
		}
	}
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
