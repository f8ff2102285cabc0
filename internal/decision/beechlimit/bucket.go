package beechlimit

import "time"

// maxPromised bounds, in time of the rate, how far refused callers are spread:
// not all come back, so what they would take must not add up without end.
const maxPromised = 10 * time.Second

// bucket is a token bucket that may be in debt. Level and promised are in
// requests or tokens, rate in those a second; a rate of 0 is no bound.
type bucket struct {
	rate     float64
	capacity float64
	maxDebt  float64
	level    float64
	promised float64 // asked by refused callers who may come back
}

// configure changes the bounds and keeps what was used. A bucket that is new
// starts full; one that was filled at each change of configuration would
// give a burst at each.
func (b *bucket) configure(rate, capacity, maxDebt float64) {
	fresh := b.rate == 0
	b.rate, b.capacity, b.maxDebt = rate, capacity, maxDebt
	if fresh {
		b.level = capacity
	}
	b.level = min(b.level, capacity)
}

func (b *bucket) refill(passed time.Duration) {
	amount := passed.Seconds() * b.rate
	b.level = min(b.level+amount, b.capacity)
	b.promised = max(0, b.promised-amount)
}

// empty tells whether nothing may be taken. From any other bucket one request
// may take more than there is and leaves a debt, which those after it wait for. If
// a request had to find all of its tokens, small ones would take
// them before a large one ever did.
func (b *bucket) empty() bool { return b.rate > 0 && b.level <= 0 }

func (b *bucket) take(n float64) {
	if b.rate > 0 {
		b.level -= n
	}
}

// giveBack corrects what was taken, in both directions. A debt is bounded: an
// absurd usage must not shut a workspace out.
func (b *bucket) giveBack(n float64) {
	if b.rate > 0 {
		b.level = min(max(b.level+n, -b.maxDebt), b.capacity)
	}
}

// after is when one more refused caller that wants n should come back.
func (b *bucket) after(n float64) time.Duration {
	wait := (max(0, -b.level) + b.promised) / b.rate
	b.promised = min(b.promised+min(n, b.capacity), maxPromised.Seconds()*b.rate)
	return time.Duration(wait * float64(time.Second))
}
