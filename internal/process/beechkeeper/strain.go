package beechkeeper

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

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
	told       bool // whether gates are told
	queue      beechstrain.Backlog
}

const (
	urgentInterval   = 40 * time.Millisecond  // between messages about a changed slowness or queue
	ranksInterval    = 100 * time.Millisecond // between messages about what the engine runs
	farStrainSpacing = 150 * time.Millisecond // between messages to gates of other zones, to which each byte is paid for
	// strainInterval is the time between messages without a notable change: a lost message is
	// made up for, and a gate that starts learns what holds.
	strainInterval = time.Second
)

// queueReport returns what an engine reports of its queue.
func queueReport(r Report, prefillRate float64, at time.Time) beechstrain.Report {
	queue := beechstrain.Report{At: at, Waiting: r.Waiting, Prefilling: r.Running, PrefillRate: prefillRate, ArrivalDelay: promptArrivalDelay}
	for _, rank := range r.Ranks {
		queue.Prefilling -= rank.Running
		queue.LeastUrgent = max(queue.LeastUrgent, rank.Urgency)
	}
	return queue
}

// receivePressure records what a gate announces with its urgency.
func (k *Keeper) receivePressure(m beechdatagram.Pressure) {
	now := k.deps.Clock.Now()
	k.mu.Lock()
	for _, s := range m.Strains {
		for _, r := range s.Ranks {
			k.strain.queue.Announce(r.Urgency, r.Read, now)
		}
	}
	k.mu.Unlock()
	k.notifyStrain()
}

// notifyStrain tells the gates that collect this engine's state how its host does and what it
// works on by urgency. It does so if the engine tells of its host, or where callers compete:
// gates estimate for other engines as if all requests were equally urgent.
func (k *Keeper) notifyStrain() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.strain.told && (k.lastReport.Slowness > 0 || k.deps.ReportUrgencies) {
		k.strain.told = true
		k.deps.Log.Info("tells of host and urgencies", zap.Int("slowness", k.lastReport.Slowness), zap.Bool("callers compete", k.deps.ReportUrgencies))
	}
	if !k.strain.told || !k.lastReport.Known || len(k.gates) == 0 {
		return
	}
	now := k.deps.Clock.Now()
	current := k.strain.queue.Fill(beechstrain.Strain{Slowness: k.lastReport.Slowness, Ranks: k.lastReport.Ranks})
	interval := strainInterval
	switch {
	case beechstrain.SlownessDiffers(k.strain.last, current) || beechstrain.QueueDiffers(k.strain.last, current):
		interval = urgentInterval
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
