//go:build review

package main

import (
	"bufio"
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

func init() { cases["version"] = playVersion }

// versionedStream is a stream of which the consumer keeps the engines that its events came from.
type versionedStream struct {
	first    string   // attempt that brought the first event
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
		h := header("Beechring-Model", "m0", "Beechring-Token-Usage", "300,60", "Beechring-Prompt-Prefix", part+":300")
		if s.events > 0 {
			h.Set("Last-Event-Id", strconv.Itoa(s.events))
			h.Set("Resumes", s.first)
		}
		r := send(request{gate: g.front, method: http.MethodPost, host: "picks.example", path: "/pick/ask", key: "key-members", body: "pick", timeLeft: left, patience: patience, header: h})
		s.statuses, s.gates = append(s.statuses, r.status), append(s.gates, g.name)
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

// datagramsDropped returns how many datagrams the kernel has dropped since the socket's buffer was full.
func datagramsDropped(address string) string {
	host, port, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	number, _ := strconv.Atoi(port)
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], number)
	file, err := os.Open("/proc/net/udp")
	if err != nil {
		return "unknown"
	}
	defer file.Close()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		fields := strings.Fields(scanner.Text())
		if len(fields) > 12 && fields[1] == local {
			return fields[len(fields)-1] + ", queue " + fields[4]
		}
	}
	return "unknown"
}

// playVersion suspends the gate that reads the list of servers for all. An engine of another software version joins
// meanwhile, begins streams at other gates, and leaves.
func playVersion(l *lab) (string, error) {
	const (
		loom      = 18
		budget    = 5 * time.Second
		patience  = 2400 * time.Millisecond // four times the objective of 600 ms
		suspended = 4800 * time.Millisecond
		joins     = 3200 * time.Millisecond // after the gate was suspended
		listed    = 700 * time.Millisecond
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
	for n := range loom + 1 {
		address, err := freeAddress(fmt.Sprintf("127.0.2.%d", n+1))
		if err != nil {
			return "", err
		}
		e, err := startEngine(engineSettings{address: address, id: fmt.Sprintf("i-loom%d", n+1), model: "m0", version: 1, events: 40, interval: 100 * time.Millisecond})
		if err != nil {
			return "", err
		}
		engines = append(engines, e)
	}
	entry := func(n int, version string, cold int) map[string]any {
		document := engines[n].entry("loom")
		document["zone"], document["version"], document["coldLeftMs"] = zones[n%len(zones)], version, cold
		return document
	}
	for n, e := range engines[:loom] {
		go func() { _ = e.serve() }()
		l.store.put("servers/"+e.id, entry(n, "v1", 0))
	}
	other := &http.Server{Handler: engines[loom]}
	go func() { _ = other.Serve(engines[loom].listener) }()
	if err := l.startGates(gates...); err != nil {
		return "", err
	}
	_, port, _ := net.SplitHostPort(gates[0].beats)
	for n, e := range engines {
		if _, err := l.startKeeperIn(zones[n%len(zones)], "keeper-"+e.id, fmt.Sprintf("127.0.2.%d", n+1), e.address, port); err != nil {
			return "", err
		}
	}
	time.Sleep(16 * time.Second)
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
	var mu sync.Mutex
	var streams []*versionedStream
	var group sync.WaitGroup
	stop := make(chan struct{})
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			s := &versionedStream{}
			mu.Lock()
			streams = append(streams, s)
			mu.Unlock()
			first := rest[n%3]
			others := []*gate{reader, rest[(n+1)%3], rest[(n+2)%3]} // a retry reaches another gate
			group.Go(func() { s.play([]*gate{first, others[n/3%3]}, fmt.Sprintf("%x", 4096+n), budget, patience) })
		}
	})
	time.Sleep(2 * time.Second)
	for read := l.store.readers()[reader.name]; l.store.readers()[reader.name] == read; {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	if l.trouble {
		reader.signal(syscall.SIGSTOP)
		l.note("%s is suspended", reader.name)
	}
	at(time.Second)
	l.store.put("servers/"+engines[0].id, entry(0, "v1", 400))
	l.note("engine %s writes its entry, with another coldLeftMs", engines[0].id)
	at(joins)
	l.note("datagrams to %s that were dropped: %s", reader.name, datagramsDropped(reader.beats))
	l.store.put("servers/"+engines[loom].id, entry(loom, "v2", 0))
	l.note("engine %s of software version v2 joins", engines[loom].id)
	at(joins + listed)
	l.store.remove("servers/" + engines[loom].id)
	l.note("%s leaves: its entry is removed", engines[loom].id)
	at(suspended)
	if l.trouble {
		reader.signal(syscall.SIGCONT)
		l.note("%s goes on; datagrams dropped: %s", reader.name, datagramsDropped(reader.beats))
	}
	at(joins + listed + linger)
	_ = other.Close()
	l.note("%s exits", engines[loom].id)
	time.Sleep(500 * time.Millisecond)
	close(stop)
	group.Wait()
	mixed, begun, whole := 0, 0, 0
	for _, s := range streams {
		v2, v1 := false, false
		for _, e := range s.engines {
			v2, v1 = v2 || e == engines[loom].id, v1 || e != engines[loom].id
		}
		if v2 {
			begun++
			l.note("stream %s: gates %v, statuses %v, %d events, engines %v", s.first, s.gates, s.statuses, s.events, s.engines)
		}
		if v2 && v1 {
			mixed++
		}
		if s.events == 40 {
			whole++
		}
	}
	for _, g := range gates {
		for i, line := range l.logLines(g.name, "stream resumed") {
			if i < 3 {
				l.note("%s: %s", g.name, line)
			}
		}
	}
	l.note("%d streams, %d with all events; %d have events of v2, %d of them also events of v1", len(streams), whole, begun, mixed)
	const allowed = 2
	if mixed > allowed {
		return fmt.Sprintf("ORDER: %d streams hold events from engines of two software versions", mixed), nil
	}
	return "", nil
}
