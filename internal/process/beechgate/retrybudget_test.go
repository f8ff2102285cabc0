package beechgate

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechretry"
)

// However many gates share the operators' spare retries, their shares and pools stay within it:
// one retry each would be more than the spare of a fleet of a thousand gates.
func TestSharesAndPoolsStayWithinTheSpare(t *testing.T) {
	is := is.New(t)
	for _, gates := range []int{1, 4, 68, 356, 780, 781, 2000} {
		b := NewBudgets(0.2, 1040, 10*time.Second, clockwork.NewFakeClock(), nil)
		b.SetGates(gates)
		pools := 0
		for range 2 { // of each of two zones, two lenders
			pool, _ := b.Pool(gates / 2)
			pools += 2 * pool
		}
		is.True(b.share()*gates+pools <= 780) // three quarters of the spare
	}
}

// A gate has used its retries. It asks the lender, and the request that waits gets the loan.
func TestExhaustedGateBorrows(t *testing.T) {
	is := is.New(t)
	var b *Budgets
	asked := 0
	b = NewBudgets(0.2, 100, 10*time.Second, clockwork.NewRealClock(), func(service string, wanted int) {
		asked += wanted
		go b.AddLoan(service, wanted)
	})
	b.SetGates(356)
	is.Equal(b.share(), 0)
	for range 4 {
		_, retried := b.Decide("llm", beechretry.Outcome{Ran: beechretry.RanNo}).(beechretry.Retry)
		is.True(retried)
	}
	is.Equal(asked, 4) // two at a time
	b.SetGates(4)      // each has enough for itself
	is.Equal(b.share(), 18)
}

// The lender does not answer. The caller must not wait for it for long.
func TestLenderDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	b := NewBudgets(0.2, 100, 10*time.Second, clockwork.NewRealClock(), func(string, int) {})
	b.SetGates(356)
	began := time.Now()
	_, gaveUp := b.Decide("llm", beechretry.Outcome{Ran: beechretry.RanNo}).(beechretry.GiveUp)
	is.True(gaveUp)
	is.True(time.Since(began) < time.Second)
}

// A gate serves its first request before the list of gates has settled, and its share then grows.
// The retries that come with the larger share must be usable.
func TestShareGrowsAfterTheFirstRequest(t *testing.T) {
	is := is.New(t)
	for _, window := range []time.Duration{0, 10 * time.Second} {
		b := NewBudgets(0.2, 400, window, clockwork.NewFakeClock(), nil)
		b.RecordRequest("app")
		b.SetGates(1)
		_, retried := b.Decide("app", beechretry.Outcome{Ran: beechretry.RanNo, Rejected: true}).(beechretry.Retry)
		is.True(retried)
	}
}

// The operators change a bound within a window. The retries that were made must stay used.
func TestChangedBoundsKeepUsedRetries(t *testing.T) {
	is := is.New(t)
	b := NewBudgets(0.2, 400, 10*time.Second, clockwork.NewFakeClock(), nil)
	b.SetGates(1)
	retried := 0
	for _, spare := range []float64{400, 399, 400} {
		b.SetBounds(0.2, spare, 10*time.Second)
		for range 1000 {
			if _, ok := b.Decide("app", beechretry.Outcome{Ran: beechretry.RanNo}).(beechretry.Retry); ok {
				retried++
			}
		}
	}
	is.True(retried <= 400)
}

// The lender's answer arrives twice. The second one is no loan, or all gates retry more than the pool allows.
func TestLoanThatArrivesTwiceIsUsedOnce(t *testing.T) {
	is := is.New(t)
	var b *Budgets
	lends := true
	b = NewBudgets(0.2, 100, 10*time.Second, clockwork.NewRealClock(), func(service string, wanted int) {
		if !lends {
			b.AddLoan(service, 0)
			return
		}
		b.AddLoan(service, wanted)
		b.AddLoan(service, wanted)
	})
	b.SetGates(356)
	retries := 0
	for range loanWanted + 1 {
		if _, ok := b.Decide("llm", beechretry.Outcome{Ran: beechretry.RanNo}).(beechretry.Retry); ok {
			retries++
		}
		lends = false
	}
	is.Equal(retries, loanWanted)
}
