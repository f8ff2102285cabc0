package beechentry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechwire"
)

// Members that were sent again each time were most of what an idle entry host
// sent. Kept back for too long, an agent that was replaced would have nothing
// to tell an entry host that restarts.
func TestMembersAreSharedAgainWhereSomethingChanged(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1_000_000, 0)
	members := []beechwire.Member{{Address: "10.0.0.1:7100", Role: beechwire.RoleAgent, Incarnation: 1}}
	targets := []shareTarget{{address: netip.MustParseAddrPort("10.0.0.1:7100"), incarnation: 1}}
	last := shared{members: members, targets: targets, at: at}
	is.True(last.covers(shared{members: members, targets: targets, at: at.Add(time.Second)}))
	is.True(!last.covers(shared{members: members, targets: targets, at: at.Add(membersInterval)}))
	left := []beechwire.Member{{Address: "10.0.0.1:7100", Role: beechwire.RoleAgent, Incarnation: 1, Leaving: true}}
	is.True(!last.covers(shared{members: left, targets: targets, at: at}))
	replaced := []shareTarget{{address: targets[0].address, incarnation: 2}}
	is.True(!last.covers(shared{members: members, targets: replaced, at: at}))
	is.True(!(&shared{}).covers(shared{members: members, targets: targets, at: at}))
}
