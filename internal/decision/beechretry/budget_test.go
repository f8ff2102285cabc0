package beechretry

import (
	"flag"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	first  = netip.MustParseAddrPort("10.0.0.1:7000")
	second = netip.MustParseAddrPort("10.0.0.2:7000")
)

// TestMain gives the property tests a fixed seed, unless -rapid.seed is set.
func TestMain(m *testing.M) {
	flag.Parse()
	if s := flag.Lookup("rapid.seed"); s.Value.String() == s.DefValue {
		_ = flag.Set(s.Name, "1")
	}
	os.Exit(m.Run())
}

func newBudget(s Settings) (*Budget, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(s, clock, rand.NewPCG(1, 1)), clock
}

// send simulates a request whose attempts all have the same outcome, and returns
// the number of attempts.
func send(b *Budget, o Outcome) int {
	b.RecordRequest()
	for o.Attempt = 1; ; o.Attempt++ {
		if _, again := b.Decide(o).(Retry); !again {
			return o.Attempt
		}
	}
}

// All servers of a model fail for a while. If each request were tried three
// times, the servers would receive three times their load when they can handle it
// least, and would not recover.
func TestOutageIsNotAmplified(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(Settings{})
	attempts := 0
	for range 10000 {
		attempts += send(b, Outcome{Ran: RanNo})
	}
	t.Logf("%d attempts for 10000 requests", attempts)
	is.True(attempts <= 11000+Defaults.Reserve)
}

// Under saturation every second request is rejected, and now and then a server
// crashes while it runs one. The rejections must not use up the budget that the
// crashed requests need.
func TestRejectionsLeaveBudgetForFailures(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(Settings{})
	lost := 0
	for i := range 10000 {
		if i%2 == 0 {
			send(b, Outcome{Ran: RanNo, Rejected: true, RetryAfter: time.Second})
		}
		if i%100 == 1 {
			b.RecordRequest()
			if _, again := b.Decide(Outcome{Ran: RanUnknown, Repeatable: true}).(Retry); !again {
				lost++
			}
		}
	}
	is.Equal(lost, 0)
}

// Covers rejections that recommend a server or a retry time, a booking that may
// have run, a close deadline, and a model with a single server.
func TestDecideOutcomes(t *testing.T) {
	b, clock := newBudget(Settings{Reserve: 1000})
	soon := clock.Now().Add(time.Millisecond)
	for _, c := range []struct {
		name string
		o    Outcome
		want Decision
	}{
		{"recommended server", Outcome{Attempt: 1, Ran: RanNo, Rejected: true, Server: first, PreferredServer: second}, Retry{Server: second}},
		{"recommended server is the same", Outcome{Attempt: 1, Ran: RanNo, Rejected: true, OnlyServer: true, Server: first, PreferredServer: first, RetryAfter: time.Minute}, GiveUp{Ran: RanNo, RetryAfter: time.Minute}},
		{"another server", Outcome{Attempt: 1, Ran: RanNo, Rejected: true, RetryAfter: time.Minute}, Retry{}},
		{"only server, available soon", Outcome{Attempt: 1, Ran: RanNo, Rejected: true, OnlyServer: true, Server: first, RetryAfter: 400 * time.Millisecond}, Retry{Delay: 400 * time.Millisecond, Server: first}},
		{"only server, available much later", Outcome{Attempt: 1, Ran: RanNo, Rejected: true, OnlyServer: true, Server: first, RetryAfter: time.Minute}, GiveUp{Ran: RanNo, RetryAfter: time.Minute}},
		{"may have run", Outcome{Attempt: 1, Ran: RanUnknown}, GiveUp{Ran: RanUnknown}},
		{"empty outcome", Outcome{}, GiveUp{Ran: RanUnknown}},
		{"ran", Outcome{Attempt: 1, Ran: RanYes, PreferredServer: second}, GiveUp{Ran: RanYes}},
		{"not run", Outcome{Attempt: 1, Ran: RanNo, PreferredServer: second}, Retry{Server: second}},
		{"last attempt", Outcome{Attempt: 3, Ran: RanNo, PreferredServer: second, RetryAfter: time.Minute}, GiveUp{Ran: RanNo, RetryAfter: time.Minute}},
		{"deadline before the retry", Outcome{Attempt: 1, Ran: RanNo, OnlyServer: true, Server: first, RetryAfter: 500 * time.Millisecond, Deadline: soon}, GiveUp{Ran: RanNo, RetryAfter: 500 * time.Millisecond}},
		{"deadline passed", Outcome{Attempt: 1, Ran: RanNo, PreferredServer: second, RetryAfter: time.Minute, Deadline: clock.Now()}, GiveUp{Ran: RanNo, RetryAfter: time.Minute}},
		{"negative attempt number", Outcome{Attempt: -5, Ran: RanNo, PreferredServer: second, RetryAfter: -time.Hour}, Retry{Server: second}},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(b.Decide(c.o), c.want) })
	}
	g := b.Decide(Outcome{Attempt: 9, Ran: RanNo}).(GiveUp)
	is.New(t).True(g.RetryAfter >= defaultRetryAfter && g.RetryAfter < 2*defaultRetryAfter)
}

