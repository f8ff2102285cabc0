package beechagent

import (
	"testing"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/link/beechwire"
)

// Entry hosts send the list of members only when it changes. If the agent dropped
// the list at the next message without one, an entry host that restarts while the
// platform's service is down would know no server to send requests to.
func TestSharedMembersAreKeptUntilTheyChange(t *testing.T) {
	is := is.New(t)
	h := newEntryHosts()
	h.storeShared(beechwire.Snapshot{Members: []beechwire.Member{{Address: "a"}, {Address: "b"}}})
	h.storeShared(beechwire.Snapshot{Hot: []beechwire.HotPrefix{{Rate: 1}}})
	got := h.snapshot(1, nil, beechpoison.Update{})
	is.Equal(len(got.Members), 2)
	is.Equal(len(got.Hot), 1)
	h.storeShared(beechwire.Snapshot{Members: []beechwire.Member{{Address: "b"}}})
	is.Equal(h.sharedMembers(), 1)
}
