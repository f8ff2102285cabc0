package beechgate

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechretry"
)

// While hosts are replaced one by one, there are more gates than before and after. If the
// maximum did not expire, each gate's share of retries and quotas would stay too small.
func TestRecentMaximumExpires(t *testing.T) {
	is := is.New(t)
	var m recentMax
	at := time.Unix(1000, 0)
	is.Equal(m.add(26, at), 26)
	is.Equal(m.add(40, at.Add(time.Second)), 40)
	is.Equal(m.add(26, at.Add(9*time.Second)), 40)
	is.Equal(m.add(26, at.Add(12*time.Second)), 40) // keepers with lower counts may be cut off
	is.Equal(m.add(26, at.Add(23*time.Second)), 26)
	is.Equal(m.add(5, at.Add(100*time.Second)), 5)
}

// The number of gates changes while a service fails. Used retries must stay used: a new budget
// at each change would have failing servers run all requests again.
func TestChangingGateCountGrantsNoRetries(t *testing.T) {
	is := is.New(t)
	b := NewBudgets(0.1, 80, 10*time.Second, clockwork.NewFakeClock(), nil)
	failed := beechretry.Outcome{Attempt: 1, Ran: beechretry.RanYes, Repeatable: true}
	spent := func() int {
		for n := 0; ; n++ {
			if _, ok := b.Decide("s", failed).(beechretry.Retry); !ok {
				return n
			}
		}
	}
	b.SetGates(6)
	is.Equal(spent(), 10)
	b.SetGates(7)
	is.Equal(spent(), 0)
	b.SetGates(3)
	is.Equal(spent(), 10) // twice the share, minus the used retries
}
