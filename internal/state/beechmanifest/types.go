package beechmanifest

import "time"

type (
	// Manifest is the operators' configuration, which their pipeline generates.
	Manifest struct {
		Deployment string      `json:"deployment"`
		Targets    Targets     `json:"targets"`
		Models     []Model     `json:"models"`
		Priorities []string    `json:"priorities"` // highest priority first
		Workspaces []Workspace `json:"workspaces"`
		Pools      []Pool      `json:"pools"`
		Services   []Service   `json:"services"`
	}

	// Targets are the service levels that the burn report compares measurements
	// with. WasteWeight weighs recomputed prefill time against time to first token.
	Targets struct {
		FirstToken  Duration `json:"firstToken"`
		Share       float64  `json:"share"` // of the requests that must meet FirstToken, such as 0.95
		WasteWeight float64  `json:"wasteWeight"`
		MaxLoads    int      `json:"maxLoads"` // engines that may load weights at the same time
	}

	// Model is a model with one version of its weights.
	Model struct {
		Name     string   `json:"name"`
		Weights  string   `json:"weights"`
		Adapters []string `json:"adapters,omitempty"`
	}

	// Workspace is a tenant. Keys are the hexadecimal SHA-256 sums of its bearer keys.
	Workspace struct {
		Name             string   `json:"name"`
		Keys             []string `json:"keys"`
		Priority         string   `json:"priority"`
		Weight           int      `json:"weight"`
		RequestsPerMin   int      `json:"requestsPerMinute"`
		TokensPerMin     int      `json:"tokensPerMinute"`
		MaxConcurrent    int      `json:"maxConcurrent"`
		Models           []string `json:"models,omitempty"` // empty: all models
		Services         []string `json:"services,omitempty"`
		MaxBodyBytes     int      `json:"maxBodyBytes,omitempty"`
		DefaultMaxTokens int      `json:"defaultMaxTokens,omitempty"`
	}

	// Pool is a group of backend servers of the same kind, KindEngine or KindService.
	// The settings of each agent name its pool. Fenced means that the servers refuse
	// orders with an outdated fencing number.
	Pool struct {
		Name    string   `json:"name"`
		Kind    string   `json:"kind"`
		Fenced  bool     `json:"fenced"`
		Models  []string `json:"models,omitempty"`
		Service string   `json:"service,omitempty"`
		Slots   int      `json:"slots"`
	}

	// Service is a plain service, that is, one other than an engine. Calls that match
	// Once are not idempotent and may not be repeated.
	Service struct {
		Name string     `json:"name"`
		Once []OnceRule `json:"once,omitempty"`
	}

	// OnceRule matches calls by method and path prefix. An empty method matches all
	// methods.
	OnceRule struct {
		Method string `json:"method"`
		Path   string `json:"path"`
	}

	// Duration is a time.Duration that JSON represents as text, such as "1.3s".
	Duration time.Duration
)

// Values of Pool.Kind.
const (
	KindEngine  = "engine"
	KindService = "service"
)
