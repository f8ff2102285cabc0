package beechrollout

// fencing decides the fencing number of the orders to one engine.
//
// Invariant: the number never decreases from one order to the next, whatever the orders are
// for and whichever process of the keeper sends them. A process therefore sends all orders
// under one number, which it learns after its start: the revision of the store, read after
// it was requested. The numbers of earlier processes are revisions that the store had reached
// before. The revision at which a version was announced cannot be the number: of two models,
// the one that was announced first may be loaded last.
type fencing struct {
	number    uint64 // from the store; 0: not known yet
	highest   uint64 // of the orders sent by this process
	announced uint64 // highest that gates have sent with a target
	legacy    bool   // all gates are of a release that reads no numbers for keepers
}

// needed reports whether a number should be read from the store.
func (f *fencing) needed() bool { return f.number == 0 }

// set records a number that was read from the store.
func (f *fencing) set(number uint64) {
	f.number, f.legacy = max(f.number, number), false
}

// current returns the number for an order, or why no order may be sent.
func (f *fencing) current() (uint64, Hold) {
	number := f.number
	if number == 0 && f.legacy {
		number = f.announced
	}
	if number == 0 {
		return 0, HeldWithoutFence
	}
	return max(number, f.highest), NotHeld
}

// use records that an order is sent under a number.
func (f *fencing) use(number uint64) { f.highest = max(f.highest, number) }
