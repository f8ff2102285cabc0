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
	// Order is the body of POST /orders. Models are given as model@weights,
	// adapters as model@weights:adapter.
	Order struct {
		Fence   uint64 `json:"fence"`
		Load    string `json:"load,omitempty"`
		Unload  string `json:"unload,omitempty"`
		Adapter string `json:"adapter,omitempty"`
		Role    string `json:"role,omitempty"`
	}

	// modelSet tracks the models and adapters that are loaded or loading, the
	// engine's role and the highest accepted fencing number.
	modelSet struct {
		mu         sync.Mutex
		clock      clockwork.Clock
		loadTime   time.Duration
		checkFence bool
		fence      uint64
		models     []string
		adapters   []string
		loading    []string
		role       string
	}
)

func newModelSet(s Settings, clock clockwork.Clock) *modelSet {
	return &modelSet{clock: clock, loadTime: s.LoadTime, checkFence: s.CheckFence, models: slices.Clone(s.Models)}
}

// apply executes an order. Loading continues in the background and shows in the
// load report.
func (s *modelSet) apply(o Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checkFence {
		if o.Fence < s.fence {
			return fmt.Errorf("%w: %d after %d", errOldFence, o.Fence, s.fence)
		}
		s.fence = o.Fence
	}
	if o.Unload != "" {
		s.models = remove(s.models, o.Unload)
		s.loading = remove(s.loading, o.Unload)
	}
	if o.Role != "" {
		s.role = o.Role
	}
	if o.Load != "" && !slices.Contains(s.models, o.Load) {
		s.load(o.Load, &s.models)
	}
	if o.Adapter != "" && !slices.Contains(s.adapters, o.Adapter) {
		s.load(o.Adapter, &s.adapters)
	}
	return nil
}

func (s *modelSet) load(name string, into *[]string) {
	if slices.Contains(s.loading, name) {
		return
	}
	if s.loadTime <= 0 {
		*into = append(*into, name)
		return
	}
	s.loading = append(s.loading, name)
	s.clock.AfterFunc(s.loadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !slices.Contains(s.loading, name) {
			return
		}
		s.loading = remove(s.loading, name)
		*into = append(*into, name)
	})
}

// resolve returns the model@weights that serve a request. A model without
// weights selects the weights loaded last.
func (s *modelSet) resolve(model string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range slices.Backward(s.models) {
		if m == model || baseName(m) == model {
			return m, nil
		}
	}
	return "", fmt.Errorf("%w: %q", errNoModel, model)
}

func (s *modelSet) describe(r *LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Models = slices.Clone(s.models)
	r.Adapters = slices.Clone(s.adapters)
	r.Loading = slices.Clone(s.loading)
	r.Role = s.role
	r.FencingNumber = s.fence
}

func remove(names []string, name string) []string {
	return slices.DeleteFunc(names, func(n string) bool { return n == name })
}

// baseName returns the name of a model without its weights version.
func baseName(model string) string {
	base, _, _ := strings.Cut(model, "@")
	return base
}
