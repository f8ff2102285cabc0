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
	// fleet is a set of gates in virtual time.
	fleet struct {
		clock  *clockwork.FakeClock
		start  time.Time
		gates  []*Throttle
		events [][]Event
		urgent []bool // gates that must send an update at once
	}

	// elapsed is a Clock that returns the time since a fleet was created.
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

// add starts a gate, in a fleet of n gates.
func (f *fleet) add(n int) *Throttle {
	i := len(f.gates)
	f.events, f.urgent = append(f.events, nil), append(f.urgent, false)
	t := New(fmt.Sprintf("gate-%d", i), uint64(i+1), elapsed{f}, f.clock, func(e Event) { f.events[i] = append(f.events[i], e) }, func() { f.urgent[i] = true })
	t.SetGates(n)
	t.SetServers([]string{server})
	f.gates = append(f.gates, t)
	return t
}

// run lets time pass. Gates send updates every 300 ms, and at once when it is urgent; step is
// called every 10 ms.
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
	update := f.gates[i].NextUpdate()
	for j, to := range f.gates {
		if j != i {
			to.ApplyUpdate(update, fmt.Sprint("gate-", i))
		}
	}
}

// request has a gate send a request to the server, which responds at once with a limit.
func (f *fleet) request(i int, limit ServerLimit) bool {
	if _, ok := f.gates[i].Acquire(server).(beechquota.Admitted); !ok {
		return false
	}
	f.gates[i].Observe(server, 0, limit, f.now())
	return true
}

// Only one gate gets a response that names a limit. The others must learn of it, and all gates
// together must keep to it.
func TestLimitReachesOtherGates(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	is.True(f.request(0, RateLimit{Rate: 2}))
	f.exchange()
	for i, g := range f.gates {
		is.True(g.Limited(server))
		started, ok := f.events[i][0].(LimitStarted)
		is.True(ok)
		is.Equal(started.Source != "", i != 0)
		is.Equal(started.Rate, 2.0)
		is.Equal(started.Server, server)
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

// maxInWindow is the number of requests that bounds allow in a window at two requests per second.
const maxInWindow = 2*4*3/2 + 5

// A gate starts while a server has a limit. It must learn of the limit before it sends.
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

// A server's response names no limit any more. The limit must be lifted at all gates.
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

// A server names a limit of 0. It must be probed now and then, or no gate would learn when the
// limit ends.
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

// No request was sent to a limited server for a while. It must become due for a probe at each
// gate, and the limit must be relaxed gradually.
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

// A server restarts under its ID. It must have no limit, also when other gates report that of its
// previous lifetime.
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

// A gate's update from a time at which a server had no limit arrives seconds late. It must not
// lift the limit that the server has named since.
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

// Responses name invalid limits. These must be counted and logged, and neither lift the last valid
// limit nor confirm it.
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

// A gate receives no updates. It must keep to its share of a limit.
func TestIsolatedGateKeepsToItsShare(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	isolated := f.gates[3]
	isolated.Observe(server, 0, RateLimit{Rate: 4}, f.now())
	f.gates = f.gates[3:]
	sent := 0
	f.run(20*time.Second, func() {
		if _, ok := isolated.Acquire(server).(beechquota.Admitted); ok {
			sent++
			isolated.Observe(server, 0, RateLimit{Rate: 4}, f.now())
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
