package beechscenario

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/beechring/beechring/internal/standin/beechengine"
	"github.com/beechring/beechring/internal/standin/beechplatform"
	"github.com/beechring/beechring/internal/standin/beechservice"
	"github.com/beechring/beechring/internal/state/beechmanifest"
)

type (
	// command is one of the scripts' own commands.
	command func(w *world, arguments []string) error

	// values are a command's name=value arguments.
	values map[string]string
)

// commands lists them; docs/PROOFS.md tells what each does.
var commands = map[string]command{
	"platform":   commandPlatform,
	"engine":     commandEngine,
	"service":    commandService,
	"entry":      commandEntry,
	"seeds":      commandSeeds,
	"sigkill":    eachName((*world).kill),
	"sigterm":    commandTerminate,
	"restart":    eachName((*world).restart),
	"freeze":     eachName(func(w *world, name string) error { return w.signal(name, syscall.SIGSTOP) }),
	"thaw":       eachName(func(w *world, name string) error { return w.signal(name, syscall.SIGCONT) }),
	"cut":        commandCut,
	"fault":      commandFault,
	"leaving":    commandLeaving,
	"apply":      commandApply,
	"send":       commandSend,
	"load":       commandLoad,
	"halt":       commandHalt,
	"await":      commandWait,
	"expect":     commandExpect,
	"until":      commandUntil,
	"holds":      commandHolds,
	"hits":       commandHits,
	"hitswithin": commandHitsWithin,
	"mark":       commandMark,
	"ranonly":    commandRanOnly,
	"agent":      commandAgent,

	"freezeholder": commandFreezeHolder,

	"wire":  commandWire,
	"noise": commandNoise,
}

func eachName(do func(w *world, name string) error) command {
	return func(w *world, arguments []string) error {
		for _, name := range arguments {
			if err := do(w, name); err != nil {
				return err
			}
		}
		return nil
	}
}

// usage is the error of a command that was written wrongly.
func usage(form string) error { return fmt.Errorf("usage: %s", form) }

func readValues(arguments []string) (plain []string, named values) {
	named = values{}
	for _, a := range arguments {
		if name, value, found := strings.Cut(a, "="); found {
			named[name] = value
			continue
		}
		plain = append(plain, a)
	}
	return plain, named
}

func (v values) number(name string, usual int) int {
	if n, err := strconv.Atoi(v[name]); err == nil {
		return n
	}
	return usual
}

func (v values) duration(name string) time.Duration {
	d, _ := time.ParseDuration(v[name])
	return d
}

func (v values) text(name, usual string) string {
	if text, given := v[name]; given {
		return text
	}
	return usual
}

// platform starts the platform's service and puts the usual manifest in force.
func commandPlatform(w *world, arguments []string) error {
	if _, err := w.startStandin("platform", "platform", arguments); err != nil {
		return err
	}
	file := filepath.Join(w.dir, "usual.json")
	data, err := beechmanifest.Encode(usualManifest())
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return err
	}
	return commandApply(w, []string{"usual.json"})
}

func usualManifest() *beechmanifest.Manifest {
	return &beechmanifest.Manifest{
		Deployment: "scenario",
		Targets:    beechmanifest.Targets{FirstToken: beechmanifest.Duration(time.Second), Share: 0.95, WasteWeight: 1, MaxLoads: 2},
		Models:     []beechmanifest.Model{{Name: "fit-advisor", Weights: "1"}},
		Priorities: []string{"interactive", "background"},
		Workspaces: []beechmanifest.Workspace{
			{Name: "loop", Keys: []string{sumOf("loop-key")}, Priority: "interactive", Weight: 1},
			{Name: "solis", Keys: []string{sumOf("solis-key")}, Priority: "interactive", Weight: 1},
		},
		Pools: []beechmanifest.Pool{
			{Name: "advisors", Kind: beechmanifest.KindEngine, Fenced: true, Models: []string{"fit-advisor"}, Slots: 8},
			{Name: "shipping", Kind: beechmanifest.KindService, Service: "shipping", Slots: 64},
		},
		Services: []beechmanifest.Service{{Name: "shipping", Once: []beechmanifest.OnceRule{
			{Method: "POST", Path: "/shipments"}, {Method: "POST", Path: "/bookings"},
		}}},
	}
}

func sumOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// engine NAME ZONE [flags]: a stand-in NAME.engine and its agent NAME.
func commandEngine(w *world, arguments []string) error {
	if len(arguments) < 2 {
		return usage("engine NAME ZONE [flags]")
	}
	name, zone := arguments[0], arguments[1]
	flags := append([]string{
		"--models", "fit-advisor@1", "--slots", "8", "--prefill-rate", "20000", "--token-time", "5ms",
		"--cache-tokens", "200000", "--load-time", "100ms", "--check-fence",
	}, arguments[2:]...)
	engine, err := w.startStandin("engine", name+".engine", flags)
	if err != nil {
		return err
	}
	return w.startAgent(name, zone, "advisors", engine.address)
}

// service NAME ZONE [flags]: a stand-in NAME.service and its agent NAME.
func commandService(w *world, arguments []string) error {
	if len(arguments) < 2 {
		return usage("service NAME ZONE [flags]")
	}
	name, zone := arguments[0], arguments[1]
	service, err := w.startStandin("service", name+".service", arguments[2:])
	if err != nil {
		return err
	}
	return w.startAgent(name, zone, "shipping", service.address)
}

// agent NAME ZONE BACKEND: a further agent beside an engine's stand-in.
func commandAgent(w *world, arguments []string) error {
	if len(arguments) != 3 {
		return usage("agent NAME ZONE BACKEND")
	}
	p, err := w.process(arguments[2])
	if err != nil {
		return err
	}
	return w.startAgent(arguments[0], arguments[1], "advisors", p.address)
}

// entry NAME ZONE: an entry host.
func commandEntry(w *world, arguments []string) error {
	if len(arguments) != 2 {
		return usage("entry NAME ZONE")
	}
	return w.startEntry(arguments[0], arguments[1])
}

// seeds NAME...: agents that entries started later have in their settings.
func commandSeeds(w *world, arguments []string) error {
	for _, name := range arguments {
		for _, h := range w.hosts {
			if h.Name == name {
				w.seeds = append(w.seeds, h.Address)
			}
		}
	}
	return nil
}

// sigterm NAME... [&]: ends processes gracefully; each must exit with 0.
func commandTerminate(w *world, arguments []string) error {
	if arguments[len(arguments)-1] == "&" {
		return eachName(func(w *world, name string) error { return w.signal(name, syscall.SIGTERM) })(w, arguments[:len(arguments)-1])
	}
	return eachName((*world).stop)(w, arguments)
}

// mark: what engines begin from here on is looked at by ranonly.
func commandMark(w *world, _ []string) error {
	w.markedAt = time.Now()
	return nil
}

// ranonly ENGINE...: nothing began elsewhere since the mark.
func commandRanOnly(w *world, arguments []string) error {
	allowed := map[string]bool{}
	for _, name := range arguments {
		allowed[name] = true
	}
	for name, began := range w.beganSince(w.markedAt) {
		if !allowed[name] {
			return fmt.Errorf("%s began %d runs since the mark", name, began)
		}
	}
	return nil
}

// freezeholder AGENT...: stops the one of the agents that gave its server the
// last order, and so holds the lease.
func commandFreezeHolder(w *world, arguments []string) error {
	holder := ""
	err := w.until("an order given by one of "+strings.Join(arguments, " "), func() bool {
		holder = w.orderedBy(arguments)
		return holder != ""
	})
	if err != nil {
		return err
	}
	return w.signal(holder, syscall.SIGSTOP)
}

// orderedBy names the one of the agents that gave an order last.
func (w *world) orderedBy(agents []string) string {
	last, latest := "", ""
	for _, name := range agents {
		readLines(filepath.Join(w.dir, name+".log"), func(text []byte) {
			var line struct{ Message, Time string }
			if json.Unmarshal(text, &line) == nil && line.Message == "order given" && line.Time > latest {
				last, latest = name, line.Time
			}
		})
	}
	return last
}

// cut NAME once|reset|stay|silent|mute|deaf|mend: the connections to an agent.
func commandCut(w *world, arguments []string) error {
	if len(arguments) != 2 || w.cutters[arguments[0]] == nil {
		return usage("cut AGENT once|reset|stay|silent|mute|deaf|mend")
	}
	c := w.cutters[arguments[0]]
	switch arguments[1] {
	case "once":
		c.cut(false)
	case "reset":
		c.reset()
	case "stay":
		c.cut(true)
	case "silent":
		c.hush(inward, outward)
	case "mute":
		c.hush(outward)
	case "deaf":
		c.hush(inward)
	default:
		c.mend()
	}
	return nil
}

// fault NAME JSON: a stand-in's fault, as its page POST /standin/fault takes it.
func commandFault(w *world, arguments []string) error {
	if len(arguments) != 2 {
		return usage("fault NAME JSON")
	}
	p, err := w.process(arguments[0])
	if err != nil {
		return err
	}
	var fault any
	switch p.kind {
	case "platform":
		fault = &beechplatform.Fault{}
	case "engine":
		fault = &beechengine.Fault{}
	default:
		fault = &beechservice.Fault{}
	}
	if err := json.Unmarshal([]byte(arguments[1]), fault); err != nil {
		return err
	}
	return postJSON(p.address, "/standin/fault", fault)
}

