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

const limitTokens = 60000 // a minute, of the workspace that asks without end

// fleet is some entry hosts in front of one workspace that always asks.
type fleet struct {
	clock   *clockwork.FakeClock
	hosts   []*Limiter
	seconds []int // tokens admitted in each second by all
}

func newFleet(n int) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock()}
	for range n {
		f.join()
	}
	f.told(n)
	return f
}

func (f *fleet) join() {
	l := New(Settings{EntryHosts: len(f.hosts) + 1}, f.clock)
	l.SetLimits(map[string]Limit{"w": {Tokens: limitTokens}})
	f.hosts = append(f.hosts, l)
}

func (f *fleet) told(n int) {
	for _, h := range f.hosts {
		h.SetEntryHosts(n)
	}
}

// run lets every host admit all it can for a time and gives what was admitted
// in it against the limit.
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
		f.seconds = append(f.seconds, admitted)
		total += admitted
		f.clock.Advance(time.Second)
	}
	return float64(total) / limitTokens / d.Minutes()
}

// worst is the most that was admitted in any minute against the limit.
func (f *fleet) worst() float64 {
	most := 0
	for from := 0; from+60 <= len(f.seconds); from++ {
		sum := 0
		for _, s := range f.seconds[from : from+60] {
			sum += s
		}
		most = max(most, sum)
	}
	return float64(most) / limitTokens
}

// Four hosts share a limit that the workspace asks for without end. One host
// joins, one dies, the count flaps, one host is cut off from everybody, and
// then the fleet is cut in two. What all of them admit together in any minute
// is bounded, and the limit is usable again after each change.
func TestOvershootIsBounded(t *testing.T) {
	is := is.New(t)
	burst := Defaults.Burst.Minutes()

	f := newFleet(4)
	f.run(2 * time.Minute)
	t.Logf("steady: worst minute %.3f", f.worst())
	is.True(f.worst() <= 1+burst)

	f = newFleet(4)
	f.run(time.Minute)
	f.join()
	f.run(3 * time.Second) // until the others hear of it
	f.told(5)
	f.run(2 * time.Minute)
	t.Logf("join: worst minute %.3f", f.worst())
	is.True(f.worst() <= 1+burst+(3.0/60+burst)/4)

	f = newFleet(4)
	f.run(2 * time.Minute)
	f.hosts = f.hosts[:3]
	f.told(3)
	before := f.run(Defaults.GrowthDelay)
	after := f.run(time.Minute)
	t.Logf("leave: %.3f of the limit until it settles, %.3f after, worst minute %.3f", before, after, f.worst())
	is.True(before >= 0.7)
	is.True(after >= 0.95 && after <= 1.05)

	f = newFleet(4)
	for range 100 {
		f.told(1)
		f.run(time.Second)
		f.told(4)
		f.run(time.Second)
	}
	t.Logf("flapping: worst minute %.3f", f.worst())
	is.True(f.worst() <= 1+burst)

	f = newFleet(4)
	f.told(0)
	f.run(5 * time.Minute)
	t.Logf("cut off: worst minute %.3f", f.worst())
	is.True(f.worst() <= 1+burst)

	f = newFleet(4)
	f.told(2) // two halves, each sees itself
	early := f.run(Defaults.GrowthDelay)
	f.run(5 * time.Minute)
	worst := f.worst()
	f.told(4)
	healed := f.run(time.Minute)
	t.Logf("cut in two: %.3f at first, worst minute %.3f, after it %.3f", early, worst, healed)
	is.True(worst <= 2+burst)
	is.True(healed <= 1+2*burst)
}

// All hosts restart at once and know nothing but their settings. Each starts
// with one burst of its share; no more.
func TestHerdAfterRestart(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	f.run(time.Minute)
	f.hosts = nil
	for range 8 {
		f.join()
	}
	f.told(8)
	f.run(time.Minute)
	t.Logf("worst minute %.3f", f.worst())
	is.True(f.worst() <= 1+2*Defaults.Burst.Minutes())
}

// A few workspaces send most. Each is held to its own limit, one that asks
// little is never refused, and those refused are told times that spread.
func TestRefusalsSayWhen(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := New(Settings{}, clock)
	l.SetLimits(map[string]Limit{"large": {Requests: 60}, "small": {Requests: 60}, "few": {Concurrent: 2}})
	var last time.Duration
	for i := range 20 {
		if r, ok := l.Admit("large", 0).(Rejected); ok {
			is.Equal(r.Reason, ReasonRequests)
			is.True(r.RetryAfter > last || r.RetryAfter >= maxPromised)
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
	is.True(!ok) // a grant ended twice frees one place
}

// A workspace's small requests take all tokens as they come. Its large ones,
// each of half a minute's tokens, must still go on now and then.
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

// Tokens are reserved by estimate. Callers name their maximum, so most
// is given back; some take more, which they owe; a server that says nothing
// leaves the estimate; work proved not run costs nothing.
func TestReconcile(t *testing.T) {
	clock := clockwork.NewFakeClock()
	for _, c := range []struct {
		name string
		end  func(*Grant)
		left float64
	}{
		{"less", func(g *Grant) { g.Release(Usage{Known: true, Tokens: 100}) }, 4900},
		{"more", func(g *Grant) { g.Release(Usage{Known: true, Tokens: 9000}) }, -4000},
		{"nothing", func(g *Grant) { g.Release(Usage{Known: true}) }, 5000},
		{"negative", func(g *Grant) { g.Release(Usage{Known: true, Tokens: -1 << 62}) }, 5000},
		{"absurd", func(g *Grant) { g.Release(Usage{Known: true, Tokens: 1 << 62}) }, -60000},
		{"unknown", func(g *Grant) { g.Release(Usage{}) }, 1000},
		{"not run", func(g *Grant) { g.Cancel() }, 5000},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := New(Settings{}, clock)
			l.SetLimits(map[string]Limit{"w": {Tokens: 60000}})
			c.end(l.Admit("w", 4000).(Admitted).Grant)
			is.Equal(math.Round(l.accounts["w"].tokens.level), c.left)
		})
	}
}

// A workspace that is not configured, a request larger than the limit, counts
// below zero, limits of zero, a clock that is set back, a configuration that
// changes under running requests: each has its answer.
func TestBadInput(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := New(Settings{Burst: -1, GrowthDelay: -1, Skew: math.NaN(), EntryHosts: -3}, clock)
	is.Equal(l.Admit("w", 1), Rejected{Reason: ReasonUnknown})
	l.SetLimits(map[string]Limit{"w": {Tokens: 600}, "open": {Requests: -1, Tokens: 0, Concurrent: -5}})
	is.Equal(l.Admit("w", 601), Rejected{Reason: ReasonTooLarge})
	g := l.Admit("w", 600).(Admitted) // more than a burst: from a full bucket, once
	is.Equal(l.Admit("w", 1).(Rejected).Reason, ReasonTokens)
	for range 1000 {
		_, ok := l.Admit("open", -7).(Admitted)
		is.True(ok)
	}
	clock.Advance(-time.Hour)
	is.Equal(l.Admit("w", 1).(Rejected).Reason, ReasonTokens)
	l.SetLimits(map[string]Limit{"w": {Tokens: 6000}})
	is.Equal(l.Admit("w", 1).(Rejected).Reason, ReasonTokens) // a change gives no new burst
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
