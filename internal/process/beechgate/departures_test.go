package beechgate

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/state/beechera"
)

func listedServer(era, revision, born uint64, leaving bool) []beechcall.Server {
	return []beechcall.Server{{ID: "s", Born: born, Leaving: leaving, Revision: beechera.Order(era, revision)}}
}

// A restored store has lost that a server leaves or is gone. Requests sent there would be lost
// with it, so it stays excluded until its entry is written again or belongs to a new lifetime.
func TestDepartureOutlivesARestore(t *testing.T) {
	for _, c := range []struct {
		name           string
		previous, next []beechcall.Server
		leaving        bool
	}{
		{"leaving, restored as ready", listedServer(1, 90, 7, true), listedServer(2, 79, 7, false), true},
		{"leaving, the same entry again", listedServer(2, 79, 7, true), listedServer(2, 79, 7, false), true},
		{"leaving, written again in the same era", listedServer(2, 79, 7, true), listedServer(2, 85, 7, false), false},
		{"leaving, restored without a start time", listedServer(1, 90, 7, true), listedServer(2, 79, 0, false), true},
		{"leaving, a new lifetime", listedServer(1, 90, 7, true), listedServer(2, 79, 8, false), false},
		{"ready", listedServer(1, 90, 7, false), listedServer(2, 79, 7, false), false},
		{"ready, now leaving", listedServer(1, 90, 7, false), listedServer(2, 79, 7, true), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDepartures(clockwork.NewFakeClock())
			d.retain(c.previous, c.next)
			is.New(t).Equal(c.next[0].Leaving, c.leaving)
		})
	}
}

// A server that is gone is listed again by a restored store; one that registers again after an
// outage of the same era is not excluded.
func TestGoneServerOutlivesARestore(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	back := func(next []beechcall.Server, pause time.Duration) []beechcall.Server {
		d := newDepartures(clock)
		d.retain(listedServer(1, 90, 7, false), nil)
		clock.Advance(pause)
		d.retain(nil, next)
		return next
	}
	is.True(back(listedServer(2, 79, 7, false), time.Second)[0].Leaving)
	is.True(!back(listedServer(1, 95, 7, false), time.Second)[0].Leaving)
	is.True(!back(listedServer(2, 79, 8, false), time.Second)[0].Leaving)
	is.True(!back(listedServer(2, 79, 7, false), departureMemory+time.Second)[0].Leaving)
}