// A server with 200 streams crashes. If all were sent again at the same moment,
// the next server would receive them as one burst.
func TestRetriesAreSpread(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(Settings{Reserve: 200, BaseBackoff: 100 * time.Millisecond})
	var histogram [10]int
	for range 200 {
		r := b.Decide(Outcome{Attempt: 1, Ran: RanUnknown, Repeatable: true}).(Retry)
		histogram[min(r.Delay/(10*time.Millisecond), 9)]++
	}
	for _, n := range histogram {
		is.True(n >= 8 && n <= 40)
	}
}

// Whatever the outcome, a request that may have run and is not repeatable is
// never retried, nothing is sent after its deadline or more than MaxAttempts
// times, and the budget is not exceeded.
func TestBoundsHoldForAnyOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, clock := newBudget(Settings{RetryPercent: rapid.IntRange(-1, 200).Draw(t, "percent"), Reserve: rapid.IntRange(-1, 5).Draw(t, "spare")})
		spent, sent := 0, 0
		for range 100 {
			b.RecordRequest()
			sent++
			clock.Advance(time.Duration(rapid.Int64Range(-1e9, 1e9).Draw(t, "time")))
			o := Outcome{
				Attempt: rapid.IntRange(-1, 1<<40).Draw(t, "attempt"), Ran: rapid.SampledFrom([]Ran{RanNo, RanYes, RanUnknown, "", "maybe"}).Draw(t, "ran"),
				Repeatable: rapid.Bool().Draw(t, "repeatable"), RetryAfter: time.Duration(rapid.Int64().Draw(t, "after")),
				Rejected: rapid.Bool().Draw(t, "refused"), OnlyServer: rapid.Bool().Draw(t, "only"), Server: first,
			}
			if rapid.Bool().Draw(t, "small") {
				o.Attempt %= 4
			}
			if rapid.Bool().Draw(t, "bounded") {
				o.Deadline = clock.Now().Add(time.Duration(rapid.Int64Range(-1e9, 1e9).Draw(t, "deadline")))
			}
			r, again := b.Decide(o).(Retry)
			if !again {
				continue
			}
			spent++
			if o.Ran != RanNo && !o.Repeatable {
				t.Fatal("retried although it may have run", o)
			}
			if !o.Deadline.IsZero() && !clock.Now().Add(r.Delay).Before(o.Deadline) {
				t.Fatal("retried after the deadline", o, r)
			}
			if o.Attempt >= b.settings.MaxAttempts || r.Delay < 0 || r.Delay > b.settings.MaxBackoff {
				t.Fatal("too many attempts or too long a delay", o, r)
			}
		}
		if spent*retryCost > sent*b.settings.RetryPercent+b.settings.Reserve*retryCost {
			t.Fatal("over budget", spent)
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	budget, _ := newBudget(Settings{})
	b.ReportAllocs()
	for b.Loop() {
		budget.RecordRequest()
		budget.Decide(Outcome{Attempt: 1, Ran: RanNo})
	}
}

