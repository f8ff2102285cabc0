package beechcall

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// A huge priority of a workspace overflowed, and its calls became the most urgent.
func TestUrgencyIsOneThatEnginesKnow(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ workspace, route, want int }{
		{-1, 0, 3}, {-1, 2, 5}, {0, 0, 0}, {0, 7, 2}, {2, 1, 7}, {3, 2, MaxUrgency}, {math.MaxInt/3 + 1, 0, MaxUrgency}, {0, -4, 0},
	} {
		call := Call{Workspace: Workspace{Priority: c.workspace}, Route: &Route{Priority: c.route}}
		is.Equal(call.Urgency(), c.want)
	}
}
