package beechscenario

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// threadSample is the state of a thread and the time for which it has run so far.
type threadSample struct {
	state byte
	ran   string // in nanoseconds
}

const (
	stateFile       = "state.txt"
	starvationProbe = time.Second
	evidenceTimeout = 5 * time.Second
)

// keepEvidence writes to the folder of the deployment what its processes know when a
// condition does not come: the calls that are open or failed, and the status page and
// goroutines of each process. It returns which processes have threads without a processor,
// since a process that is not scheduled cannot meet any condition.
func (d *deployment) keepEvidence(what string) string {
	f, err := os.OpenFile(filepath.Join(d.dir, stateFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	starved := d.starvedThreads()
	fmt.Fprintf(f, "%s not seen: %s\n%s\n", time.Now().Format(time.RFC3339Nano), what, starved)
	d.mu.Lock()
	calls := slices.Clone(d.order)
	d.mu.Unlock()
	for _, c := range calls {
		if !c.isOver() || !c.isWhole() {
			fmt.Fprintln(f, c.describe())
		}
	}
	for _, kind := range []string{"entry", "agent"} {
		for _, name := range d.names(kind) {
			for _, page := range []string{"/status", "/debug/pprof/goroutine?debug=2"} {
				fmt.Fprintf(f, "%s %s\n%s\n", name, page, d.adminPage(name, page))
			}
		}
	}
	return starved
}

// adminPage reads a page of a process's admin listener, or returns the error as text.
func (d *deployment) adminPage(name, page string) string {
	p, err := d.process(name)
	if err != nil {
		return err.Error()
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+p.admin.String()+page, nil)
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+adminKey)
	client := http.Client{Timeout: evidenceTimeout}
	response, err := client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// starvedThreads names the processes with threads that were runnable during
// starvationProbe and did not run, and counts these threads.
func (d *deployment) starvedThreads() string {
	pids := map[string]int{"the test": os.Getpid()}
	d.mu.Lock()
	for name, p := range d.processes {
		pids[name] = p.command.Process.Pid
	}
	d.mu.Unlock()
	before := map[string]map[string]threadSample{}
	for name, pid := range pids {
		before[name] = sampleThreads(pid)
	}
	time.Sleep(starvationProbe)
	var found []string
	for _, name := range sortedNames(pids) {
		if n := countStarved(before[name], sampleThreads(pids[name])); n > 0 {
			found = append(found, fmt.Sprintf("%s %d", name, n))
		}
	}
	if len(found) == 0 {
		return "all threads were scheduled"
	}
	return fmt.Sprintf("runnable threads without a processor for %s: %s", starvationProbe, strings.Join(found, ", "))
}

func sortedNames(pids map[string]int) []string {
	names := make([]string, 0, len(pids))
	for name := range pids {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func countStarved(before, after map[string]threadSample) int {
	count := 0
	for thread, s := range after {
		if s.state == 'R' && before[thread] == s {
			count++
		}
	}
	return count
}

// sampleThreads reads the threads of a process by id.
func sampleThreads(pid int) map[string]threadSample {
	folders, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	if err != nil {
		return nil
	}
	samples := map[string]threadSample{}
	for _, folder := range folders {
		stat, err := os.ReadFile(filepath.Join(folder, "stat"))
		times, timesErr := os.ReadFile(filepath.Join(folder, "schedstat"))
		// The state follows the name of the thread, which is in parentheses.
		_, state, found := bytes.Cut(stat, []byte(") "))
		if err != nil || timesErr != nil || !found {
			continue // the thread has ended
		}
		ran, _, _ := strings.Cut(string(times), " ")
		samples[filepath.Base(folder)] = threadSample{state: state[0], ran: ran}
	}
	return samples
}

// TestStarvedThreadsAreCounted guards against a stalled machine that looks like a fault of
// the processes, and the other way round.
func TestStarvedThreadsAreCounted(t *testing.T) {
	is := is.New(t)
	before := map[string]threadSample{"1": {'R', "5"}, "2": {'R', "5"}, "3": {'S', "5"}, "4": {'T', "5"}}
	after := map[string]threadSample{"1": {'R', "5"}, "2": {'R', "6"}, "3": {'S', "5"}, "4": {'T', "5"}, "5": {'R', "5"}}
	is.Equal(countStarved(before, after), 1) // only thread 1 wanted to run and did not
	is.True(len(sampleThreads(os.Getpid())) > 0)
}

// TestEvidenceTellsWhatProcessesKnow guards against a condition that fails without a trace of
// what the processes did meanwhile.
func TestEvidenceTellsWhatProcessesKnow(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, t.TempDir())
	defer d.close()
	is.NoErr(commandPlatform(d, nil))
	is.NoErr(commandEntry(d, []string{"n1", "zone-a"}))
	is.NoErr(commandUntil(d, []string{"log", "n1", "entry started"}))
	d.keepEvidence("a condition")
	text, err := os.ReadFile(filepath.Join(d.dir, stateFile))
	is.NoErr(err)
	is.True(bytes.Contains(text, []byte(`"openRequests":0`))) // of the status page
	is.True(bytes.Contains(text, []byte("goroutine ")))
}
