//go:build review

package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Engine stands in for an engine of a service, with or without models.
type Engine struct {
	ID      string
	Service string
	Zone    string
	IP      string
	Models  []string      // empty: a plain service
	Slots   int           // requests at once; a queue of three times as many lies before them
	Load    time.Duration // of new weights
	// CheckFence has the engine refuse orders with a lower fencing token than one already seen, as where
	// requireFence applies.
	CheckFence bool
	// Serve runs a request that was admitted, with its whole body.
	Serve func(w http.ResponseWriter, r *http.Request, body []byte)

	rig    *Rig
	server *http.Server

	mu       sync.Mutex
	weights  map[string]uint64
	busy     bool
	sequence uint64
	beats    uint64
	running  int
	waiting  int
	orders   []Order
	fence    uint64 // the highest seen
	stopped  bool
}

// Order is an order as it arrived.
type Order struct {
	Model    string  `json:"model"`
	Version  uint64  `json:"version"`
	Holder   string  `json:"holder"`
	Fence    uint64  `json:"fencingToken"`
	Expected *uint64 `json:"expected"`

	Answer int
	From   string
	At     time.Time
}

// HeartbeatInterval is heartbeatMs of the small sites.
const HeartbeatInterval = 1200 * time.Millisecond

// Start has the engine listen and register itself.
func (r *Rig) Start(e *Engine) error {
	l, err := net.Listen("tcp4", e.Address())
	if err != nil {
		return err
	}
	e.rig, e.weights = r, make(map[string]uint64)
	for _, m := range e.Models {
		e.weights[m] = 1
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	e.register()
	go func() {
		for range time.Tick(HeartbeatInterval) {
			e.mu.Lock()
			stopped := e.stopped
			e.mu.Unlock()
			if stopped {
				return
			}
			e.register()
		}
	}()
	return nil
}

// Address returns where the engine listens.
func (e *Engine) Address() string { return fmt.Sprint(e.IP, ":", EnginePort) }

// Entry returns the engine's entry in the store.
func (e *Engine) Entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beats++
	entry := map[string]any{
		"service": e.Service, "address": e.Address(), "zone": e.Zone, "version": "v1", "slots": e.Slots,
		"state": "ready", "coldLeftMs": 0, "sequence": e.beats,
	}
	if len(e.Models) > 0 {
		entry["stage"], entry["models"] = "colocated", e.models()
	}
	return entry
}

func (e *Engine) register() { e.rig.Store.Put("servers/"+e.ID, e.Entry()) }

func (e *Engine) models() []map[string]any {
	models := []map[string]any{}
	for _, m := range e.Models {
		models = append(models, map[string]any{"name": m, "version": e.weights[m], "adapters": []string{}})
	}
	return models
}

// Orders returns the orders that have arrived.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// Weights returns the version of a model's weights.
func (e *Engine) Weights(model string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights[model]
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/beechring/report":
		e.mu.Lock()
		report := map[string]any{
			"stage": "colocated", "models": e.models(), "busy": e.busy, "sequence": e.sequence, "waiting": e.waiting, "running": e.running,
			"kvUsed": 0, "kvTotal": 90000, "handles": 0,
		}
		e.mu.Unlock()
		writeJSON(w, report)
	case "/beechring/order":
		e.order(w, r)
	case "/beechring/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		writeJSON(w, map[string]any{"bootEpoch": 1, "next": 0, "lost": false, "events": []any{}})
	case "/beechring/kv-list":
		writeJSON(w, map[string]any{"bootEpoch": 1, "next": 0, "held": []any{}})
	case "/health":
		w.Header().Set("Beechring-Instance-Id", e.ID)
		w.Header().Set("Beechring-Server-Load", e.load())
	default:
		e.request(w, r)
	}
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	err := json.NewDecoder(r.Body).Decode(&o)
	e.mu.Lock()
	defer e.mu.Unlock()
	o.From, _, _ = net.SplitHostPort(r.RemoteAddr)
	o.At = time.Now()
	have, known := e.weights[o.Model]
	switch {
	case err != nil || o.Holder == "" || o.Fence == 0 || !known:
		o.Answer = http.StatusBadRequest
	case e.CheckFence && o.Fence < e.fence:
		o.Answer = http.StatusPreconditionFailed
	case have == o.Version:
		o.Answer = http.StatusOK
	case e.busy || o.Expected != nil && *o.Expected != e.sequence:
		o.Answer = http.StatusConflict
	default:
		o.Answer = http.StatusAccepted
		e.busy = true
		e.sequence++
		time.AfterFunc(e.Load, func() {
			e.mu.Lock()
			e.busy, e.weights[o.Model] = false, o.Version
			e.mu.Unlock()
			e.register()
		})
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	e.rig.Logf("engine %s: order for %s version %d, fencingToken %d, holder %s: answered %d", e.ID, o.Model, o.Version, o.Fence, o.Holder, o.Answer)
	w.WriteHeader(o.Answer)
}

func (e *Engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.Slots)
}

func (e *Engine) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Beechring-Attempt-Id")
	if id != "" {
		w.Header().Set("Beechring-Attempt-Id", id)
	}
	if want := r.Header.Get("Beechring-Expect-Instance"); want != "" && want != e.ID {
		w.Header().Set("Beechring-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	model := r.Header.Get("Beechring-Model")
	want := r.Header.Get("Beechring-Expect-Version")
	if want != "" && want != strconv.FormatUint(e.weights[model], 10) {
		w.Header().Set("Beechring-Weight-Versions", strconv.FormatUint(e.weights[model], 10))
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.busy && model != "" || id == "" || e.running >= e.Slots {
		e.mu.Unlock()
		w.Header().Set("Beechring-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	version := e.weights[model]
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	w.Header().Set("Beechring-Response-Seal", "seal."+id)
	w.Header().Set("Beechring-Server-Load", e.load())
	if model != "" {
		w.Header().Set("Beechring-Weight-Versions", strconv.FormatUint(version, 10))
	}
	e.Serve(w, r, body)
}

// Route returns a route of a configuration.
func Route(name, prefix, kind, service string, timeoutMs, sloMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "jepu9.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "sloMs": sloMs, "priority": 1,
		"service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": false, "gapTargetMs": 200,
	}
}

// Plain returns a service without models.
func Plain(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false}
}

// Pool returns a service of model engines.
func Pool(name string, models ...string) map[string]any {
	list := []map[string]any{}
	for _, m := range models {
		list = append(list, map[string]any{"name": m})
	}
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConns": 300, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 48, "kvCapacity": 103802, "tokenKvBytes": 131072, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 5,
			"maxInFlight": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": list,
		},
	}
}

// Key is the API key of the only tenant of Config.
const Key = "ctnfzs989anu6wsjnban"

// Config returns a configuration with the limits of the sites.
func Config(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "sese880", "apiKeys": []string{Key}, "priority": 1}},
	}
}
