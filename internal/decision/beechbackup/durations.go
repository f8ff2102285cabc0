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
		routes map[string]*generated
	}

	// generated sums up answers; the older ones count less.
	generated struct {
		tokens float64
		time   time.Duration
	}
)

const (
	// maxTokens is how many tokens are remembered of each route.
	maxTokens = 10000.
	// priorTokens at defaultTokenTime let a gate that has just started decide for its first streams too.
	priorTokens      = 200.
	defaultTokenTime = 20 * time.Millisecond // busy engines generate about fifty tokens a second for each stream
)

// NewDurations returns estimates without samples.
func NewDurations() *Durations { return &Durations{routes: make(map[string]*generated)} }

// Observe records that a whole answer, of which the given number of tokens was expected, took a time from
// its first event to its last.
func (d *Durations) Observe(route string, tokens int, took time.Duration) {
	if tokens <= 0 || took < 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.of(route)
	d.routes[route] = g
	if excess := g.tokens + float64(tokens) - maxTokens; excess > 0 {
		kept := max(1-excess/g.tokens, 0)
		g.tokens, g.time = g.tokens*kept, time.Duration(float64(g.time)*kept)
	}
	g.tokens += float64(tokens)
	g.time += took
}

// Expect returns how long an answer of the given number of tokens will take.
func (d *Durations) Expect(route string, tokens int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.of(route)
	return time.Duration(float64(g.time) * float64(tokens) / g.tokens)
}

func (d *Durations) of(route string) *generated {
	if g, ok := d.routes[route]; ok {
		return g
	}
	return &generated{tokens: priorTokens, time: time.Duration(priorTokens * float64(defaultTokenTime))}
}
