package beechplace

import "time"

// storeLink limits this gate's use of one direction of a KV cache store's link, in tokens.
// That link is the bottleneck of the fleet: transfers queue there for up to two seconds, and a
// request that fetches a hundred tokens waits for all transfers before it. Overload sustained
// itself: late responses meant more concurrent requests, less cache per request and more
// fetches. After a burst of five seconds, responses were late for eight more seconds.
//
// Beyond its share a gate neither fetches from the store nor saves to it; parts come from
// engines or are prefilled. Since the transfers of other gates are not visible here, the share
// is reduced while transfers are late and recovers slowly. The zero value is unlimited.
type storeLink struct {
	rate       float64   // tokens per millisecond; 0 is unlimited
	minBurst   float64   // tokens that may be used at once whatever the rate
	reduction  float64   // share of the rate given up, 0 to maxReduction
	reducedAt  time.Time // time of the last increase of reduction
	available  float64
	refilledAt time.Time
}

const (
	// linkShare is the share of each direction's rate that all gates together may request. It
	// exceeds the capacity because callers are spread unevenly over gates and not all
	// requested parts are in the store. Overload shows in late transfers.
	linkShare = 1.6
	// burstTime is the burst size as time at the current rate, and burstPrompts its minimum in
	// prompts. The more gates share a link, the smaller and the more unevenly used each share
	// is. With a burst of less than some prompts, the second of two consecutive histories
	// would be prefilled again although the store has it and its link is idle.
	burstTime    = 300 * time.Millisecond
	burstPrompts = 3
	// lateTransferMargin is the delay beyond the expected first byte from which on the link
	// counts as congested; the expected time of the engine itself may be wrong by half. With
	// 300 ms, full engines were mistaken for a congested link.
	lateTransferMargin = 500 * time.Millisecond
	reductionStep      = 0.5 // factor on the remaining rate for each late transfer
	maxReduction       = 0.9
	reductionInterval  = 250 * time.Millisecond // a queue drains before the next reduction
	recoveryStep       = 0.02                   // share of the rate regained with each transfer in time
	congestedFrom      = 0.1
)

// setRate sets the rate from the link's bytes per millisecond, the bytes per token and the
// number of gates that share the link.
func (l *storeLink) setRate(linkBytes float64, tokenBytes, gates int) {
	if linkBytes <= 0 || tokenBytes <= 0 {
		l.rate = 0
		return
	}
	l.rate = linkShare * linkBytes / float64(tokenBytes) / float64(max(gates, 1))
}

// congested reports whether recent transfers were late.
func (l *storeLink) congested() bool { return l.reduction >= congestedFrom }

// currentRate returns the rate after the current reduction.
func (l *storeLink) currentRate() float64 { return l.rate * (1 - l.reduction) }

// burst returns the tokens that may be used at once.
func (l *storeLink) burst() float64 {
	return max(l.currentRate()*milliseconds(burstTime), l.minBurst*(1-l.reduction))
}

func (l *storeLink) refill(now time.Time) {
	burst := l.burst()
	l.available = min(l.available+l.currentRate()*milliseconds(now.Sub(l.refilledAt)), burst)
	if l.refilledAt.IsZero() {
		l.available = burst
	}
	l.refilledAt = now
}

// hasRoom reports whether the given number of tokens may be transferred now. More than a burst
// is allowed when the full burst is available.
func (l *storeLink) hasRoom(tokens int, now time.Time) bool {
	if l.rate == 0 {
		return true
	}
	l.refill(now)
	return l.available >= min(float64(tokens), l.burst())
}

// take subtracts transferred tokens from the share.
func (l *storeLink) take(tokens int, now time.Time) {
	if l.rate == 0 {
		return
	}
	l.refill(now)
	l.available -= float64(tokens)
}

// observe adjusts the share to a transfer: took is the time to the response's first byte,
// expected the predicted time without the link.
func (l *storeLink) observe(took, expected time.Duration, now time.Time) {
	if took <= 2*expected+lateTransferMargin {
		l.reduction = max(l.reduction-recoveryStep, 0)
		return
	}
	if now.Sub(l.reducedAt) >= reductionInterval {
		l.reduction = min(l.reduction+reductionStep*(1-l.reduction), maxReduction)
		l.reducedAt = now
	}
}
