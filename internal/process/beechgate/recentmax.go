package beechgate

import "time"

// recentMaxPeriod is the shortest time for which the largest number counts; the longest is
// twice that.
const recentMaxPeriod = 10 * time.Second

// most is the largest number that was told lately. The zero value was told none.
type recentMax struct {
	current, previous int
	periodStart       time.Time
}

// told takes in a number, and gives the largest of late.
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
