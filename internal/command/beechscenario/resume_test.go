package beechscenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/command/beechtrace"
)

type (
	// resumeFault is a failure of an entry host, of the links of its callers or of
	// an agent's links. begin returns the function that ends the failure.
	resumeFault struct {
		name    string
		targets []string
		begin   func(d *deployment, target string) (end func() error, err error)
	}

	// progress is how much of its response a caller has when a call fails.
	progress string

	// resumeRun is a random run drawn from a seed. Callers retry until they have
	// their complete response, while links and entry hosts fail.
	resumeRun struct {
		t          *testing.T
		deployment *deployment
		random     *rand.Rand
		begun      time.Time

		mu     sync.Mutex
		fault  string // name of the fault injected last
		counts map[outcomeKey]map[string]int
		killed map[netip.AddrPort]time.Time // time of the last kill, by the address callers use
	}

	// outcomeKey identifies a row of the table of outcomes that a run prints.
	outcomeKey struct {
		fault string
		at    progress
	}
)

const (
	beforeHeaders progress = "before the headers"
	betweenEvents progress = "between two events"
	beforeEnd     progress = "between the last event and the end"
	resuming      progress = "in the first resumption"
	resumingAgain progress = "in a later resumption"
	duringBooking progress = "in a booking"

	entryKilled = "entry host killed"
	killDelay   = 50 * time.Millisecond

	streamCallers     = 30
	bookingCallers    = 6
	faultSpan         = 3 * time.Second // during which faults are injected
	maxFaultGap       = 250 * time.Millisecond
	maxFaultDuration  = 600 * time.Millisecond
	streamIdleTimeout = 400 * time.Millisecond // without an event, after which a caller resumes
	bookingTimeout    = 5 * time.Second
	maxRetryDelay     = 50 * time.Millisecond
	maxTries          = 40
	proxyPort         = 7400 // of the fault proxy in front of an entry host

	killRounds      = 4
	streamsPerRound = 150
	minEvents       = 5 // events of each stream before its entry host is killed
)

var (
	resumeSeeds = []uint64{1, 2, 3, 4}

	resumeFaults = []resumeFault{
		{entryKilled, soakEntries, func(d *deployment, name string) (func() error, error) {
			return func() error { return d.restart(name) }, d.kill(name)
		}},
		{"entry host stopped", soakEntries, func(d *deployment, name string) (func() error, error) {
			return func() error {
				<-d.processes[name].ended
				return d.restart(name)
			}, d.signal(name, syscall.SIGTERM)
		}},
		{"entry host frozen", soakEntries, func(d *deployment, name string) (func() error, error) {
			return func() error { return d.signal(name, syscall.SIGCONT) }, d.signal(name, syscall.SIGSTOP)
		}},
		{"callers' links reset", soakEntries, atProxy((*faultProxy).reset)},
		{"callers' links stalled one way", soakEntries, atProxy(func(p *faultProxy) { p.stall(fromProcess) })},
		{"agent's links closed", resumeAgents, atProxy(func(p *faultProxy) { p.cut(false) })},
		{"agent's links reset", resumeAgents, atProxy((*faultProxy).reset)},
		{"agent's links cut", resumeAgents, atProxy(func(p *faultProxy) { p.cut(true) })},
		{"agent's links stalled", resumeAgents, atProxy(func(p *faultProxy) { p.stall(toProcess, fromProcess) })},
		{"agent's links stalled to it", resumeAgents, atProxy(func(p *faultProxy) { p.stall(toProcess) })},
		{"agent's links stalled from it", resumeAgents, atProxy(func(p *faultProxy) { p.stall(fromProcess) })},
	}

	resumeAgents = []string{"e1", "e2", "s1"}
)

func atProxy(do func(p *faultProxy)) func(d *deployment, name string) (func() error, error) {
	return func(d *deployment, name string) (func() error, error) {
		p := d.proxies[name]
		do(p)
		return func() error {
			p.restore()
			return nil
		}, nil
	}
}

