package beechkeeper

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLongCacheListDoesNotHoldUpKeeper guards against work that grows with the square of an engine's list, during which
// nothing else is done.
func TestLongCacheListDoesNotHoldUpKeeper(t *testing.T) {
	is := is.New(t)
	parts := make([]Part, 300_000) // of a list of some 8 MiB
	for n := range parts {
		parts[n] = Part{Key: uint64(n + 1), Tokens: minPartTokens}
	}
	k := newKeeper(t, engine{held: parts})
	begun := time.Now()
	_, err := k.listCache(t.Context())
	is.NoErr(err)
	is.True(time.Since(begun) < time.Second)
	is.True(len(k.added.keys) <= maxCachedParts)
}
