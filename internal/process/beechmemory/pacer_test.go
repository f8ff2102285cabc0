package beechmemory

import (
	"testing"

	"github.com/matryer/is"
)

func TestSlackIsAnAmountWithinBounds(t *testing.T) {
	is := is.New(t)
	is.Equal(percentage(0, mostSlack), mostShare)
	is.Equal(percentage(1<<20, mostSlack), mostShare)
	is.Equal(percentage(16<<20, mostSlack), 100)
	is.Equal(percentage(32<<20, mostSlack), 50)
	is.Equal(percentage(160<<20, mostSlack), 10)
	is.Equal(percentage(1<<30, mostSlack), leastShare)
	is.Equal(percentage(8<<20, leastSlack), 50)
}

func TestSlackGrowsWithTheRateOfAllocation(t *testing.T) {
	is := is.New(t)
	is.Equal(slackFor(0), uint64(leastSlack))
	is.Equal(slackFor(4<<20), uint64(8<<20))
	is.Equal(slackFor(1<<40), uint64(mostSlack))
}
