package beechconvert

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechstrain"
	"github.com/beechring/beechring/internal/link/beechwire"
)

// A faulty or later process sends values that engines do not know.
func TestInvalidStrainsAreLeftOut(t *testing.T) {
	is := is.New(t)
	sender := netip.MustParseAddr("10.1.0.30")
	valid := beechstrain.Strain{
		Host: sender, Number: 7, Slowness: 250, Reading: 900,
		Ranks: []beechstrain.RankLoad{{Urgency: 3, Running: 7, CacheUsed: 64_000, Waiting: 2, Reading: 1200}},
	}
	wire := WireStrain(valid)
	is.Equal(Strains([]beechwire.Strain{wire}, netip.MustParseAddr("10.1.0.9")), []beechstrain.Strain{valid})
	wire.Host = ""
	is.Equal(Strains([]beechwire.Strain{wire}, sender), []beechstrain.Strain{valid})
	wire.Ranks = append(wire.Ranks, beechwire.RankLoad{Urgency: 10, Run: 1}, beechwire.RankLoad{Urgency: -1, Run: 1}, beechwire.RankLoad{Urgency: 1, Run: -1},
		beechwire.RankLoad{Urgency: 1, Used: -1}, beechwire.RankLoad{Urgency: 1, Wait: -1}, beechwire.RankLoad{Urgency: 1, Read: -1})
	is.Equal(Strains([]beechwire.Strain{{Host: "abc"}, wire}, sender), []beechstrain.Strain{valid})
}
