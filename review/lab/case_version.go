//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["version"] = playVersion }

// versionedStream is a stream of which the consumer keeps the engines that its events came from.
type versionedStream struct {
	first    string   // attempt that brought the first event
	attempts []string // by ID
	events   int      // the consumer has
	engines  []string // that sent events
	gates    []string
	statuses []int
}

// play sends the request to the first gate and, if the stream breaks off, its rest to the second.
func (s *versionedStream) play(gates []*gate, part string, budget, patience time.Duration) {
	begun := time.Now()
	for _, g := range gates {
		left := budget - time.Since(begun)
		if left < 100*time.Millisecond {
			return
		}
		h := header("Beechring-Model", "m0", "Beechring-Token-Usage", "300,40", "Beechring-Prompt-Prefix", part+":300")
		if s.events > 0 {
			h.Set("Last-Event-Id", strconv.Itoa(s.events))
			h.Set("Resumes", s.first)
		}
		r := send(request{gate: g.front, method: http.MethodPost, host: "picks.example", path: "/pick/ask", key: "key-members", body: "pick", timeLeft: left, patience: patience, header: h})
		s.attempts, s.statuses, s.gates = append(s.attempts, r.id), append(s.statuses, r.status), append(s.gates, g.name)
		if got := strings.Count(r.body, "\n\n"); got > 0 {
			if s.events == 0 {
				s.first = r.id
			}
			s.events += got
			s.engines = append(s.engines, strings.Split(r.header.Get("Beechring-Response-Seal"), ".")[1])
		}
		if r.status == http.StatusOK && r.whole {
			return
		}
	}
}

// consumerWay returns the gates that the n-th request reaches, and its retry. Consumers are in all zones alike. New
// channels of a zone go to its gate, and to all others in turn while it is out of rotation; retries reach other gates.
func consumerWay(n int, suspended *gate, rest []*gate) []*gate {
	zone, turn := n%4, n/4%3
	if zone == 3 {
		return []*gate{rest[turn], suspended}
	}
	others := []*gate{suspended, rest[(zone+1)%3], rest[(zone+2)%3]}
	return []*gate{rest[zone], others[turn]}
}

