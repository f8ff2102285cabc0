package beechengine

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

var (
	errOldFence = errors.New("order carries an older fencing number")
	errNoModel  = errors.New("model is not loaded")
)

type (
	// Order is the body of POST /orders. Models are named model@weights. An
	// adapter is named model@weights:adapter.
	Order struct {
		Fence   uint64 `json:"fence"`
		Load    string `json:"load,omitempty"`
		Unload  string `json:"unload,omitempty"`
		Adapter string `json:"adapter,omitempty"`
		Role    string `json:"role,omitempty"`
	}

	// holdings is what the engine has loaded.
	holdings struct {
		mu       sync.Mutex
		clock    clockwork.Clock
		loadTime time.Duration
		check    bool
		fence    uint64
		models   []string
		adapters []string
		loading  []string
		role     string
	}
)

func newHoldings(s Settings, clock clockwork.Clock) *holdings {
	return &holdings{clock: clock, loadTime: s.LoadTime, check: s.CheckFence, models: slices.Clone(s.Models)}
}

// apply begins an order. Loads go on by themselves; the report shows them.
func (h *holdings) apply(o Order) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.check {
		if o.Fence < h.fence {
			return fmt.Errorf("%w: %d after %d", errOldFence, o.Fence, h.fence)
		}
		h.fence = o.Fence
	}
	if o.Unload != "" {
		h.models = remove(h.models, o.Unload)
		h.loading = remove(h.loading, o.Unload)
	}
	if o.Role != "" {
		h.role = o.Role
	}
	if o.Load != "" && !slices.Contains(h.models, o.Load) {
		h.load(o.Load, &h.models)
	}
	if o.Adapter != "" && !slices.Contains(h.adapters, o.Adapter) {
		h.load(o.Adapter, &h.adapters)
	}
	return nil
}

func (h *holdings) load(name string, into *[]string) {
	if slices.Contains(h.loading, name) {
		return
	}
	if h.loadTime <= 0 {
		*into = append(*into, name)
		return
	}
	h.loading = append(h.loading, name)
	h.clock.AfterFunc(h.loadTime, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if !slices.Contains(h.loading, name) {
			return
		}
		h.loading = remove(h.loading, name)
		*into = append(*into, name)
	})
}

// serve resolves a request's model, which names its weights or leaves them to
// the engine, which then takes the weights loaded last.
func (h *holdings) serve(model string) (string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range slices.Backward(h.models) {
		if m == model || baseName(m) == model {
			return m, nil
		}
	}
	return "", fmt.Errorf("%w: %q", errNoModel, model)
}

func (h *holdings) describe(r *LoadReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Models = slices.Clone(h.models)
	r.Adapters = slices.Clone(h.adapters)
	r.Loading = slices.Clone(h.loading)
	r.Role = h.role
	r.FencingNumber = h.fence
}

func remove(names []string, name string) []string {
	return slices.DeleteFunc(names, func(n string) bool { return n == name })
}

// baseName is a model's name without its weights version.
func baseName(model string) string {
	base, _, _ := strings.Cut(model, "@")
	return base
}