// leaving NAME [gone]: the platform's list shows the host leaving, or no more.
func commandLeaving(w *world, arguments []string) error {
	for i, h := range w.hosts {
		if h.Name != arguments[0] {
			continue
		}
		if len(arguments) > 1 {
			w.hosts = append(w.hosts[:i], w.hosts[i+1:]...)
		} else {
			w.hosts[i].Leaving = true
		}
		w.publishHosts()
		return nil
	}
	return fmt.Errorf("no host %q", arguments[0])
}

// apply FILE [base=N] [expect=accepted|conflict|unknown|refused].
func commandApply(w *world, arguments []string) error {
	plain, named := readValues(arguments)
	if len(plain) != 1 {
		return usage("apply FILE [base=N] [expect=OUTCOME]")
	}
	p, err := w.process("platform")
	if err != nil {
		return err
	}
	call := []string{"apply", filepath.Join(w.dir, plain[0]), "--platform", p.address.String(), "--output", "json", "--timeout", "10s"}
	if base, given := named["base"]; given {
		call = append(call, "--base", base)
	}
	var out, errs bytes.Buffer
	run := exec.Command(binary, call...)
	run.Stdout = &out
	run.Stderr = &errs
	_ = run.Run()
	var result struct {
		Outcome string `json:"outcome"`
	}
	_ = json.Unmarshal(out.Bytes(), &result)
	if want := named.text("expect", "accepted"); result.Outcome != want {
		return fmt.Errorf("apply said %q, want %q: %s", result.Outcome, want, errs.String())
	}
	return nil
}

// readRequest reads the arguments of send and load.
func (w *world) readRequest(v values) (request, error) {
	r := request{
		Key:     v.text("key", "loop-key"),
		Model:   v.text("model", "fit-advisor"),
		System:  v.text("system", "You advise members on the size of their socks."),
		History: strings.Repeat(v.text("history", "row "), v.number("rows", 1)),
		Prompt:  v.text("prompt", "Which size?"),
		Tokens:  v.number("tokens", 20),
		Stream:  v.text("stream", "yes") == "yes",
		Idem:    v["idem"],
		Timeout: v.duration("timeout"),
		Service: v["service"],
		Method:  v["method"],
		Body:    v["body"],
		Slow:    v.duration("slow"),
		LeaveAt: v.number("leave", 0),
		Narrow:  v.text("narrow", "no") == "yes",
		Left:    v.duration("left"),
	}
	if from, given := v["after"]; given {
		before, err := w.call(from)
		if err != nil {
			return r, err
		}
		r = before.request
		r.LeaveAt = 0
		r.LastEvent = before.lastID
		r.Prior += before.text
		r.Key = v.text("key", r.Key)
		if altered, given := v["event"]; given {
			r.LastEvent = altered
		}
	}
	if name, given := v["entry"]; given {
		p, err := w.process(name)
		if err != nil {
			return r, err
		}
		r.Entry = p.address
	}
	return r, nil
}

// send NAME entry=N ... [&]: one caller, in the background with &. With
// persist=yes it goes on in the background until it is not refused as not run.
func commandSend(w *world, arguments []string) error {
	plain, named := readValues(arguments)
	if len(plain) == 0 {
		return usage("send NAME entry=ENTRY ... [&]")
	}
	r, err := w.readRequest(named)
	if err != nil {
		return err
	}
	if named.text("persist", "no") == "yes" {
		go w.sendUntilRun(plain[0], r)
		return nil
	}
	c := newCall(context.Background(), plain[0], r)
	w.addCall(c)
	if len(plain) > 1 && plain[1] == "&" {
		return nil
	}
	return c.waitDone(patience)
}

// sendUntilRun sends again, as callers do, what is refused as not run. Only the
// last call keeps the name.
func (w *world) sendUntilRun(name string, r request) {
	for limit := time.Now().Add(patience); time.Now().Before(limit); {
		c := newCall(context.Background(), name, r)
		w.addCall(c)
		<-c.done
		if c.ran != "no" {
			return
		}
		time.Sleep(pollPause)
	}
}

