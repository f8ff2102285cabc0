package beechscenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/state/beechmanifest"
)

const (
	openStreams         = 5000
	eventsBeforeMeasure = 4 // events of each stream before the measurement, so that memory used for opening has been collected
)

// BenchmarkOpenStreams reports the memory per stream that an entry host's process
// and an agent's process use for 5,000 open streams. Each stream has received a
// part of its response and waits for the rest.
func BenchmarkOpenStreams(b *testing.B) {
	d := newDeployment(b, b.TempDir())
	defer d.close()
	steps := []struct {
		do        command
		arguments []string
	}{
		{commandPlatform, nil},
		{commandEngine, []string{"e1", "zone-a", "--slots", "6000", "--prefill-rate", "0", "--token-time", "2s"}},
		{commandEntry, []string{"n1", "zone-a"}},
		{commandUntil, []string{"serving", "n1", "1"}},
		{applyManySlots, nil},
		{commandUntil, []string{"generation", "2", "n1", "e1"}},
		{commandSend, []string{"warm", "entry=n1", "tokens=1"}},
	}
	for _, step := range steps {
		if err := step.do(d, step.arguments); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		entry, agent := residentBytes(b, d, "n1"), residentBytes(b, d, "e1")
		ctx, stop := context.WithCancel(context.Background())
		calls := openStreamCalls(ctx, b, d)
		b.ReportMetric(float64(residentBytes(b, d, "n1")-entry)/openStreams, "entry-B/stream")
		b.ReportMetric(float64(residentBytes(b, d, "e1")-agent)/openStreams, "agent-B/stream")
		stop()
		for _, c := range calls {
			<-c.done
		}
	}
}

// applyManySlots applies a manifest whose pool has more slots than openStreams.
func applyManySlots(d *deployment, _ []string) error {
	manifest := defaultManifest()
	manifest.Pools[0].Slots = openStreams + 1000
	data, err := beechmanifest.Encode(manifest)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(d.dir, "many.json"), data, 0o644); err != nil {
		return err
	}
	return commandApply(d, []string{"many.json"})
}

// openStreamCalls opens the streams and waits until each has received
// eventsBeforeMeasure events.
func openStreamCalls(ctx context.Context, b *testing.B, d *deployment) []*call {
	b.Helper()
	calls := make([]*call, openStreams)
	for i := range calls {
		calls[i] = newCall(ctx, fmt.Sprint(i), request{
			Entry: d.processes["n1"].address, Key: "loop-key", Model: "fit-advisor",
			Prompt: fmt.Sprintf("question %d", i), Tokens: 100, Stream: true,
		})
		if i%100 == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	var missing *call
	opened := func() bool {
		for _, c := range calls {
			if c.eventCount() < eventsBeforeMeasure {
				missing = c
				return false
			}
		}
		return true
	}
	if err := d.until("events of all streams", opened); err != nil {
		b.Fatalf("%v: %s", err, missing.describe())
	}
	return calls
}

// residentBytes returns the resident memory of a process.
func residentBytes(b *testing.B, d *deployment, name string) int {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.processes[name].command.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			if err != nil {
				b.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	b.Fatalf("no VmRSS of %s", name)
	return 0
}
