package beechlimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

const tokensPerMinute = 60000 // limit of the workspace that sends without pause

// fleet simulates entry hosts in front of one workspace that always has requests
// to send.
type fleet struct {
	clock     *clockwork.FakeClock
	hosts     []*Limiter
	perSecond []int // tokens admitted per second by all hosts
}

func newFleet(n int) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock()}
	for range n {
		f.addHost()
	}
	f.setEntryHosts(n)
	return f
}

func (f *fleet) addHost() {
	l := New(Settings{EntryHosts: len(f.hosts) + 1}, f.clock)
	l.SetLimits(map[string]Limit{"w": {Tokens: tokensPerMinute}})
	f.hosts = append(f.hosts, l)
}

func (f *fleet) setEntryHosts(n int) {
	for _, h := range f.hosts {
		h.SetEntryHosts(n)
	}
}

// run lets every host admit all it can for a time and returns the tokens
// admitted, as a multiple of the limit.
func (f *fleet) run(d time.Duration) float64 {
	total := 0
	for range int(d / time.Second) {
		admitted := 0
		for _, h := range f.hosts {
			for {
				a, ok := h.Admit("w", 100).(Admitted)
				if !ok {
					break
				}
				a.Grant.Release(Usage{})
				admitted += 100
			}
		}
		f.perSecond = append(f.perSecond, admitted)
		total += admitted
		f.clock.Advance(time.Second)
	}
	return float64(total) / tokensPerMinute / d.Minutes()
}

// busiestMinute returns the most tokens admitted in any minute, as a multiple of
// the limit.
func (f *fleet) busiestMinute() float64 {
	most := 0
	for from := 0; from+60 <= len(f.perSecond); from++ {
		sum := 0
		for _, tokens := range f.perSecond[from : from+60] {
			sum += tokens
		}
		most = max(most, sum)
	}
	return float64(most) / tokensPerMinute
}

// Four hosts share the limit of a workspace that sends without pause. A host
// joins, a host dies, the reported number of hosts flaps, a host is cut off from
// everything, and the fleet is partitioned in two. The total admitted in any
// minute must stay bounded, and the full limit must be usable again after each
// change.
func TestOvershootIsBounded(t *testing.T) {
	is := is.New(t)
	burst := Defaults.Burst.Minutes()

	f := newFleet(4)
	f.run(2 * time.Minute)
	t.Logf("steady: busiest minute %.3f", f.busiestMinute())
	is.True(f.busiestMinute() <= 1+burst)

	f = newFleet(4)
	f.run(time.Minute)
	f.addHost()
	f.run(3 * time.Second) // until the others are told
	f.setEntryHosts(5)
	f.run(2 * time.Minute)
	t.Logf("join: busiest minute %.3f", f.busiestMinute())
	is.True(f.busiestMinute() <= 1+burst+(3.0/60+burst)/4)

	f = newFleet(4)
	f.run(2 * time.Minute)
	f.hosts = f.hosts[:3]
	f.setEntryHosts(3)
	delayed := f.run(Defaults.GrowthDelay)
	after := f.run(time.Minute)
	t.Logf("leave: %.3f of the limit until the shares grow, %.3f after, busiest minute %.3f", delayed, after, f.busiestMinute())
	is.True(delayed >= 0.7)
	is.True(after >= 0.95 && after <= 1.05)

	f = newFleet(4)
	for range 100 {
		f.setEntryHosts(1)
		f.run(time.Second)
		f.setEntryHosts(4)
		f.run(time.Second)
	}
	t.Logf("flapping: busiest minute %.3f", f.busiestMinute())
	is.True(f.busiestMinute() <= 1+burst)

	f = newFleet(4)
	f.setEntryHosts(0)
	f.run(5 * time.Minute)
	t.Logf("cut off: busiest minute %.3f", f.busiestMinute())
	is.True(f.busiestMinute() <= 1+burst)

	f = newFleet(4)
	f.setEntryHosts(2) // two halves that see only themselves
	early := f.run(Defaults.GrowthDelay)
	f.run(5 * time.Minute)
	worst := f.busiestMinute()
	f.setEntryHosts(4)
	healed := f.run(time.Minute)
	t.Logf("partitioned in two: %.3f at first, busiest minute %.3f, %.3f once healed", early, worst, healed)
	is.True(worst <= 2+burst)
	is.True(healed <= 1+2*burst)
}

// All hosts restart at once, with no state but their settings. Each may add no
// more than one burst of its share.
func TestSimultaneousRestart(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	f.run(time.Minute)
	f.hosts = nil
	for range 8 {
		f.addHost()
	}
	f.setEntryHosts(8)
	f.run(time.Minute)
	t.Logf("busiest minute %.3f", f.busiestMinute())
	is.True(f.busiestMinute() <= 1+2*Defaults.Burst.Minutes())
}

