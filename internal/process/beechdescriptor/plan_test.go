package beechdescriptor

import (
	"testing"

	"github.com/matryer/is"
)

func TestDivide(t *testing.T) {
	is := is.New(t)
	is.Equal(divide(4200, 0), Plan{Limit: 4200, Open: 1888, Waiting: 512})
	is.Equal(divide(4200, 112), Plan{Limit: 4200, Open: 1888, Waiting: 512})
	is.Equal(divide(4200, 64), Plan{Limit: 4200, Open: 1092, Waiting: 512})
	is.Equal(divide(256, 134), Plan{Limit: 256, Open: 87, Waiting: 28})
	is.Equal(divide(4, 1), Plan{Limit: 4, Open: 1, Waiting: 1})
}

func TestSystemsLimitHolds(t *testing.T) {
	is := is.New(t)
	all, err := New(0, 0)
	is.NoErr(err)
	is.True(all.Limit > 0)
	more, err := New(all.Limit+1, 0)
	is.NoErr(err)
	is.Equal(more.Limit, all.Limit)
	less, err := New(all.Limit/2, 0)
	is.NoErr(err)
	is.Equal(less.Limit, all.Limit/2)
}
