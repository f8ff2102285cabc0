package beechthrottle

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechquota"
)

type (
	// fleet is gates in virtual time.
	fleet struct {
		clock  *clockwork.FakeClock
		start  time.Time
		gates  []*Throttle
		events [][]Event
		urgent []bool // gates that are to speak at once
	}

	// since gives the time since a fleet began.
	elapsed struct{ f *fleet }
)

func (s elapsed) Now() time.Duration { return s.f.now() }

func (f *fleet) now() time.Duration { return f.clock.Since(f.start) }

func newFleet(n int) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock()}
	f.start = f.clock.Now()
	for range n {
		f.add(n)
	}
	f.run(3*time.Second, nil)
	return f
}

// add starts a gate among so many.
func (f *fleet) add(n int) *Throttle {
	i := len(f.gates)
	f.events, f.urgent = append(f.events, nil), append(f.urgent, false)
	t := New(fmt.Sprintf("gate-%d", i), uint64(i+1), elapsed{f}, f.clock, func(e Event) { f.events[i] = append(f.events[i], e) }, func() { f.urgent[i] = true })
	t.SetGates(n)
	t.SetServers([]string{server})
	f.gates = append(f.gates, t)
	return t
}

// live lets time pass, in which gates speak each 300 ms and at once where it is urgent,
// and calls step every ten milliseconds.
func (f *fleet) run(length time.Duration, step func()) {
	for n := range int(length / (10 * time.Millisecond)) {
		f.clock.Advance(10 * time.Millisecond)
		if step != nil {
			step()
		}
		for i := range f.gates {
			if n%30 == i%30 || f.urgent[i] && n%5 == 0 {
				f.send(i)
			}
		}
	}
}

func (f *fleet) exchange() {
	for i := range f.gates {
		f.send(i)
	}
}

func (f *fleet) send(i int) {
	f.urgent[i] = false
	if !f.gates[i].HasUpdate() {
		return
	}
	w := f.gates[i].NextUpdate()
	for j, to := range f.gates {
		if j != i {
			to.ApplyUpdate(w, fmt.Sprint("gate-", i))
		}
	}
}

// ask has a gate send a request to the server, which answers at once with a limit.
func (f *fleet) request(i int, said ServerLimit) bool {
	if _, ok := f.gates[i].Acquire(server).(beechquota.Admitted); !ok {
		return false
	}
	f.gates[i].Observe(server, 0, said, f.now())
	return true
}

// A gate has never been answered by a server in need. It knows of the limit from the
// others, and keeps to it with them.
func TestLimitReachesOtherGates(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	is.True(f.request(0, RateLimit{Rate: 2}))
	f.exchange()
	for i, g := range f.gates {
		is.True(g.Limited(server))
		began, ok := f.events[i][0].(LimitStarted)
		is.True(ok)
		is.Equal(began.Source != "", i != 0)
		is.Equal(began.Rate, 2.0)
		is.Equal(began.Server, server)
	}
	var sent []time.Duration
	f.run(30*time.Second, func() {
		for i := range f.gates {
			if f.request(i, RateLimit{Rate: 2}) {
				sent = append(sent, f.now())
			}
		}
	})
	t.Log(len(sent))
	is.True(len(sent) <= 2*30+5)
	is.True(len(sent) >= 2*30*7/10) // it is not left idle
	for i, at := range sent {
		if i >= maxInWindow {
			is.True(at-sent[i-maxInWindow] > bounds.Window)
		}
	}
}

// tolerated of two requests a second in a window.
const maxInWindow = 2*4*3/2 + 5

// A gate starts while a server is in need, and asks. The others tell it before it sends.
func TestStartingGateLearnsLimits(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	is.True(f.request(0, RateLimit{Rate: 1}))
	f.exchange()
	f.run(2*time.Second, nil)
	fresh := f.add(4)
	f.exchange()
	f.exchange()
	is.True(fresh.Limited(server))
}

// A server's need is over: its limit is lifted at all gates by one answer.
func TestLimitIsLiftedAtAllGates(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	is.True(f.request(0, RateLimit{Rate: 1}))
	f.exchange()
	f.run(3*time.Second, nil)
	is.True(f.request(1, NoLimit{}))
	f.exchange()
	for i, g := range f.gates {
		is.True(!g.Limited(server))
		_, ended := f.events[i][len(f.events[i])-1].(LimitEnded)
		is.True(ended)
	}
}

// A server names 0, and nobody would ever hear that its need is over. It is asked again,
// seldom.
func TestZeroLimitIsProbed(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	is.True(f.request(0, RateLimit{Rate: 0}))
	f.exchange()
	sent := 0
	f.run(40*time.Second, func() {
		for i := range f.gates {
			if f.request(i, RateLimit{Rate: 0}) {
				sent++
			}
		}
	})
	is.True(sent >= 2)
	is.True(sent <= 10)
}

