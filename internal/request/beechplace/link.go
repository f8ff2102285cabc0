package beechplace

import "time"

// keptLink is this gate's share of one way of the link of the store of kept KV
// cache, in tokens. That one link is the narrowest place of a fleet: transfers
// queue there, for up to two seconds, and a question that fetches a hundred
// tokens waits as long as all before it. When it was full it stayed so: answers
// came late, more ran at once, less stayed in engines, more was fetched. After a
// burst of five seconds answers were late for eight seconds more.
//
// So beyond the share nothing is fetched there, or saved; parts come from
// engines or are read. What others send is not seen here, so the share shrinks
// while transfers come late, and grows again slowly. The zero value has no bound.
type keptLink struct {
	rate  float64   // tokens in a millisecond; 0 is no bound
	least float64   // tokens that may be used at once, whatever the rate
	cut   float64   // part of the rate that is given up, 0 to cutMost
	cutAt time.Time // when it last grew
	left  float64
	at    time.Time
}

const (
	// linkShare of each way's rate may be asked for by all gates together. It is
	// more than the link carries, since gates have uneven shares of the callers
	// and not all that is asked for is there; what is too much shows in transfers
	// that come late.
	linkShare = 1.6
	// linkLump is how much may be used at once, as time of the share, and lumpPrompts
	// is that as prompts at the least. The more gates share a link the smaller each
	// share, and the more unevenly it is asked for: with less than some prompts, the
	// second of two histories in a row would be read again though it lies in a store
	// whose link is idle.
	linkLump    = 300 * time.Millisecond
	lumpPrompts = 3
	// lateTransfer is how much later than expected a first byte must come for
	// the link to be taken for full; what is expected of the engine itself may
	// be wrong by half. At 300 ms full engines are taken for a full link.
	lateTransfer = 500 * time.Millisecond
	cutStep      = 0.5 // of what is used still, for a transfer that came late
	cutMost      = 0.9
	cutSpace     = 250 * time.Millisecond // a queue drains before the next step
	cutBack      = 0.02                   // of the rate, for each transfer in time
	slowFrom     = 0.1
)

// set takes in the link's bytes in a millisecond and a token's, for a number of
// gates.
func (l *keptLink) set(bytes float64, tokenBytes, fronts int) {
	if bytes <= 0 || tokenBytes <= 0 {
		l.rate = 0
		return
	}
	l.rate = linkShare * bytes / float64(tokenBytes) / float64(max(fronts, 1))
}

// slow tells whether transfers came late a moment ago.
func (l *keptLink) slow() bool { return l.cut >= slowFrom }

// used is the rate that is used now.
func (l *keptLink) used() float64 { return l.rate * (1 - l.cut) }

// lump is what may be used at once.
func (l *keptLink) lump() float64 { return max(l.used()*milliseconds(linkLump), l.least*(1-l.cut)) }

func (l *keptLink) refill(now time.Time) {
	most := l.lump()
	l.left = min(l.left+l.used()*milliseconds(now.Sub(l.at)), most)
	if l.at.IsZero() {
		l.left = most
	}
	l.at = now
}

// room tells whether so many tokens may be moved now. More than a lump at once
// may go when the lump is whole.
func (l *keptLink) room(tokens int, now time.Time) bool {
	if l.rate == 0 {
		return true
	}
	l.refill(now)
	return l.left >= min(float64(tokens), l.lump())
}

// use takes tokens that are moved off the share.
func (l *keptLink) use(tokens int, now time.Time) {
	if l.rate == 0 {
		return
	}
	l.refill(now)
	l.left -= float64(tokens)
}

// took learns from a transfer: how long the answer's first byte took, and what
// was expected without the link.
func (l *keptLink) took(took, expected time.Duration, now time.Time) {
	if took <= 2*expected+lateTransfer {
		l.cut = max(l.cut-cutBack, 0)
		return
	}
	if now.Sub(l.cutAt) >= cutSpace {
		l.cut = min(l.cut+cutStep*(1-l.cut), cutMost)
		l.cutAt = now
	}
}
