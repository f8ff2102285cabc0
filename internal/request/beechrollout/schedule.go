package beechrollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Engine is the state of an engine as a gate knows it.
type Engine struct {
	ID               string
	Zone             string
	Version          uint64 // of its weights
	Phase            Phase
	KeeperTimedOut   bool          // its keeper has not reported recently
	UnansweredOrders int           // consecutive orders that the engine did not answer
	Requests         int           // running or waiting
	Slots            int           // requests that it runs at once; 0: not known
	SupersededFor    time.Duration // since a version newer than its weights was announced
}

// Rollout is the update of one model's weights on the engines that serve it.
type Rollout struct {
	Model   string
	Newest  uint64
	Engines []Engine // with the versions of this model
	Limit   int      // engines that may update at once
}

// maxUnansweredOrders is the number of unanswered orders after which an engine is
// passed over. Its keeper goes on retrying on its own. If such engines stayed at the
// head of the queue, as many of them as may load at once would block the rollout for
// all others.
const maxUnansweredOrders = 2

// Schedule returns the IDs of the engines that are to update now, by model. An engine updates
// one model at a time and serves none meanwhile, so the limits hold for the updates of all
// models together. Engines that update the first models update the others in the same turn.
func Schedule(rollouts []Rollout) map[string][]string {
	updates := make(map[string][]string, len(rollouts))
	selected := make(map[string]bool)
	for _, r := range rollouts {
		updates[r.Model] = NextUpdates(r.Engines, r.Newest, r.Limit, selected)
		for _, id := range updates[r.Model] {
			selected[id] = true
		}
	}
	return updates
}

// NextUpdates returns the IDs of the engines that are to update to the newest version
// now: as many as limit allows, less those that are updating already, to whatever
// version. Engines with the oldest weights come first, so that no weights expire while
// other engines are updated twice; among equals zones alternate, so that no zone loses
// all its engines at once.
//
// An engine whose keeper has timed out is left out: it would hold a place that
// another engine could use.
//
// Engines in selected are about to update another model. They count as updating, and update to
// this model's version as well if theirs is older.
func NextUpdates(engines []Engine, newest uint64, limit int, selected map[string]bool) []string {
	var ids []string
	var waiting []Engine
	for _, e := range interleaveZones(engines) {
		switch {
		case e.KeeperTimedOut || e.Phase.IsDown() || e.Phase == Silent || e.UnansweredOrders >= maxUnansweredOrders:
		case e.Phase == Leaving || e.Phase == Loading:
			limit--
		case selected[e.ID]:
			limit--
			if e.Version < newest {
				ids = append(ids, e.ID)
			}
		case e.Version < newest:
			waiting = append(waiting, e)
		}
	}
	slices.SortStableFunc(waiting, func(x, y Engine) int { return cmp.Compare(x.Version, y.Version) })
	for _, e := range waiting[:min(max(limit, 0), len(waiting))] {
		ids = append(ids, e.ID)
	}
	return ids
}

// SummarizeFleet returns the fleet's state for a LoadWindow; maxAge is how long
// superseded weights may be used.
func SummarizeFleet(engines []Engine, newest uint64, maxAge time.Duration) Fleet {
	f := Fleet{Engines: len(engines)}
	requests, slots := 0, 0
	for _, e := range engines {
		switch {
		case e.Version >= newest:
		case e.SupersededFor >= maxAge:
			f.Expired++
		default:
			f.TimeLeft = append(f.TimeLeft, maxAge-e.SupersededFor)
		}
		switch {
		case e.KeeperTimedOut || e.Phase.IsDown() || e.Phase == Silent:
			f.Down++
		case e.Phase == Serving:
			requests += e.Requests
			slots += e.Slots
		}
	}
	slices.Sort(f.TimeLeft)
	if slots > 0 {
		f.Utilization = float64(requests) / float64(slots)
	}
	return f
}

// FallbackDelays returns, by engine ID, the time after a version's announcement at
// which its keeper updates the engine on its own if it hears from no gate. The delays are spread
// from half to three quarters of maxAge, the time that superseded weights may be used;
// otherwise a fleet that has lost its gates would load all at once.
func FallbackDelays(engines []Engine, maxAge time.Duration) map[string]time.Duration {
	delays := make(map[string]time.Duration, len(engines))
	for i, e := range interleaveZones(engines) {
		delays[e.ID] = maxAge/2 + maxAge/2*time.Duration(i)/time.Duration(2*len(engines))
	}
	return delays
}

// interleaveZones orders engines so that zones alternate. Within a zone the order is by
// a hash of the ID, the same in all gates.
func interleaveZones(engines []Engine) []Engine {
	type hashed struct {
		Engine
		hash uint64
	}
	zones := make(map[string][]hashed)
	for _, e := range engines {
		zones[e.Zone] = append(zones[e.Zone], hashed{e, xxhash.Sum64String(e.ID)})
	}
	for _, list := range zones {
		slices.SortFunc(list, func(x, y hashed) int {
			return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.ID, y.ID))
		})
	}
	names := slices.Sorted(maps.Keys(zones))
	ordered := make([]Engine, 0, len(engines))
	for i := 0; len(ordered) < len(engines); i++ {
		for _, name := range names {
			if list := zones[name]; i < len(list) {
				ordered = append(ordered, list[i].Engine)
			}
		}
	}
	return ordered
}