// load NAME entries=A,B callers=N ...: background callers until halt.
func commandLoad(w *world, arguments []string) error {
	plain, named := readValues(arguments)
	if len(plain) != 1 {
		return usage("load NAME entries=A,B callers=N ...")
	}
	r, err := w.readRequest(named)
	if err != nil {
		return err
	}
	w.startLoad(loadPlan{
		name: plain[0], callers: named.number("callers", 4), entries: strings.Split(named["entries"], ","), base: r,
		seed: uint64(named.number("seed", 1)), balanced: named.text("balanced", "no") == "yes",
		members: named.number("members", defaultMembers), firstMember: named.number("first", 0),
		hot: named.number("hot", 0), repeat: named.text("repeat", "no") == "yes",
	})
	return nil
}

// halt [NAME...]: background callers, or those named, send no more; their
// requests end.
func commandHalt(w *world, arguments []string) error {
	for _, l := range w.loads {
		if len(arguments) > 0 && !slices.Contains(arguments, l.plan.name) {
			continue
		}
		if err := l.halt(); err != nil {
			return err
		}
	}
	return nil
}

// await NAME...: until the calls have ended.
func commandWait(w *world, arguments []string) error {
	for _, name := range arguments {
		c, err := w.call(name)
		if err != nil {
			return err
		}
		if err := c.waitDone(patience); err != nil {
			return err
		}
	}
	return nil
}

// expect NAME [status=N] [ran=R] [code=C] [whole=yes|no] [retry=yes] [cached=some|none] [same=OTHER].
func commandExpect(w *world, arguments []string) error {
	plain, named := readValues(arguments)
	if len(plain) != 1 {
		return usage("expect NAME ...")
	}
	c, err := w.call(plain[0])
	if err != nil {
		return err
	}
	for name, want := range named {
		got, err := w.property(c, name)
		if err != nil {
			return err
		}
		if got != want {
			return fmt.Errorf("%s is %q, want %q: %s", name, got, want, c.describe())
		}
	}
	return nil
}

