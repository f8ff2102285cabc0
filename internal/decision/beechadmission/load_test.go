package beechadmission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	lossAt   = 3000 // a third of the engines die, in milliseconds
	burstEnd = 11.  // both bursts are over, in seconds
	playTime = 20   // seconds
)

// scarcity has a third of the engines die while first the less urgent callers and then the urgent ones
// come in bursts.
func scarcity(seed uint64, perSecond float64) *model {
	m := newModel(seed, tagging(during(perSecond, perSecond*1.5, 8000, 11000)), drafting(during(perSecond*2.2, perSecond*5, 5000, 10000)))
	m.each = func(m *model, now int) {
		if now == lossAt {
			m.killEngines(10)
		}
	}
	return m
}

// Guards against engines that are filled to the brim and serve both ranks worse for as long as they stay full.
func TestBothRanksAreServedBetterThroughScarcity(t *testing.T) {
	is := is.New(t)
	for _, perSecond := range []float64{90, 120} {
		before, now := scarcity(1, perSecond).without(), scarcity(1, perSecond)
		before.play(playTime)
		now.play(playTime)
		for _, rank := range []int{0, 2} {
			for _, span := range [][2]float64{{5, burstEnd}, {burstEnd, playTime - 1}} {
				was, got := before.outcome(span[0], span[1], ofRank(rank)), now.outcome(span[0], span[1], ofRank(rank))
				t.Logf("%v a second, rank %d, from second %v: in time %.2f, before %.2f; refused %.2f", perSecond, rank, span[0], got.inTime, was.inTime, got.refused)
				is.True(got.inTime > was.inTime) // in time
			}
		}
		urgent, other := now.outcome(5, burstEnd, ofRank(0)), now.outcome(5, burstEnd, ofRank(2))
		is.True(urgent.refused < other.refused/2) // whole ranks first
	}
}

// Guards against a shortage that lasts after its cause: the cut-off opens within a second after the
// callers' bursts have ended or the engines are back.
func TestCutOffOpensWithinASecond(t *testing.T) {
	is := is.New(t)
	m := scarcity(1, 90)
	m.play(playTime)
	after := m.outcome(burstEnd+1, playTime-1, func(*call) bool { return true })
	t.Logf("from a second after the bursts: %+v", after)
	is.True(after.inTime > 0.98)
	is.True(after.refused < 0.01)

	m = newModel(1, tagging(constant(150)), drafting(constant(330)))
	m.each = func(m *model, now int) {
		switch now {
		case lossAt:
			m.killEngines(10)
		case 10000:
			m.reviveEngines()
		}
	}
	m.play(15)
	is.True(m.outcome(8, 10, ofRank(2)).refused > 0.1) // room was short
	after = m.outcome(11, 14, func(*call) bool { return true })
	t.Logf("from a second after the engines are back: %+v", after)
	is.True(after.refused < 0.01)
}

// Guards against refusals while there is room.
func TestNothingIsRefusedWhileRoomIsNotShort(t *testing.T) {
	is := is.New(t)
	m := newModel(1, tagging(constant(90)), drafting(constant(200)))
	m.play(10)
	all := m.outcome(0, 9, func(*call) bool { return true })
	is.Equal(all.refused, 0.)
	is.True(all.inTime > 0.99)
}

// Guards against a refusal of a kind of request whose objective cannot be met even by an idle engine,
// and of all less urgent ones with it.
func TestObjectivesThatNoEngineMeetsRefuseNobodyWhileRoomIsNotShort(t *testing.T) {
	is := is.New(t)
	hasty := tagging(constant(30))
	hasty.objective = 20 * time.Millisecond
	m := newModel(1, hasty, drafting(constant(200)))
	m.play(10)
	is.True(m.outcome(0, 9, ofRank(2)).refused < 0.01)
}

// Guards against a workspace that takes the room of all others by asking many times its usual.
func TestSurgingWorkspaceDoesNotStarveOthers(t *testing.T) {
	is := is.New(t)
	surge := drafting(during(200, 1000, 6000, 12000))
	surge.weights = func(now int) []float64 {
		if now >= 6000 && now < 12000 {
			return []float64{0.85, 0.05, 0.05, 0.05} // of five times the demand
		}
		return []float64{0.25, 0.25, 0.25, 0.25}
	}
	m := newModel(1, tagging(constant(90)), surge)
	m.each = func(m *model, now int) {
		if now == lossAt {
			m.killEngines(10)
		}
	}
	m.play(14)
	surging := m.outcome(7, 12, func(c *call) bool { return c.kind.rank == 2 && c.workspace == "a" })
	others := m.outcome(7, 12, func(c *call) bool { return c.kind.rank == 2 && c.workspace != "a" })
	t.Logf("surging %+v, others %+v", surging, others)
	is.True(surging.refused > 0.1) // room was short
	is.True(others.served > 2*surging.served)
}

// Guards against sizes and subjects that are always the first to be refused.
func TestLargePromptsAndSubjectsAreNotStarved(t *testing.T) {
	is := is.New(t)
	few := drafting(constant(700))
	few.subjects = 60
	m := newModel(1, tagging(constant(120)), few)
	m.killEngines(12)
	m.play(16)
	all := m.outcome(4, 15, ofRank(2))
	large := m.outcome(4, 15, func(c *call) bool { return c.kind.rank == 2 && c.prompt > c.kind.prompt })
	t.Logf("all %+v, large %+v", all, large)
	is.True(all.refused > 0.1) // room was short
	is.True(large.served > 0.75*all.served)
	served, asked := make(map[string]bool), make(map[string]int)
	for _, c := range m.calls {
		if c.kind.rank == 2 && c.arrived > 4000 {
			asked[c.subject]++
			served[c.subject] = served[c.subject] || c.first > 0
		}
	}
	for subject, n := range asked {
		is.True(n < 4 || served[subject])
	}
}

// Guards against callers that do not wait: they must not take the room of more urgent ones.
func TestStormOfCallersThatDoNotWait(t *testing.T) {
	is := is.New(t)
	play := func(repeats int, impatience time.Duration) *model {
		hasty := drafting(during(200, 700, 5000, 10000))
		hasty.repeats, hasty.impatience = repeats, impatience
		m := newModel(1, tagging(constant(90)), hasty)
		m.each = func(m *model, now int) {
			if now == lossAt {
				m.killEngines(10)
			}
		}
		m.play(15)
		return m
	}
	calm, storm := play(1, 300*time.Millisecond), play(8, 20*time.Millisecond)
	for _, span := range [][2]float64{{5, 10}, {12, 14}} {
		want, got := calm.outcome(span[0], span[1], ofRank(0)), storm.outcome(span[0], span[1], ofRank(0))
		t.Logf("from second %v: %+v, without the storm %+v", span[0], got, want)
		is.True(got.inTime > want.inTime-0.1)
	}
}
