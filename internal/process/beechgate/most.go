package beechgate

import "time"

// mostLasts is the shortest time for which the largest number counts; the longest is
// twice that.
const mostLasts = 10 * time.Second

// most is the largest number that was told lately. The zero value was told none.
type most struct {
	now, before int
	since       time.Time
}

// told takes in a number, and gives the largest of late.
func (m *most) told(n int, at time.Time) int {
	switch age := at.Sub(m.since); {
	case age >= 2*mostLasts:
		m.now, m.before, m.since = 0, 0, at
	case age >= mostLasts:
		m.now, m.before, m.since = 0, m.now, at
	}
	m.now = max(m.now, n)
	return max(m.now, m.before)
}
