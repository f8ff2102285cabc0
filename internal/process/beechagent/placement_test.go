package beechagent

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechwire"
)

// The entry host of the first request is lost before it reports where the request
// runs. Without a timeout, every repetition would wait for that report for ten
// minutes.
func TestRepetitionReplacesFirstRequestWithoutPlacement(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	p := newPlacements(clock)
	ask := func(id string) beechwire.ClaimAsk {
		return beechwire.ClaimAsk{RecordKey: "k", RequestID: id, Repeatable: true}
	}
	is.Equal(p.claim(ask("one")).State, beechwire.StateGranted)
	is.Equal(p.claim(ask("two")).State, beechwire.StateRunning)
	clock.Advance(placementTimeout)
	is.Equal(p.claim(ask("three")).State, beechwire.StateGranted)
	p.finish(beechwire.FinishAsk{RecordKey: "k", Token: "one", Agent: "late"}) // ignored, since "three" has replaced the first request
	p.finish(beechwire.FinishAsk{RecordKey: "k", Token: "three", Agent: "here"})
	clock.Advance(placementTimeout)
	is.Equal(p.claim(ask("four")).Agent, "here")
}