// playVersion suspends the gate that reads the list of servers for all. Meanwhile an engine joins, and one of another
// software version does, which begins streams and leaves again. Consumers take these streams up at all gates.
func playVersion(l *lab) (string, error) {
	const (
		loom      = 18
		budget    = 5 * time.Second
		patience  = 2400 * time.Millisecond // four times the objective of 600 ms
		events    = 40
		pause     = 22 * time.Millisecond // between requests: the sheet has 45.9 a second
		sinceRead = 300 * time.Millisecond
		suspended = 4800 * time.Millisecond
		first     = time.Second             // after the gate was suspended
		joins     = 3100 * time.Millisecond // likewise
		listed    = 1300 * time.Millisecond
		linger    = 2300 * time.Millisecond // for which an engine serves after its entry was removed
	)
	zones := []string{"mill-a", "mill-b", "dye-house", "barn-loft"}
	l.store.latency = 4 * time.Millisecond
	l.store.put("op/config", configuration(7, []route{{name: "r-pick", host: "picks.example", prefix: "/pick/", kind: "streaming", service: "loom", timeoutMs: 5000, sloMs: 600, attempts: 2, priority: 1, sticky: true, resumable: true, gapMs: 200}}, tenant{name: "members", keys: []string{"key-members"}}))
	l.store.put("op/version/m0", map[string]any{"model": "m0", "version": 1})
	var gates []*gate
	for n := range 4 {
		g, err := l.newGate(n + 1)
		if err != nil {
			return "", err
		}
		g.zone = zones[n]
		if g.store, err = l.store.open(g.name); err != nil {
			return "", err
		}
		gates = append(gates, g)
	}
	var engines []*engine
	var ran lines
	for n := range loom + 2 {
		address, err := freeAddress(fmt.Sprintf("127.0.2.%d", n+1))
		if err != nil {
			return "", err
		}
		e, err := startEngine(engineSettings{address: address, id: fmt.Sprintf("i-loom%d", n+1), model: "m0", version: 1, events: events, interval: 100 * time.Millisecond, log: &ran})
		if err != nil {
			return "", err
		}
		engines = append(engines, e)
	}
	list := func(n int, zone, version string) {
		document := engines[n].entry("loom")
		document["zone"], document["version"] = zone, version
		l.store.put("servers/"+engines[n].id, document)
	}
	for n, e := range engines[:loom+1] {
		go func() { _ = e.serve() }()
		if n < loom {
			list(n, zones[n%len(zones)], "v1")
		}
	}
	other := engines[loom+1]
	server := &http.Server{Handler: other}
	go func() { _ = server.Serve(other.listener) }()
	if err := l.startGates(gates...); err != nil {
		return "", err
	}
	_, port, _ := net.SplitHostPort(gates[0].beats)
	keep := func(n int, zone string) error {
		_, err := l.startKeeperIn(zone, "keeper-"+engines[n].id, fmt.Sprintf("127.0.2.%d", n+1), engines[n].address, port)
		return err
	}
	for n := range engines[:loom+1] {
		if err := keep(n, zones[n%len(zones)]); err != nil {
			return "", err
		}
	}
	time.Sleep(14 * time.Second)
	// The gate that reads the list most often reads it for all.
	before := l.store.readers()
	time.Sleep(9 * time.Second)
	after := l.store.readers()
	reader := gates[0]
	for _, g := range gates {
		if after[g.name]-before[g.name] > after[reader.name]-before[reader.name] {
			reader = g
		}
	}
	var rest []*gate
	for _, g := range gates {
		if g != reader {
			rest = append(rest, g)
		}
	}
	l.note("reads of the list of servers by gate: %v, 9 s later %v; %s reads for all", before, after, reader.name)
	if err := keep(loom+1, rest[0].zone); err != nil {
		return "", err
	}
	var mu sync.Mutex
	var streams []*versionedStream
	var group sync.WaitGroup
	stop := make(chan struct{})
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			s := &versionedStream{}
			mu.Lock()
			streams = append(streams, s)
			mu.Unlock()
			way := consumerWay(n, reader, rest)
			group.Go(func() { s.play(way, fmt.Sprintf("%x", 4096+n), budget, patience) })
		}
	})
	time.Sleep(2 * time.Second)
	for read := l.store.readers()[reader.name]; l.store.readers()[reader.name] == read; {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(sinceRead)
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	if l.trouble {
		reader.signal(syscall.SIGSTOP)
		l.note("%s is suspended", reader.name)
	}
	at(first)
	list(loom, zones[loom%len(zones)], "v1")
	l.note("engine %s of software version v1 joins", engines[loom].id)
	at(joins)
	list(loom+1, rest[0].zone, "v2")
	l.note("engine %s of software version v2 joins", other.id)
	at(joins + listed)
	l.store.remove("servers/" + other.id)
	l.note("%s leaves: its entry is removed; it serves for %v more", other.id, linger)
	at(suspended)
	if l.trouble {
		reader.signal(syscall.SIGCONT)
		l.note("%s goes on", reader.name)
	}
	at(joins + listed + linger)
	_ = server.Close()
	l.note("%s exits", other.id)
	time.Sleep(500 * time.Millisecond)
	close(stop)
	group.Wait()
	mixed, begun, whole := 0, 0, 0
	attempts := make(map[string]bool) // of streams that began at v2
	for _, s := range streams {
		v2, v1 := false, false
		for _, e := range s.engines {
			v2, v1 = v2 || e == other.id, v1 || e != other.id
		}
		l.note("stream %v: sent to %v, answered %v, %d of %d events, of engines %v", s.attempts, s.gates, s.statuses, s.events, events, s.engines)
		if v2 {
			begun++
			for _, id := range s.attempts {
				attempts[id] = true
			}
		}
		if v2 && v1 {
			mixed++
		}
		if s.events == events {
			whole++
		}
	}
	for _, line := range ran.all() {
		if fields := strings.Fields(line); len(fields) > 2 && attempts[fields[2]] {
			l.note("%s", line)
		}
	}
	for _, g := range gates {
		for i, line := range l.logLines(g.name, "stream resumed") {
			if i < 2 {
				l.note("gate: %s", line)
			}
		}
	}
	l.note("%d streams, %d with all events; %d have events of v2, %d of them also events of v1", len(streams), whole, begun, mixed)
	const allowed = 2
	if begun <= allowed {
		return "", fmt.Errorf("only %d streams began at v2", begun)
	}
	if mixed > allowed {
		return fmt.Sprintf("ORDER: %d streams hold events from engines of two software versions", mixed), nil
	}
	return "", nil
}
