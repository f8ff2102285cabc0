package beechera

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Numbers of a later era follow all numbers of an earlier one, also at the bounds.
func TestOrderIsByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, other := rapid.Uint64Range(0, MaxEra).Draw(t, "era"), rapid.Uint64Range(0, MaxEra).Draw(t, "other")
		x, y := rapid.Uint64Range(0, MaxNumber).Draw(t, "x"), rapid.Uint64Range(0, MaxNumber).Draw(t, "y")
		is := is.New(t)
		gotEra, gotNumber := Split(Order(era, x))
		is.Equal(gotEra, era)
		is.Equal(gotNumber, x)
		is.Equal(Same(Order(era, x), Order(other, y)), era == other)
		is.Equal(Order(era, x) < Order(other, y), era < other || era == other && x < y)
	})
}
