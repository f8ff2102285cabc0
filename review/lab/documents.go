//go:build review

package main

type (
	route struct {
		name, host, prefix, kind, service string
		timeoutMs, sloMs, gapMs           int
		attempts, priority                int
		sticky, resumable, public         bool
	}

	tenant struct {
		name     string
		keys     []string
		isolated bool
	}
)

// configuration returns a configuration of the operator, with an engine service loom and a plain
// service counter.
func configuration(version int, routes []route, tenants ...tenant) map[string]any {
	routeList, tenantList := []map[string]any{}, []map[string]any{}
	for _, r := range routes {
		document := map[string]any{
			"name": r.name, "host": r.host, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMs, "sloMs": r.sloMs, "priority": r.priority,
			"service": r.service, "maxAttempts": r.attempts, "public": r.public, "sticky": r.sticky,
		}
		if r.kind == "streaming" {
			document["resumable"], document["gapTargetMs"] = r.resumable, r.gapMs
		}
		routeList = append(routeList, document)
	}
	for _, t := range tenants {
		tenantList = append(tenantList, map[string]any{"name": t.name, "apiKeys": t.keys, "priority": 1, "isolated": t.isolated})
	}
	return map[string]any{
		"version": version, "routes": routeList, "tenants": tenantList,
		"services": []map[string]any{
			{"name": "loom", "healthPath": "/health", "maxConns": 300, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 48, "kvCapacity": 103802, "tokenKvBytes": 131072, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 5,
				"maxInFlight": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m0"}},
			}},
			{"name": "counter", "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
