//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["unframed"] = playUnframed }

// engineProcess is an engine that is a process of its own, and that may have several lifetimes at its address.
type engineProcess struct {
	*process
	lab      *lab
	name     string
	address  string
	lifetime int
	flags    []string
}

func (e *engineProcess) id() string { return fmt.Sprintf("i-%s-%d", e.name, e.lifetime) }

// start starts a new lifetime and registers it.
func (e *engineProcess) start() error {
	e.lifetime++
	p, err := e.lab.launch(e.name, nil, e.lab.self, append([]string{"engine", "--listen", e.address, "--id", e.id(), "--model", "m0"}, e.flags...)...)
	if err != nil {
		return err
	}
	e.process = p
	for end := time.Now().Add(3 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp4", e.address)
		if err == nil {
			_ = c.Close()
			break
		}
		if time.Now().After(end) {
			return err
		}
	}
	born := time.Now().UnixMilli()
	e.lab.store.put("servers/"+e.id(), (&engine{engineSettings: engineSettings{address: e.address, id: e.id(), model: "m0", version: 1}, born: born}).entry("loom"))
	e.lab.note("engine %s serves at %s", e.id(), e.address)
	return nil
}

// startModelFleet starts engines with their keepers, and gates.
func (l *lab) startModelFleet(engines, gates int, flags ...string) ([]*engineProcess, []*gate, error) {
	var fleet []*engineProcess
	for n := range engines {
		address, err := freeAddress(fmt.Sprintf("127.0.2.%d", n+1))
		if err != nil {
			return nil, nil, err
		}
		e := &engineProcess{lab: l, name: fmt.Sprintf("loom%d", n+1), address: address, flags: flags}
		if err := e.start(); err != nil {
			return nil, nil, err
		}
		fleet = append(fleet, e)
	}
	var doors []*gate
	for n := range gates {
		g, err := l.newGate(n + 1)
		if err != nil {
			return nil, nil, err
		}
		doors = append(doors, g)
	}
	if err := l.startGates(doors...); err != nil {
		return nil, nil, err
	}
	_, port, _ := net.SplitHostPort(doors[0].beats)
	for n, e := range fleet {
		if _, err := l.startKeeper("keeper-"+e.name, fmt.Sprintf("127.0.2.%d", n+1), e.address, port); err != nil {
			return nil, nil, err
		}
	}
	time.Sleep(3 * time.Second) // the keepers have reported
	return fleet, doors, nil
}

// playUnframed suspends a gate for less than two seconds. Meanwhile an engine crashes and is back at its address.
// The streams that it cut off between two events must not look complete.
func playUnframed(l *lab) (string, error) {
	const events, streams = 30, 64
	l.store.put("op/config", configuration(7, []route{{name: "r-note", host: "notes.example", prefix: "/note/", kind: "streaming", service: "loom", timeoutMs: 15000, sloMs: 400, attempts: 1, sticky: true, gapMs: 200}}, tenant{name: "members", keys: []string{"key-members"}}))
	l.store.put("op/version/m0", map[string]any{"model": "m0", "version": 1})
	engines, gates, err := l.startModelFleet(4, 4, "--events", fmt.Sprint(events), "--interval", "100ms", "--unframed")
	if err != nil {
		return "", err
	}
	replies := make([]reply, streams)
	var group sync.WaitGroup
	for n := range replies {
		group.Go(func() {
			replies[n] = send(request{
				gate: gates[0].front, method: http.MethodPost, host: "notes.example", path: "/note/write", key: "key-members", body: "note", timeLeft: 15 * time.Second, patience: 2 * time.Second,
				header: header("Beechring-Model", "m0", "Beechring-Token-Usage", "300,60", "Beechring-Prompt-Prefix", fmt.Sprintf("%x:200,%x:100", 64+n, 4096+n)),
			})
		})
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if l.trouble {
		crashing := engines[0]
		for _, e := range engines {
			if len(l.logLines(e.name, "runs")) > len(l.logLines(crashing.name, "runs")) {
				crashing = e
			}
		}
		gates[0].signal(syscall.SIGSTOP)
		l.note("%s is suspended", gates[0].name)
		time.Sleep(200 * time.Millisecond)
		before := crashing.id()
		crashing.signal(syscall.SIGKILL)
		<-crashing.ended
		l.note("engine %s has crashed, amid %d streams", before, len(l.logLines(crashing.name, "runs")))
		time.Sleep(time.Second)
		if err := crashing.start(); err != nil {
			return "", err
		}
		time.Sleep(500 * time.Millisecond)
		gates[0].signal(syscall.SIGCONT)
		l.note("%s goes on", gates[0].name)
	}
	group.Wait()
	short, served := 0, 0
	for _, r := range replies {
		got := strings.Count(r.body, "\n\n")
		l.note("request %s: status %d, %d of %d events, came to its end: %v, error %v", r.id, r.status, got, events, r.whole, r.err)
		if !r.whole || r.status != http.StatusOK {
			continue
		}
		served++
		if got < events {
			short++
		}
	}
	for _, e := range engines {
		for _, line := range l.logLines(e.name, " ") {
			l.note("%s", line)
		}
	}
	if !l.trouble && served < streams {
		return "", fmt.Errorf("%d of %d streams were not served in calm", streams-served, streams)
	}
	if short > 0 {
		return fmt.Sprintf("ORDER, MIXED: %d of %d streams ended as complete before their last event", short, streams), nil
	}
	return "", nil
}
