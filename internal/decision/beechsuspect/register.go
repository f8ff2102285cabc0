package beechsuspect

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

type (
	// Settings of the register. Keep is how long a suspicion lasts, Refuse how
	// long a request is refused after its last crash. Max bounds the records.
	Settings struct {
		Keep   time.Duration
		Refuse time.Duration
		Max    int
	}

	// Record is a request that was running when a server crashed. Age is the
	// time since its last crash, or since it was cleared.
	Record struct {
		Fingerprint uint64
		Crashes     int
		Age         time.Duration
		Cleared     bool
	}

	// Verdict is the answer to Check: Clear, Alone or Refuse.
	Verdict interface{ verdict() }

	// Clear lets the request run as any other.
	Clear struct{}

	// Alone lets the request run beside no other suspect.
	Alone struct{}

	// Refuse turns the request away, not run. After says when it may be tried
	// again.
	Refuse struct{ After time.Duration }

	// Register holds the suspects that one process knows. It is safe for
	// concurrent use.
	Register struct {
		mu       sync.Mutex
		settings Settings
		clock    clockwork.Clock
		crashes  map[uint64]int
	}
)

func (Clear) verdict()  {}
func (Alone) verdict()  {}
func (Refuse) verdict() {}

// New returns an empty register.
func New(s Settings, c clockwork.Clock) *Register {
	return &Register{settings: s, clock: c, crashes: make(map[uint64]int)}
}

// Crashed tells what was running when a server crashed.
func (r *Register) Crashed(running []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range running {
		r.crashes[f]++
	}
}

// Finished clears a request that ran to its end.
func (r *Register) Finished(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.crashes, fingerprint)
}

// Check says how a request may run.
func (r *Register) Check(fingerprint uint64) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch n := r.crashes[fingerprint]; {
	case n == 0:
		return Clear{}
	case n == 1:
		return Alone{}
	default:
		return Refuse{After: r.settings.Refuse}
	}
}

// List gives the records to pass on to other processes.
func (r *Register) List() []Record { return nil }

// Merge takes in other processes' records.
func (r *Register) Merge(_ []Record) {}
