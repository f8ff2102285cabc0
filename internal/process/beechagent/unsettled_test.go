package beechagent

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
)

// An entry host is lost while answers are on their way to it, and the agent hears
// of the loss before their streams have ended. Their outcomes are the agent's to
// record; noted only at the end, nobody would ever record them.
func TestLostEntryLeavesItsOpenAnswersToTheAgent(t *testing.T) {
	is := is.New(t)
	u := newUnsettled(clockwork.NewFakeClock())
	entry := beechlink.Peer{Incarnation: 7}
	g := newGeneration(beechwire.Request{ID: "r", Claim: "t"}, time.Time{}, func() {})
	h := u.begin(entry, g)
	is.Equal(u.take(entry), []*generation{g})
	u.end(h)
	is.Equal(len(u.take(entry)), 0)
	is.Equal(len(u.given), 0) // nothing stays of an entry host that never comes back
}

// What an entry host was given is forgotten once it has had time to record it.
func TestAnswersGivenLongAgoAreForgotten(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	u := newUnsettled(clock)
	entry, other := beechlink.Peer{Incarnation: 7}, beechlink.Peer{Incarnation: 8}
	g := newGeneration(beechwire.Request{ID: "r", Claim: "t"}, time.Time{}, func() {})
	u.end(u.begin(entry, g))
	clock.Advance(settleTime)
	is.Equal(len(u.take(entry)), 0)
	u.end(u.begin(entry, g))
	clock.Advance(settleTime)
	u.begin(other, g)
	is.Equal(len(u.given), 1)
}
