package beechgate

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechretry"
)

// Hosts are replaced one after the other, so that for some seconds there are more gates
// than before and after. If the larger number stayed, each gate's share of retries
// and quotas would be too small for good.
func TestRecentMaximumExpires(t *testing.T) {
	is := is.New(t)
	var m recentMax
	at := time.Unix(1000, 0)
	is.Equal(m.add(26, at), 26)
	is.Equal(m.add(40, at.Add(time.Second)), 40)
	is.Equal(m.add(26, at.Add(9*time.Second)), 40)
	is.Equal(m.add(26, at.Add(12*time.Second)), 40) // keepers that see fewer may be cut off
	is.Equal(m.add(26, at.Add(23*time.Second)), 26)
	is.Equal(m.add(5, at.Add(100*time.Second)), 5)
}

// A gate comes or goes while a service fails. The retries that were spent stay spent:
// a new budget at each change would have servers that fail run everything again.
func TestChangingGateCountGrantsNoRetries(t *testing.T) {
	is := is.New(t)
	b := NewBudgets(0.1, 80, 10*time.Second, clockwork.NewFakeClock())
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
	is.Equal(spent(), 10) // twice the share, less what was spent
}
