package beechmanifest

import (
	"crypto/sha256"
	"fmt"
	"sync"
	"sync/atomic"
)

type (
	// Holder keeps the active configuration of a process. Its generation never
	// decreases. It is safe for concurrent use.
	Holder struct {
		active atomic.Pointer[active]

		mu      sync.Mutex
		changed chan struct{}
	}

	// active is a configuration with the encoded manifest that it was built from.
	active struct {
		configuration *Configuration
		data          []byte
		sum           [sha256.Size]byte
	}
)

// NewHolder returns a Holder without a configuration.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{})}
}

// Current returns the active configuration, or nil if there is none yet.
func (h *Holder) Current() *Configuration {
	if v := h.active.Load(); v != nil {
		return v.configuration
	}
	return nil
}

// Generation returns the active generation, or 0 if there is none yet.
func (h *Holder) Generation() uint64 {
	if c := h.Current(); c != nil {
		return c.Generation
	}
	return 0
}

// Encoded returns the active generation and its encoded manifest, for Offer in a peer. The
// manifest is nil if there is none yet.
func (h *Holder) Encoded() (uint64, []byte) {
	if v := h.active.Load(); v != nil {
		return v.configuration.Generation, v.data
	}
	return 0, nil
}

// Changed returns a channel that is closed at the next change. Call it before Current, or
// a change between the two calls is missed.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Offer activates a manifest if its generation is newer than the active one, and reports
// whether it did. An older generation is ignored without an error. A manifest that cannot
// be decoded, and a different manifest with the active generation, are errors and leave
// the active manifest unchanged. Data must have been validated with Parse, as Publish does,
// and must not be modified afterwards.
func (h *Holder) Offer(generation uint64, data []byte) (bool, error) {
	sum := sha256.Sum256(data)
	if now := h.active.Load(); now != nil && generation <= now.configuration.Generation {
		return false, now.checkSameContent(generation, sum)
	}
	m, err := decode(data)
	if err != nil {
		return false, fmt.Errorf("activate manifest generation %d: %w", generation, err)
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
		return fmt.Errorf("activate manifest generation %d: its content differs from the active manifest of the same generation", generation)
	}
	return nil
}
