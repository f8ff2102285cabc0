package beechadmission

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

var (
	urgent = Request{Service: "llm", Rank: 0, Workspace: "a", ID: "1", Objective: 500 * time.Millisecond, Prompt: 9000}
	other  = Request{Service: "llm", Rank: 2, Workspace: "a", ID: "2", Objective: 1500 * time.Millisecond, Prompt: 800}
	idle   = Room{Rate: 50, Slots: 64, Running: 10, Used: 10_000, Free: 90_000, Residence: 500}
	full   = Room{Rate: 50, Slots: 64, Running: 60, Waiting: 8, Queued: 30_000, Used: 90_000, Free: -20_000, Residence: 1000}
)

func ask(c *Controller, q Request) Admission {
	admission := c.Check(q)
	c.Record(q, Outcome{Unread: q.Prompt})
	return admission
}

func TestModes(t *testing.T) {
	is := is.New(t)
	for _, mode := range []Mode{Auto, On, Off} {
		c := New(mode, clockwork.NewFakeClock())
		ask(c, urgent)
		_, open := ask(c, other).(Open)
		is.Equal(open, mode != On) // no server has told its host's slowness
		c.Enable("llm")
		ask(c, urgent)
		_, open = ask(c, other).(Open)
		is.Equal(open, mode == Off)
	}
}

// With Auto, a gate that starts controls what others control.
func TestAutoFollowsOtherGates(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	first, second := New(Auto, clock), New(Auto, clock)
	first.Enable("llm")
	ask(first, urgent)
	demands, controls := first.TakeDemands()
	is.True(controls)
	second.Merge(demands, time.Second)
	ask(second, urgent)
	_, open := ask(second, other).(Open)
	is.True(!open)
	demands, _ = first.TakeDemands()
	is.Equal(len(demands), 0) // all has been taken
}

func TestRoomIsKeptForMoreUrgentRanksInDemand(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c := New(On, clock)
	ask(c, urgent)
	limits := ask(c, other).(*Limits)
	is.True(limits.Admit(idle))
	is.True(!limits.Admit(full))
	is.True(limits.Excess(full) > 100*time.Millisecond)
	clock.Advance(demandTTL)
	busy := Room{Rate: 50, Slots: 64, Running: 60, Waiting: 2, Queued: 15_000, Used: 50_000, Free: 50_000, Residence: 1000}
	is.True(!limits.Admit(busy))
	is.True(ask(c, other).(*Limits).Admit(busy)) // nobody is more urgent any more, and its own objective is long
}

// The least urgent are refused first, and within a rank standings rotate.
func TestStandings(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c := New(On, clock)
	middle := Request{Service: "llm", Rank: 1, Workspace: "a", Subject: "s", ID: "3", Objective: time.Second, Prompt: 800}
	other := other
	other.Subject = "s"
	lowest, highest := 1., 0.
	for range 50 {
		ask(c, urgent)
		ask(c, other)
		y, x := ask(c, middle).(*Limits), ask(c, other).(*Limits)
		is.True(x.Level < 0.5 && y.Level >= 0.5 && y.Level < 1)
		is.Equal(ask(c, other).(*Limits).Level, x.Level) // a subject keeps its standing for a while
		lowest, highest = min(lowest, x.Level), max(highest, x.Level)
		clock.Advance(rotationTime)
	}
	is.True(lowest < 0.1 && highest > 0.4)
	ask(c, urgent)
	ask(c, middle)
	other.Returned = true
	is.Equal(ask(c, other).(*Limits).Level, 0.5) // above all others of its rank
}

func TestStatesShowTheShortage(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c := New(On, clock)
	ask(c, urgent)
	limits := c.Check(other).(*Limits)
	c.Record(other, Outcome{Unread: 800, Refused: true})
	is.True(c.NoteRefusal("llm", limits, 80*time.Millisecond))
	is.True(!c.NoteRefusal("llm", limits, 80*time.Millisecond))
	after, controlled := c.After("llm", 2)
	is.True(controlled)
	is.Equal(after, 80*time.Millisecond)
	_, controlled = New(Auto, clock).After("llm", 2)
	is.True(!controlled)
	state := c.States()["llm"]
	is.True(state.Short)
	is.Equal(state.Rank, 2)
	is.Equal(state.Refused[2], int64(1))
	is.True(state.AskedPerSecond[0] > 0 && state.RefusedPerSecond[2] > 0)
	clock.Advance(shortagePause + time.Millisecond)
	is.True(!c.States()["llm"].Short)
	after, controlled = c.After("llm", 2)
	is.True(controlled)
	is.Equal(after, time.Duration(0))
	is.Equal(c.EndedShortages(), []Shortage{{Service: "llm", Refused: 2}})
	is.Equal(len(c.EndedShortages()), 0)
	is.True(c.NoteRefusal("llm", limits, 80*time.Millisecond))
}

func TestTotalsSumUp(t *testing.T) {
	is := is.New(t)
	totals := NewTotals()
	totals.Add([]Demand{{Service: 1, Rank: 2, Asked: 3, Work: 10}, {Service: 1, Rank: 2, Workspace: 7, Asked: 3}, {Service: 1, Rank: 2, Workspace: 8, Asked: 5}}, time.Second, true)
	totals.Add([]Demand{{Service: 1, Rank: 2, Asked: 4, Refused: 1, Work: 5}}, 2*time.Second, false)
	list, covered := totals.Take(Near, 2)
	is.Equal(list, []Demand{{Service: 1, Rank: 2, Asked: 7, Refused: 1, Work: 15}, {Service: 1, Rank: 2, Workspace: 8, Asked: 5}})
	is.Equal(covered, 3*time.Second)
	list, covered = totals.Take(Far, 1) // not told back to other zones
	is.Equal(list, []Demand{{Service: 1, Rank: 2, Asked: 3, Work: 10}})
	is.Equal(covered, time.Second)
	list, covered = totals.Take(Near, 9)
	is.Equal(len(list), 0)
	is.Equal(covered, time.Duration(0))
}
