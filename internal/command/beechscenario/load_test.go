package beechscenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type (
	// loadPlan describes the callers of a load and their requests.
	loadPlan struct {
		name        string
		callers     int
		entries     []string
		base        request
		seed        uint64
		balanced    bool // send only to entry hosts that are ready, as the platform's load balancer does
		members     int  // number of distinct histories in the prompts
		firstMember int
		hot         int  // only every n-th prompt draws its member, the others use the first one; 0 draws for all
		keyed       bool // send each call to two entry hosts at the same time with one idempotency key
		resume      bool // disconnect in the middle of a response, and resume it
		repeat      bool // send again at another entry host until the outcome is known
	}

	// load sends small requests in the background, so that faults occur under
	// load.
	load struct {
		deployment *deployment
		plan       loadPlan
		stop       context.CancelFunc
		wait       sync.WaitGroup
		number     atomic.Int64
	}
)

const (
	defaultMembers = 6
	maxRepeats     = 5
)

// startLoad starts the callers of a load. Each sends one request after the other,
// to the entry hosts in turn, until halt.
func (d *deployment) startLoad(plan loadPlan) *load {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{deployment: d, plan: plan, stop: stop}
	for i := range plan.callers {
		random := rand.New(rand.NewPCG(plan.seed, uint64(i)))
		l.wait.Go(func() {
			for ctx.Err() == nil {
				l.sendOne(random)
			}
		})
	}
	d.loads = append(d.loads, l)
	return l
}

func (l *load) sendOne(random *rand.Rand) {
	number := int(l.number.Add(1))
	entry := l.entry(number)
	if entry == nil {
		time.Sleep(pollInterval)
		return
	}
	r := l.plan.base
	r.Entry = entry.address
	r.History = fmt.Sprintf("history of member %d: %s", l.member(number, random), l.plan.base.History)
	r.Prompt = fmt.Sprintf("%s question %d", l.plan.base.Prompt, number)
	if r.Service != "" {
		r.Body = fmt.Sprintf(`{"load":%q,"number":%d}`, l.plan.name, number)
		r.IdempotencyKey = fmt.Sprintf("%s-%d", l.plan.name, number)
	}
	name := fmt.Sprintf("%s-%d", l.plan.name, number)
	if l.plan.keyed {
		r.IdempotencyKey = name
		l.sendTwice(name, number, r)
		return
	}
	if l.plan.resume {
		l.sendAndResume(name, number, r, random)
		return
	}
	c := l.send(name, r)
	for i := 1; l.plan.repeat && !c.hasOutcome() && i <= maxRepeats; i++ {
		if next := l.entry(number + i); next != nil {
			r.Entry = next.address
		}
		c = l.send(fmt.Sprintf("%s-repeat-%d", name, i), r)
	}
}

// sendTwice sends the same request to two entry hosts at the same time.
func (l *load) sendTwice(name string, number int, r request) {
	second := make(chan struct{})
	again := r
	if next := l.entry(number + 1); next != nil {
		again.Entry = next.address
	}
	go func() {
		defer close(second)
		l.send(name+"-twin", again)
	}()
	l.send(name, r)
	<-second
}

// sendAndResume disconnects in the middle of a response and resumes it at other
// entry hosts, at most maxRepeats times, until it is complete.
func (l *load) sendAndResume(name string, number int, r request, random *rand.Rand) {
	r.LeaveAfterEvents = 1 + random.IntN(r.Tokens)
	c := l.send(name, r)
	for i := 1; i <= maxRepeats && !c.isWhole() && c.lastID != ""; i++ {
		r.PriorText += c.text
		r.LastEvent = c.lastID
		r.LeaveAfterEvents = 0
		if next := l.entry(number + i); next != nil {
			r.Entry = next.address
		}
		next := l.send(fmt.Sprintf("%s-rest-%d", name, i), r)
		if next.lastID == "" {
			next.lastID = c.lastID
		}
		c = next
	}
}

func (c *call) isWhole() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished && c.code == ""
}

// hasOutcome reports whether the outcome is known, or known to be unknown
// (status 409).
func (c *call) hasOutcome() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status == http.StatusOK || c.status == http.StatusConflict
}

// member chooses the member whose history a prompt contains. With hot, most
// prompts share one history, as they do when many callers ask about the same
// catalogue.
func (l *load) member(number int, random *rand.Rand) int {
	if l.plan.hot > 0 && number%l.plan.hot != 0 {
		return l.plan.firstMember
	}
	return l.plan.firstMember + random.IntN(l.plan.members)
}

// entry returns the entry hosts in turn. A balanced load skips those that are not
// ready. The result is nil if none is left.
func (l *load) entry(number int) *process {
	for i := range l.plan.entries {
		p, err := l.deployment.process(l.plan.entries[(number+i)%len(l.plan.entries)])
		if err == nil && (!l.plan.balanced || isReady(p)) {
			return p
		}
	}
	return nil
}

func isReady(p *process) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.admin.String() + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// send runs one call to its end. After a refused connection it waits for
// pollInterval, so that callers do not retry in a busy loop.
func (l *load) send(name string, r request) *call {
	c := newCall(context.Background(), name, r)
	l.deployment.addCall(c)
	<-c.done
	if errors.Is(c.err, syscall.ECONNREFUSED) {
		time.Sleep(pollInterval)
	}
	return c
}

// halt stops sending and waits until the running requests have ended.
func (l *load) halt() error {
	l.stop()
	ended := make(chan struct{})
	go func() {
		l.wait.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-time.After(conditionTimeout):
		return fmt.Errorf("calls of load %s did not end: %s", l.plan.name, l.deployment.openCalls())
	}
}

func (d *deployment) addCall(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[c.name] = c
	d.order = append(d.order, c)
}

func (d *deployment) call(name string) (*call, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.calls[name]
	if c == nil {
		return nil, fmt.Errorf("no call %q", name)
	}
	return c, nil
}

// endedCalls returns the calls that have ended, in the order they were started.
func (d *deployment) endedCalls() []*call {
	ended, _ := d.partitionCalls()
	return ended
}

func (d *deployment) partitionCalls() (ended, open []*call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.order {
		if c.isOver() {
			ended = append(ended, c)
		} else {
			open = append(open, c)
		}
	}
	return ended, open
}

// openCalls describes the calls that have not ended.
func (d *deployment) openCalls() string {
	_, open := d.partitionCalls()
	text := ""
	for _, c := range open {
		text += c.describe() + "\n"
	}
	return text
}
