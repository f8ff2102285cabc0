package beechretry

import "time"

// slidingWindow counts first attempts and retries over a sliding window. A value
// with only slotLength set is empty.
//
// It replaces a credit that requests earn and the reserve caps, which holds too
// little where many hosts share a limit: each host can hold one retry, a
// rejection must leave half of the reserve, and so no rejected request would ever
// be retried.
type slidingWindow struct {
	slotLength time.Duration
	latest     int64 // slots since the epoch
	counts     [windowSlots]struct{ requests, retries int }
}

// windowSlots is the number of slots in the window. The counts cover at least
// nine tenths of the window, so up to a ninth more than allowed may be retried in
// a window; the caller that sets the host's share leaves a larger margin.
const windowSlots = 10

// advance drops the slots that have left the window.
func (w *slidingWindow) advance(now time.Time) {
	slot := now.UnixNano() / int64(w.slotLength)
	for n := max(w.latest+1, slot-windowSlots+1); n <= slot; n++ {
		w.counts[n%windowSlots] = struct{ requests, retries int }{}
	}
	w.latest = max(w.latest, slot)
}

func (w *slidingWindow) addRequest(now time.Time) {
	w.advance(now)
	w.counts[w.latest%windowSlots].requests++
}

func (w *slidingWindow) addRetry(now time.Time) {
	w.advance(now)
	w.counts[w.latest%windowSlots].retries++
}

// totals returns the first attempts and retries in the window.
func (w *slidingWindow) totals(now time.Time) (requests, retries int) {
	w.advance(now)
	for _, s := range w.counts {
		requests += s.requests
		retries += s.retries
	}
	return requests, retries
}
