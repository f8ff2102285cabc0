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

// invariants are what must hold, by name, over what callers saw and what the
// stand-ins ran. Each returns what it saw broken.
var invariants = map[string]func(w *world) error{
	"whole":     holdsWhole,
	"once":      holdsOnce,
	"notrun":    holdsNotRun,
	"isolated":  holdsIsolated,
	"served":    holdsServed,
	"monotone":  holdsMonotone,
	"runs":      holdsNoSecondRun,
	"crashes":   holdsFewCrashes,
	"innocents": holdsInnocents,
	"fenced":    holdsFenced,
	"told":      holdsTold,
	"settled":   holdsSettled,
	"uncut":     holdsUncut,
}

// holdsWhole: every caller that got 200 got the whole answer to its own request,
// in order, nothing doubled, nothing missing; or was told in the stream that it
// is broken. A caller that left has a beginning of it.
func holdsWhole(w *world) error {
	for _, c := range w.allCalls() {
		if c.request.Service != "" || c.status != http.StatusOK {
			continue
		}
		if err := c.checkText(w.weights()); err != nil {
			return err
		}
	}
	return nil
}

func (c *call) checkText(weights []string) error {
	c.mu.Lock()
	text, finished, told := c.request.Prior+c.text, c.finished, c.code != "" || c.err != nil
	c.mu.Unlock()
	for _, version := range weights {
		want := c.request.expected(version)
		if finished && text == want || !finished && strings.HasPrefix(want, text) && told {
			return nil
		}
	}
	return fmt.Errorf("not whole and in order: %s", c.describe())
}

// weights lists the versions that engines have served.
func (w *world) weights() []string {
	var out []string
	for _, e := range w.engineRuns() {
		if _, version, found := strings.Cut(e.Model, "@"); found && !slices.Contains(out, version) {
			out = append(out, version)
		}
	}
	return out
}

// holdsOnce: no key of a call that may not be repeated ran more than once, and
// a call that was answered ran.
func holdsOnce(w *world) error {
	bodies := w.serviceRuns()
	for _, c := range w.allCalls() {
		if c.request.Service == "" || c.request.Idem == "" {
			continue
		}
		runs := bodies[beechservice.BodyHash([]byte(c.request.Body))]
		if runs > 1 {
			return fmt.Errorf("ran %d times: %s", runs, c.describe())
		}
		if runs == 0 && c.status == http.StatusOK {
			return fmt.Errorf("answered and never ran: %s", c.describe())
		}
	}
	return nil
}