// TestStreamsSurviveEveryFault guards against responses that are lost when an
// entry host, the links of its callers or an agent's links fail. Faults are
// injected at random times, so that they hit every stage of a response.
func TestStreamsSurviveEveryFault(t *testing.T) {
	seeds := resumeSeeds
	if *oneSeed != 0 || *seedCount != 0 {
		seeds = soakSeeds()
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("reproduce with: go test -count=1 -run TestStreamsSurviveEveryFault ./internal/command/beechscenario -seed %d", seed)
			d := newDeployment(t, beechtrace.Folder(t))
			d.level = "debug"
			defer d.close()
			r := &resumeRun{
				t: t, deployment: d, random: rand.New(rand.NewPCG(seed, 0)), fault: "no fault yet",
				counts: map[outcomeKey]map[string]int{}, killed: map[netip.AddrPort]time.Time{},
			}
			r.deploy()
			r.play(seed)
			t.Log(r.table())
		})
	}
}

// TestManyStreamsSurviveEntryKill guards against an agent that treats a failed
// send on a lost link as a cancellation by the caller, and drops the response.
// With one stream, a lost link triggers this once in some hundred times; with
// many streams, every second lost link does.
func TestManyStreamsSurviveEntryKill(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, beechtrace.Folder(t))
	defer d.close()
	r := &resumeRun{t: t, deployment: d}
	r.do(commandPlatform)
	r.do(commandEngine, "e1", "zone-a", "--slots", "600", "--prefill-rate", "0", "--token-time", "20ms")
	for _, name := range soakEntries {
		r.do(commandEntry, name, "zone-a")
	}
	r.do(commandUntil, "serving", "n1", "1")
	r.do(commandUntil, "serving", "n2", "1")
	r.do(applyManySlots)
	r.do(commandUntil, "generation", "2", "n1", "n2", "e1")
	for round := range killRounds {
		r.do(commandUntil, "serving", "n1", "1")
		calls := r.openAll("n1", round)
		r.do(commands["sigkill"], "n1")
		r.resumeAll("n2", calls)
		r.do(commands["restart"], "n1")
	}
}

// openAll opens the streams of a round and waits until each has minEvents events.
func (r *resumeRun) openAll(entry string, round int) []*call {
	r.t.Helper()
	calls := make([]*call, streamsPerRound)
	for i := range calls {
		calls[i] = newCall(context.Background(), fmt.Sprintf("many-%d-%d", round, i), request{
			Entry: r.deployment.processes[entry].address, Key: "loop-key", Model: "fit-advisor",
			Prompt: fmt.Sprintf("question %d %d", round, i), Tokens: 60, Stream: true,
		})
	}
	err := r.deployment.until("events of all streams", func() bool {
		return !slices.ContainsFunc(calls, func(c *call) bool { return c.eventCount() < minEvents })
	})
	if err != nil {
		for _, c := range calls {
			if c.eventCount() < minEvents {
				r.t.Logf("too few events, ended %t: %s", c.isOver(), c.describe())
			}
		}
		r.t.Fatal(err)
	}
	return calls
}

// resumeAll resumes each interrupted stream at the given entry host, and checks
// that every response is complete.
func (r *resumeRun) resumeAll(entry string, calls []*call) {
	r.t.Helper()
	for i, c := range calls {
		<-c.done
		if c.isWhole() {
			continue
		}
		rest := c.request
		rest.Entry, rest.LastEvent, rest.PriorText = r.deployment.processes[entry].address, c.lastID, c.text
		calls[i] = newCall(context.Background(), c.name+"-rest", rest)
	}
	for _, c := range calls {
		<-c.done
		if err := c.checkText([]string{"1"}); err != nil || !c.isWhole() {
			r.t.Errorf("incomplete response: %s", c.describe())
		}
	}
}

func (r *resumeRun) do(c command, arguments ...string) {
	r.t.Helper()
	if err := c(r.deployment, arguments); err != nil {
		r.t.Fatalf("%v: %v", arguments, err)
	}
}

