//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["take-up"] = playTakeUp }

// consumerStream is a stream that a consumer takes up again if it breaks off.
type consumerStream struct {
	first     string // attempt that brought the first event
	events    int    // the consumer has
	takenUp   bool
	goesOn    bool // after it was taken up
	whole     bool
	statuses  []int
	beginning time.Time
}

const (
	takeUpBudget   = 5 * time.Second
	takeUpPatience = 2400 * time.Millisecond // four times the objective of 600 ms
	takeUpEvents   = 36
)

// play sends the stream's request to the gates in turn until it is whole, the time budget is over, or its one retry was used.
func (s *consumerStream) play(gates []string, part string) {
	s.beginning = time.Now()
	const tries = 2 // the sheet has one retry
	for try := range tries {
		left := takeUpBudget - time.Since(s.beginning)
		if left < 100*time.Millisecond {
			return
		}
		h := header("Beechring-Model", "m0", "Beechring-Token-Usage", "300,60", "Beechring-Prompt-Prefix", "5c1e07a2:200,"+part+":100")
		if s.events > 0 {
			h.Set("Last-Event-Id", strconv.Itoa(s.events))
			h.Set("Resumes", s.first)
			s.takenUp = true
		}
		r := send(request{gate: gates[try%len(gates)], method: http.MethodPost, host: "picks.example", path: "/pick/ask", key: "key-members", body: "pick", timeLeft: left, patience: takeUpPatience, header: h})
		s.statuses = append(s.statuses, r.status)
		got := strings.Count(r.body, "\n\n")
		if got > 0 {
			if s.events == 0 {
				s.first = r.id
			}
			s.goesOn = s.goesOn || s.takenUp
			s.events += got
		}
		if r.status == http.StatusOK && r.whole {
			s.whole = true
			return
		}
		if r.status == http.StatusServiceUnavailable {
			after, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			time.Sleep(min(time.Duration(after*float64(time.Second)), left/3))
		}
	}
}

// playTakeUp suspends a gate with streams under way. Half a second later a release of the engines begins: one of another
// software version joins. Consumers take their streams up again at the other gates.
func playTakeUp(l *lab) (string, error) {
	const streams = 24
	l.store.put("op/config", configuration(7, []route{{name: "r-pick", host: "picks.example", prefix: "/pick/", kind: "streaming", service: "loom", timeoutMs: 5000, sloMs: 600, attempts: 2, priority: 1, sticky: true, resumable: true, gapMs: 200}}, tenant{name: "members", keys: []string{"key-members"}}))
	l.store.put("op/version/m0", map[string]any{"model": "m0", "version": 1})
	var gates []*gate
	for n := range 4 {
		g, err := l.newGate(n + 1)
		if err != nil {
			return "", err
		}
		gates = append(gates, g)
	}
	var hosts []*engine
	var ran lines
	for n := range 4 {
		address, err := freeAddress(fmt.Sprintf("127.0.2.%d", n+1))
		if err != nil {
			return "", err
		}
		e, err := startEngine(engineSettings{address: address, id: fmt.Sprintf("i-loom%d", n+1), model: "m0", version: 1, events: takeUpEvents, interval: 100 * time.Millisecond, log: &ran})
		if err != nil {
			return "", err
		}
		go func() { _ = e.serve() }()
		hosts = append(hosts, e)
	}
	for _, e := range hosts[:3] {
		l.store.put("servers/"+e.id, e.entry("loom"))
	}
	if err := l.startGates(gates...); err != nil {
		return "", err
	}
	_, port, _ := net.SplitHostPort(gates[0].beats)
	for n, e := range hosts {
		if _, err := l.startKeeper("keeper-"+e.id, fmt.Sprintf("127.0.2.%d", n+1), e.address, port); err != nil {
			return "", err
		}
	}
	time.Sleep(16 * time.Second)
	fronts := []string{gates[1].front, gates[2].front, gates[3].front}
	list := make([]*consumerStream, streams)
	var group sync.WaitGroup
	for n := range list {
		list[n] = &consumerStream{}
		group.Go(func() {
			list[n].play([]string{gates[0].front, fronts[n%3], fronts[(n+1)%3], fronts[(n+2)%3]}, fmt.Sprintf("%x", 4096+n))
		})
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond)
	if l.trouble {
		gates[0].signal(syscall.SIGSTOP)
		l.note("%s is suspended, with %d streams under way", gates[0].name, streams)
	}
	time.Sleep(500 * time.Millisecond)
	joined := hosts[3].entry("loom")
	joined["version"] = "v2"
	if os.Getenv("JOIN") != "0" { // to see that the suspension alone loses nothing
		l.store.put("servers/"+hosts[3].id, joined)
		l.note("engine %s of software version v2 joins; three engines of v1 go on serving", hosts[3].id)
	}
	// New streams begin at the other gates meanwhile.
	fresh := make([]*consumerStream, streams)
	for n := range fresh {
		fresh[n] = &consumerStream{}
		group.Go(func() { fresh[n].play([]string{fronts[n%3]}, fmt.Sprintf("%x", 8192+n)) })
		time.Sleep(80 * time.Millisecond)
	}
	if l.trouble {
		time.Sleep(2 * time.Second)
		gates[0].signal(syscall.SIGCONT)
		l.note("%s goes on", gates[0].name)
	}
	group.Wait()
	takenUp, goOn, whole, begun := 0, 0, 0, 0
	for _, s := range list {
		l.note("stream %s: statuses %v, %d of %d events, taken up %v, goes on %v, whole %v", s.first, s.statuses, s.events, takeUpEvents, s.takenUp, s.goesOn, s.whole)
		if s.takenUp {
			takenUp++
		}
		if s.goesOn {
			goOn++
		}
		if s.whole {
			whole++
		}
	}
	for _, s := range fresh {
		if s.events > 0 {
			begun++
		}
	}
	for _, g := range gates[1:] {
		for i, line := range l.logLines(g.name, "stream resumed") {
			if i < 2 {
				l.note("%s: %s", g.name, line)
			}
		}
	}
	for _, line := range ran.all() {
		l.note("%s", line)
	}
	l.note("%d streams were taken up at gates in touch, %d of them go on; %d of %d new streams begin; %d of %d are whole", takenUp, goOn, begun, streams, whole, streams)
	if !l.trouble && whole < streams {
		return "", fmt.Errorf("%d of %d streams are whole in calm", whole, streams)
	}
	const least = 12
	if takenUp >= least && float64(goOn)/float64(takenUp) < float64(begun)/float64(streams)/2 {
		return fmt.Sprintf("LOST: of %d streams that were taken up at gates in touch, while three engines of their software version serve, %d go on; of %d new streams %d begin", takenUp, goOn, streams, begun), nil
	}
	return "", nil
}
