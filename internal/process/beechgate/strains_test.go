package beechgate

import (
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechgossip"
	"github.com/beechring/beechring/internal/decision/beechstrain"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechpool"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechfresh"
)

var engineAddress = netip.MustParseAddrPort("10.1.0.30:8468")

// newStrainGate returns a gate that knows one engine and is not running.
func newStrainGate(t *testing.T) *Gate {
	settings := &beechsettings.Gate{Name: "gate", Zone: "mill", Beats: netip.MustParseAddrPort("127.0.0.1:0")}
	g, err := New(settings, Dependencies{Clock: clockwork.NewFakeClock(), Age: beechfresh.BootClock{}, Log: zap.NewNop(), Pool: beechpool.New(beechpool.DefaultSettings, clockwork.NewRealClock())})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = g.socket.Close()
		_ = g.callers.Close()
	})
	g.configuration.Store(&beechcall.Configuration{Services: map[string]beechcall.Service{"llm": {Name: "llm"}}})
	g.servers = []beechcall.Server{{ID: "e", Service: "llm", Address: engineAddress, Zone: "mill", Slots: 8, Weights: map[string]uint64{"m": 1}}}
	g.placer.SetServers(g.servers)
	return g
}

func strains(list ...beechwire.Strain) beechdatagram.Pressure {
	return beechdatagram.Pressure{Pressure: &beechwire.Pressure{Strains: list}}
}

// A keeper speaks for its own host only, and what comes from neither a keeper nor a gate is not
// believed.
func TestStrainsAreBelievedOfTheKeeperBeside(t *testing.T) {
	is := is.New(t)
	g := newStrainGate(t)
	keeper := netip.AddrPortFrom(engineAddress.Addr(), g.settings.Beats.Port())
	g.receive(netip.MustParseAddrPort("10.1.0.99:7"), strains(beechwire.Strain{Number: 1, Slow: 250}))
	is.Equal(g.strains.Counts(), beechstrain.Counts{})
	other := netip.MustParseAddr("10.1.0.31")
	g.receive(keeper, strains(beechwire.Strain{Host: string(other.AsSlice()), Number: 1, Slow: 250}))
	is.Equal(g.strains.Counts(), beechstrain.Counts{})
	g.receive(keeper, strains(beechwire.Strain{Number: 1, Slow: 250}))
	is.Equal(g.strains.Counts(), beechstrain.Counts{Hosts: 1, Reports: 1})
	is.Equal(g.strains.Due(beechstrain.Near), beechstrain.Never) // it collects no zone: keepers tell all gates
}

// A collector of another zone passes a strain on to this gate, which hands it on in its zone.
func TestStrainOfAnotherZoneIsHandedOn(t *testing.T) {
	is := is.New(t)
	g := newStrainGate(t)
	collector := netip.MustParseAddrPort("10.2.0.5:7680")
	g.members.Receive(collector, beechgossip.List{Members: []beechgossip.Member{{Address: collector, Zone: "loft", Incarnation: 1}}})
	g.updateTopology()
	is.True(g.members.Contains(collector))
	message := strains(beechwire.Strain{Host: string(engineAddress.Addr().AsSlice()), Number: 4, Slow: 250})
	message.Pass = true
	g.receive(collector, message)
	is.Equal(g.strains.Counts(), beechstrain.Counts{Hosts: 1, Applied: 1})
	handedOn := g.strains.Next(beechstrain.Near)
	is.Equal(handedOn, []beechstrain.Strain{{Host: engineAddress.Addr(), Number: 4, Slowness: 250}})
	g.receive(collector, message) // doubled
	is.Equal(len(g.strains.Next(beechstrain.Near)), 0)
}
