package beechrollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestReading(t *testing.T) {
	is := is.New(t)
	var r PrefillBacklog
	now := time.Unix(1000, 0)
	is.Equal(r.Remaining(now), 0)
	r.Add(10*readRate, now)
	is.Equal(r.Remaining(now.Add(4*time.Millisecond)), 6*readRate)
	r.Add(4*readRate, now.Add(4*time.Millisecond))
	is.Equal(r.Remaining(now.Add(4*time.Millisecond)), 10*readRate)
	r.Clear(now) // seen before the second prompt came in
	is.Equal(r.Remaining(now.Add(4*time.Millisecond)), 10*readRate)
	r.Clear(now.Add(5 * time.Millisecond))
	is.Equal(r.Remaining(now.Add(5*time.Millisecond)), 0)
	r.Add(-5, now.Add(6*time.Millisecond))
	is.Equal(r.Remaining(now.Add(6*time.Millisecond)), 0)
}

// Engines read twice as fast as was assumed. Gates see it and tell; believed to be
// busy for twice as long, an engine would be passed over by callers whose history
// lies there.
func TestReadingFollowsWhatGatesSee(t *testing.T) {
	is := is.New(t)
	var r PrefillBacklog
	now := time.Unix(1000, 0)
	r.ObserveRate(0, now) // a gate that has seen nothing yet
	for range 100 {
		r.ObserveRate(2*readRate, now)
	}
	r.Add(10*readRate, now)
	is.Equal(r.Remaining(now.Add(5*time.Millisecond)), 0)
	is.True(r.Remaining(now.Add(4*time.Millisecond)) > 0)
}
