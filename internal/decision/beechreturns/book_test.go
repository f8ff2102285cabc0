package beechreturns

import (
	"testing"
	"time"
)

func TestSide(t *testing.T) {
	for _, f := range []float64{1.2, 2, 3, 6} {
		for seed := range uint64(2) {
			for _, promises := range []bool{false, true} {
				c := rush
				c.factor = f
				c.promises = promises
				s := simulate(c, seed+1)
				t.Logf("factor %v promises %v: asked %d in time %d late %d; returned %d again %.3f; promised %d broken %.3f; peak %.2f", f, promises, s.asked, s.inTime, s.late, s.returned, s.againShare(), s.promised, s.brokenShare(), s.peak(c.limit))
			}
		}
	}
	_ = time.Second
}
