package beechstrain

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	urgent = 0
	late   = 5
	rate   = 50. // tokens per millisecond
)

var start = time.Unix(1000, 0)

func reportAt(after time.Duration, waiting, prefilling, leastUrgent int) Report {
	return Report{At: start.Add(after), Waiting: waiting, Prefilling: prefilling, LeastUrgent: leastUrgent, PrefillRate: rate, ArrivalDelay: 15 * time.Millisecond}
}

// Requests of two urgencies arrive at a busy engine, which admits the urgent ones first.
func TestMostUrgentAreAdmittedFirst(t *testing.T) {
	is := is.New(t)
	var b Backlog
	for range 4 {
		b.Announce(late, 600, start)
		b.Announce(urgent, 3000, start)
	}
	b.Update(reportAt(100*time.Millisecond, 5, 3, late))
	s := b.Fill(Strain{Ranks: []RankLoad{{Urgency: late, Running: 9, CacheUsed: 9000}}})
	is.Equal(s.Ranks, []RankLoad{{Urgency: urgent, Waiting: 1, Reading: 3000}, {Urgency: late, Running: 9, CacheUsed: 9000, Waiting: 4, Reading: 2400}})
	is.Equal(s.Reading, 9000)
	b.Update(reportAt(160*time.Millisecond, 4, 4, late))
	s = b.Fill(Strain{})
	is.Equal(s.Ranks, []RankLoad{{Urgency: late, Waiting: 4, Reading: 2400}})
	is.Equal(s.Reading, 9000) // 3000 were prefilled meanwhile, and as many admitted
	b.Update(reportAt(200*time.Millisecond, 4, 0, late))
	is.Equal(b.Fill(Strain{}).Reading, 0)
}

// An announcement may be on its way faster or slower than the request: one that was just heard is
// not taken for admitted.
func TestRecentAnnouncementsWait(t *testing.T) {
	is := is.New(t)
	var b Backlog
	b.Announce(urgent, 3000, start)
	b.Update(reportAt(10*time.Millisecond, 0, 0, late))
	is.Equal(b.Fill(Strain{}).Ranks, []RankLoad{{Urgency: urgent, Waiting: 1, Reading: 3000}})
	b.Update(reportAt(70*time.Millisecond, 0, 1, late))
	is.Equal(len(b.Fill(Strain{}).Ranks), 0)
}

// Announcements are lost, doubled, or not sent by gates of the release before. What the engine
// reports bounds the error.
func TestLostAnnouncementsAreMadeUpFor(t *testing.T) {
	is := is.New(t)
	var b Backlog
	b.Announce(urgent, 3000, start)
	b.Announce(urgent, 3000, start)
	b.Update(reportAt(100*time.Millisecond, 6, 0, late))
	is.Equal(b.Fill(Strain{}).Ranks, []RankLoad{{Urgency: urgent, Waiting: 2, Reading: 6000}, {Urgency: late, Waiting: 4}})
	b.Update(reportAt(160*time.Millisecond, 0, 0, 0))
	is.Equal(len(b.Fill(Strain{}).Ranks), 0)
}

// An urgency that engines do not know, from a faulty gate.
func TestUnknownUrgenciesAreIgnored(t *testing.T) {
	is := is.New(t)
	var b Backlog
	b.Announce(-1, 10, start)
	b.Announce(urgencies, 10, start)
	b.Announce(late, -10, start)
	b.Update(Report{At: start.Add(time.Second), Waiting: 1, LeastUrgent: 77})
	is.Equal(b.Fill(Strain{}).Ranks, []RankLoad{{Urgency: urgencies - 1, Waiting: 1}})
}

// Whatever is announced and reported, in any order: as many wait as the engine has last reported,
// and the tokens are none below zero.
func TestBacklogAgreesWithReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var b Backlog
		now := start
		for range 60 {
			now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
			for range random.IntN(5) {
				b.Announce(random.IntN(urgencies), random.IntN(9000), now)
			}
			if random.IntN(2) == 0 {
				continue
			}
			now = now.Add(20 * time.Millisecond)
			waiting := random.IntN(20)
			b.Update(Report{At: now, Waiting: waiting, Prefilling: random.IntN(3), LeastUrgent: random.IntN(urgencies), PrefillRate: rate, ArrivalDelay: 15 * time.Millisecond})
			total := 0
			for _, r := range b.Fill(Strain{}).Ranks {
				total += r.Waiting
				if r.Reading < 0 {
					t.Fatalf("negative tokens: %+v", r)
				}
			}
			if total != waiting {
				t.Fatalf("%d wait, the engine says %d", total, waiting)
			}
		}
	})
}

// A report with a negative number of waiting requests must not end the keeper.
func TestNegativeWaitingCountsAsNone(t *testing.T) {
	is := is.New(t)
	var b Backlog
	b.Announce(urgent, 3000, start)
	b.Update(reportAt(100*time.Millisecond, -1, 3, late))
	is.Equal(b.Fill(Strain{}).Ranks, nil)
}
