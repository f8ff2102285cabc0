//go:build review

package main

import (
	"os"
	"time"
)

func init() { cases["rush"] = playRush }

// playRush is no case of the review. Many clients come to a gate with one core, six times, each time for two seconds.
// FORM is one of the crowd's, BODY the size of the largest body.
func playRush(l *lab) (string, error) {
	scan := route{name: "r-scan", host: "desk.example", prefix: "/scan/", kind: "non_idempotent", service: "counter", timeoutMs: 3000, sloMs: 600, attempts: 1, priority: 2}
	l.store.put("op/config", configuration(7, []route{scan}, tenant{name: "desk", keys: []string{"key-desk"}}))
	address, err := freeAddress("127.0.2.1")
	if err != nil {
		return "", err
	}
	e, err := startEngine(engineSettings{address: address, id: "i-counter1"})
	if err != nil {
		return "", err
	}
	go func() { _ = e.serve() }()
	l.store.put("servers/"+e.id, e.entry("counter"))
	g, err := l.newGate(1)
	if err != nil {
		return "", err
	}
	g.oneCore = true
	if err := l.startGates(g); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	for range 6 {
		p, err := l.launch("crowd", nil, l.self, "crowd", "-target", g.front, "-form", os.Getenv("FORM"), "-clients", "3800", "-body-bytes", os.Getenv("BODY"),
			"-for", "2s", "-path", "/scan/x", "-host", "desk.example", "-key", "key-desk")
		if err != nil {
			return "", err
		}
		var most usage
		for p.isRunning() {
			if u := memoryOf([]*gate{g})[0]; u.total() > most.total() {
				most = u
			}
			time.Sleep(30 * time.Millisecond)
		}
		l.note("MAX %s %s: %d MB (resident %d)", os.Getenv("FORM"), os.Getenv("BODY"), most.total()>>20, most.resident>>20)
		time.Sleep(time.Second)
	}
	return "", nil
}
