package beechmemory

import (
	"testing"

	"github.com/matryer/is"
)

func TestPercentageWithinBounds(t *testing.T) {
	is := is.New(t)
	is.Equal(percentage(0, maxSlack), maxPercent)
	is.Equal(percentage(1<<20, maxSlack), maxPercent)
	is.Equal(percentage(16<<20, maxSlack), 100)
	is.Equal(percentage(32<<20, maxSlack), 50)
	is.Equal(percentage(160<<20, maxSlack), 10)
	is.Equal(percentage(1<<30, maxSlack), minPercent)
	is.Equal(percentage(8<<20, minSlack), 50)
}

func TestSlackGrowsWithAllocationRate(t *testing.T) {
	is := is.New(t)
	is.Equal(slackFor(0), uint64(minSlack))
	is.Equal(slackFor(4<<20), uint64(8<<20))
	is.Equal(slackFor(1<<40), uint64(maxSlack))
}
