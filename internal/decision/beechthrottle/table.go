package beechthrottle

import (
	"math"
	"time"
)

type (
	// ServerLimit is what an answer says of its server's limit: Silent, Names or Faulty.
	ServerLimit interface{ serverLimit() }

	// NoLimit says that the answer names no limit.
	NoLimit struct{}

	// RateLimit says how many requests a second the server takes from all gates
	// together. Rate is finite and not below 0.
	RateLimit struct {
		Rate   float64
		Header string // of the answer that named it, for logs
	}

	// InvalidLimit says that the answer names a limit that cannot be used.
	InvalidLimit struct{ Text string }

	// Observation is what is known of a server's limit from one answer. The server said so
	// at some moment from Sent to Received, by a clock that counts suspensions.
	Observation struct {
		StartTime uint64 // of the server's lifetime; 0 is not told
		Rate      float64
		Sent      time.Duration
		Received  time.Duration
	}

	// register is what is believed of servers' limits, by the hash of their IDs.
	limitTable struct{ entries map[uint64]*limitEntry }

	// belief is what is believed of one server.
	limitEntry struct {
		Observation
		confirmedAt time.Duration // when it was last confirmed
		direct      bool          // the server itself said so to this gate
		sendsLeft   int           // words that still tell it
		account     string        // of the counting
		enforced    float64       // the rate that is kept to
		probeOffset float64       // 0 to 1: when this gate asks a server again
		sent        int
		withheld    int
	}
)

// unlimited is the rate of a server that names none any more.
var unlimited = math.Inf(1)

func (NoLimit) serverLimit()      {}
func (RateLimit) serverLimit()    {}
func (InvalidLimit) serverLimit() {}

// limited tells whether the server is believed to have a limit.
func (b *limitEntry) limited() bool { return b != nil && !math.IsInf(b.Rate, 1) }

// take takes in a notice, and tells whether what is believed has changed.
//
// Answers overtake one another, so the last to arrive is not always the newest. Of two
// that may have been given in either order the stricter counts, until one comes whose
// request was sent after the other had arrived.
func (r *limitTable) observe(key uint64, n Observation) (b *limitEntry, changed bool) {
	b = r.entries[key]
	if b == nil {
		if math.IsInf(n.Rate, 1) || len(r.entries) >= maxServers {
			return nil, false
		}
		b = &limitEntry{Observation: n, confirmedAt: n.Received}
		r.entries[key] = b
		return b, true
	}
	if n.StartTime != 0 && b.StartTime != 0 && n.StartTime != b.StartTime {
		if n.StartTime < b.StartTime {
			return b, false // word of a lifetime that is over
		}
		changed = n.Rate != b.Rate
		b.replace(n)
		return b, changed
	}
	n.StartTime = max(n.StartTime, b.StartTime)
	switch {
	case n.Rate == b.Rate:
		b.StartTime = n.StartTime
		b.Sent, b.Received = max(b.Sent, n.Sent), max(b.Received, n.Received)
		b.confirmedAt = max(b.confirmedAt, n.Received)
		return b, false
	case n.Sent > b.Received, n.Rate < b.Rate && n.Received >= b.Sent:
		b.replace(n)
		return b, true
	}
	return b, false
}

func (b *limitEntry) replace(n Observation) {
	b.Observation = n
	b.confirmedAt = n.Received
}
