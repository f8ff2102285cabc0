package beechscenario

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/beechring/beechring/internal/standin/beechengine"
	"github.com/beechring/beechring/internal/standin/beechservice"
)

// invariants are the checks of the holds command, by name. Each examines the
// responses that callers received and the journals of the stand-ins, and returns
// an error that describes the first violation.
var invariants = map[string]func(d *deployment) error{
	"whole":     checkWholeAnswers,
	"once":      checkRunOnce,
	"notrun":    checkNotRun,
	"isolated":  checkCacheIsolation,
	"served":    checkAllServed,
	"monotone":  checkMonotoneGenerations,
	"runs":      checkNoRepeatedRun,
	"crashes":   checkCrashLimit,
	"innocents": checkLoadsServed,
	"fenced":    checkFencing,
	"told":      checkErrorDetails,
	"settled":   checkAllEnded,
	"uncut":     checkNoBrokenConnections,
}

// checkWholeAnswers checks that each completion call with status 200 received
// exactly the text expected for its own request, in order and without gaps or
// repetitions. A call that failed or whose caller left must have received a
// prefix of that text.
func checkWholeAnswers(d *deployment) error {
	for _, c := range d.endedCalls() {
		if c.request.Service != "" || c.status != http.StatusOK {
			continue
		}
		if err := c.checkText(d.servedWeights()); err != nil {
			return err
		}
	}
	return nil
}

func (c *call) checkText(weights []string) error {
	c.mu.Lock()
	text, finished, failed := c.request.PriorText+c.text, c.finished, c.code != "" || c.err != nil
	c.mu.Unlock()
	for _, version := range weights {
		want := c.request.expected(version)
		if finished && text == want || !finished && strings.HasPrefix(want, text) && failed {
			return nil
		}
	}
	return fmt.Errorf("response incomplete or out of order: %s", c.describe())
}

// servedWeights lists the weights versions that engines have served.
func (d *deployment) servedWeights() []string {
	var out []string
	for _, e := range d.engineRuns() {
		if _, version, found := strings.Cut(e.Model, "@"); found && !slices.Contains(out, version) {
			out = append(out, version)
		}
	}
	return out
}

// checkRunOnce checks that no service request with an idempotency key ran more
// than once, and that each one with status 200 ran.
func checkRunOnce(d *deployment) error {
	bodies := d.serviceRuns()
	for _, c := range d.endedCalls() {
		if c.request.Service == "" || c.request.IdempotencyKey == "" {
			continue
		}
		runs := bodies[beechservice.BodyHash([]byte(c.request.Body))]
		if runs > 1 {
			return fmt.Errorf("ran %d times: %s", runs, c.describe())
		}
		if runs == 0 && c.status == http.StatusOK {
			return fmt.Errorf("got status 200 but never ran: %s", c.describe())
		}
	}
	return nil
}

// checkNotRun checks that a request refused with "ran: no" never ran at any
// server, unless another call with the same body was not refused so. Different
// requests of a scenario have different bodies.
func checkNotRun(d *deployment) error {
	bodies := d.serviceRuns()
	prompts := map[string]int{}
	for _, e := range d.engineRuns() {
		if e.Ran {
			prompts[e.Fingerprint]++
		}
	}
	answered := d.answeredBodies()
	for _, c := range d.endedCalls() {
		if c.ran != "no" {
			continue
		}
		body, runs := c.journalKey(), 0
		if c.request.Service != "" {
			runs = bodies[body]
		} else {
			runs = prompts[body]
		}
		if runs > 0 && !answered[body] {
			return fmt.Errorf("refused as not run but ran %d times: %s", runs, c.describe())
		}
	}
	return nil
}

func (c *call) journalKey() string {
	if c.request.Service != "" {
		return beechservice.BodyHash([]byte(c.request.Body))
	}
	prompt, err := beechengine.Prompt(c.request.completion())
	if err != nil {
		return ""
	}
	return beechengine.Fingerprint(prompt)
}

// answeredBodies returns the journal keys of calls that were not refused as not
// run.
func (d *deployment) answeredBodies() map[string]bool {
	out := map[string]bool{}
	for _, c := range d.endedCalls() {
		if c.ran != "no" {
			out[c.journalKey()] = true
		}
	}
	return out
}

