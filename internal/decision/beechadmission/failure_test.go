package beechadmission

import (
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

const plays = 3

// soundPlays are plays of a scarcity without a failure.
var soundPlays = sync.OnceValue(func() []*model {
	var list []*model
	for seed := range uint64(plays) {
		m := scarcity(seed, 90)
		m.play(playTime)
		list = append(list, m)
	}
	return list
})

// servedAsWell checks over some plays that both ranks get about what they get without the failure.
func servedAsWell(t *testing.T, tolerated float64, fail func(m *model)) {
	t.Helper()
	is := is.New(t)
	type span struct {
		rank     int
		from, to float64
	}
	lost := make(map[span]float64)
	for seed, sound := range soundPlays() {
		failing := scarcity(uint64(seed), 90)
		fail(failing)
		failing.play(playTime)
		for _, rank := range []int{0, 2} {
			for _, s := range []span{{rank, 5, burstEnd}, {rank, burstEnd + 1, playTime - 1}} {
				lost[s] += (sound.outcome(s.from, s.to, ofRank(rank)).inTime - failing.outcome(s.from, s.to, ofRank(rank)).inTime) / plays
			}
		}
	}
	for s, share := range lost {
		t.Logf("rank %d from second %v: %.2f fewer in time", s.rank, s.from, share)
		is.True(share < tolerated)
	}
}

// Guards against a gate that hears of no demand but its own.
func TestGateCutOffFromOthers(t *testing.T) {
	servedAsWell(t, 0.1, func(m *model) { m.lost = func(from, to int) bool { return from == 0 || to == 0 } })
}

// Guards against demand messages that are lost, all of them or one in three.
func TestDemandMessagesLost(t *testing.T) {
	servedAsWell(t, 0.1, func(m *model) { m.lost = func(int, int) bool { return true } })
	servedAsWell(t, 0.1, func(m *model) { m.lost = func(int, int) bool { return m.random.IntN(3) == 0 } })
}

// Guards against two groups of gates that hear different words.
func TestGatesWithDifferentWords(t *testing.T) {
	servedAsWell(t, 0.1, func(m *model) { m.lost = func(from, to int) bool { return from%2 != to%2 } })
}

// Guards against reports of engines that come late.
func TestReportsLate(t *testing.T) {
	servedAsWell(t, 0.25, func(m *model) { m.report = 250 * time.Millisecond })
}

// Guards against gates that start anew in the middle of a shortage.
func TestGatesStartedAnew(t *testing.T) {
	servedAsWell(t, 0.1, func(m *model) {
		play := m.each
		m.each = func(m *model, now int) {
			play(m, now)
			if now == 7000 {
				for _, g := range m.gates[:4] {
					g.controller = m.newController()
				}
			}
		}
	})
}

// Guards against a gate that was frozen and goes on with what it knew before.
func TestGateFrozen(t *testing.T) {
	servedAsWell(t, 0.1, func(m *model) {
		play := m.each
		m.each = func(m *model, now int) {
			play(m, now)
			m.gates[0].down = now >= 4000 && now < 9000
		}
	})
}

// Guards against invalid demands of other gates.
func TestInvalidDemandsAreIgnored(t *testing.T) {
	is := is.New(t)
	c := New(On, clockwork.NewFakeClock())
	c.Merge([]Demand{{Service: 1, Rank: -1, Asked: 1}, {Service: 1, Rank: ranks, Asked: 1}, {Service: 1, Asked: -1}, {Service: 1, Asked: 1, Refused: 2}, {Service: 1, Asked: 1, Work: -1}, {Service: 1, Asked: maxAsked + 1}}, -time.Second)
	is.Equal(len(c.services), 0)
	for i := range uint64(2 * maxServices) {
		c.Merge([]Demand{{Service: i, Asked: 1}}, 0)
	}
	is.Equal(len(c.services), maxServices)
}

// Guards against reports of engines that do not come at all: a gate goes by its own requests and its
// share of the engines, and callers are not served worse than without any control.
func TestReportsLost(t *testing.T) {
	is := is.New(t)
	before, now := scarcity(1, 90).without(), scarcity(1, 90)
	for _, m := range []*model{before, now} {
		m.report = time.Minute
		m.play(playTime)
	}
	for _, rank := range []int{0, 2} {
		was, got := before.outcome(5, playTime-1, ofRank(rank)), now.outcome(5, playTime-1, ofRank(rank))
		t.Logf("rank %d in time %.2f, without control %.2f", rank, got.inTime, was.inTime)
		is.True(got.inTime >= was.inTime)
	}
}
