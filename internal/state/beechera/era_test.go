package beechera

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// An era that cannot be read must not be taken for the first one.
func TestInvalidEraIsAnError(t *testing.T) {
	is := is.New(t)
	for text, era := range map[string]uint64{"": 0, "0": 0, "1": 1, "8388607": MaxEra} {
		got, err := Parse(text)
		is.NoErr(err)
		is.Equal(got, era)
	}
	for _, text := range []string{"-1", "1.5", "8388608", "99999999999999999999", "two", " 1"} {
		_, err := Parse(text)
		is.True(errors.Is(err, ErrInvalid))
	}
}

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
