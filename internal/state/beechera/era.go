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

import (
	"errors"
	"fmt"
	"strconv"
)

const (
	// numberBits leaves enough bits for decades of writes.
	numberBits = 40
	// MaxNumber is the highest number that can be ordered.
	MaxNumber = 1<<numberBits - 1
	// MaxEra is the highest era that can be ordered.
	MaxEra = 1<<(63-numberBits) - 1
)

// ErrInvalid is the error of an era that cannot be used. Taken for 0, it would make all that is
// held look newer than the store.
var ErrInvalid = errors.New("invalid era")

// Parse returns the era in a header, or 0 if the text is empty because the store reports none.
func Parse(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil || era > MaxEra {
		return 0, fmt.Errorf("%w: %.20q", ErrInvalid, text)
	}
	return era, nil
}

// Order returns the ordered number of one that the store gave out in an era.
func Order(era, number uint64) uint64 { return era<<numberBits | number&MaxNumber }

// Split returns the era and the number of an ordered number.
func Split(ordered uint64) (era, number uint64) { return ordered >> numberBits, ordered & MaxNumber }

// Same reports whether two ordered numbers are of the same era.
func Same(x, y uint64) bool { return x>>numberBits == y>>numberBits }
