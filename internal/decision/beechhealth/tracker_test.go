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

// fleet plays servers that a router uses by their weights.
type fleet struct {
	t       *Tracker
	clock   *clockwork.FakeClock
	random  *rand.Rand
	servers []netip.AddrPort
	slow    func(i int, at time.Duration) float64 // times the usual latency
	fails   func(i int, at time.Duration) bool
	at      time.Duration
	sent    []int
	out     []int // evaluations in which a server had weight 0
	turns   []int // times it was ejected
	was     []bool
	most    int // out at once
}

func newFleet(n int) *fleet {
	f := &fleet{
		clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(1, 1)),
		slow: func(int, time.Duration) float64 { return 1 }, fails: func(int, time.Duration) bool { return false },
		sent: make([]int, n), out: make([]int, n), turns: make([]int, n), was: make([]bool, n),
	}
	f.t = New(Settings{}, f.clock)
	for i := range n {
		f.servers = append(f.servers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i)}), 7000))
	}
	f.t.SetServers("m", f.servers)
	return f
}

// run sends 5 requests a second for each server, by weight.
func (f *fleet) run(d time.Duration) {
	for end := f.at + d; f.at < end; f.at += 100 * time.Millisecond {
		for range len(f.servers) / 2 {
			f.send()
		}
		zero := 0
		for i, a := range f.servers {
			w := f.t.Weight(a)
			if w == 0 {
				f.out[i]++
				zero++
			}
			if w == 0 && !f.was[i] {
				f.turns[i]++
			}
			f.was[i] = w == 0
		}
		f.most = max(f.most, zero)
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
		first := time.Duration(float64(tokens+100) * f.slow(i, f.at) * (0.5 + f.random.Float64()) * float64(100*time.Microsecond))
		f.t.Observe(Sample{Server: f.servers[i], Model: "m", FirstToken: first, Tokens: tokens, Failed: f.fails(i, f.at)})
		return
	}
}

// One of ten servers becomes twenty times slower without failing. Every tenth
// caller waits for it until it is taken out; it must come back by itself once it is
// well, and not with its whole load at once.
func TestSlowServerIsTakenOutAndComesBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(10)
	f.slow = func(i int, at time.Duration) float64 {
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
	t.Logf("requests to the slow server: %d in 20 s well, %d in 40 s slow; weight 10 s after %.2f, in the end %.2f; ejected %v", before, hit, early, f.t.Weight(f.servers[3]), f.turns)
	is.True(hit*2 <= before)
	is.Equal(f.t.Weight(f.servers[3]), 1.0)
	for i, n := range f.out {
		is.True(i == 3 || n == 0) // no other is touched
	}
}

// A bad release makes half of the servers fail, or all of them. Taking them
// all out would send everything to the rest, which then fails too.
func TestEjectionIsCapped(t *testing.T) {
	for _, failing := range []int{5, 10} {
		t.Run(fmt.Sprint(failing, " of 10"), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(10)
			f.fails = func(i int, _ time.Duration) bool { return i < failing }
			f.run(time.Minute)
			t.Log("most out at once", f.most)
			is.True(f.most <= 3)
		})
	}
}

// A server does well for 20 s and badly for 20 s, on and on. Were it let back each
// time after a few seconds, its load would swing to and fro; its times out
// grow instead.
func TestFlappingServerIsDamped(t *testing.T) {
	is := is.New(t)
	flap := func(s Settings) *fleet {
		f := newFleet(10)
		f.t = New(s, f.clock)
		f.t.SetServers("m", f.servers)
		f.fails = func(i int, at time.Duration) bool { return i == 0 && at/(20*time.Second)%2 == 1 }
		f.run(20 * time.Minute)
		return f
	}
	damped, even := flap(Settings{}), flap(Settings{MaxEjectionTime: Defaults.EjectionTime})
	t.Logf("in 20 minutes out %d times and sent %d requests, with even times out %d and %d; a good one is sent %d",
		damped.turns[0], damped.sent[0], even.turns[0], even.sent[0], damped.sent[1])
	is.True(damped.turns[0]*2 <= even.turns[0])
}

// Two servers hold a hot prefix and are busy, three times slower than their idle
// peers. They are well; to eject them would move the hot prefix to others,
// which would become as slow, and be ejected in turn.
func TestBusyServersAreNotEjected(t *testing.T) {
	is := is.New(t)
	f := newFleet(10)
	f.slow = func(i int, _ time.Duration) float64 {
		if i < 2 {
			return 3
		}
		return 1
	}
	f.run(5 * time.Minute)
	is.Equal(f.most, 0)
}

// The only server of a model fails; one of two does. The only one stays, since
// a bad answer is better than none; of two the bad one goes.
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

// Samples of unknown servers and models, absurd times and counts, an empty
// fleet, a clock that is set back, servers that go while they are out.
func TestBadInput(t *testing.T) {
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
