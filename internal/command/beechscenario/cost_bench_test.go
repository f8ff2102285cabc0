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

// newCostDeployment starts one entry host, one agent and an engine that generates
// a token every 71 ms.
func newCostDeployment(b *testing.B) *deployment {
	b.Helper()
	d := newDeployment(b, b.TempDir())
	b.Cleanup(d.close)
	run(b, d, commandPlatform)
	run(b, d, commandEngine, "e1", "zone-a", "--slots", "6000", "--prefill-rate", "0", "--token-time", "71ms")
	run(b, d, commandEntry, "n1", "zone-a")
	run(b, d, commandUntil, "serving", "n1", "1")
	run(b, d, applyManySlots)
	run(b, d, commandUntil, "generation", "2", "n1", "e1")
	run(b, d, commandSend, "warm", "entry=n1", "tokens=1")
	return d
}

// processorTimes returns the processor time that the entry host and the agent use
// while do runs.
func processorTimes(b *testing.B, d *deployment, do func()) (entry, agent time.Duration) {
	b.Helper()
	entry, agent = processorTime(b, d, "n1"), processorTime(b, d, "e1")
	do()
	return processorTime(b, d, "n1") - entry, processorTime(b, d, "e1") - agent
}

// BenchmarkIdleAgent reports the processor time and memory of an agent whose
// engine is idle.
func BenchmarkIdleAgent(b *testing.B) {
	d := newCostDeployment(b)
	for b.Loop() {
		_, agent := processorTimes(b, d, func() { time.Sleep(costSpan) })
		b.ReportMetric(100*agent.Seconds()/costSpan.Seconds(), "%core")
		b.ReportMetric(float64(residentBytes(b, d, "e1"))/(1<<20), "MB")
	}
}

// BenchmarkTokenCost reports the processor time of the entry host and of the agent
// per token, for streams of 14 tokens a second.
func BenchmarkTokenCost(b *testing.B) {
	d := newCostDeployment(b)
	for b.Loop() {
		ctx, stop := context.WithCancel(context.Background())
		calls := make([]*call, costStreams)
		for i := range calls {
			calls[i] = newCall(ctx, fmt.Sprint(i), request{
				Entry: d.processes["n1"].address, Key: "loop-key", Model: "fit-advisor",
				Prompt: fmt.Sprintf("question %d", i), Tokens: 2000, Stream: true,
			})
		}
		time.Sleep(2 * time.Second)
		before := countEvents(calls)
		entry, agent := processorTimes(b, d, func() { time.Sleep(costSpan) })
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

// BenchmarkRequestCost reports the processor time per small request without
// streaming.
func BenchmarkRequestCost(b *testing.B) {
	d := newCostDeployment(b)
	for b.Loop() {
		entry, agent := processorTimes(b, d, func() { sendPlain(b, d) })
		b.ReportMetric(float64(entry.Microseconds())/costRequests, "entry-us/request")
		b.ReportMetric(float64(agent.Microseconds())/costRequests, "agent-us/request")
	}
}

func sendPlain(b *testing.B, d *deployment) {
	b.Helper()
	var wait sync.WaitGroup
	for caller := range costCallers {
		wait.Go(func() {
			for n := range costRequests / costCallers {
				c := newCall(context.Background(), fmt.Sprint(caller, n), request{
					Entry: d.processes["n1"].address, Key: "loop-key", Model: "fit-advisor",
					Prompt: fmt.Sprintf("question %d of %d", n, caller), Tokens: 1,
				})
				<-c.done
			}
		})
	}
	wait.Wait()
}

// BenchmarkInForce reports the time from the start of `apply` until the new
// configuration is in force at two entry hosts and two agents, and the part of it
// that the command itself takes.
func BenchmarkInForce(b *testing.B) {
	d := newTwoZoneDeployment(b)
	generation := 1
	for b.Loop() {
		began := time.Now()
		run(b, d, commandApply, "usual.json", fmt.Sprint("base=", generation))
		applied := time.Since(began)
		generation++
		run(b, d, commandUntil, "generation", fmt.Sprint(generation), "n1", "n2", "e1", "e2")
		b.ReportMetric(float64(applied.Milliseconds()), "apply-ms")
		b.ReportMetric(float64(time.Since(began).Milliseconds()), "in-force-ms")
	}
}

// BenchmarkRestart reports the time from the start of all entry hosts' processes
// until they are ready and linked to both agents, while the platform's service is
// down.
func BenchmarkRestart(b *testing.B) {
	d := newTwoZoneDeployment(b)
	run(b, d, commandUntil, "shared", "e1")
	if err := d.kill("platform"); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		for _, name := range []string{"n1", "n2"} {
			if err := d.kill(name); err != nil {
				b.Fatal(err)
			}
		}
		began := time.Now()
		for _, name := range []string{"n1", "n2"} {
			if err := d.restart(name); err != nil {
				b.Fatal(err)
			}
		}
		run(b, d, commandUntil, "ready", "n1", "n2")
		run(b, d, commandUntil, "serving", "n1", "2")
		run(b, d, commandUntil, "serving", "n2", "2")
		b.ReportMetric(float64(time.Since(began).Milliseconds()), "ready-ms")
	}
}

// newTwoZoneDeployment starts an entry host and an agent in each of two zones.
func newTwoZoneDeployment(b *testing.B) *deployment {
	b.Helper()
	d := newDeployment(b, b.TempDir())
	b.Cleanup(d.close)
	run(b, d, commandPlatform)
	run(b, d, commandEngine, "e1", "zone-a")
	run(b, d, commandEngine, "e2", "zone-b")
	run(b, d, commandSeeds, "e1", "e2")
	run(b, d, commandEntry, "n1", "zone-a")
	run(b, d, commandEntry, "n2", "zone-b")
	run(b, d, commandUntil, "serving", "n1", "2")
	run(b, d, commandUntil, "serving", "n2", "2")
	run(b, d, commandUntil, "generation", "1", "n1", "n2", "e1", "e2")
	return d
}

func run(b *testing.B, d *deployment, do command, arguments ...string) {
	b.Helper()
	if err := do(d, arguments); err != nil {
		b.Fatal(err)
	}
}
