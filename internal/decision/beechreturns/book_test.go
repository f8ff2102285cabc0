package beechreturns

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechquota"
)

const (
	// maxBroken is the share of promises that may fail although what was known has held: a caller
	// may come later than usual, or meet a gate that has not heard of its promise.
	maxBroken = 0.1
	seeds     = 3
)

var testSupply = Supply{Rate: 1000, Burst: 1000, Gates: 1}

// never is a random source that adds nothing to times.
func never() float64 { return 0 }

func newBooks(n int) ([]*Book, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	books := make([]*Book, n)
	for i := range books {
		books[i] = NewBook(clock, never)
	}
	return books, clock
}

func exchangePromises(books []*Book) {
	for _, from := range books {
		promises := from.Next()
		for _, to := range books {
			if to != from {
				to.Apply(promises)
			}
		}
	}
}

func patientCaller(call uint32, size float64) Caller {
	return Caller{Account: account, Call: call, Size: size, Useful: 2 * time.Second, Patience: 5 * time.Second}
}

// A workspace asks for one and a half times and three times its quota for six seconds, at 21
// gates. Callers that come at a promised time must be served, fewer be refused twice than if all
// are told when the debt is paid, more be served in all, and the quota's bound must hold.
func TestPromisedTimesHoldInRush(t *testing.T) {
	for _, factor := range []float64{1.5, 3, 6} {
		for seed := range uint64(seeds) {
			is := is.New(t)
			c := rush
			c.factor = factor
			s := simulate(c, seed)
			c.promises = false
			before := simulate(c, seed)
			t.Logf("%v times the quota: refused again %.3f, before %.3f; promised %d, broken %.3f; served %.3f, in time %.3f; before %.3f, %.3f",
				factor, s.againShare(), before.againShare(), s.promised, s.brokenShare(), s.servedShareOfAll(), s.inTimeShare(), before.servedShareOfAll(), before.inTimeShare())
			is.True(s.brokenShare() <= maxBroken)
			is.True(s.againShare() < before.againShare())
			is.True(s.servedShareOfAll() >= before.servedShareOfAll())
			is.True(s.peak(c.limit) <= 1)
		}
	}
}

// Short prompts can wait for longer than long ones, and more of them fit into a slot. They must
// not take all of what is promised.
func TestLongPromptsAreNotStarved(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(seeds) {
		s := simulate(rush, seed)
		is.True(s.servedShare(longTags.size) >= s.servedShare(shortBriefs.size)/2)
	}
}

// Hundreds of callers are refused within a few milliseconds at all gates, which have not heard of
// each other's promises. Their times must be spread so that what refills is enough for them.
func TestCallersRefusedTogetherAreSpread(t *testing.T) {
	is := is.New(t)
	books, clock := newBooks(20)
	supply := testSupply
	supply.Gates = len(books)
	due := make(map[int]float64)
	for n := range uint32(400) {
		if n > 0 && n%100 == 0 {
			clock.Advance(urgentInterval)
			exchangePromises(books)
		}
		c := patientCaller(n, 10)
		if o := books[int(n)%len(books)].Offer(c, supply); o.Promised {
			due[int(o.After/slotTime)+int(n/100)] += c.Size
		}
	}
	sum, most := 0.0, 0.0
	for slot := range slotCount {
		sum += due[slot]
		refilled := supply.Rate * (time.Duration(slot+1) * slotTime).Seconds()
		most = max(most, sum-refilled)
	}
	t.Logf("promised %.0f, at most %.0f more than refilled by then", sum, most)
	is.True(sum > 0)
	is.True(most <= supply.Burst*maxReserveFraction)
}

// Successive callers get successive times at the rate that refills, after the debt is paid.
func TestTimesFollowWhatRefills(t *testing.T) {
	is := is.New(t)
	books, _ := newBooks(1)
	supply := testSupply
	supply.Available = -200
	last := time.Duration(0)
	for n := range uint32(4) {
		o := books[0].Offer(patientCaller(n, 100), supply)
		is.True(o.Promised)
		is.True(o.After >= 200*time.Millisecond)
		is.True(o.After >= last)
		last = o.After
	}
	is.True(last >= 500*time.Millisecond)
}

