package beechgate

import "time"

// recentMaxPeriod is the shortest time for which a maximum counts; the longest is twice that.
const recentMaxPeriod = 10 * time.Second

// recentMax tracks the maximum of recent values. The zero value has none.
type recentMax struct {
	current, previous int
	periodStart       time.Time
}

// add adds a value and returns the recent maximum.
func (m *recentMax) add(n int, now time.Time) int {
	switch age := now.Sub(m.periodStart); {
	case age >= 2*recentMaxPeriod:
		m.current, m.previous, m.periodStart = 0, 0, now
	case age >= recentMaxPeriod:
		m.current, m.previous, m.periodStart = 0, m.current, now
	}
	m.current = max(m.current, n)
	return max(m.current, m.previous)
}
