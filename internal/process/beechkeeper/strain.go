package beechkeeper

import (
	"net/netip"
	"time"

	"github.com/beechring/beechring/internal/decision/beechstrain"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
)

// strainState is what the gates were last told of the engine's host.
type strainState struct {
	lastNumber uint32 // continues after that of a keeper before this one
	last       beechstrain.Strain
	nearAt     time.Time
	farAt      time.Time
	told       bool // the engine has told the slowness of its host
}

const (
	slownessInterval = 40 * time.Millisecond  // between messages about a changed slowness
	ranksInterval    = 100 * time.Millisecond // between messages about what the engine runs
	farStrainSpacing = 150 * time.Millisecond // between messages to gates of other zones, to which each byte is paid for
	// strainInterval is the time between messages without a notable change: a lost message is
	// made up for, and a gate that starts learns what holds.
	strainInterval = time.Second
)

// notifyStrain tells the gates that collect this engine's state how its host does, if the engine
// says so: gates estimate for engines that do not as if all requests were equally urgent.
func (k *Keeper) notifyStrain() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.strain.told = k.strain.told || k.lastReport.Slowness > 0
	if !k.strain.told || len(k.gates) == 0 {
		return
	}
	now := k.deps.Clock.Now()
	current := beechstrain.Strain{Slowness: k.lastReport.Slowness, Ranks: k.lastReport.Ranks}
	interval := strainInterval
	switch {
	case beechstrain.SlownessDiffers(k.strain.last, current):
		interval = slownessInterval
	case beechstrain.RanksDiffer(k.strain.last, current, k.lastReport.CacheTotal):
		interval = ranksInterval
	}
	if now.Sub(k.strain.nearAt) < interval {
		return
	}
	k.strain.last, k.strain.nearAt = current, now
	far := now.Sub(k.strain.farAt) >= farStrainSpacing
	if far {
		k.strain.farAt = now
	}
	message := k.strainMessage()
	for address, gate := range k.gates {
		near := gate.zone == k.settings.Zone
		if near || far {
			k.send([]netip.AddrPort{address}, beechdatagram.Scope(!near), message)
		}
	}
}

// strainMessage returns the last strain as a message with a number of its own. The caller holds
// the lock.
func (k *Keeper) strainMessage() beechdatagram.Pressure {
	k.strain.lastNumber++
	k.strain.last.Number = k.strain.lastNumber
	k.metrics.strains.Add(1)
	return beechdatagram.Pressure{Pressure: &beechwire.Pressure{Strains: []beechwire.Strain{beechconvert.WireStrain(k.strain.last)}}}
}

// notifyNewGateOfStrain tells a gate that has begun to follow. The caller holds the lock.
func (k *Keeper) notifyNewGateOfStrain(address netip.AddrPort, scope beechdatagram.Scope) {
	if k.strain.told {
		k.send([]netip.AddrPort{address}, scope, k.strainMessage())
	}
}
