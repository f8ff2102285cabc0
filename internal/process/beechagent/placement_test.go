package beechagent

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechwire"
)

// The entry host of a first request is lost before it has said where it runs.
// Repeats would otherwise wait for that word, each of them, for ten minutes.
func TestRepeatTakesThePlaceOfAFirstThatWasNeverPlaced(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	p := newPlacements(clock)
	ask := func(id string) beechwire.ClaimAsk {
		return beechwire.ClaimAsk{RecordKey: "k", RequestID: id, Repeatable: true}
	}
	is.Equal(p.claim(ask("one")).State, beechwire.StateGranted)
	is.Equal(p.claim(ask("two")).State, beechwire.StateRunning)
	clock.Advance(placingTime)
	is.Equal(p.claim(ask("three")).State, beechwire.StateGranted)
	p.finish(beechwire.FinishAsk{RecordKey: "k", Token: "one", Agent: "late"}) // the first's word is not taken any more
	p.finish(beechwire.FinishAsk{RecordKey: "k", Token: "three", Agent: "here"})
	clock.Advance(placingTime)
	is.Equal(p.claim(ask("four")).Agent, "here")
}
