package beechgate

import (
	"testing"

	"github.com/matryer/is"
)

// A service accepts 190 connections, and there are more gates than that. A share of zero would
// either stop all requests to it or count as no limit at all.
func TestConnectionShareOfManyGates(t *testing.T) {
	is := is.New(t)
	for _, gates := range []int{1, 2, 18, 190, 342, 356, 2000} {
		share := connectionShare(190, gates)
		is.True(share >= minConnections)
		is.True(share == minConnections || share*gates <= 2*190)
	}
	is.Equal(connectionShare(0, 356), 0) // no limit
	is.Equal(connectionShare(600, 4), 270)
}
