package beechhealth

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// fleet simulates servers that receive requests according to their weights.
type fleet struct {
	t             *Tracker
	clock         *clockwork.FakeClock
	random        *rand.Rand
	servers       []netip.AddrPort
	latencyFactor func(i int, at time.Duration) float64 // multiple of the usual latency
	fails         func(i int, at time.Duration) bool
	elapsed       time.Duration
	sent          []int
	stepsOut      []int // steps of the simulation in which a server had weight 0
	ejections     []int // number of times each server went out of service
	wasOut        []bool
	maxOut        int // most servers out of service at once
}

func newFleet(n int) *fleet {
	f := &fleet{
		clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(1, 1)),
		latencyFactor: func(int, time.Duration) float64 { return 1 }, fails: func(int, time.Duration) bool { return false },
		sent: make([]int, n), stepsOut: make([]int, n), ejections: make([]int, n), wasOut: make([]bool, n),
	}
	f.t = New(Settings{}, f.clock)
	for i := range n {
		f.servers = append(f.servers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i)}), 7000))
	}
	f.t.SetServers("m", f.servers)
	return f
}

// run sends 5 requests per second and server, according to the weights.
func (f *fleet) run(d time.Duration) {
	for end := f.elapsed + d; f.elapsed < end; f.elapsed += 100 * time.Millisecond {
		for range len(f.servers) / 2 {
			f.send()
		}
		zero := 0
		for i, a := range f.servers {
			w := f.t.Weight(a)
			if w == 0 {
				f.stepsOut[i]++
				zero++
			}
			if w == 0 && !f.wasOut[i] {
				f.ejections[i]++
			}
			f.wasOut[i] = w == 0
		}
		f.maxOut = max(f.maxOut, zero)
		f.clock.Advance(100 * time.Millisecond)
	}
}

func (f *fleet) send() {
	for {
		i := f.random.IntN(len(f.servers))
		if f.random.Float64() >= f.t.Weight(f.servers[i]) {
			continue
		}
		f.sent[i]++
		tokens := f.random.IntN(4000)
		first := time.Duration(float64(tokens+100) * f.latencyFactor(i, f.elapsed) * (0.5 + f.random.Float64()) * float64(100*time.Microsecond))
		f.t.Observe(Sample{Server: f.servers[i], Model: "m", FirstToken: first, Tokens: tokens, Failed: f.fails(i, f.elapsed)})
		return
	}
}

// One of ten servers becomes twenty times slower without failing, so that every
// tenth caller waits for it. It must be ejected, return by itself once it has
// recovered, and not receive its whole load at once.
func TestSlowServerIsEjectedAndReturns(t *testing.T) {
	is := is.New(t)
	f := newFleet(10)
	f.latencyFactor = func(i int, at time.Duration) float64 {
		if i == 3 && at > 20*time.Second && at < 60*time.Second {
			return 20
		}
		return 1
	}
	f.run(20 * time.Second)
	before := f.sent[3]
	f.run(40 * time.Second)
	hit := f.sent[3] - before
	f.run(10 * time.Second)
	early := f.t.Weight(f.servers[3])
	f.run(90 * time.Second)
	t.Logf("requests to the slow server: %d in 20 s healthy, %d in 40 s slow; weight 10 s later %.2f, at the end %.2f; ejections %v", before, hit, early, f.t.Weight(f.servers[3]), f.ejections)
	is.True(hit*2 <= before)
	is.Equal(f.t.Weight(f.servers[3]), 1.0)
	for i, n := range f.stepsOut {
		is.True(i == 3 || n == 0) // no other server is affected
	}
}

// A bad release makes half of the servers fail, or all of them. Ejecting them all
// would send all requests to the rest, which would then fail too.
func TestEjectionIsCapped(t *testing.T) {
	for _, failing := range []int{5, 10} {
		t.Run(fmt.Sprint(failing, " of 10"), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(10)
			f.fails = func(i int, _ time.Duration) bool { return i < failing }
			f.run(time.Minute)
			t.Log("most servers ejected at once", f.maxOut)
			is.True(f.maxOut <= 3)
		})
	}
}