// checkCacheIsolation checks that no run used cache entries of other weights, that
// each run had a cache salt, and that no salt was used for two models or weights
// versions.
func checkCacheIsolation(d *deployment) error {
	models := map[string]string{}
	for _, e := range d.engineRuns() {
		if e.Stale > 0 {
			return fmt.Errorf("request %s used %d cached tokens of other weights", e.RequestID, e.Stale)
		}
		if e.Salt == "" {
			return fmt.Errorf("request %s ran without a cache salt", e.RequestID)
		}
		if model, seen := models[e.Salt]; seen && model != e.Model {
			return fmt.Errorf("cache salt %s was used for %s and %s", e.Salt, model, e.Model)
		}
		models[e.Salt] = e.Model
	}
	return nil
}

// checkNoRepeatedRun checks that no prompt was computed more than once, however
// many calls requested it.
func checkNoRepeatedRun(d *deployment) error {
	runs := map[string]int{}
	for _, e := range d.engineRuns() {
		if !e.Ran {
			continue
		}
		runs[e.Fingerprint]++
		if runs[e.Fingerprint] > 1 {
			return fmt.Errorf("request %s ran more than once", e.RequestID)
		}
	}
	return nil
}

// maxCrashes is the number of servers that a request may crash before it is
// refused.
const maxCrashes = 2

// checkCrashLimit checks that no prompt was running during more than maxCrashes
// engine crashes.
func checkCrashLimit(d *deployment) error {
	crashes := map[string]int{}
	for _, e := range d.engineRuns() {
		if e.State == beechengine.StateCrashed || e.State == beechengine.StateRunning {
			crashes[e.Fingerprint]++
		}
	}
	for fingerprint, count := range crashes {
		if count > maxCrashes {
			return fmt.Errorf("prompt %s was running during %d crashes", fingerprint, count)
		}
	}
	return nil
}

// checkLoadsServed checks that each call of the load named members received its
// complete response, even if other requests crashed engines.
func checkLoadsServed(d *deployment) error {
	for _, c := range d.endedCalls() {
		if !strings.HasPrefix(c.name, "members-") {
			continue
		}
		if c.status != http.StatusOK || !c.finished || c.code != "" {
			return fmt.Errorf("not served: %s", c.describe())
		}
	}
	return nil
}

// checkErrorDetails checks that each error response has a code and states whether
// the request ran, and that a refusal for lack of capacity has a Retry-After
// header. Calls without a response are skipped: a caller whose entry host was
// killed only sees its connection close.
func checkErrorDetails(d *deployment) error {
	for _, c := range d.endedCalls() {
		if c.status < http.StatusBadRequest {
			continue
		}
		if c.code == "" || c.ran == "" {
			return fmt.Errorf("error response without code or ran: %s", c.describe())
		}
		busy := c.status == http.StatusTooManyRequests || c.status == http.StatusServiceUnavailable
		if busy && c.ran == "no" && c.retryAfter == "" {
			return fmt.Errorf("refusal without Retry-After: %s", c.describe())
		}
	}
	return nil
}

// checkAllEnded checks that every call ended, and none only because its caller
// timed out.
func checkAllEnded(d *deployment) error {
	if open := d.openCalls(); open != "" {
		return fmt.Errorf("calls still open: %s", open)
	}
	for _, c := range d.endedCalls() {
		if errors.Is(c.err, context.DeadlineExceeded) {
			return fmt.Errorf("call open until its caller timed out: %s", c.describe())
		}
	}
	return nil
}

// checkNoBrokenConnections checks that every call received its complete response
// or was refused as not run, and that no connection failed.
func checkNoBrokenConnections(d *deployment) error {
	for _, c := range d.endedCalls() {
		served := c.status == http.StatusOK && c.finished && c.code == ""
		if c.err != nil || !served && c.ran != "no" {
			return fmt.Errorf("interrupted: %s", c.describe())
		}
	}
	return nil
}

// checkFencing checks that no engine received an order with a lower fencing
// number than an earlier one.
func checkFencing(d *deployment) error {
	for _, name := range d.names("engine") {
		var highest uint64
		for _, o := range d.ordersOf(name) {
			if o.Fence < highest {
				return fmt.Errorf("%s got an order with fencing number %d after one with %d: %+v", name, o.Fence, highest, o)
			}
			highest = o.Fence
		}
	}
	return nil
}

