package beechentry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/state/beechstore"
)

// TestUnlistedAgentIsKeptWhileItsAnswersAreJoined guards against links that are given up as the host
// list drops an agent, while the answers that it keeps are about to be joined again.
func TestUnlistedAgentIsKeptWhileItsAnswersAreJoined(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent(t)
	e := newTestEntry(t, a)
	t.Cleanup(func() { e.fleet.close(); _ = e.listener.Close(); _ = e.callers.Close() })
	other, never := freeAddress(t), freeAddress(t)
	e.fleet.setHosts([]beechstore.Host{
		{Name: "e2", Address: other, Zone: "zone-a", Role: beechwire.RoleAgent},
		{Name: "e3", Address: never, Zone: "zone-a", Role: beechwire.RoleAgent},
	})
	lost := func(ago time.Duration) {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		e.fleet.links[other].lostAt = e.clock.Now().Add(-ago)
	}
	known := func(address netip.AddrPort) bool { return e.fleet.client(address) != nil }
	lost(2 * reattachTimeout)
	e.fleet.setHosts(nil)
	is.True(known(other))
	is.True(!known(never))
	lost(lostLinkTime)
	e.fleet.setHosts(nil)
	is.True(!known(other))
}
