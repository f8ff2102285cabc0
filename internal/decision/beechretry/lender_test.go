package beechretry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const poolWindow = 10 * time.Second

// One gate of hundreds meets a crash. It must get more retries than an equal part of the spare.
func TestGateThatMeetsACrashBorrows(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	lender := NewLender(clock)
	lender.SetActive(true)
	budget := New(Settings{RetryPercent: 1, Reserve: 1, Window: poolWindow, MaxAttempts: 8}, clock, rand.NewPCG(1, 2))
	is.Equal(lender.Lend("llm", 4, 32, poolWindow), 0) // the lender before it may have lent all
	clock.Advance(poolWindow + LoanTime)
	retried := 0
	for range 20 {
		d := budget.Decide(Outcome{Ran: RanNo})
		if g, ok := d.(GiveUp); ok && g.Exhausted {
			budget.AddLoan(lender.Lend("llm", 4, 32, poolWindow))
			d = budget.Decide(Outcome{Ran: RanNo})
		}
		if _, ok := d.(Retry); ok {
			retried++
		}
	}
	is.Equal(retried, 20)
	is.Equal(lender.Lend("llm", 40, 32, poolWindow), 32-20)
	is.Equal(lender.Lend("app", 1, 32, poolWindow), 1) // each service has a pool of its own
}

// Gates are killed, restart, are cut off from the lender and doubled, and the lender changes.
// In no window may they use more than their own reserves and the pool of each lender.
func TestLoansStayWithinThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		pool := rapid.IntRange(0, 12).Draw(t, "pool")
		lender := NewLender(clock)
		lender.SetActive(true)
		newBudget := func() *Budget {
			b := New(Settings{RetryPercent: 1, Reserve: 1, Window: poolWindow, MaxAttempts: 8}, clock, rand.NewPCG(1, 2))
			b.SetReserve(0)
			return b
		}
		budgets := []*Budget{newBudget(), newBudget(), newBudget()}
		var used []time.Time
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, len(budgets)-1).Draw(t, "gate")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				budgets[i] = newBudget()
			case 1:
				lender = NewLender(clock)
				lender.SetActive(true)
			case 2:
				lender.SetActive(false)
				lender.SetActive(true)
			case 3, 4:
				clock.Advance(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
			case 5:
				lender.Lend("llm", rapid.IntRange(0, 9).Draw(t, "lost"), pool, poolWindow) // the answer is lost
			default:
				budgets[i].AddLoan(lender.Lend("llm", rapid.IntRange(0, 9).Draw(t, "wanted"), pool, poolWindow))
			}
			if _, ok := budgets[i].Decide(Outcome{Ran: RanNo}).(Retry); ok {
				used = append(used, clock.Now())
			}
			inWindow := 0
			for _, at := range used {
				if clock.Since(at) < poolWindow {
					inWindow++
				}
			}
			if inWindow > pool {
				t.Fatalf("%d retries in a window, the pool is %d", inWindow, pool)
			}
		}
	})
}
