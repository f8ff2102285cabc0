package beechplace

import "time"

// storeLink is this gate's share of one way of the link of the store of kept KV
// cache, in tokens. That one link is the narrowest place of a fleet: transfers
// queue there, for up to two seconds, and a question that fetches a hundred
// tokens waits as long as all before it. When it was full it stayed so: answers
// came late, more ran at once, less stayed in engines, more was fetched. After a
// burst of five seconds answers were late for eight seconds more.
//
// So beyond the share nothing is fetched there, or saved; parts come from
// engines or are read. What others send is not seen here, so the share shrinks
// while transfers come late, and grows again slowly. The zero value has no bound.
type storeLink struct {
	rate       float64   // tokens in a millisecond; 0 is no bound
	minBurst   float64   // tokens that may be used at once, whatever the rate
	reduction  float64   // part of the rate that is given up, 0 to maxReduction
	reducedAt  time.Time // when it last grew
	available  float64
	refilledAt time.Time
}

const (
	// linkShare of each way's rate may be asked for by all gates together. It is
	// more than the link carries, since gates have uneven shares of the callers
	// and not all that is asked for is there; what is too much shows in transfers
	// that come late.
	linkShare = 1.6
	// burstTime is how much may be used at once, as time of the share, and burstPrompts
	// is that as prompts at the least. The more gates share a link the smaller each
	// share, and the more unevenly it is asked for: with less than some prompts, the
	// second of two histories in a row would be read again though it lies in a store
	// whose link is idle.
	burstTime    = 300 * time.Millisecond
	burstPrompts = 3
	// lateTransferMargin is how much later than expected a first byte must come for
	// the link to be taken for full; what is expected of the engine itself may
	// be wrong by half. At 300 ms full engines are taken for a full link.
	lateTransferMargin = 500 * time.Millisecond
	reductionStep      = 0.5 // of what is used still, for a transfer that came late
	maxReduction       = 0.9
	reductionInterval  = 250 * time.Millisecond // a queue drains before the next step
	recoveryStep       = 0.02                   // of the rate, for each transfer in time
	congestedFrom      = 0.1
)

// set takes in the link's bytes in a millisecond and a token's, for a number of
// gates.
func (l *storeLink) setRate(linkBytes float64, tokenBytes, gates int) {
	if linkBytes <= 0 || tokenBytes <= 0 {
		l.rate = 0
		return
	}
	l.rate = linkShare * linkBytes / float64(tokenBytes) / float64(max(gates, 1))
}

// slow tells whether transfers came late a moment ago.
func (l *storeLink) congested() bool { return l.reduction >= congestedFrom }

// used is the rate that is used now.
func (l *storeLink) currentRate() float64 { return l.rate * (1 - l.reduction) }

// lump is what may be used at once.
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

// room tells whether so many tokens may be moved now. More than a lump at once
// may go when the lump is whole.
func (l *storeLink) hasRoom(tokens int, now time.Time) bool {
	if l.rate == 0 {
		return true
	}
	l.refill(now)
	return l.available >= min(float64(tokens), l.burst())
}

// use takes tokens that are moved off the share.
func (l *storeLink) take(tokens int, now time.Time) {
	if l.rate == 0 {
		return
	}
	l.refill(now)
	l.available -= float64(tokens)
}

// took learns from a transfer: how long the answer's first byte took, and what
// was expected without the link.
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