func (r *resumeRun) deploy() {
	r.t.Helper()
	r.do(commandPlatform)
	for _, name := range []string{"e1", "e2"} {
		r.do(commandEngine, name, "zone-a", "--slots", "100", "--token-time", "10ms", "--end-time", "60ms")
	}
	r.do(commandService, "s1", "zone-a", "--delay", "30ms")
	r.do(commandSeeds, "e1", "e2", "s1")
	for _, name := range soakEntries {
		r.do(commandEntry, name, "zone-a")
		p := r.deployment.processes[name]
		public := netip.AddrPortFrom(p.address.Addr(), proxyPort)
		c, err := newFaultProxy(public, p.address)
		if err != nil {
			r.t.Fatal(err)
		}
		r.deployment.proxies[name] = c
	}
	for _, name := range soakEntries {
		r.do(commandUntil, "serving", name, "3")
	}
	r.do(applyManySlots)
	r.do(commandUntil, "generation", "2", "n1", "n2", "e1", "e2", "s1")
}

// play injects faults for faultSpan while callers send requests. Each caller
// retries until its response is complete.
func (r *resumeRun) play(seed uint64) {
	r.t.Helper()
	r.begun = time.Now()
	over := make(chan struct{})
	var callers sync.WaitGroup
	for i := range streamCallers + bookingCallers {
		random := rand.New(rand.NewPCG(seed, uint64(1+i)))
		callers.Go(func() {
			for n := 0; ; n++ {
				name := fmt.Sprintf("caller-%d-%d", i, n)
				if i < streamCallers {
					r.runStreamCaller(name, random)
				} else {
					r.runBookingCaller(name, random)
				}
				select {
				case <-over:
					return
				default:
				}
			}
		})
	}
	for time.Since(r.begun) < faultSpan {
		r.injectFault()
	}
	close(over)
	callers.Wait()
}

// injectFault begins a random fault, and ends it after a random time.
func (r *resumeRun) injectFault() {
	r.t.Helper()
	time.Sleep(time.Duration(r.random.Int64N(int64(maxFaultGap))))
	s := resumeFaults[r.random.IntN(len(resumeFaults))]
	target := s.targets[r.random.IntN(len(s.targets))]
	lasts := time.Duration(r.random.Int64N(int64(maxFaultDuration)))
	r.mu.Lock()
	r.fault = s.name
	if s.name == entryKilled {
		r.killed[r.proxyAddress(target)] = time.Now().Add(killDelay)
	}
	r.mu.Unlock()
	r.t.Logf("%s %s at %s for %s", time.Since(r.begun).Round(time.Millisecond), s.name, target, lasts.Round(time.Millisecond))
	end, err := s.begin(r.deployment, target)
	if err != nil {
		r.t.Fatalf("%s at %s: %v", s.name, target, err)
	}
	time.Sleep(lasts)
	if err := end(); err != nil {
		r.t.Fatalf("end of %s at %s: %v", s.name, target, err)
	}
}

// runStreamCaller sends a streaming request and resumes it until the response is
// complete.
func (r *resumeRun) runStreamCaller(name string, random *rand.Rand) {
	req := request{
		Key: "loop-key", Model: "fit-advisor", System: "You advise members on the size of their socks.",
		Prompt: name, Tokens: 10 + random.IntN(50), Stream: true,
	}
	if random.IntN(2) == 0 {
		req.IdempotencyKey = name
	}
	resumed := 0
	var c *call
	for try := range maxTries {
		req.Entry = r.entryFor(random)
		c = r.send(fmt.Sprintf("%s-%d", name, try), req)
		if c.isWhole() {
			r.count(progressOf(c, resumed), "whole")
			return
		}
		r.recordFailure(c, progressOf(c, resumed))
		if c.lastID != "" {
			req.LastEvent, req.PriorText = c.lastID, req.PriorText+c.text
		}
		if req.LastEvent != "" {
			resumed++
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxRetryDelay))))
	}
	r.t.Errorf("response still incomplete after %d tries: %s", maxTries, c.describe())
}

