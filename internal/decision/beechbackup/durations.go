package beechbackup

import (
	"sync"
	"time"
)

type (
	// Durations estimates for how long answers are generated, from earlier ones of their routes. It is
	// safe for concurrent use.
	Durations struct {
		mu     sync.Mutex
		routes map[string]*duration
	}

	duration struct {
		perToken float64 // milliseconds for each token that the answer may have at the most
		samples  int
	}
)

const (
	maxSamples = 64 // weight of the running mean
	// priorSamples is the weight of defaultTokenTime, so that a gate that has just started decides for
	// its first streams too.
	priorSamples     = 4
	defaultTokenTime = 10. // milliseconds; engines generate about a hundred tokens a second for each stream
)

// NewDurations returns estimates without samples.
func NewDurations() *Durations { return &Durations{routes: make(map[string]*duration)} }

// Observe records that a whole answer of at most the given number of tokens took a time from its
// first event to its last.
func (d *Durations) Observe(route string, tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.routes[route]
	if !ok {
		r = &duration{perToken: defaultTokenTime, samples: priorSamples}
		d.routes[route] = r
	}
	r.samples = min(r.samples+1, maxSamples)
	r.perToken += (float64(took)/float64(time.Millisecond)/float64(tokens) - r.perToken) / float64(r.samples)
}

// Expect returns how long an answer of at most the given number of tokens will take.
func (d *Durations) Expect(route string, tokens int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	perToken := defaultTokenTime
	if r, ok := d.routes[route]; ok {
		perToken = r.perToken
	}
	return time.Duration(perToken * float64(tokens) * float64(time.Millisecond))
}
