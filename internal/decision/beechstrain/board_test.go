package beechstrain

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

var engine = netip.MustParseAddr("10.1.0.30")

func newBoard() (*Board, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(DefaultSettings, clock), clock
}

func strain(number uint32, slowness int) Strain {
	return Strain{Host: engine, Number: number, Slowness: slowness}
}

// A keeper reports to the two collectors of its zone, which pass it on to their zone, and to
// another zone, whose collector hands it on. Each gate learns it once.
func TestStrainReachesGatesOfAllZones(t *testing.T) {
	is := is.New(t)
	first, clock := newBoard()
	second, neighbor := New(DefaultSettings, clock), New(DefaultSettings, clock)
	other, farNeighbor := New(DefaultSettings, clock), New(DefaultSettings, clock)
	slow := strain(7, 250)
	is.True(first.Report(slow, Primary))
	is.True(second.Report(slow, Standby))

	is.Equal(first.Due(Near), time.Duration(0))
	near, far := first.Next(Near), first.Next(Far)
	is.Equal(near, []Strain{slow})
	is.Equal(far, []Strain{slow})
	is.Equal(neighbor.Apply(near, false), []Strain{slow})
	is.Equal(neighbor.Due(Near), Never)
	is.Equal(len(second.Apply(near, false)), 0) // known from the keeper
	is.Equal(second.Due(Near), Never)           // and sent by the first
	is.Equal(second.Due(Far), Never)

	is.Equal(other.Apply(far, true), []Strain{slow})
	is.Equal(other.Due(Far), Never)
	handedOn := other.Next(Near)
	is.Equal(farNeighbor.Apply(handedOn, false), []Strain{slow})
	is.Equal(first.Due(Near), Never)
}

// The collector that passes on what an engine's keeper reports is dead: the other one does so.
func TestStandbySendsForDeadCollector(t *testing.T) {
	is := is.New(t)
	standby, clock := newBoard()
	is.True(standby.Report(strain(7, 250), Standby))
	is.Equal(standby.Due(Near), DefaultSettings.StandbyDelay)
	is.Equal(len(standby.Next(Near)), 0)
	clock.Advance(DefaultSettings.StandbyDelay)
	is.Equal(standby.Next(Near), []Strain{strain(7, 250)})
	is.Equal(standby.Next(Far), []Strain{strain(7, 250)})
}

// What the first collector has sent is older than what the keeper has said since: the standby
// still has to send that.
func TestOlderStrainDoesNotCoverNewerOne(t *testing.T) {
	is := is.New(t)
	standby, clock := newBoard()
	is.True(standby.Report(strain(7, 250), Standby))
	is.True(standby.Report(strain(8, 100), Standby))
	is.Equal(len(standby.Apply([]Strain{strain(7, 250)}, false)), 0)
	clock.Advance(DefaultSettings.StandbyDelay)
	is.Equal(standby.Next(Near), []Strain{strain(8, 100)})
}

// Messages arrive doubled or in the wrong order.
func TestLateAndDoubledStrainsAreIgnored(t *testing.T) {
	is := is.New(t)
	b, _ := newBoard()
	is.Equal(len(b.Apply([]Strain{strain(8, 100)}, false)), 1)
	is.Equal(len(b.Apply([]Strain{strain(8, 100), strain(7, 250)}, false)), 0)
	is.True(!b.Report(strain(8, 100), Primary))
	is.Equal(b.Due(Near), Never)
	is.Equal(b.Counts(), Counts{Hosts: 1, Reports: 1, Applied: 1, Late: 3})
}

// A keeper starts anew on a host whose clock was set back, so that its numbers are lower than
// before.
func TestLowerNumberAfterSilenceIsTaken(t *testing.T) {
	is := is.New(t)
	b, clock := newBoard()
	is.True(b.Report(strain(9000, 250), Primary))
	clock.Advance(DefaultSettings.Silence)
	is.True(b.Report(strain(3, 100), Primary))
	is.Equal(b.Next(Near), []Strain{strain(3, 100)})
}

// Hosts change their slowness many times a second. What a collector sends has to be bounded by
// the time between messages, and each message has the latest.
func TestMessagesAreSpaced(t *testing.T) {
	is := is.New(t)
	b, clock := newBoard()
	near, far := 0, 0
	number := uint32(0)
	for range 1000 {
		number++
		is.True(b.Report(strain(number, 100+int(number%2)*150), Primary))
		if b.Due(Near) == 0 {
			is.Equal(b.Next(Near)[0].Number, number)
			near++
		}
		if b.Due(Far) == 0 {
			is.Equal(b.Next(Far)[0].Number, number)
			far++
		}
		clock.Advance(time.Millisecond)
	}
	is.Equal(near, 100)
	is.Equal(far, 10)
}

// One of a zone's two collectors is responsible for each engine, unless it is alone.
func TestCollectorsShareEngines(t *testing.T) {
	is := is.New(t)
	primary := [2]int{}
	for i := range 200 {
		host := netip.AddrFrom4([4]byte{10, 1, 0, byte(i)})
		is.True((RoleOf(host, 0, false) == Primary) != (RoleOf(host, 1, false) == Primary))
		is.Equal(RoleOf(host, 1, true), Primary)
		if RoleOf(host, 0, false) == Primary {
			primary[0]++
		} else {
			primary[1]++
		}
	}
	is.True(min(primary[0], primary[1]) > 60)
}

// Small changes are not worth a message to all gates.
func TestNotableChanges(t *testing.T) {
	is := is.New(t)
	is.True(!SlownessDiffers(strain(1, 100), strain(2, 120)))
	is.True(SlownessDiffers(strain(1, 100), strain(2, 125)))
	is.True(SlownessDiffers(strain(1, 250), strain(2, 100)))
	is.True(!SlownessDiffers(strain(1, 250), strain(2, 290)))
	ranks := func(running, used int) Strain {
		return Strain{Ranks: []RankLoad{{Urgency: 3, Running: running, CacheUsed: used}}}
	}
	const memory = 100_000
	is.True(!RanksDiffer(ranks(10, 40_000), ranks(12, 44_000), memory))
	is.True(RanksDiffer(ranks(10, 40_000), ranks(12, 47_000), memory))
	is.True(RanksDiffer(ranks(10, 40_000), ranks(18, 44_000), memory))
	is.True(RanksDiffer(ranks(10, 40_000), Strain{}, memory))
}
