package beechmanifest

import (
	"crypto/sha256"
	"fmt"
	"sync"
	"sync/atomic"
)

type (
	// Holder is the configuration that a process has in force. The generation
	// only grows. All methods may be called at once.
	Holder struct {
		active atomic.Pointer[active]

		mu      sync.Mutex
		changed chan struct{}
	}

	active struct {
		configuration *Configuration
		data          []byte
		sum           [sha256.Size]byte
	}
)

// NewHolder starts without a configuration.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{})}
}

// Current gives the configuration in force, nil before the first.
func (h *Holder) Current() *Configuration {
	if v := h.active.Load(); v != nil {
		return v.configuration
	}
	return nil
}

// Generation gives the generation in force, 0 before the first.
func (h *Holder) Generation() uint64 {
	if c := h.Current(); c != nil {
		return c.Generation
	}
	return 0
}

// Encoded gives the generation in force and its manifest as a peer's Offer
// takes it; nil before the first.
func (h *Holder) Encoded() (uint64, []byte) {
	if v := h.active.Load(); v != nil {
		return v.configuration.Generation, v.data
	}
	return 0, nil
}

// Changed gives a channel that closes with the next change. Ask for it before
// Current, or a change between the two is missed.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Offer puts a manifest in force if its generation is newer, and tells
// whether it did. An older one is passed over without an error. A manifest
// that cannot be read is refused, as is another one under the generation in
// force; what is in force then stays. Data must have been through Parse, as
// all that Publish accepts has, and is not to be changed afterwards.
func (h *Holder) Offer(generation uint64, data []byte) (bool, error) {
	sum := sha256.Sum256(data)
	if now := h.active.Load(); now != nil && generation <= now.configuration.Generation {
		return false, now.checkSameContent(generation, sum)
	}
	m, err := decode(data)
	if err != nil {
		return false, fmt.Errorf("offer of generation %d: %w", generation, err)
	}
	next := &active{configuration: Compile(m, generation), data: data, sum: sum}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := h.active.Load(); now != nil && generation <= now.configuration.Generation {
		return false, now.checkSameContent(generation, sum)
	}
	h.active.Store(next)
	close(h.changed)
	h.changed = make(chan struct{})
	return true, nil
}

func (v *active) checkSameContent(generation uint64, sum [sha256.Size]byte) error {
	if generation == v.configuration.Generation && sum != v.sum {
		return fmt.Errorf("offer of generation %d: its content differs from what is in force under this generation", generation)
	}
	return nil
}
