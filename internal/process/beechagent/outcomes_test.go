package beechagent

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
)

// An entry host is lost while answers are being sent to it, and the loss is reported
// before the streams end. The agent must record the outcomes. If deliveries were
// registered only at the end of their streams, nobody would record them.
func TestOpenDeliveriesOfLostEntryHostAreUnrecorded(t *testing.T) {
	is := is.New(t)
	p := newPendingOutcomes(clockwork.NewFakeClock())
	entry := beechlink.Peer{Incarnation: 7}
	g := newGeneration(beechwire.Request{ID: "r", Claim: "t"}, time.Time{}, func() {})
	d := p.startDelivery(entry, g)
	is.Equal(p.takeUnrecorded(entry), []*generation{g})
	p.endDelivery(d)
	is.Equal(len(p.takeUnrecorded(entry)), 0)
	is.Equal(len(p.byEntry), 0) // nothing is retained for an entry host that does not return
}

// A delivery is removed once the entry host has had enough time to record its
// outcome.
func TestOldDeliveriesAreRemoved(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	p := newPendingOutcomes(clock)
	entry, other := beechlink.Peer{Incarnation: 7}, beechlink.Peer{Incarnation: 8}
	g := newGeneration(beechwire.Request{ID: "r", Claim: "t"}, time.Time{}, func() {})
	p.endDelivery(p.startDelivery(entry, g))
	clock.Advance(outcomeRecordTime)
	is.Equal(len(p.takeUnrecorded(entry)), 0)
	p.endDelivery(p.startDelivery(entry, g))
	clock.Advance(outcomeRecordTime)
	p.startDelivery(other, g)
	is.Equal(len(p.byEntry), 1)
}
