package beechquota

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// All gates are killed. Each learns the limits only some time after its start, and the callers
// that have waited come at once. What accrued since the start is theirs: no gate has granted it.
func TestLimitsLearnedAfterTheStart(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	bounds := Bounds{Window: 8 * time.Second, Overage: 0.1}
	admitted := func(wait time.Duration) int {
		l := New("gate", 1, bounds, clock)
		l.SetGates(1)
		clock.Advance(wait)
		l.SetLimits(map[string]Limit{"w": {Rate: 60, Burst: 60}}, nil)
		n := 0
		for ; n < 200; n++ {
			if _, ok := l.Admit("w", 1).(Admitted); !ok {
				break
			}
		}
		return n
	}
	early, late := admitted(0), admitted(400*time.Millisecond)
	is.True(late-early >= 23 && late-early <= 25)
	is.True(admitted(time.Hour) <= 60+54) // the burst and the tolerance of a window
}
