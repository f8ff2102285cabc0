package beechgate

import (
	"testing"

	"github.com/matryer/is"
)

// All gates of a zone start and fetch their copies. One gate must not hand out more at a time than
// its link bears; the others find it elsewhere.
func TestCopiesHandedOutAtATime(t *testing.T) {
	is := is.New(t)
	c := &copies{}
	for range maxCopyReaders {
		is.True(c.begin())
	}
	is.True(!c.begin())
	c.end()
	is.True(c.begin())
}
