package beechentry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechwire"
)

// Sending the members every time would be most of an idle entry host's traffic.
// If they are not sent again after a change, an agent that was replaced has
// nothing to give to an entry host that restarts.
func TestMembersAreSharedAgainAfterAChangeOrAnInterval(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1_000_000, 0)
	members := []beechwire.Member{{Address: "10.0.0.1:7100", Role: beechwire.RoleAgent, Incarnation: 1}}
	targets := []shareTarget{{address: netip.MustParseAddrPort("10.0.0.1:7100"), incarnation: 1}}
	last := sharedState{members: members, targets: targets, at: at}
	is.True(last.stillCurrent(sharedState{members: members, targets: targets, at: at.Add(time.Second)}))
	is.True(!last.stillCurrent(sharedState{members: members, targets: targets, at: at.Add(membersInterval)}))
	left := []beechwire.Member{{Address: "10.0.0.1:7100", Role: beechwire.RoleAgent, Incarnation: 1, Leaving: true}}
	is.True(!last.stillCurrent(sharedState{members: left, targets: targets, at: at}))
	replaced := []shareTarget{{address: targets[0].address, incarnation: 2}}
	is.True(!last.stillCurrent(sharedState{members: members, targets: replaced, at: at}))
	is.True(!(&sharedState{}).stillCurrent(sharedState{members: members, targets: targets, at: at}))
}