func (w *world) property(c *call, name string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch name {
	case "status":
		return fmt.Sprint(c.status), nil
	case "ran":
		return c.ran, nil
	case "code":
		return c.code, nil
	case "whole":
		return yesNo(c.finished && c.code == "" && c.err == nil), nil
	case "retry":
		return yesNo(c.retry != ""), nil
	case "cached":
		if c.cached > 0 {
			return "some", nil
		}
		return "none", nil
	case "body":
		return string(c.body), nil
	case "open":
		return yesNo(!c.isOver()), nil
	default:
		return "", fmt.Errorf("nothing to expect by the name %q", name)
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// until CONDITION: ready NAME..., serving ENTRY N, usable ENTRY N, generation N
// NAME..., offers AGENT MODELS, shared AGENT..., gaps AGENT..., emptycache
// AGENT..., cancelled ENGINE N, events CALL N, calls N, ran N, log NAME TEXT,
// refused N, orders ENGINE N, holding ENGINE MODEL, running ENGINE N, spread N,
// shipped CALL, fence ENGINE N, persisted CALL,
// learned ENTRY AGENT....
func commandUntil(w *world, arguments []string) error {
	if len(arguments) < 2 {
		return usage("until CONDITION ARGUMENT...")
	}
	condition, err := w.condition(arguments[0], arguments[1:])
	if err != nil {
		return err
	}
	return w.until(strings.Join(arguments, " "), condition)
}

func (w *world) condition(kind string, a []string) (func() bool, error) {
	switch kind {
	case "ready":
		return func() bool { return w.all(a, func(s roleStatus) bool { return s.Ready }) }, nil
	case "usable":
		count, err := strconv.Atoi(a[1])
		return func() bool { return w.all(a[:1], func(s roleStatus) bool { return s.usable() == count }) }, err
	case "shared":
		return func() bool { return w.all(a, func(s roleStatus) bool { return s.Shared > 0 }) }, nil
	case "gaps":
		return func() bool { return w.all(a, func(s roleStatus) bool { return s.Cache.Gaps > 0 }) }, nil
	case "learned":
		return func() bool { return w.hasLearned(a[0], a[1:]) }, nil
	case "emptycache":
		return func() bool { return w.all(a, func(s roleStatus) bool { return s.Cache.Entries == 0 }) }, nil
	case "cancelled":
		count, err := strconv.Atoi(a[1])
		return func() bool { return w.countState(a[0], beechengine.StateCancelled) >= count }, err
	case "serving":
		count, err := strconv.Atoi(a[1])
		return func() bool { return w.all(a[:1], func(s roleStatus) bool { return s.Serving == count }) }, err
	case "generation":
		generation, err := strconv.Atoi(a[0])
		return func() bool { return w.all(a[1:], func(s roleStatus) bool { return s.Generation == generation }) }, err
	case "offers":
		return func() bool {
			return w.all(a[:1], func(s roleStatus) bool { return strings.Join(s.Offers, ",") == a[1] })
		}, nil
	case "events":
		count, err := strconv.Atoi(a[1])
		return func() bool {
			c, err := w.call(a[0])
			return err == nil && c.eventCount() >= count
		}, err
	case "calls":
		count, err := strconv.Atoi(a[0])
		return func() bool { return len(w.allCalls()) >= count }, err
	case "ran":
		count, err := strconv.Atoi(a[0])
		return func() bool { return len(w.serviceRuns()) >= count }, err
	case "shipped":
		return func() bool {
			c, err := w.call(a[0])
			return err == nil && w.serviceRuns()[c.journalKey()] > 0
		}, nil
	case "persisted":
		return func() bool {
			c, err := w.call(a[0])
			return err == nil && c.isOver() && c.ran != "no"
		}, nil
	case "refused":
		count, err := strconv.Atoi(a[0])
		return func() bool { return w.refusedCount() >= count }, err
	case "orders":
		count, err := strconv.Atoi(a[1])
		return func() bool { return len(w.ordersOf(a[0])) >= count }, err
	case "fence":
		number, err := strconv.ParseUint(a[1], 10, 64)
		return func() bool {
			return slices.ContainsFunc(w.ordersOf(a[0]), func(o beechengine.OrderEntry) bool { return o.Fence >= number })
		}, err
	case "holding":
		return func() bool { return w.engineHolds(a[0], a[1]) }, nil
	case "running":
		count, err := strconv.Atoi(a[1])
		return func() bool { return w.countState(a[0], beechengine.StateRunning) >= count }, err
	case "spread":
		count, err := strconv.Atoi(a[0])
		return func() bool { return len(w.beganSince(w.markedAt)) >= count }, err
	case "log":
		return func() bool {
			data, _ := os.ReadFile(filepath.Join(w.dir, a[0]+".log"))
			return bytes.Contains(data, []byte(a[1]))
		}, nil
	default:
		return nil, fmt.Errorf("no condition %q", kind)
	}
}

// roleStatus is what conditions look at in a status page.
type roleStatus struct {
	Ready      bool     `json:"ready"`
	Serving    int      `json:"servingAgents"`
	Generation int      `json:"generation"`
	Offers     []string `json:"offers"`
	Shared     int      `json:"sharedMembers"`
	Members    []struct {
		Host   struct{ Role string }
		Usable bool
	} `json:"members"`
	Cache struct {
		Entries int
		Gaps    uint64
	} `json:"cache"`
	Version uint64            `json:"cacheVersion"`
	Caches  map[string]uint64 `json:"cacheVersions"`
}

// hasLearned tells whether an entry host knows the newest version of what the
// agents' engines hold.
func (w *world) hasLearned(entry string, agents []string) bool {
	var known, own roleStatus
	if w.status(entry, &known) != nil {
		return false
	}
	for _, name := range agents {
		if w.status(name, &own) != nil || known.Caches[w.publicOf(name)] != own.Version {
			return false
		}
	}
	return true
}

// publicOf is the address at which entry hosts link to an agent.
func (w *world) publicOf(agent string) string {
	for _, h := range w.hosts {
		if h.Name == agent {
			return h.Address.String()
		}
	}
	return ""
}

func (s roleStatus) usable() int {
	count := 0
	for _, m := range s.Members {
		if m.Usable && m.Host.Role == "agent" {
			count++
		}
	}
	return count
}

func (w *world) all(names []string, good func(s roleStatus) bool) bool {
	for _, name := range names {
		var s roleStatus
		if w.status(name, &s) != nil || !good(s) {
			return false
		}
	}
	return true
}

// holds NAME...: invariants over everything so far.
func commandHolds(w *world, arguments []string) error {
	for _, name := range arguments {
		check := invariants[name]
		if check == nil {
			return fmt.Errorf("no invariant %q", name)
		}
		if err := check(w); err != nil {
			return fmt.Errorf("%s does not hold: %w", name, err)
		}
	}
	return nil
}

// scriptCommands makes the commands fit testscript. With a ! before it a
// command must fail.
func scriptCommands() map[string]func(ts *testscript.TestScript, neg bool, arguments []string) {
	out := map[string]func(ts *testscript.TestScript, neg bool, arguments []string){}
	for name, do := range commands {
		out[name] = func(ts *testscript.TestScript, neg bool, arguments []string) {
			err := do(ts.Value(worldKey{}).(*world), arguments)
			if neg && err == nil {
				ts.Fatalf("%s was expected to fail", name)
			}
			if !neg && err != nil {
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
	return out
}
