package beechthrottle

import (
	"math"
	"time"

	"github.com/beechring/beechring/internal/decision/beechquota"
)

type (
	// Word is what a gate tells the others: which servers name limits, and what it has
	// sent them.
	Word struct {
		Counting beechquota.Word
		Limits   []Told
	}

	// Told is a server's limit as a gate knows it.
	Told struct {
		Server   uint64 // hash of its ID
		Born     uint64
		Rate     float64 // below 0: it names none any more
		Sent     time.Duration
		Received time.Duration // both ago
	}
)

const (
	// repeats of what has changed, as words are lost.
	repeats = 3
	// refreshEvery what this gate has from servers themselves is told again.
	refreshEvery = 2 * time.Second
	// wayMost is how long a word may have been under way.
	wayMost = 150 * time.Millisecond
	// askFor is how long a gate that has started speaks though it knows no limit: those
	// that know of some tell it.
	askFor = 3 * time.Second
	// oldest word that is believed.
	oldest = time.Hour
)

// Speaks tells whether there is something to tell the other gates, or to ask them.
func (t *Throttle) Speaks() bool {
	if t.Any() || t.ledger.Age() < askFor {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.register.beliefs {
		if b.repeats > 0 {
			return true
		}
	}
	return false
}

// Word gives what the other gates are to be told now.
func (t *Throttle) Word() Word {
	w := Word{Counting: t.ledger.Word()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	now := t.clock.Now()
	refresh := now-t.refreshed >= refreshEvery
	if refresh {
		t.refreshed = now
	}
	for key, b := range t.register.beliefs {
		if b.repeats == 0 && !(refresh && b.firsthand) && !w.Counting.Full {
			continue
		}
		b.repeats = max(b.repeats-1, 0)
		told := Told{Server: key, Born: b.Born, Rate: b.Rate, Sent: now - b.Sent, Received: now - b.Received}
		if !b.limited() {
			told.Rate = -1
		}
		w.Limits = append(w.Limits, told)
	}
	return w
}

// Hear takes in another gate's word.
func (t *Throttle) Hear(w Word, from string) {
	for _, told := range w.Limits {
		if told.Received < 0 || told.Sent < told.Received || told.Sent > oldest || math.IsNaN(told.Rate) || told.Rate > math.MaxInt32 {
			continue
		}
		t.mu.Lock()
		now := t.clock.Now()
		n := Notice{Born: told.Born, Rate: told.Rate, Sent: now - told.Sent - wayMost, Received: now - told.Received}
		if told.Rate < 0 {
			n.Rate = unlimited
		}
		event, _ := t.take(told.Server, n, from)
		t.mu.Unlock()
		t.tell(event, "")
	}
	t.ledger.Hear(w.Counting)
}