// Callers that can wait for long fill many slots. One with a near deadline must still get an
// early one.
func TestNearestDeadlineGetsEarlySlot(t *testing.T) {
	is := is.New(t)
	books, clock := newBooks(1)
	for n := range uint32(200) {
		books[0].Offer(patientCaller(n, 50), testSupply)
		if n%3 == 0 {
			c := Caller{Account: account, Class: 1, Call: 1000 + n, Size: 50, Useful: 300 * time.Millisecond, Patience: 500 * time.Millisecond}
			books[0].Offer(c, testSupply)
		}
		clock.Advance(20 * time.Millisecond)
	}
	promised := 0
	for n := range uint32(20) {
		c := Caller{Account: account, Class: 1, Call: 2000 + n, Size: 50, Useful: 300 * time.Millisecond, Patience: 500 * time.Millisecond}
		if o := books[0].Offer(c, testSupply); o.Promised {
			is.True(o.After <= c.Patience)
			promised++
		}
		clock.Advance(100 * time.Millisecond)
	}
	is.True(promised >= 5)
}

// A caller that came at its time and was refused again goes before others: all of the refill may
// be promised to it.
func TestRefusedBeforeGoesFirst(t *testing.T) {
	is := is.New(t)
	books, clock := newBooks(1)
	first := books[0].Offer(patientCaller(1, 100), testSupply)
	for n := range uint32(100) {
		books[0].Offer(patientCaller(10+n, 50), testSupply)
	}
	clock.Advance(first.After)
	returned, ok := books[0].Arrive(account, 1).(Returned)
	is.True(ok && returned.Promised)
	again := books[0].Offer(patientCaller(1, 100), testSupply)
	other := books[0].Offer(patientCaller(2, 100), testSupply)
	is.True(again.Promised)
	is.True(!other.Promised || again.After < other.After)
}

// Nothing refills before a caller's patience ends. It must be told a time that it honours, and no
// promise.
func TestNoTimeBeyondPatience(t *testing.T) {
	is := is.New(t)
	books, _ := newBooks(1)
	supply := testSupply
	supply.Available = -100000
	for n := range uint32(50) {
		c := patientCaller(n, 100)
		o := books[0].Offer(c, supply)
		is.True(!o.Promised)
		is.True(o.After <= c.Patience && o.After >= c.Patience/2)
	}
	is.Equal(books[0].Reserve(account, supply, false), 0.0)
}

// Without a refusal nothing is kept from callers, and nothing is told to other gates.
func TestEmptyBookChangesNothing(t *testing.T) {
	is := is.New(t)
	books, _ := newBooks(1)
	is.Equal(books[0].Arrive(account, 1), New{})
	is.Equal(books[0].Reserve(account, testSupply, false), 0.0)
	books[0].Served(account, 1)
	is.True(books[0].Empty() && !books[0].Unsent())
	is.Equal(len(books[0].Next()), 0)
}

// Promises of long ago are dropped with their accounts, also where nobody comes back.
func TestBookForgets(t *testing.T) {
	is := is.New(t)
	books, clock := newBooks(1)
	for n := range uint32(100) {
		books[0].Offer(patientCaller(n, 50), testSupply)
	}
	clock.Advance(horizon + 2*recognizedFor)
	is.Equal(books[0].Arrive(account, 1), New{})
	is.True(books[0].Empty())
}

// Failure: a caller comes back through another gate, under a new ID. That gate must know what it
// was promised, and keep its size from new callers.
func TestOtherGateKeepsPromise(t *testing.T) {
	is := is.New(t)
	books, clock := newBooks(2)
	o := books[0].Offer(patientCaller(1, 100), testSupply)
	exchangePromises(books)
	clock.Advance(o.After)
	is.Equal(books[1].Reserve(account, testSupply, false), 100.0)
	returned, ok := books[1].Arrive(account, 1).(Returned)
	is.True(ok && returned.Promised)
	books[1].Served(account, 1)
	is.Equal(books[1].Reserve(account, testSupply, false), 0.0)
}