// A few workspaces send most of the requests. Each is held to its own limit, a
// workspace that sends little is never rejected, and rejected callers are told
// different retry times.
func TestRejectionsSetRetryAfter(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := New(Settings{}, clock)
	l.SetLimits(map[string]Limit{"large": {Requests: 60}, "small": {Requests: 60}, "few": {Concurrent: 2}})
	var last time.Duration
	for i := range 20 {
		if r, ok := l.Admit("large", 0).(Rejected); ok {
			is.Equal(r.Reason, ReasonRequests)
			is.True(r.RetryAfter > last || r.RetryAfter >= maxPendingRetries)
			last = r.RetryAfter
		} else {
			is.True(i < 5)
		}
	}
	_, ok := l.Admit("small", 0).(Admitted)
	is.True(ok)

	first := l.Admit("few", 0).(Admitted)
	l.Admit("few", 0)
	is.Equal(l.Admit("few", 0).(Rejected).Reason, ReasonConcurrent)
	first.Grant.Release(Usage{})
	first.Grant.Release(Usage{})
	first.Grant.Cancel()
	_, ok = l.Admit("few", 0).(Admitted)
	is.True(ok)
	_, ok = l.Admit("few", 0).(Admitted)
	is.True(!ok) // ending a grant twice frees only one slot
}

// A workspace's small requests use up its tokens as fast as they refill. Its
// large requests, each of half a minute's tokens, must still be admitted now and
// then.
func TestLargeRequestsAreNotStarved(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := New(Settings{}, clock)
	l.SetLimits(map[string]Limit{"w": {Tokens: 60000}})
	large, sum := 0, 0
	r := rand.New(rand.NewPCG(1, 1))
	for range 6000 {
		tokens := 200
		if r.IntN(10) == 0 {
			tokens = 30000
		}
		if _, ok := l.Admit("w", tokens).(Admitted); ok {
			sum += tokens
			large += tokens / 30000
		}
		clock.Advance(100 * time.Millisecond)
	}
	t.Logf("%d large requests, %d tokens in 10 minutes", large, sum)
	is.True(large >= 10)
	is.True(sum <= 10*60000+5000+30000)
}

// Tokens are reserved by estimate. Callers state their maximum, so most of the
// reservation is refunded; a request that used more leaves a debt; if the server
// reports no usage, the estimate is kept; a request that provably did not run
// costs nothing.
func TestTokenReconciliation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	for _, c := range []struct {
		name string
		end  func(*Grant)
		left float64
	}{
		{"less than estimated", func(g *Grant) { g.Release(Usage{Known: true, Tokens: 100}) }, 4900},
		{"more than estimated", func(g *Grant) { g.Release(Usage{Known: true, Tokens: 9000}) }, -4000},
		{"no tokens used", func(g *Grant) { g.Release(Usage{Known: true}) }, 5000},
		{"negative usage", func(g *Grant) { g.Release(Usage{Known: true, Tokens: -1 << 62}) }, 5000},
		{"excessive usage", func(g *Grant) { g.Release(Usage{Known: true, Tokens: 1 << 62}) }, -60000},
		{"unknown usage", func(g *Grant) { g.Release(Usage{}) }, 1000},
		{"not run", func(g *Grant) { g.Cancel() }, 5000},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := New(Settings{}, clock)
			l.SetLimits(map[string]Limit{"w": {Tokens: 60000}})
			c.end(l.Admit("w", 4000).(Admitted).Grant)
			is.Equal(math.Round(l.workspaces["w"].tokens.level), c.left)
		})
	}
}

// Unknown workspaces, requests larger than the limit, negative counts and limits,
// a clock that steps back, and a configuration that changes while requests run
// must all be handled.
func TestInvalidInput(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := New(Settings{Burst: -1, GrowthDelay: -1, Skew: math.NaN(), EntryHosts: -3}, clock)
	is.Equal(l.Admit("w", 1), Rejected{Reason: ReasonUnknown})
	l.SetLimits(map[string]Limit{"w": {Tokens: 600}, "open": {Requests: -1, Tokens: 0, Concurrent: -5}})
	is.Equal(l.Admit("w", 601), Rejected{Reason: ReasonTooLarge})
	g := l.Admit("w", 600).(Admitted) // more than a burst, so only from a full bucket
	is.Equal(l.Admit("w", 1).(Rejected).Reason, ReasonTokens)
	for range 1000 {
		_, ok := l.Admit("open", -7).(Admitted)
		is.True(ok)
	}
	clock.Advance(-time.Hour)
	is.Equal(l.Admit("w", 1).(Rejected).Reason, ReasonTokens)
	l.SetLimits(map[string]Limit{"w": {Tokens: 6000}})
	is.Equal(l.Admit("w", 1).(Rejected).Reason, ReasonTokens) // a configuration change allows no new burst
	l.SetLimits(nil)
	g.Grant.Release(Usage{Known: true})
	is.Equal(l.Admit("w", 1), Rejected{Reason: ReasonUnknown})
	l.SetEntryHosts(1 << 40)
	l.SetLimits(map[string]Limit{"w": {Concurrent: 1}})
	_, ok := l.Admit("w", 1).(Admitted)
	is.True(ok)
}

func BenchmarkAdmitAndRelease(b *testing.B) {
	for _, n := range []int{8, 9300} {
		b.Run(fmt.Sprint("workspaces=", n), func(b *testing.B) {
			l := New(Settings{}, clockwork.NewRealClock())
			limits := make(map[string]Limit)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("workspace ", i)
				limits[names[i]] = Limit{Requests: 1 << 40, Tokens: 1 << 40, Concurrent: 10}
			}
			l.SetLimits(limits)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				if a, ok := l.Admit(names[i%n], 100).(Admitted); ok {
					a.Grant.Release(Usage{Known: true, Tokens: 90})
				}
			}
		})
	}
}
