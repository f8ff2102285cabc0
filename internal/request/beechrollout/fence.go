package beechrollout

import "time"

// fencing decides the fencing number of the orders to one engine.
//
// Invariant: the number never decreases from one order to the next, whatever the orders are
// for and whichever process of the keeper sends them. A process therefore sends all orders
// under one number, which it learns after its start: the revision of the store, read after
// it was requested. The numbers of earlier processes are revisions that the store had reached
// before. The revision at which a version was announced cannot be the number: of two models,
// the one that was announced first may be loaded last.
type fencing struct {
	number    uint64    // from the store; 0: not known yet
	highest   uint64    // of the orders sent by this process
	announced uint64    // highest that gates have sent with a target
	legacy    bool      // all gates are of a release that reads no numbers for keepers
	refused   uint64    // number that the engine has refused as too low; 0: none
	refusedAt time.Time // when the order with that number was sent
}

// fenceRetryInterval is the time between orders that the engine refuses although their number
// is the store's latest: another holder uses higher ones.
const fenceRetryInterval = 10 * time.Second

// needed reports whether a number should be read from the store.
func (f *fencing) needed() bool { return f.number <= f.refused }

// set records a number that was read from the store.
func (f *fencing) set(number uint64) {
	f.number, f.legacy = max(f.number, number), false
}

// current returns the number for an order, or why no order may be sent.
func (f *fencing) current(now time.Time) (uint64, Hold) {
	number := f.number
	if number == 0 && f.legacy {
		number = f.announced
	}
	switch {
	case number == 0:
		return 0, HeldWithoutFence
	case number <= f.refused && now.Sub(f.refusedAt) < fenceRetryInterval:
		return 0, HeldByFence
	}
	return max(number, f.highest), NotHeld
}

// use records that an order is sent under a number.
func (f *fencing) use(number uint64) { f.highest = max(f.highest, number) }

// refuse records that the engine has seen a higher number than that of the order sent at a time.
func (f *fencing) refuse(number uint64, at time.Time) {
	f.refused, f.refusedAt = number, at
}

// engineRestarted forgets refusals: the engine has lost the numbers that it had seen.
func (f *fencing) engineRestarted() { f.refused = 0 }
