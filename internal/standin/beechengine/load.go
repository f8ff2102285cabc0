package beechengine

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// samplesPerLag is the number of load samples kept per ReportLag.
const samplesPerLag = 8

type (
	// LoadReport is the reply to GET /load.
	LoadReport struct {
		Incarnation   uint64        `json:"incarnation"`
		Running       int           `json:"running"`
		Waiting       int           `json:"waiting"`
		Slots         int           `json:"slots"`
		PrefillRate   int           `json:"prefill_rate"`
		TokenTime     time.Duration `json:"token_time_nanos"`
		Models        []string      `json:"models"`
		Adapters      []string      `json:"adapters"`
		Loading       []string      `json:"loading"`
		Role          string        `json:"role"`
		FencingNumber uint64        `json:"fencing_number"`
	}

	loadSample struct {
		at      time.Time
		running int
		waiting int
	}

	// loadHistory keeps load samples long enough to report the load with a
	// delay.
	loadHistory struct {
		mu      sync.Mutex
		clock   clockwork.Clock
		lag     time.Duration
		samples []loadSample
	}
)

func (h *loadHistory) record(running, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	last := len(h.samples) - 1
	if last >= 0 && now.Sub(h.samples[last].at) < h.lag/samplesPerLag {
		h.samples[last].running, h.samples[last].waiting = running, waiting
		return
	}
	h.samples = append(h.samples, loadSample{at: now, running: running, waiting: waiting})
	h.prune(now)
}

// prune keeps the newest sample that is old enough to be reported, and all
// samples after it.
func (h *loadHistory) prune(now time.Time) {
	for len(h.samples) > 1 && !h.samples[1].at.After(now.Add(-h.lag)) {
		h.samples = h.samples[1:]
	}
}

func (h *loadHistory) report() (running, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.prune(now)
	if len(h.samples) == 0 || h.samples[0].at.After(now.Add(-h.lag)) {
		return 0, 0
	}
	return h.samples[0].running, h.samples[0].waiting
}