// ordersOf reads the orders that an engine received, in the order of arrival.
func (d *deployment) ordersOf(engine string) []beechengine.OrderEntry {
	var journal beechengine.Journal
	if d.readStandin(engine, "/journal", &journal) != nil {
		return nil
	}
	return journal.Orders
}

// engineHasModel reports whether an engine has a model loaded.
func (d *deployment) engineHasModel(engine, model string) bool {
	var report beechengine.LoadReport
	return d.readStandin(engine, "/load", &report) == nil && slices.Contains(report.Models, model)
}

func (d *deployment) readStandin(name, path string, into any) error {
	p, err := d.process(name)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Get("http://" + p.address.String() + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// refusedCount counts the calls that were refused as not run.
func (d *deployment) refusedCount() int {
	count := 0
	for _, c := range d.endedCalls() {
		if c.ran == "no" {
			count++
		}
	}
	return count
}

// checkAllServed checks that every call that ended received its complete response.
func checkAllServed(d *deployment) error {
	for _, c := range d.endedCalls() {
		if c.status != http.StatusOK || !c.finished || c.code != "" {
			return fmt.Errorf("not served: %s", c.describe())
		}
	}
	return nil
}

// checkMonotoneGenerations checks that no process returned to an older
// configuration generation between its starts.
func checkMonotoneGenerations(d *deployment) error {
	type logLine struct {
		Message    string `json:"message"`
		Generation uint64 `json:"generation"`
	}
	for _, kind := range []string{"entry", "agent"} {
		for _, name := range d.names(kind) {
			var last uint64
			var broken error
			readLines(d.processes[name].log, func(text []byte) {
				var line logLine
				if json.Unmarshal(text, &line) != nil {
					return
				}
				if strings.HasSuffix(line.Message, " serves") {
					last = 0
				}
				if line.Message != "configuration in force" {
					return
				}
				if line.Generation < last {
					broken = fmt.Errorf("%s went from generation %d to %d", name, last, line.Generation)
				}
				last = line.Generation
			})
			if broken != nil {
				return broken
			}
		}
	}
	return nil
}

// beganSince counts the runs that began after the given time, by engine.
func (d *deployment) beganSince(at time.Time) map[string]int {
	counts := map[string]int{}
	for _, name := range d.names("engine") {
		for _, e := range d.runsOf(name) {
			if e.Began.After(at) {
				counts[name]++
			}
		}
	}
	return counts
}

// countState counts an engine's runs that are in the given state.
func (d *deployment) countState(engine string, state beechengine.State) int {
	count := 0
	for _, e := range d.runsOf(engine) {
		if e.State == state {
			count++
		}
	}
	return count
}

// engineRuns reads the latest entry of each run from the journals of the engines'
// stand-ins. Journals are files, so that they survive a kill.
func (d *deployment) engineRuns() []beechengine.Entry {
	var out []beechengine.Entry
	for _, name := range d.names("engine") {
		out = append(out, d.runsOf(name)...)
	}
	return out
}

func (d *deployment) runsOf(engine string) []beechengine.Entry {
	p, err := d.process(engine)
	if err != nil {
		return nil
	}
	var out []beechengine.Entry
	last := map[string]int{}
	readLines(p.journal, func(line []byte) {
		var e beechengine.Entry
		if json.Unmarshal(line, &e) != nil || e.RequestID == "" {
			return
		}
		key := fmt.Sprintf("%s/%d/%d", e.RequestID, e.Attempt, e.Incarnation)
		if at, seen := last[key]; seen {
			out[at] = e
			return
		}
		last[key] = len(out)
		out = append(out, e)
	})
	return out
}

// serviceRuns counts the runs of the services' stand-ins by the hash of the body.
func (d *deployment) serviceRuns() map[string]int {
	counts := map[string]int{}
	for _, name := range d.names("service") {
		readLines(d.processes[name].journal, func(line []byte) {
			var r beechservice.Run
			if json.Unmarshal(line, &r) == nil {
				counts[r.BodyHash]++
			}
		})
	}
	return counts
}

func readLines(file string, take func(line []byte)) {
	f, err := os.Open(file)
	if err != nil {
		return
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		take(lines.Bytes())
	}
}