// 68 hosts share a limit on retries, so that each has hardly any reserve but
// dozens of requests per window. A third of the servers crash and are replaced by
// new ones. Requests that were rejected without having run used to be given up
// although the shared limit was far from reached.
func TestManyHostsShareALimit(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := New(Settings{RetryPercent: 15, Reserve: 1, Window: 10 * time.Second, MaxAttempts: 8}, clock, rand.NewPCG(1, 2))
	for range 93 {
		b.RecordRequest()
		clock.Advance(100 * time.Millisecond)
	}
	refused, failed := 0, 0
	for range 20 {
		if _, ok := b.Decide(Outcome{Ran: RanNo, Rejected: true}).(Retry); ok {
			refused++
		}
	}
	for range 20 {
		if _, ok := b.Decide(Outcome{Ran: RanUnknown, Repeatable: true}).(Retry); ok {
			failed++
		}
	}
	is.Equal(refused, 7) // half of 93 x 0.15 + 1
	is.Equal(failed, 7)  // the rest
	clock.Advance(11 * time.Second)
	_, ok := b.Decide(Outcome{Ran: RanUnknown, Repeatable: true}).(Retry)
	is.True(ok) // the reserve
	_, ok = b.Decide(Outcome{Ran: RanUnknown, Repeatable: true}).(Retry)
	is.True(!ok)
}

// However requests and failures are distributed over time, the retries in any
// window stay within the allowed percentage of the requests of that window and
// the one before, plus the reserve.
func TestNoWindowExceedsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		clock := clockwork.NewFakeClock()
		s := Settings{RetryPercent: rapid.IntRange(1, 50).Draw(t, "percent"), Reserve: rapid.IntRange(1, 5).Draw(t, "spare"), Window: window, MaxAttempts: 8}
		b := New(s, clock, rand.NewPCG(1, 2))
		var sent, retried []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 8).Draw(t, "requests") {
				b.RecordRequest()
				sent = append(sent, clock.Now())
			}
			if _, ok := b.Decide(Outcome{Ran: RanNo, Rejected: rapid.Bool().Draw(t, "refused")}).(Retry); !ok {
				continue
			}
			retried = append(retried, clock.Now())
			in := func(list []time.Time, d time.Duration) int {
				return len(slices.DeleteFunc(slices.Clone(list), func(at time.Time) bool { return clock.Since(at) >= d }))
			}
			counted := window - window/windowSlots // the shortest time that the counts cover
			if most := (s.RetryPercent*in(sent, window) + s.Reserve*retryCost) / retryCost; in(retried, counted) > most {
				t.Fatalf("%d retries in a window that allows %d", in(retried, counted), most)
			}
		}
	})
}

// A host starts among an assumed number of gates and learns that it is alone, so that its reserve
// grows. Rejected requests must not be given up although no retry was made.
func TestReserveThatGrowsIsUsable(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(Settings{RetryPercent: 15, Reserve: 50, MaxAttempts: 8})
	b.RecordRequest()
	b.SetReserve(300)
	retried := 0
	for range 400 {
		if _, ok := b.Decide(Outcome{Ran: RanNo, Rejected: true}).(Retry); ok {
			retried++
		}
	}
	is.Equal(retried, 150) // half of the reserve is left to failures
}

// The number of gates goes up and down again. Retries that were made must stay used.
func TestUsedRetriesStayUsedWhenReserveChanges(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(Settings{RetryPercent: 1, Reserve: 60, MaxAttempts: 8})
	retried := 0
	for range 10 {
		for range 20 {
			if _, ok := b.Decide(Outcome{Ran: RanNo}).(Retry); ok {
				retried++
			}
		}
		b.SetReserve(10)
		b.SetReserve(60)
	}
	is.Equal(retried, 60)
}
