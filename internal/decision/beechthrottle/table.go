package beechthrottle

import (
	"math"
	"time"
)

type (
	// ServerLimit is what a response says about its server's limit: NoLimit, RateLimit or
	// InvalidLimit.
	ServerLimit interface{ serverLimit() }

	// NoLimit means that the response names no limit.
	NoLimit struct{}

	// RateLimit is the number of requests per second that the server accepts from all gates
	// together. Rate is finite and not negative.
	RateLimit struct {
		Rate   float64
		Header string // header field that named the limit, for logs
	}

	// InvalidLimit means that the response names a limit that cannot be used.
	InvalidLimit struct{ Text string }

	// Observation is a server's limit according to one response. The server sent it at some
	// time between Sent and Received, on a clock that includes time spent suspended.
	Observation struct {
		StartTime uint64 // when the server's lifetime began, in Unix milliseconds; 0 if unknown
		Rate      float64
		Sent      time.Duration
		Received  time.Duration
	}

	// limitTable holds the limits of servers, by the hash of their IDs.
	limitTable struct{ entries map[uint64]*limitEntry }

	// limitEntry is the state of one server's limit.
	limitEntry struct {
		Observation
		confirmedAt time.Duration // when the limit was last named
		direct      bool          // this gate got the limit from the server itself
		sendsLeft   int           // further updates that report the limit
		account     string        // name of the server's account in the quotas
		enforced    float64       // rate in force, see effectiveRate
		probeOffset float64       // 0 to 1: when this gate probes, within freshFor
		sent        int           // see LimitStatus
		withheld    int
	}
)

// unlimited is the rate of a server without a limit.
var unlimited = math.Inf(1)

func (NoLimit) serverLimit()      {}
func (RateLimit) serverLimit()    {}
func (InvalidLimit) serverLimit() {}

// limited reports whether the server has a limit.
func (e *limitEntry) limited() bool { return e != nil && !math.IsInf(e.Rate, 1) }

// observe applies an observation and reports whether the limit has changed.
//
// Responses may arrive out of order, so the last to arrive is not always the latest. Of two
// that may have been sent in either order the stricter applies, until a response arrives whose
// request was sent after the other response was received.
func (t *limitTable) observe(key uint64, o Observation) (entry *limitEntry, changed bool) {
	entry = t.entries[key]
	if entry == nil {
		if math.IsInf(o.Rate, 1) || len(t.entries) >= maxServers {
			return nil, false
		}
		entry = &limitEntry{Observation: o, confirmedAt: o.Received}
		t.entries[key] = entry
		return entry, true
	}
	if o.StartTime != 0 && entry.StartTime != 0 && o.StartTime != entry.StartTime {
		if o.StartTime < entry.StartTime {
			return entry, false // from a lifetime that has ended
		}
		changed = o.Rate != entry.Rate
		entry.replace(o)
		return entry, changed
	}
	o.StartTime = max(o.StartTime, entry.StartTime)
	switch {
	case o.Rate == entry.Rate:
		entry.StartTime = o.StartTime
		entry.Sent, entry.Received = max(entry.Sent, o.Sent), max(entry.Received, o.Received)
		entry.confirmedAt = max(entry.confirmedAt, o.Received)
		return entry, false
	case o.Sent > entry.Received, o.Rate < entry.Rate && o.Received >= entry.Sent:
		entry.replace(o)
		return entry, true
	}
	return entry, false
}

func (e *limitEntry) replace(o Observation) {
	e.Observation = o
	e.confirmedAt = o.Received
}
