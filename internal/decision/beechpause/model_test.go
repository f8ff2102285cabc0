package beechpause

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const longest = 400 * time.Millisecond

// learned returns a model of engines that take 30 ms between two events of a stream, at most 250 ms
// beside prompts, and read 50 tokens per millisecond: 11,000 between two events.
func learned() *Model {
	m := &Model{}
	for i := range 4000 {
		gap := 30 * time.Millisecond
		if i%100 == 0 {
			gap = 250 * time.Millisecond
		}
		m.ObserveGap(gap, 100)
		m.ObservePrefill(5000, 100*time.Millisecond, 100)
	}
	return m
}

// A model that has learned nothing, or is told nothing of the host, must not move prompts.
func TestNothingLearnedIsNoRisk(t *testing.T) {
	is := is.New(t)
	is.Equal((&Model{}).Risk(100_000, 425, longest), 0.)
	m := &Model{}
	m.ObserveGap(time.Second, 0)
	m.ObservePrefill(5000, time.Second, 0)
	is.Equal(m.Risk(100_000, 425, longest), 0.)
	is.Equal(learned().Risk(100_000, 425, 0), 0.) // the route has no longest pause
}

// However long a prompt is, the engine makes tokens of streams between its pieces.
func TestFastHostReadsAnyPromptInTime(t *testing.T) {
	is := is.New(t)
	m := learned()
	is.Equal(m.Risk(200_000, 100, longest), 0.)
	is.True(m.Risk(200_000, 250, longest) > 0.9)
}

func TestRiskGrowsWithTokensAndSlowness(t *testing.T) {
	is := is.New(t)
	m := learned()
	last := 0.
	for tokens := 0.; tokens < 40_000; tokens += 500 {
		risk := m.Risk(tokens, 175, longest)
		is.True(risk >= last)
		last = risk
	}
	is.Equal(last, 1.)
	is.Equal(m.Risk(2000, 175, longest), 0.)
	is.True(m.Risk(4000, 425, longest) > 0.5)
	is.Equal(m.Risk(4000, 175, longest), 0.)
}

// A few streams that were preempted pause for seconds. They must not be taken for what prompts do.
func TestRarePausesAreNotLearned(t *testing.T) {
	is := is.New(t)
	m := learned()
	for i := range 4000 {
		gap := 30 * time.Millisecond
		if i%1000 == 0 {
			gap = 3 * time.Second
		}
		m.ObserveGap(gap, 100)
	}
	is.Equal(m.Risk(200_000, 100, longest), 0.)
}

func TestOnsetsAreLearned(t *testing.T) {
	is := is.New(t)
	var m Moment
	var all Onsets
	now := time.Unix(1000, 0)
	probability, factor := all.Within(1000)
	is.Equal(probability, 0.)
	is.Equal(factor, 1.)
	for range 50 { // each fifth second has a slow moment
		for i := range 50 {
			slowness := 80
			if i < 5 {
				slowness = 200
			}
			m.Observe(slowness, now, &all)
			now = now.Add(100 * time.Millisecond)
		}
	}
	is.True(m.Usual() < 110)
	is.True(m.IsSlow(200))
	is.True(!m.IsSlow(80))
	probability, factor = all.Within(450)
	is.True(probability > 0.07)
	is.True(probability < 0.15)
	is.True(factor > 1.6)
	is.True(factor <= 2.5)
}

// A keeper that was silent for minutes tells nothing of the moments in between.
func TestSilenceIsNoTimeWithoutMoments(t *testing.T) {
	is := is.New(t)
	var m Moment
	var all Onsets
	now := time.Unix(1000, 0)
	m.Observe(80, now, &all)
	m.Observe(200, now.Add(time.Hour), &all)
	probability, _ := all.Within(float64(maxMomentGap.Milliseconds()))
	is.Equal(probability, 1.)
}

// On a host so slow that each event alone takes the longest pause, nothing is read between events.
func TestRiskIsANumberWithoutReadingBetweenEvents(t *testing.T) {
	is := is.New(t)
	m := Model{gap: 20, longest: 20, rate: 50, samples: 100}
	risk := m.Risk(0, 10_000, 400*time.Millisecond)
	is.True(risk >= 0)
	is.True(risk <= 1)
}