// A server alternates between 20 s of working well and 20 s of failing. If it
// returned after a few seconds each time, its load would oscillate; its ejections
// must get longer instead.
func TestFlappingServerIsEjectedLonger(t *testing.T) {
	is := is.New(t)
	flap := func(s Settings) *fleet {
		f := newFleet(10)
		f.t = New(s, f.clock)
		f.t.SetServers("m", f.servers)
		f.fails = func(i int, at time.Duration) bool { return i == 0 && at/(20*time.Second)%2 == 1 }
		f.run(20 * time.Minute)
		return f
	}
	growing, constant := flap(Settings{}), flap(Settings{MaxEjectionTime: Defaults.EjectionTime})
	t.Logf("in 20 minutes ejected %d times and sent %d requests, with constant ejection times %d and %d; a healthy server is sent %d",
		growing.ejections[0], growing.sent[0], constant.ejections[0], constant.sent[0], growing.sent[1])
	is.True(growing.ejections[0]*2 <= constant.ejections[0])
}

// Two servers hold a hot prefix and are busy, three times slower than their idle
// peers. They are healthy; ejecting them would move the hot prefix to other
// servers, which would become as slow and be ejected in turn.
func TestBusyServersAreNotEjected(t *testing.T) {
	is := is.New(t)
	f := newFleet(10)
	f.latencyFactor = func(i int, _ time.Duration) float64 {
		if i < 2 {
			return 3
		}
		return 1
	}
	f.run(5 * time.Minute)
	is.Equal(f.maxOut, 0)
}

// The only server of a model fails, or one of two does. The only one stays, since
// a failing server is better than none; of two, the failing one is ejected.
func TestOneAndTwoServers(t *testing.T) {
	is := is.New(t)
	for n, want := range map[int]float64{1: 1, 2: 0} {
		f := newFleet(n)
		for range 50 {
			f.t.Observe(Sample{Server: f.servers[0], Model: "m", Failed: true})
			f.t.Observe(Sample{Server: f.servers[n-1], Model: "m", FirstToken: time.Second, Failed: n == 1})
			f.clock.Advance(20 * time.Millisecond)
		}
		is.Equal(f.t.Weight(f.servers[0]), want)
	}
}

// Samples of unknown servers and models, absurd times and counts, an empty fleet,
// a clock that steps back, and servers that are removed while ejected must all be
// handled.
func TestInvalidInput(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	tr := New(Settings{MaxEjectedPercent: -5, MaxLatencyRatio: -1, MaxExcessFailures: 7, ConfirmationTime: -1, ProbeCount: -1}, clock)
	a := netip.MustParseAddrPort("10.0.0.1:1")
	tr.Observe(Sample{Server: a, Model: "m", Failed: true})
	is.Equal(tr.Weight(a), 1.0)
	is.Equal(len(tr.Status()), 0)
	tr.SetServers("m", nil)
	tr.SetServers("m", []netip.AddrPort{a, a})
	for range 100 {
		clock.Advance(-time.Second)
		tr.Observe(Sample{Server: a, Model: "m", FirstToken: -time.Hour, Tokens: -1 << 62})
		tr.Observe(Sample{Server: a, Model: "m", FirstToken: 1 << 62, Tokens: 1 << 62})
	}
	tr.Tick()
	is.Equal(tr.Weight(a), 1.0)
	f := newFleet(4)
	f.fails = func(i int, _ time.Duration) bool { return i == 0 }
	f.run(10 * time.Second)
	is.Equal(f.t.Weight(f.servers[0]), 0.0)
	f.t.SetServers("m", f.servers[1:])
	is.Equal(f.t.Weight(f.servers[0]), 1.0) // forgotten
	is.Equal(len(f.t.Status()), 3)
}

func BenchmarkWeight(b *testing.B) {
	f := newFleet(400)
	f.fails = func(i int, _ time.Duration) bool { return i < 40 }
	f.run(10 * time.Second)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		f.t.Weight(f.servers[i%400])
	}
}

func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{10, 400} {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			f := newFleet(n)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				f.clock.Advance(time.Millisecond)
				f.t.Observe(Sample{Server: f.servers[i%n], Model: "m", FirstToken: time.Second, Tokens: 1000})
			}
		})
	}
}