// holdsNotRun: what was refused with "ran: no" never ran at any server, unless
// another call with the same body did. Requests of a scenario differ in their
// bodies.
func holdsNotRun(w *world) error {
	bodies := w.serviceRuns()
	prompts := map[string]int{}
	for _, e := range w.engineRuns() {
		if e.Ran {
			prompts[e.Fingerprint]++
		}
	}
	answered := w.answeredBodies()
	for _, c := range w.allCalls() {
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
			return fmt.Errorf("said not run and ran %d times: %s", runs, c.describe())
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

// answeredBodies names what some call was not told to be not run.
func (w *world) answeredBodies() map[string]bool {
	out := map[string]bool{}
	for _, c := range w.allCalls() {
		if c.ran != "no" {
			out[c.journalKey()] = true
		}
	}
	return out
}

// holdsIsolated: no run relied on cache of other weights, no salt served two
// workspaces, and no salt served two weights versions.
func holdsIsolated(w *world) error {
	models := map[string]string{}
	for _, e := range w.engineRuns() {
		if e.Stale > 0 {
			return fmt.Errorf("request %s relied on %d tokens of other weights", e.RequestID, e.Stale)
		}
		if e.Salt == "" {
			return fmt.Errorf("request %s ran without a cache salt", e.RequestID)
		}
		if model, seen := models[e.Salt]; seen && model != e.Model {
			return fmt.Errorf("salt %s served %s and %s", e.Salt, model, e.Model)
		}
		models[e.Salt] = e.Model
	}
	return nil
}

// holdsNoSecondRun: no prompt was computed twice, however often it was asked
// for.
func holdsNoSecondRun(w *world) error {
	runs := map[string]int{}
	for _, e := range w.engineRuns() {
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

// poisonCrashes is how many servers a request may crash before it is refused.
const poisonCrashes = 2

// holdsFewCrashes: no request was running at more than two crashes, those that
// were beside a poisonous one apart.
func holdsFewCrashes(w *world) error {
	crashes := map[string]int{}
	for _, e := range w.engineRuns() {
		if e.State == beechengine.StateCrashed || e.State == beechengine.StateRunning {
			crashes[e.Fingerprint]++
		}
	}
	for fingerprint, count := range crashes {
		if count > poisonCrashes {
			return fmt.Errorf("prompt %s was running at %d crashes", fingerprint, count)
		}
	}
	return nil
}

// holdsInnocents: every call of a load got its whole answer, whatever happened
// to the engines beside it.
func holdsInnocents(w *world) error {
	for _, c := range w.allCalls() {
		if !strings.HasPrefix(c.name, "members-") {
			continue
		}
		if c.status != http.StatusOK || !c.finished || c.code != "" {
			return fmt.Errorf("not served: %s", c.describe())
		}
	}
	return nil
}

// holdsTold: every call that got no whole answer was told what is known: an
// error with its code and whether it ran, and when to come back if it did not
// run for want of room. A caller whose entry host was killed sees its link cut.
func holdsTold(w *world) error {
	for _, c := range w.allCalls() {
		if c.status < http.StatusBadRequest {
			continue
		}
		if c.code == "" || c.ran == "" {
			return fmt.Errorf("told nothing: %s", c.describe())
		}
		busy := c.status == http.StatusTooManyRequests || c.status == http.StatusServiceUnavailable
		if busy && c.ran == "no" && c.retry == "" {
			return fmt.Errorf("not told when to come back: %s", c.describe())
		}
	}
	return nil
}

// holdsSettled: every call had an end, and none of them only because its caller
// gave up.
func holdsSettled(w *world) error {
	if open := w.openCalls(); open != "" {
		return fmt.Errorf("no end: %s", open)
	}
	for _, c := range w.allCalls() {
		if errors.Is(c.err, context.DeadlineExceeded) {
			return fmt.Errorf("no end until its caller gave up: %s", c.describe())
		}
	}
	return nil
}

// holdsUncut: every call got its whole answer, or was refused as not run. None
// saw its connection end.
func holdsUncut(w *world) error {
	for _, c := range w.allCalls() {
		served := c.status == http.StatusOK && c.finished && c.code == ""
		if c.err != nil || !served && c.ran != "no" {
			return fmt.Errorf("cut: %s", c.describe())
		}
	}
	return nil
}

// holdsFenced: no engine was sent an order with a lower fencing number than an
// earlier one.
func holdsFenced(w *world) error {
	for _, name := range w.names("engine") {
		var highest uint64
		for _, o := range w.ordersOf(name) {
			if o.Fence < highest {
				return fmt.Errorf("%s got an order under %d after one under %d: %+v", name, o.Fence, highest, o)
			}
			highest = o.Fence
		}
	}
	return nil
}

// ordersOf reads the orders that reached an engine, in their order.
func (w *world) ordersOf(engine string) []beechengine.OrderEntry {
	var journal beechengine.Journal
	if w.readStandin(engine, "/journal", &journal) != nil {
		return nil
	}
	return journal.Orders
}

// engineHolds tells whether an engine has a model loaded.
func (w *world) engineHolds(engine, model string) bool {
	var report beechengine.LoadReport
	return w.readStandin(engine, "/load", &report) == nil && slices.Contains(report.Models, model)
}

func (w *world) readStandin(name, path string, into any) error {
	p, err := w.process(name)
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

// refusedCount counts calls that were told that they did not run.
func (w *world) refusedCount() int {
	count := 0
	for _, c := range w.allCalls() {
		if c.ran == "no" {
			count++
		}
	}
	return count
}

// holdsServed: every call that ended got its whole answer.
func holdsServed(w *world) error {
	for _, c := range w.allCalls() {
		if c.status != http.StatusOK || !c.finished || c.code != "" {
			return fmt.Errorf("not served: %s", c.describe())
		}
	}
	return nil
}

// holdsMonotone: no process went back a generation while it lived.
func holdsMonotone(w *world) error {
	type logLine struct {
		Message    string `json:"message"`
		Generation uint64 `json:"generation"`
	}
	for _, kind := range []string{"entry", "agent"} {
		for _, name := range w.names(kind) {
			var last uint64
			var broken error
			readLines(w.processes[name].log, func(text []byte) {
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

// beganSince counts runs that began after a time, by engine.
func (w *world) beganSince(at time.Time) map[string]int {
	counts := map[string]int{}
	for _, name := range w.names("engine") {
		for _, e := range w.runsOf(name) {
			if e.Began.After(at) {
				counts[name]++
			}
		}
	}
	return counts
}

// countState counts an engine's runs that ended so.
func (w *world) countState(engine string, state beechengine.State) int {
	count := 0
	for _, e := range w.runsOf(engine) {
		if e.State == state {
			count++
		}
	}
	return count
}

// engineRuns reads what the engines' stand-ins ran, the last word on each run.
// Journals are files, so that they outlast a kill.
func (w *world) engineRuns() []beechengine.Entry {
	var out []beechengine.Entry
	for _, name := range w.names("engine") {
		out = append(out, w.runsOf(name)...)
	}
	return out
}

func (w *world) runsOf(engine string) []beechengine.Entry {
	p, err := w.process(engine)
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

// serviceRuns counts what the plain services' stand-ins ran, by body.
func (w *world) serviceRuns() map[string]int {
	counts := map[string]int{}
	for _, name := range w.names("service") {
		readLines(w.processes[name].journal, func(line []byte) {
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
