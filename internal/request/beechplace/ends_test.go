package beechplace

import (
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/beechring/beechring/internal/decision/beechbackup"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

type (
	// lifetime is one process of a server, in milliseconds of the test.
	lifetime struct {
		from, to int
		leavesAt int // from when on it says that it leaves; to if it crashes
	}

	// report is a keeper's report on its way to a gate.
	report struct {
		arrives int
		state   State
	}
)

// drawLifetimes returns processes of one server, one after the other.
func drawLifetimes(t *rapid.T) []lifetime {
	var list []lifetime
	at := 1
	for range rapid.IntRange(2, 5).Draw(t, "lifetimes") {
		l := lifetime{from: at, to: at + rapid.IntRange(50, 3000).Draw(t, "length")}
		l.leavesAt = l.to
		if rapid.Bool().Draw(t, "leaves") {
			l.leavesAt = max(l.from, l.to-rapid.IntRange(600, 2500).Draw(t, "notice"))
		}
		list = append(list, l)
		at = l.to + rapid.IntRange(5, 1500).Draw(t, "down")
	}
	return list
}

// keeperReports returns what a keeper reports of these processes. Reports take up to maxReportDelay.
func keeperReports(t *rapid.T, list []lifetime, until int) []report {
	var reports []report
	number, born, leaves, misses := uint32(0), uint64(0), false, 0
	for at := 0; at < until; at += rapid.IntRange(40, 240).Draw(t, "poll") {
		s := State{Number: number, Born: born, Phase: beechrollout.Serving}
		i := slices.IndexFunc(list, func(l lifetime) bool { return l.from <= at && at < l.to })
		listens := i >= 0 && (list[i].leavesAt == list[i].to || at < list[i].to-100) // one that leaves closes its listener first
		switch misses++; {
		case listens:
			born, leaves, misses = uint64(list[i].from), at >= list[i].leavesAt, 0
			s.Born = born
		case misses < 2:
		case leaves:
			s.Phase = beechrollout.Down
		default:
			s.Phase = beechrollout.Exited
		}
		number++
		if !rapid.Bool().Draw(t, "lost") {
			reports = append(reports, report{at + rapid.IntRange(0, int(maxReportDelay.Milliseconds())-300).Draw(t, "delay"), s})
		}
	}
	slices.SortStableFunc(reports, func(x, y report) int { return x.arrives - y.arrives })
	return reports
}

// Guards against a run that goes on elsewhere while the process that ran it is alive, whatever the gate believed of its lifetime.
func TestEvidenceIsOfTheProcessThatRanTheRequest(t *testing.T) {
	proved := 0
	rapid.Check(t, func(t *rapid.T) {
		list := drawLifetimes(t)
		end := list[len(list)-1].to + 2000
		reports := keeperReports(t, list, end)
		runner := list[rapid.IntRange(0, len(list)-1).Draw(t, "runner")]
		begun := rapid.IntRange(runner.from, runner.to-1).Draw(t, "begun")
		broken := rapid.IntRange(begun, min(begun+4000, end)).Draw(t, "broken")
		heard := min(broken, runner.to)

		f := newFleet(1)
		clock, p := f.clock, f.Placer
		server := beechcall.Server{ID: "e1", Service: "llm", Address: address(1), Born: 1}
		p.SetServers([]beechcall.Server{server})
		start := clock.Now()
		believed, next := beechcall.Server{}, 0
		for at := range end {
			for ; next < len(reports) && reports[next].arrives == at; next++ {
				reports[next].state.Address = server.Address
				p.UpdateState(reports[next].state)
			}
			if at == begun {
				believed = p.byID["e1"].Server
			}
			if at >= broken && at < broken+1000 {
				run := LostRun{BegunAt: start.Add(time.Duration(begun) * time.Millisecond), HeardAt: start.Add(time.Duration(heard) * time.Millisecond), Leaves: begun >= runner.leavesAt}
				p.mu.Lock()
				evidence := p.endOf(believed, run, beechbackup.Silent)
				p.mu.Unlock()
				if evidence != "" {
					proved++
					if at < runner.to {
						t.Fatalf("%s at %d: %+v runs since %d", evidence, at, runner, begun)
					}
				}
			}
			clock.Advance(time.Millisecond)
		}
	})
	is.New(t).True(proved > 0)
}

// Guards against a run that goes on while its server finishes answers behind a closed listener, or may leave unheard of.
func TestRefusalOfALivingServerIsNoEvidence(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	clock, p := f.clock, f.Placer
	recent := true
	p.settings.ListIsRecent = func() bool { return recent }
	server := beechcall.Server{ID: "e1", Service: "llm", Address: address(1), Born: 1}
	p.SetServers([]beechcall.Server{server})
	number := uint32(0)
	exits := func() {
		number++
		p.UpdateState(State{Number: number, Address: server.Address, Born: 1, Phase: beechrollout.Exited})
	}
	endOf := func(run LostRun) beechbackup.Evidence {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.endOf(server, run, beechbackup.Silent)
	}
	run := LostRun{BegunAt: clock.Now(), HeardAt: clock.Now()}
	clock.Advance(2 * maxReportDelay)
	exits()
	is.Equal(endOf(run), beechbackup.ExitedOnItsHost)
	recent = false
	is.Equal(endOf(run), beechbackup.Evidence(""))
	recent = true
	run.HeardAt = clock.Now()
	clock.Advance(200 * time.Millisecond)
	exits()
	is.Equal(endOf(run), beechbackup.Evidence("")) // it has sent events since it was first said to have exited
}

// Guards against an old list that counts as recent since the setting that tells its age is lost on its way.
func TestOldListShowsNoEnd(t *testing.T) {
	is := is.New(t)
	for _, recent := range []bool{true, false} {
		p := New(Settings{ListIsRecent: func() bool { return recent }}, clockwork.NewFakeClock(), nil, nil, nil, nil, nil)
		is.Equal(p.listIsRecent(), recent)
	}
}

// Guards against late news of the lifetime that runs a request, as reports before it were lost, taken for news of its successor.
func TestNewsThatIsLateForLostReportsIsNoEvidence(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	server := beechcall.Server{ID: "e1", Service: "llm", Address: address(1), Born: 1}
	f.SetServers([]beechcall.Server{server})
	report := func(number uint32, born uint64) {
		f.UpdateState(State{Number: number, Address: server.Address, Born: born, Phase: beechrollout.Serving})
	}
	run := func() LostRun { return LostRun{BegunAt: f.clock.Now(), HeardAt: f.clock.Now()} }
	endOf := func(run LostRun) beechbackup.Evidence {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.endOf(server, run, beechbackup.Silent)
	}
	report(1, 1)
	second := run() // it has restarted, unheard of
	f.clock.Advance(3 * maxReportDelay)
	report(2, 2)
	is.Equal(endOf(second), beechbackup.Evidence(""))
	f.clock.Advance(maxReportDelay)
	report(3, 2)
	f.clock.Advance(maxReportDelay)
	report(4, 3)
	is.Equal(endOf(second), beechbackup.LaterLifetime)
}
