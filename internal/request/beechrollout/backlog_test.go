package beechrollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPrefillBacklog(t *testing.T) {
	is := is.New(t)
	var b PrefillBacklog
	now := time.Unix(1000, 0)
	is.Equal(b.Remaining(now), 0)
	b.Add(10*defaultTokensPerMs, now)
	is.Equal(b.Remaining(now.Add(4*time.Millisecond)), 6*defaultTokensPerMs)
	b.Add(4*defaultTokensPerMs, now.Add(4*time.Millisecond))
	is.Equal(b.Remaining(now.Add(4*time.Millisecond)), 10*defaultTokensPerMs)
	b.Clear(now) // observed before the second prompt was added
	is.Equal(b.Remaining(now.Add(4*time.Millisecond)), 10*defaultTokensPerMs)
	b.Clear(now.Add(5 * time.Millisecond))
	is.Equal(b.Remaining(now.Add(5*time.Millisecond)), 0)
	b.Add(-5, now.Add(6*time.Millisecond))
	is.Equal(b.Remaining(now.Add(6*time.Millisecond)), 0)
}

// Engines prefill twice as fast as the default rate, which gates measure and report. With
// the default rate, an engine would count as busy for twice as long, and callers whose
// history it has cached would be sent elsewhere.
func TestPrefillBacklogUsesMeasuredRate(t *testing.T) {
	is := is.New(t)
	var b PrefillBacklog
	now := time.Unix(1000, 0)
	b.ObserveRate(0, now) // a gate without a measurement yet
	for range 100 {
		b.ObserveRate(2*defaultTokensPerMs, now)
	}
	b.Add(10*defaultTokensPerMs, now)
	is.Equal(b.Remaining(now.Add(5*time.Millisecond)), 0)
	is.True(b.Remaining(now.Add(4*time.Millisecond)) > 0)
}
