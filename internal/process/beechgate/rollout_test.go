package beechgate

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// newRolloutGate returns a gate that is not running, with idle engines that serve two models in
// version 1.
func newRolloutGate(t *testing.T, engines int) *Gate {
	g := newStrainGate(t)
	g.servers = nil
	for n := range engines {
		g.servers = append(g.servers, beechcall.Server{
			ID: fmt.Sprintf("e%02d", n), Service: "llm", Zone: "mill", Slots: 8, Weights: map[string]uint64{"a": 1, "b": 1},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, byte(n + 1)}), 8468),
		})
	}
	g.placer.SetServers(g.servers)
	for n := range engines {
		g.reportPhase(n, 1, beechrollout.Serving)
	}
	return g
}

// reportPhase has an engine's keeper report a phase, and the version of model a.
func (g *Gate) reportPhase(engine int, version uint64, phase beechrollout.Phase) {
	state := beechplace.State{Address: g.servers[engine].Address, Phase: phase, Weights: map[string]uint64{"a": version, "b": 1}}
	g.observePhase(g.placer.UpdateState(state), phase, state.Weights, 0)
}

func (g *Gate) announce(model string, version, revision uint64) {
	g.placer.SetLatestVersion(model, version)
	g.announced[model] = announcedVersion{WeightsVersion: beechcall.WeightsVersion{Model: model, Version: version, Revision: revision}, learnedAt: g.clock.Now()}
}

// grantedEngines returns the engines that may update now, to any version, as indexes of servers.
func (g *Gate) grantedEngines() []int {
	var granted []int
	targets := g.targets()
	for n, s := range g.servers {
		if slices.ContainsFunc(targets[s.ID], func(t beechwire.Target) bool { return t.Granted }) {
			granted = append(granted, n)
		}
	}
	return granted
}

// Guards against twice as many engines out of service as may update at once, with two models announced one after the other.
func TestRolloutsOfTwoModelsTakeNoMoreEnginesOutOfService(t *testing.T) {
	is := is.New(t)
	g := newRolloutGate(t, 12)
	g.announce("a", 2, 30)
	first := g.grantedEngines()
	is.True(len(first) > 1)
	for _, n := range first {
		g.reportPhase(n, 2, beechrollout.Serving)
	}
	g.announce("b", 2, 31)
	second := g.grantedEngines()
	is.Equal(len(second), len(first))
	for range 20 {
		is.Equal(g.grantedEngines(), second) // the order of a map must not matter
	}
	g.reportPhase(second[0], 1, beechrollout.Leaving)
	is.Equal(len(g.grantedEngines()), len(first)-1)
}
