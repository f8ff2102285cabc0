// Package beechera orders numbers that a restored store gives out again.
//
// A store that comes back from a copy has lost its latest writes and gives out their revisions,
// versions and counters again. It tells how often that has happened in an era. An ordered number
// has the era in its high bits, so that it orders writes across restores.
//
// # Usage
//
//	ordered := beechera.Order(era, revision)
//	if !beechera.Same(ordered, held) { ... } // the store was restored between the two
//	era, revision = beechera.Split(ordered)
package beechera

const (
	// numberBits leaves enough bits for decades of writes.
	numberBits = 40
	// MaxNumber is the highest number that can be ordered.
	MaxNumber = 1<<numberBits - 1
	// MaxEra is the highest era that can be ordered.
	MaxEra = 1<<(63-numberBits) - 1
)

// Order returns the ordered number of one that the store gave out in an era.
func Order(era, number uint64) uint64 { return era<<numberBits | number&MaxNumber }

// Split returns the era and the number of an ordered number.
func Split(ordered uint64) (era, number uint64) { return ordered >> numberBits, ordered & MaxNumber }

// Same reports whether two ordered numbers are of the same era.
func Same(x, y uint64) bool { return x>>numberBits == y>>numberBits }
