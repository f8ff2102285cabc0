package beechhome

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

type (
	// Document is a document in the store.
	Document = map[string]any

	// CallerRequest is a caller's request.
	CallerRequest struct {
		ID      string
		Key     string
		Host    string
		URL     string
		Left    time.Duration // until the caller leaves
		Body    string
		Model   string // none for a plain service
		Prompt  int    // tokens
		Output  int    // most events of the answer
		Parts   string // ID:TOKENS, with commas between
		Headers map[string]string
	}
)

// Keys of what operators write.
const (
	ConfigurationKey = "op/config"
	serverPrefix     = "servers/"
	versionPrefix    = "op/version/"
	advertisedSlots  = 8
	// ReadyPath is asked whether a gate wants new connections.
	ReadyPath = "/beechring/ready"
	// RangePath is where whole reads come in.
	RangePath = "/beechring/kv-range"
	// WatchPath is where watches come in.
	WatchPath = "/beechring/kv-watch"
)

// SetWeightsVersion names a version of a model's weights, as operators do.
func (s *Store) SetWeightsVersion(model string, version int) {
	s.Put(versionPrefix+model, Document{"model": model, "version": version})
}

// PutServer writes a server's entry, as the server itself does.
func (s *Store) PutServer(e *Engine, service, address, zone, state string) {
	models := []Document{}
	if e.settings.Model != "" {
		models = append(models, Document{"name": e.settings.Model, "version": e.Version(), "adapters": []string{}})
	}
	s.Put(serverPrefix+e.settings.ID, Document{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": advertisedSlots,
		"state": state, "coldLeftMs": 0, "models": models, "sequence": 1,
	})
}

// RemoveServer takes a server's entry away.
func (s *Store) RemoveServer(id string) { s.Remove(serverPrefix + id) }

// Configuration is what operators write: a resumable stream under /pick/, one
// that is not under /card/, calls that run once under /label/ and others under
// /check/; keys of two workspaces, the second isolated.
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
			{"name": engines, "healthPath": "/health", "maxConns": 100, "engine": Document{"slots": advertisedSlots, "kvCapacity": 100000, "tokenKvBytes": 131072, "models": []Document{{"name": model}}}},
			{"name": plain, "healthPath": "/health", "maxConns": 100},
		},
		"limits": Document{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []Document{
			{"name": "mill", "apiKeys": []string{key}, "priority": 1},
			{"name": "barn", "apiKeys": []string{isolated}, "priority": 1, "isolated": true},
		},
	}
}

// NewRequest makes the request that a caller sends.
func (a CallerRequest) NewRequest() (*http.Request, error) {
	method := http.MethodGet
	var body io.Reader
	if a.Body != "" {
		method, body = http.MethodPost, strings.NewReader(a.Body)
	}
	r, err := http.NewRequest(method, a.URL, body)
	if err != nil {
		return nil, err
	}
	r.Host = a.Host
	r.Header.Set(headerAttemptID, a.ID)
	r.Header.Set("Beechring-Key", a.Key)
	r.Header.Set("Beechring-Deadline-Remaining", fmt.Sprint(a.Left.Milliseconds()))
	if a.Model != "" {
		r.Header.Set("Beechring-Model", a.Model)
		r.Header.Set(headerTokenUsage, fmt.Sprintf("%d,%d", a.Prompt, a.Output))
		r.Header.Set("Beechring-Prompt-Prefix", a.Parts)
	}
	for name, value := range a.Headers {
		r.Header.Set(name, value)
	}
	return r, nil
}
