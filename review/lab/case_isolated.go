//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["isolated"] = playIsolated }

// cachedParts is an engine's KV cache: which tenant's request made a part, by salt and part.
type cachedParts struct {
	mu     sync.Mutex
	makers map[string]string
	uses   []string
}

// observe records a request's parts, and which of them it finds.
func (c *cachedParts) observe(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tenant, salt, found := r.Header.Get("Beechring-Tenant"), r.Header.Get("Beechring-Cache-Salt"), true
	for _, field := range strings.Split(r.Header.Get("Beechring-Prompt-Prefix"), ",") {
		part, _, _ := strings.Cut(field, ":")
		key := salt + " " + part
		maker, ok := c.makers[key]
		if found = found && ok; found { // a part is found if all before it are
			c.uses = append(c.uses, fmt.Sprintf("%s uses part %s, salt %q, made by a request of %s", tenant, part, salt, maker))
			continue
		}
		c.makers[key] = tenant
	}
}

func (c *cachedParts) takeUses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	uses := c.uses
	c.uses = nil
	return uses
}

// playIsolated makes a tenant isolated by a new version of the configuration.
func playIsolated(l *lab) (string, error) {
	routes := []route{{name: "r-pick", host: "picks.example", prefix: "/pick/", kind: "streaming", service: "loom", timeoutMs: 5000, sloMs: 600, attempts: 2, sticky: true, resumable: true, gapMs: 200}}
	put := func(version int, isolated bool) {
		l.store.put("op/config", configuration(version, routes, tenant{name: "clinic", keys: []string{"key-clinic"}, isolated: isolated}, tenant{name: "mill", keys: []string{"key-mill"}}))
		l.note("configuration %d is confirmed, clinic isolated: %v", version, isolated)
	}
	put(7, false)
	l.store.put("op/version/m0", map[string]any{"model": "m0", "version": 1})
	address, err := freeAddress("127.0.2.1")
	if err != nil {
		return "", err
	}
	e, err := startEngine(engineSettings{address: address, id: "i-loom1", model: "m0", version: 1, events: 4, interval: 10 * time.Millisecond})
	if err != nil {
		return "", err
	}
	cache := &cachedParts{makers: make(map[string]string)}
	e.hook = func(_ http.ResponseWriter, r *http.Request) bool {
		cache.observe(r)
		return false
	}
	go func() { _ = e.serve() }()
	l.store.put("servers/"+e.id, e.entry("loom"))
	g, err := l.newGate(1)
	if err != nil {
		return "", err
	}
	if err := l.startGates(g); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	ask := func(tenant, own string) error {
		r := send(request{
			gate: g.front, method: http.MethodPost, host: "picks.example", path: "/pick/ask", key: "key-" + tenant, body: "pick", timeLeft: 5 * time.Second,
			header: header("Beechring-Model", "m0", "Beechring-Token-Usage", "3000,10", "Beechring-Prompt-Prefix", "5c1e07a2:2500,"+own+":500"),
		})
		l.note("request %s of %s: status %d, whole %v, %v", r.id, tenant, r.status, r.whole, r.err)
		if r.status != http.StatusOK {
			return fmt.Errorf("request of %s was not served", tenant)
		}
		return nil
	}
	// A request of the clinic brings its history into the engine's cache.
	if err := ask("clinic", "a1"); err != nil {
		return "", err
	}
	put(8, l.trouble)
	time.Sleep(5 * time.Second) // applyMs is 2 s
	cache.takeUses()
	if err := ask("mill", "b1"); err != nil {
		return "", err
	}
	var foreign []string
	for _, use := range cache.takeUses() {
		l.note("engine: %s", use)
		if strings.HasSuffix(use, "of clinic") {
			foreign = append(foreign, use)
		}
	}
	if l.trouble && len(foreign) > 0 {
		return "WALL: clinic is isolated, and " + foreign[0], nil
	}
	return "", nil
}
