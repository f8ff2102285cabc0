//go:build review

package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

func init() { cases["gone"] = playGone }

// leavingEngine is an engine that leaves while the script runs.
type leavingEngine struct {
	*engine
	server *http.Server

	mu       sync.Mutex
	arrivals []string // IDs of requests
}

// playGone has the store turn away the two gates that read it for the others, three times. Each time an engine leaves
// meanwhile: its entry is removed, and it serves for some seconds more and exits.
func playGone(l *lab) (string, error) {
	const (
		drain   = 2 * time.Second         // drainMs
		linger  = 3300 * time.Millisecond // for which an engine serves after its entry was removed
		away    = 9 * time.Second         // for which the gates are turned away
		removed = 7300 * time.Millisecond
		rounds  = 3
		work    = 200 * time.Millisecond
	)
	l.store.put("op/config", configuration(7, []route{{name: "r-label", host: "desk.example", prefix: "/label/", kind: "non_idempotent", service: "counter", timeoutMs: 2000, sloMs: 300, attempts: 1, priority: 2}}, tenant{name: "desk", keys: []string{"key-desk"}}))
	var engines []*leavingEngine
	for n := range 6 {
		address, err := freeAddress(fmt.Sprintf("127.0.2.%d", n+1))
		if err != nil {
			return "", err
		}
		started, err := startEngine(engineSettings{address: address, id: fmt.Sprintf("i-counter%d", n+1)})
		if err != nil {
			return "", err
		}
		e := &leavingEngine{engine: started, server: &http.Server{Handler: started}}
		e.hook = func(_ http.ResponseWriter, r *http.Request) bool {
			e.mu.Lock()
			e.arrivals = append(e.arrivals, r.Header.Get("Beechring-Attempt-Id"))
			e.mu.Unlock()
			time.Sleep(work)
			return false
		}
		go func() { _ = e.server.Serve(e.listener) }()
		engines = append(engines, e)
		l.store.put("servers/"+e.id, e.entry("counter"))
	}
	var gates []*gate
	for n := range 6 {
		g, err := l.newGate(n + 1)
		if err != nil {
			return "", err
		}
		if g.store, err = l.store.open(g.name); err != nil {
			return "", err
		}
		gates = append(gates, g)
	}
	if err := l.startGates(gates...); err != nil {
		return "", err
	}
	time.Sleep(9 * time.Second)
	before := l.store.watchers()
	l.store.put("servers/note", map[string]any{"note": "no engine"}) // whoever watches asks again
	time.Sleep(1500 * time.Millisecond)
	after := l.store.watchers()
	var names []string
	for _, g := range gates {
		names = append(names, g.name)
	}
	sort.Slice(names, func(i, j int) bool { return after[names[i]]-before[names[i]] > after[names[j]]-before[names[j]] })
	readers := names[:2]
	l.note("watches of servers by gate: %v, after a change %v; %v read for all", before, after, readers)
	var sound []*gate
	for _, g := range gates {
		if g.name != readers[0] && g.name != readers[1] {
			sound = append(sound, g)
		}
	}
	type record struct {
		at   time.Time
		gate string
		reply
	}
	var mu sync.Mutex
	sent := make(map[string]record)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, g := range sound {
		for range 4 {
			group.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(40 * time.Millisecond):
					}
					at := time.Now()
					r := send(request{gate: g.front, method: http.MethodPost, host: "desk.example", path: "/label/print", key: "key-desk", body: "label", timeLeft: 3 * time.Second})
					mu.Lock()
					sent[r.id] = record{at, g.name, r}
					mu.Unlock()
				}
			})
		}
	}
	gone := make(map[*leavingEngine]time.Time)
	for round := range rounds {
		e := engines[round]
		if l.trouble {
			l.store.turnAway(readers...)
			l.note("the store turns %v away and serves all others", readers)
		}
		time.Sleep(removed)
		l.store.remove("servers/" + e.id)
		gone[e] = time.Now()
		l.note("%s is gone from the store's list: confirmed; it serves for %v more", e.id, linger)
		time.Sleep(away - removed)
		l.store.turnAway()
		l.note("the store serves all")
		time.Sleep(linger - (away - removed))
		_ = e.server.Close()
		l.note("%s exits", e.id)
		time.Sleep(4 * time.Second)
	}
	close(stop)
	group.Wait()
	late, lost := 0, 0
	for e, at := range gone {
		for _, id := range e.arrivals {
			r, ok := sent[id]
			if since := r.at.Sub(at); ok && since > drain {
				late++
				if r.status != http.StatusOK {
					lost++
				}
				l.note("%s, sent to %s %v after %s was gone, reaches it: answered %d, %v", id, r.gate, since.Round(time.Millisecond), e.id, r.status, r.err)
			}
		}
	}
	statuses := make(map[int]int)
	for _, r := range sent {
		statuses[r.status]++
	}
	l.note("%d requests were sent to gates that the store has served all the while, by status %v; %d reached an engine later than drainMs after it was confirmed as gone, %d of them had no good answer", len(sent), statuses, late, lost)
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests, sent on by gates in touch, reached engines later than drainMs after these were confirmed as gone; %d were lost with them", late, lost), nil
	}
	return "", nil
}
