package beechgate

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

// The delay that is published is that of work which waits for the processor, and next to nothing for
// work that waits for anything else.
func TestSchedulingDelayTellsOverload(t *testing.T) {
	is := is.New(t)
	delays := newSchedulingDelays()
	run := func(work func()) time.Duration {
		delays.next()
		var group sync.WaitGroup
		stop := time.Now().Add(500 * time.Millisecond)
		for range 40 * runtime.GOMAXPROCS(0) {
			group.Go(func() {
				for time.Now().Before(stop) {
					work()
				}
			})
		}
		group.Wait()
		median, _ := delays.next()
		return median
	}
	idle := run(func() { time.Sleep(5 * time.Millisecond) })
	busy := run(func() {
		end := time.Now().Add(2 * time.Millisecond)
		for time.Now().Before(end) {
			_ = xxhash.Sum64String("work")
		}
		runtime.Gosched()
	})
	t.Logf("%s while all wait, %s while all compute", idle, busy)
	is.True(busy > 10*idle)
	is.True(busy > 10*time.Millisecond)
}
