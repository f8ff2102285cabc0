package beechlimit

import "time"

// share is the number of entry hosts that the limits are divided by. It rises
// at once, when a host joins, and falls late and at most by half each time:
// a host that is not seen any more may still serve behind a cut, and the two
// sides would together admit more than the limit.
type share struct {
	entries int // in force
	lower   int // most that was told since it was below entries; 0 if it is not
	since   time.Time
}

// told takes in how many hosts were seen now. None, not even this one, means
// that nothing is known; the share stays.
func (s *share) told(n int, now time.Time) {
	switch {
	case n < 1:
		return
	case n >= s.entries:
		s.entries, s.lower = n, 0
	case s.lower == 0:
		s.lower, s.since = n, now
	default:
		s.lower = max(s.lower, n)
	}
}

// settle lets the number fall once a lower one has lasted; true if it fell.
func (s *share) settle(now time.Time, after time.Duration) bool {
	if s.lower == 0 || now.Sub(s.since) < after {
		return false
	}
	s.entries = max(s.lower, (s.entries+1)/2)
	s.since = now
	if s.entries == s.lower {
		s.lower = 0
	}
	return true
}
