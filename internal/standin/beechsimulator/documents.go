package beechsimulator

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

type (
	// Document is a JSON document in the store.
	Document = map[string]any

	// CallerRequest describes a caller's request. Parts are the parts of its prompt
	// as ID:TOKENS, separated by commas.
	CallerRequest struct {
		ID      string
		Key     string
		Host    string
		URL     string
		Left    time.Duration // until the caller's deadline
		Body    string
		Model   string // empty for a service without a model
		Prompt  int    // tokens
		Output  int    // maximum of output events
		Parts   string
		Headers map[string]string
	}
)

const (
	// ConfigurationKey is the key of the operators' configuration.
	ConfigurationKey = "op/config"
	serverPrefix     = "servers/"
	versionPrefix    = "op/version/"
	advertisedSlots  = 8
	// ReadyPath is the path of a gate's readiness probe.
	ReadyPath = "/beechring/ready"
	// RangePath is the path of range reads.
	RangePath = "/beechring/kv-range"
	// WatchPath is the path of watches.
	WatchPath = "/beechring/kv-watch"
)

// SetWeightsVersion writes the version of a model's weights, as operators do.
func (s *Store) SetWeightsVersion(model string, version int) {
	s.Put(versionPrefix+model, Document{"model": model, "version": version})
}

// PutServer writes the entry of an engine or server, as it does itself.
func (s *Store) PutServer(e *Engine, service, address, zone, state string) {
	e.mu.Lock()
	id := e.settings.ID
	e.mu.Unlock()
	s.PutSuccessor(e, id, service, address, zone, state)
}

// PutSuccessor writes the entry of an engine or server under the ID that it will have.
func (s *Store) PutSuccessor(e *Engine, id, service, address, zone, state string) {
	e.mu.Lock()
	models := e.modelDocuments()
	e.mu.Unlock()
	entry := Document{
		"service": service, "address": address, "zone": zone, "version": e.Software(), "slots": advertisedSlots,
		"state": state, "coldLeftMs": 0, "models": models, "sequence": 1,
	}
	if born := e.Born(); born > 0 {
		entry["born"] = born
	}
	s.Put(serverPrefix+id, entry)
}

// RemoveServer deletes a server's entry.
func (s *Store) RemoveServer(id string) { s.Remove(serverPrefix + id) }

// Configuration returns an operators' configuration with four routes: /pick/ for
// resumable streams, /card/ for streams that are not resumable, /label/ for requests
// that are not idempotent and /check/ for safe ones. It has one key for each of two
// workspaces, the second isolated.
func Configuration(version int, host, model, engines, plain, key, isolated string) Document {
	route := func(name, kind, service string, timeout, objective, attempts, priority int) Document {
		return Document{
			"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": timeout, "sloMs": objective, "priority": priority,
			"service": service, "maxAttempts": attempts, "public": false, "sticky": service == engines, "resumable": name == "pick", "gapTargetMs": 200,
		}
	}
	return Document{
		"version": version,
		"routes": []Document{
			route("pick", "streaming", engines, 5000, 600, 2, 1),
			route("card", "streaming", engines, 5000, 600, 1, 0),
			route("label", "non_idempotent", plain, 1000, 100, 1, 2),
			route("check", "safe", plain, 1000, 100, 2, 2),
		},
		"services": []Document{
			{"name": engines, "healthPath": healthPath, "maxConns": 100, "engine": Document{"slots": advertisedSlots, "kvCapacity": 100000, "tokenKvBytes": 131072, "linkMbps": 100000, "moves": true, "models": []Document{{"name": model}}}},
			{"name": plain, "healthPath": healthPath, "maxConns": 100},
		},
		"limits": Document{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []Document{
			{"name": "mill", "apiKeys": []string{key}, "priority": 1},
			{"name": "barn", "apiKeys": []string{isolated}, "priority": 1, "isolated": true},
		},
	}
}

// NewRequest returns the HTTP request that the caller sends.
func (c CallerRequest) NewRequest() (*http.Request, error) {
	method := http.MethodGet
	var body io.Reader
	if c.Body != "" {
		method, body = http.MethodPost, strings.NewReader(c.Body)
	}
	r, err := http.NewRequest(method, c.URL, body)
	if err != nil {
		return nil, err
	}
	r.Host = c.Host
	r.Header.Set(headerAttemptID, c.ID)
	r.Header.Set("Beechring-Key", c.Key)
	r.Header.Set("Beechring-Deadline-Remaining", fmt.Sprint(c.Left.Milliseconds()))
	if c.Model != "" {
		r.Header.Set("Beechring-Model", c.Model)
		r.Header.Set(headerTokenUsage, fmt.Sprintf("%d,%d", c.Prompt, c.Output))
		r.Header.Set("Beechring-Prompt-Prefix", c.Parts)
	}
	for name, value := range c.Headers {
		r.Header.Set(name, value)
	}
	return r, nil
}
