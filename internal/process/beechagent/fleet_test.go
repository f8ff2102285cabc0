package beechagent

import (
	"testing"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechwire"
)

// An entry host sends its members only where they changed. An agent that
// dropped them at the next message would leave an entry host that restarts
// with the platform's service down without anyone to send to.
func TestSharedMembersAreKeptUntilTheyChange(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.take(beechwire.Snapshot{Members: []beechwire.Member{{Address: "a"}, {Address: "b"}}})
	f.take(beechwire.Snapshot{Hot: []beechwire.HotPrefix{{Rate: 1}}})
	got := f.snapshot(1, nil)
	is.Equal(len(got.Members), 2)
	is.Equal(len(got.Hot), 1)
	f.take(beechwire.Snapshot{Members: []beechwire.Member{{Address: "b"}}})
	is.Equal(f.sharedMembers(), 1)
}