// Nobody has sent anything to a server in need for a while. It is due to be asked, by one
// gate first, and by and by its limit is believed less.
func TestUnconfirmedLimitIsProbedAndRelaxed(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	is.True(f.request(0, RateLimit{Rate: 0.5}))
	f.run(freshFor-50*time.Millisecond, nil)
	is.True(!f.gates[0].ProbeDue(server) && !f.gates[1].ProbeDue(server))
	f.run(freshFor+50*time.Millisecond, nil)
	is.True(f.gates[0].ProbeDue(server) && f.gates[1].ProbeDue(server))
	is.True(f.request(0, RateLimit{Rate: 0.5}))
	f.exchange()
	is.True(!f.gates[0].ProbeDue(server) && !f.gates[1].ProbeDue(server))
	f.run(20*time.Second, nil)
	is.True(f.gates[0].Rate(server) > 0.5)
	is.True(f.gates[0].Rate(server) <= maxRelaxFactor*0.5+probeRate)
	f.run(time.Minute, nil)
	is.True(!f.gates[0].HasLimits())
	is.True(!f.gates[1].HasLimits())
}

// A server begins another lifetime under its ID. It has no limit, and what others say of
// the lifetime before gives it none.
func TestServerRestartEndsLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.gates[0].Observe(server, 5, RateLimit{Rate: 1}, f.now())
	f.exchange()
	f.run(time.Second, nil)
	f.gates[0].ServerRestarted(server, 9)
	is.True(!f.gates[0].Limited(server))
	f.exchange()
	f.run(3*time.Second, nil)
	is.True(!f.gates[0].Limited(server))
	is.True(!f.gates[1].Limited(server))
}

// A gate was suspended while a server's need began and grew. What it believed before must
// not lift the limit at the others.
func TestOldUpdateDoesNotLiftLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	is.True(f.request(1, RateLimit{Rate: 1}))
	f.exchange()
	f.run(time.Second, nil)
	is.True(f.request(1, NoLimit{}))
	old := f.gates[1].NextUpdate()
	f.exchange()
	f.run(2*time.Second, nil)
	is.True(f.request(0, RateLimit{Rate: 1}))
	f.gates[0].ApplyUpdate(old, "gate-1") // it comes seconds late
	is.True(f.gates[0].Limited(server))
}

// Answers name limits that cannot be used. They are counted and told, and neither lift
// the last good one nor keep it for ever.
func TestInvalidLimits(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	g := f.gates[0]
	g.Observe(server, 0, InvalidLimit{Text: "-1"}, f.now())
	is.True(!g.Limited(server))
	g.Observe(server, 0, RateLimit{Rate: 1}, f.now())
	g.Observe(server, 0, InvalidLimit{Text: "many"}, f.now())
	is.True(g.Limited(server))
	is.Equal(g.State().Invalid, 2)
	f.run(retention+time.Second, func() { g.Observe(server, 0, InvalidLimit{Text: "many"}, f.now()) })
	is.True(!g.Limited(server))
	for _, bad := range []LimitUpdate{{Rate: -5, SentAge: -1}, {Rate: 1e300, SentAge: 2, ReceivedAge: 1}, {Rate: 1, SentAge: 1, ReceivedAge: 2}, {Rate: 1, SentAge: 25 * time.Hour}} {
		bad.Server = 77
		g.ApplyUpdate(Update{Limits: []LimitUpdate{bad}}, "gate-1")
	}
	is.True(!g.HasLimits())
}

// A gate hears no other. It keeps to a share of the limit.
func TestIsolatedGateKeepsToItsShare(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	alone := f.gates[3]
	alone.Observe(server, 0, RateLimit{Rate: 4}, f.now())
	f.gates = f.gates[3:]
	sent := 0
	f.run(20*time.Second, func() {
		if _, ok := alone.Acquire(server).(beechquota.Admitted); ok {
			sent++
			alone.Observe(server, 0, RateLimit{Rate: 4}, f.now())
		}
	})
	t.Log(sent)
	is.True(sent <= 20*4/4*3/2)
	is.True(sent >= 20*4/4/3)
}

func BenchmarkTake(b *testing.B) {
	f := newFleet(2)
	for n := range 1000 {
		f.gates[0].Observe(fmt.Sprintf("i-%d", n), 0, RateLimit{Rate: 2}, f.now())
	}
	f.exchange()
	names := make([]string, 4000)
	for n := range names {
		names[n] = fmt.Sprintf("i-%d", n)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		f.gates[0].Acquire(names[n%len(names)])
	}
}