// Failure: a message is lost, doubled, or older than the promise it names. The repeat must make up
// for a lost one, and nothing may be kept twice.
func TestLostDoubledAndOldMessages(t *testing.T) {
	is := is.New(t)
	books, clock := newBooks(2)
	o := books[0].Offer(patientCaller(1, 100), testSupply)
	_ = books[0].Next() // lost
	clock.Advance(20 * time.Millisecond)
	repeat := books[0].Next()
	books[1].Apply(repeat)
	books[1].Apply(repeat)
	clock.Advance(o.After)
	is.Equal(books[1].Reserve(account, testSupply, false), 100.0)
	later := books[1].Offer(patientCaller(1, 100), testSupply)
	is.True(later.Promised)
	books[1].Apply(repeat) // arrives late: names the time before
	clock.Advance(later.After / 2)
	is.Equal(books[1].Arrive(account, 1), Early{Left: later.After - later.After/2})
}

// Failure: a message holds values that no gate sends. They must be ignored.
func TestInvalidPromisesAreIgnored(t *testing.T) {
	is := is.New(t)
	books, _ := newBooks(1)
	books[0].Apply([]Promise{
		{Account: 1, Call: 1, Class: classes, Size: 1, Kept: true},
		{Account: 1, Call: 2, After: 2 * horizon, Size: 1, Kept: true},
		{Account: 1, Call: 3, After: -time.Hour, Size: 1, Kept: true},
		{Account: 1, Call: 4, Size: -1, Kept: true},
	})
	is.True(books[0].Empty())
}

// Failure: all gates start anew in the rush and have lost what was promised. Callers must be
// served as before soon after, and the bound must hold.
func TestGatesStartAnew(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(seeds) {
		c := rush
		c.events = map[time.Duration]func(*simulation){6 * time.Second: func(s *simulation) {
			for i := range s.gates {
				s.start(i)
			}
		}}
		s := simulate(c, seed)
		t.Logf("promised %d, broken %.3f, peak %.2f", s.promised, s.brokenShare(), s.peak(c.limit))
		is.True(s.peak(c.limit) <= 1)
		is.True(s.servedShareOfAll() >= 0.9*simulate(rush, seed).servedShareOfAll())
	}
}

// Failure: a gate starts anew and has lost its promises. The others have been told of them, and
// few may be broken.
func TestOneGateStartsAnew(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(seeds) {
		c := rush
		c.events = map[time.Duration]func(*simulation){6 * time.Second: func(s *simulation) { s.start(0) }}
		s := simulate(c, seed)
		is.True(s.brokenShare() <= maxBroken)
		is.True(s.peak(c.limit) <= 1)
	}
}

// Failure: gates are cut off in the rush. What they promise is not heard, and they do not hear of
// the others' promises; the bound must hold, and callers of the others be served at their times.
func TestGatesCutOff(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(seeds) {
		c := rush
		c.events = map[time.Duration]func(*simulation){
			5 * time.Second: func(s *simulation) { s.cut[0], s.cut[1], s.cut[2] = true, true, true },
			8 * time.Second: func(s *simulation) { s.cut[0], s.cut[1], s.cut[2] = false, false, false },
		}
		s := simulate(c, seed)
		t.Logf("promised %d, broken %.3f, peak %.2f", s.promised, s.brokenShare(), s.peak(c.limit))
		is.True(s.brokenShare() <= 3.0/21+maxBroken) // a caller may come back through one of the three
		is.True(s.peak(c.limit) <= 1)
	}
}

// Failure: a third of all messages is lost, so that gates believe different things.
func TestGatesWithDifferentBeliefs(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(seeds) {
		c := rush
		c.loss = 1.0 / 3
		s := simulate(c, seed)
		t.Logf("promised %d, broken %.3f, peak %.2f", s.promised, s.brokenShare(), s.peak(c.limit))
		is.True(s.brokenShare() <= c.loss*c.loss+maxBroken) // each promise is told twice
		is.True(s.peak(c.limit) <= 1)
	}
}

// Failure: the limit is lowered to a third after times were promised. What cannot be kept is
// refused, the bound of the old limit holds, and new promises hold under the new one.
func TestLimitLoweredAfterPromise(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(seeds) {
		c := rush
		c.events = map[time.Duration]func(*simulation){7 * time.Second: func(s *simulation) {
			s.setLimit(beechquota.Limit{Rate: c.limit.Rate / 3, Burst: c.limit.Burst / 3})
		}}
		s := simulate(c, seed)
		t.Logf("promised %d, broken %.3f, peak %.2f", s.promised, s.brokenShare(), s.peak(c.limit))
		is.True(s.peak(c.limit) <= 1)
		is.True(s.brokenShare() <= 0.3)
	}
}

