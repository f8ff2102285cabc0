package beechlimit

import "time"

// maxPendingRetries caps bucket.pendingRetries, as the time the bucket takes to
// refill that amount. Not every rejected caller returns, so the retry times must
// not grow without bound.
const maxPendingRetries = 10 * time.Second

// bucket is a token bucket whose level may go negative (debt). Amounts are in
// requests or tokens, and rate is in those per second; a rate of 0 means
// unlimited.
type bucket struct {
	rate           float64
	capacity       float64
	maxDebt        float64
	level          float64
	pendingRetries float64 // total that rejected callers may still retry
}

// configure changes the bucket's parameters and keeps its level. Only a new
// bucket starts full: refilling on every configuration change would allow a burst
// each time.
func (b *bucket) configure(rate, capacity, maxDebt float64) {
	isNew := b.rate == 0
	b.rate, b.capacity, b.maxDebt = rate, capacity, maxDebt
	if isNew {
		b.level = capacity
	}
	b.level = min(b.level, capacity)
}

func (b *bucket) refill(elapsed time.Duration) {
	amount := elapsed.Seconds() * b.rate
	b.level = min(b.level+amount, b.capacity)
	b.pendingRetries = max(0, b.pendingRetries-amount)
}

// exhausted reports whether nothing may be taken. From any other bucket, one
// request may take more than the level and leave a debt that later requests wait
// for. If a request had to find all its tokens in the bucket, small requests
// would starve large ones.
func (b *bucket) exhausted() bool { return b.rate > 0 && b.level <= 0 }

func (b *bucket) take(n float64) {
	if b.rate > 0 {
		b.level -= n
	}
}

// refund returns n to the bucket, or takes more if n is negative. The debt is
// bounded, so that an absurd usage report cannot lock a workspace out.
func (b *bucket) refund(n float64) {
	if b.rate > 0 {
		b.level = min(max(b.level+n, -b.maxDebt), b.capacity)
	}
}

// retryAfter returns when a rejected caller that wants n should retry. It adds n
// to the pending retries, so that the next caller is told a later time.
func (b *bucket) retryAfter(n float64) time.Duration {
	wait := (max(0, -b.level) + b.pendingRetries) / b.rate
	b.pendingRetries = min(b.pendingRetries+min(n, b.capacity), maxPendingRetries.Seconds()*b.rate)
	return time.Duration(wait * float64(time.Second))
}