// runBookingCaller sends a request that must not run twice, and retries it until
// its outcome is known. The outcome may be unknown only if an entry host was killed
// before it sent the request.
func (r *resumeRun) runBookingCaller(name string, random *rand.Rand) {
	req := request{Key: "loop-key", Service: "shipping/bookings", Body: fmt.Sprintf(`{"booking":%q}`, name), IdempotencyKey: name}
	var c *call
	killed := false
	for try := range maxTries {
		req.Entry = r.entryFor(random)
		began := time.Now()
		c = r.send(fmt.Sprintf("%s-%d", name, try), req)
		killed = killed || r.killedBeforeSend(c, began)
		switch {
		case c.status == http.StatusOK && c.isWhole():
			r.count(duringBooking, "whole")
			return
		case c.code == "outcome_unknown" && killed:
			r.count(duringBooking, "unknown after its entry host was killed")
			return
		case c.code == "outcome_unknown":
			r.t.Errorf("outcome lost; body hash in the journals %s: %s", c.journalKey(), c.describe())
			return
		}
		r.recordFailure(c, duringBooking)
		time.Sleep(time.Duration(random.Int64N(int64(maxRetryDelay))))
	}
	r.t.Errorf("outcome still unknown after %d tries: %s", maxTries, c.describe())
}

// entryFor draws an entry host and returns the address of its fault proxy.
func (r *resumeRun) entryFor(random *rand.Rand) netip.AddrPort {
	return r.proxyAddress(soakEntries[random.IntN(len(soakEntries))])
}

func (r *resumeRun) proxyAddress(entry string) netip.AddrPort {
	p, _ := r.deployment.process(entry)
	return netip.AddrPortFrom(p.address.Addr(), proxyPort)
}

// send runs one call to its end. The caller disconnects when no event arrives for
// its timeout.
func (r *resumeRun) send(name string, req request) *call {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	waits := streamIdleTimeout
	if req.Service != "" {
		waits = bookingTimeout
	}
	c := newCall(ctx, name, req)
	r.deployment.addCall(c)
	seen, since := 0, time.Now()
	for !c.isOver() {
		if n := c.eventCount(); n > seen {
			seen, since = n, time.Now()
		}
		if time.Since(since) > waits {
			leave()
		}
		time.Sleep(pollInterval)
	}
	return c
}

// progressOf classifies how far the response was when a call ended.
func progressOf(c *call, resumed int) progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := c.request.PriorText + c.text
	switch {
	case text != "" && text == c.request.expected("1"):
		return beforeEnd
	case c.events > 0:
		return betweenEvents
	case resumed == 0:
		return beforeHeaders
	case resumed == 1:
		return resuming
	default:
		return resumingAgain
	}
}

// recordFailure counts the outcome of an incomplete call. It fails the test if
// the caller was told that a response is gone, since the agent still keeps it.
func (r *resumeRun) recordFailure(c *call, m progress) {
	c.mu.Lock()
	outcome := c.code
	switch {
	case outcome != "":
	case c.err != nil && c.status == 0:
		outcome = "no response"
	case c.err != nil:
		outcome = "interrupted"
	default:
		outcome = fmt.Sprintf("status %d", c.status)
	}
	c.mu.Unlock()
	r.count(m, outcome)
	if outcome == "stream_gone" {
		r.t.Errorf("response lost %s: %s", m, c.describe())
	}
}

// killedBeforeSend reports whether the entry host of a call was killed after the
// call began and no server ran the request. Only the killed host had the claim's
// token, and no other host can prove that the request was never sent. The
// outcome therefore stays unknown.
func (r *resumeRun) killedBeforeSend(c *call, began time.Time) bool {
	r.mu.Lock()
	killed := r.killed[c.request.Entry]
	r.mu.Unlock()
	return killed.After(began) && r.deployment.serviceRuns()[c.journalKey()] == 0
}

func (r *resumeRun) count(m progress, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := outcomeKey{r.fault, m}
	if r.counts[c] == nil {
		r.counts[c] = map[string]int{}
	}
	r.counts[c][outcome]++
}

// table lists the outcomes of calls by the last fault and the progress.
func (r *resumeRun) table() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	for c, outcomes := range r.counts {
		line := fmt.Sprintf("%-30s %-36s", c.fault, c.at)
		for _, name := range sortedKeys(outcomes) {
			line += fmt.Sprintf(" %s %d", name, outcomes[name])
		}
		lines = append(lines, line)
	}
	slices.Sort(lines)
	return "outcomes of calls by the last fault:\n" + strings.Join(lines, "\n")
}

func sortedKeys(m map[string]int) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