// Failure: a third of the supply is gone after times were promised.
func TestSupplyShrinksAfterPromise(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(seeds) {
		c := rush
		c.factor = 1.5
		c.events = map[time.Duration]func(*simulation){7 * time.Second: func(s *simulation) {
			s.setLimit(beechquota.Limit{Rate: c.limit.Rate * 2 / 3, Burst: c.limit.Burst * 2 / 3})
		}}
		s := simulate(c, seed)
		t.Logf("promised %d, broken %.3f", s.promised, s.brokenShare())
		is.True(s.brokenShare() <= maxBroken)
	}
}

// Failure: a third of the callers come back at once and often. They must not take the places of
// those that wait for their time.
func TestStormDoesNotPushOutThoseThatWait(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(seeds) {
		c := rush
		c.storm = 1.0 / 3
		s := simulate(c, seed)
		t.Logf("early %d, promised %d, broken %.3f, peak %.2f", s.early, s.promised, s.brokenShare(), s.peak(c.limit))
		is.True(s.early > 0)
		is.True(s.brokenShare() <= maxBroken)
		is.True(s.peak(c.limit) <= 1)
	}
}

// A caller that does not wait for its time keeps it, and gets no second one.
func TestEarlyCallerKeepsItsTime(t *testing.T) {
	is := is.New(t)
	books, clock := newBooks(1)
	first := books[0].Offer(patientCaller(1, 100), testSupply)
	for range 5 {
		clock.Advance(10 * time.Millisecond)
		_, ok := books[0].Arrive(account, 1).(Early)
		is.True(ok)
		books[0].Offer(patientCaller(1, 100), testSupply)
	}
	is.Equal(books[0].Offer(patientCaller(1, 100), testSupply).After, first.After-50*time.Millisecond)
	clock.Advance(first.After)
	is.Equal(books[0].Reserve(account, testSupply, false), 100.0)
}

// Failure: the rush is over before the promised times. New callers must be served at once: what is
// kept for others is a small part of the burst.
func TestRoomComesBackEarly(t *testing.T) {
	is := is.New(t)
	books, _ := newBooks(1)
	for n := range uint32(200) {
		books[0].Offer(patientCaller(n, 100), testSupply)
	}
	is.True(books[0].Reserve(account, testSupply, false) <= testSupply.Burst*maxReserveFraction)
	c := rush
	c.rushEnd = c.rushStart + time.Second
	for seed := range uint64(seeds) {
		s := simulate(c, seed)
		t.Logf("promised %d, broken %.3f, served %.3f", s.promised, s.brokenShare(), s.servedShareOfAll())
		is.True(s.brokenShare() <= maxBroken)
		is.True(s.servedShareOfAll() >= 0.9)
	}
}

// Far more callers are refused than a gate keeps in mind. Its memory must stay bounded, and all be
// told a time.
func TestBookIsBounded(t *testing.T) {
	is := is.New(t)
	books, _ := newBooks(1)
	for n := range uint32(maxCalls + 5000) {
		c := patientCaller(n, 10)
		c.Account = n % (2 * maxAccounts)
		o := books[0].Offer(c, testSupply)
		is.True(o.After > 0 && o.After <= c.Patience)
	}
	is.True(len(books[0].accounts) <= maxAccounts)
	is.True(len(books[0].unsent) <= maxCalls)
}

func BenchmarkOffer(b *testing.B) {
	books, clock := newBooks(1)
	n := uint32(0)
	for b.Loop() {
		n++
		books[0].Offer(patientCaller(n, 1), testSupply)
		books[0].Reserve(account, testSupply, false)
		if n%100 == 0 {
			clock.Advance(50 * time.Millisecond)
			books[0].Next()
		}
	}
}

// Times of callers with more patience than the calendar reaches filled it for good: they lay beyond its
// last slot and were never dropped.
func TestPatienceBeyondTheCalendarIsForgotten(t *testing.T) {
	is := is.New(t)
	books, clock := newBooks(1)
	for n := range uint32(100) {
		caller := patientCaller(n, 500)
		caller.Patience = 20 * time.Second
		offer := books[0].Offer(caller, testSupply)
		is.True(offer.After <= horizon)
	}
	clock.Advance(horizon + 2*recognizedFor)
	is.Equal(books[0].Arrive(account, 1), New{})
	is.True(books[0].Empty())
}
