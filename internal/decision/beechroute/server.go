package beechroute

import (
	"slices"
	"time"
)

const (
	// A server counts as idle and of medium size until its first report, so that
	// new servers get requests.
	defaultPrefillRate = 8000
	defaultSlots       = 16

	recentBuckets = 4

	// maxWait is the longest predicted wait. It prevents overflows by excessive
	// counts.
	maxWait = 24 * time.Hour
)

type (
	// server is the state of one incarnation of a backend server. A new incarnation
	// gets a new state, so whatever refers to the old one, such as the holders of a
	// prefix, becomes invalid.
	server struct {
		Server
		removed          bool
		cacheEpoch       uint64 // incremented when its cache is to be forgotten
		load             Load
		prefillBacklog   backlog
		inFlight         int // own dispatched requests that have not ended
		reportedRequests int // running and waiting requests in the last report

		// announcesCache is set once the agent announces evictions. For other
		// servers, prefixes that were not used for a while count as evicted.
		announcesCache bool

		retryAt time.Time // after a refusal; zero if there was none
	}

	// backlog is the number of prefill tokens ahead of a new request. Own
	// dispatches that a lagging report cannot include yet are remembered and added
	// to it. Otherwise all requests between two reports would go to the server that
	// looked idle in the first one, and first tokens would be late on one server at
	// a time while the others idle.
	backlog struct {
		tokens float64
		recent [recentBuckets]float64 // own dispatched tokens, by time modulo recentBuckets
		bucket int64
	}
)

func newServer(s Server) *server {
	return &server{Server: s, load: Load{PrefillRate: defaultPrefillRate, Slots: defaultSlots}}
}

// updateLoad takes over a load report. Rates and slots that are missing in it keep
// their previous values.
func (s *server) updateLoad(l Load, now time.Time, lag time.Duration) {
	if l.PrefillRate <= 0 {
		l.PrefillRate = s.load.PrefillRate
	}
	if l.Slots <= 0 {
		l.Slots = s.load.Slots
	}
	s.load = l
	s.reportedRequests = max(0, l.Running) + max(0, l.Waiting)
	s.prefillBacklog.reset(float64(max(0, l.WaitingTokens)), now, lag)
}

// wait predicts the time until the prefill of a new request starts. output is the
// mean number of output tokens per request.
func (s *server) wait(now time.Time, output float64) time.Duration {
	wait := seconds(s.prefillBacklog.tokens / float64(s.load.PrefillRate))
	if ahead := max(s.reportedRequests, s.inFlight) - s.load.Slots; ahead >= 0 {
		residence := output * s.load.TokenTime.Seconds()
		wait = max(wait, seconds(residence*float64(ahead+1)/float64(s.load.Slots)))
	}
	return min(maxWait, max(wait, s.retryAt.Sub(now)))
}

func (s *server) serves(model string) bool { return slices.Contains(s.Models, model) }

// add adds an own dispatch.
func (b *backlog) add(tokens float64, now time.Time, lag time.Duration) {
	b.advance(now, lag)
	b.tokens += tokens
	b.recent[b.bucket%recentBuckets] += tokens
}

// reset takes over the tokens of a report and adds the dispatches within its lag.
func (b *backlog) reset(tokens float64, now time.Time, lag time.Duration) {
	b.advance(now, lag)
	b.tokens = tokens
	for _, t := range b.recent {
		b.tokens += t
	}
}

// advance clears the buckets that are older than the lag. If the clock stepped
// back, it clears all of them.
func (b *backlog) advance(now time.Time, lag time.Duration) {
	width := max(1, int64(lag)/recentBuckets)
	bucket := max(0, now.UnixNano()) / width
	if passed := bucket - b.bucket; passed < 0 || passed >= recentBuckets {
		clear(b.recent[:])
	} else {
		for i := b.bucket + 1; i <= bucket; i++ {
			b.recent[i%recentBuckets] = 0
		}
	}
	b.bucket = bucket
}

// seconds converts to a duration between 0 and maxWait.
func seconds(s float64) time.Duration {
	return time.Duration(min(maxWait.Seconds(), max(0, s)) * float64(time.Second))
}
