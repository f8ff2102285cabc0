package beechretry

import "time"

// ledger counts first attempts and retries over a sliding window. The zero value
// with a slot set has counted nothing.
//
// A credit that is earned by requests and capped by the spare holds little where
// many hosts share a bound: each has one retry in hand, a refusal needs half of the
// spare left beside it, and so none would ever be tried again. What a host may do
// within a window is counted instead.
type ledger struct {
	slot  time.Duration
	now   int64 // slots since the epoch
	slots [ledgerSlots]struct{ first, retries int }
}

// ledgerSlots divide the window. What is counted covers nine tenths of it at least,
// so a window may see a ninth more than is allowed; who sets the share leaves room
// for more than that.
const ledgerSlots = 10

// turn drops what has left the window.
func (l *ledger) turn(now time.Time) {
	slot := now.UnixNano() / int64(l.slot)
	for n := max(l.now+1, slot-ledgerSlots+1); n <= slot; n++ {
		l.slots[n%ledgerSlots] = struct{ first, retries int }{}
	}
	l.now = max(l.now, slot)
}

func (l *ledger) sent(now time.Time) {
	l.turn(now)
	l.slots[l.now%ledgerSlots].first++
}

func (l *ledger) retried(now time.Time) {
	l.turn(now)
	l.slots[l.now%ledgerSlots].retries++
}

// sums gives the first attempts and the retries of the window.
func (l *ledger) sums(now time.Time) (first, retries int) {
	l.turn(now)
	for _, s := range l.slots {
		first += s.first
		retries += s.retries
	}
	return first, retries
}
