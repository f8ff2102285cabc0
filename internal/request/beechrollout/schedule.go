// Package beechrollout decides when each engine takes new weights.
//
// An engine that loads serves nothing meanwhile, what waits in it is refused,
// and several that load at once slow one another down, many of them so much
// that none is done before the next version is named. One after the other
// leaves most callers on old weights. So engines take turns: a few at a time,
// and the next one when one is done, however long that took.
//
// Nobody hands out the turns. Every gate hears the same words of all keepers
// and works out the same turns from them: Turns is a function of what engines
// say now. How many may load at once is learned from how long loads take: Pace.
// The keeper is the only one that gives orders to its engine, so no lease is
// needed and no two holders can alternate. A keeper that hears from no gate
// takes its turn by itself.
//
// # Usage
//
//	pace := beechrollout.NewPace()
//	pace.Saw(engine, phase, version, now)             // a keeper's word
//	ids := beechrollout.Turns(engines, newest, pace.Most(beechrollout.FleetOf(engines, newest, within)))
//
//	turn := beechrollout.NewTurn(settings)            // in the keeper
//	turn.Told(target, now)
//	switch step := turn.Next(now, report).(type) {
//	case beechrollout.Wait:  // look again after step.After; step.Phase is for the gates
//	case beechrollout.Order: // send the order
//	}
package beechrollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Engine is what a gate knows of an engine.
type Engine struct {
	ID               string
	Zone             string
	Version          uint64 // that it has
	Phase            Phase
	KeeperTimedOut   bool          // its keeper has not spoken lately
	UnansweredOrders int           // orders in a row that it has left unanswered
	Requests         int           // requests that run or wait there
	Slots            int           // requests that it runs at once; 0 is not known
	SupersededFor    time.Duration // since its weights were overtaken
}

// triesMost orders without an answer, and an engine keeps no turn from others. Its
// keeper goes on trying by itself. Kept at the head of the queue, as many such
// engines as may load at once would stop the rollout for all.
const triesMost = 2

// NextUpdates gives the engines whose turn it is to take the newest version: as many
// as may load at once, less those that are at it, whatever version they load.
// The oldest weights go first, so that no engine runs into the operators' bound
// while others are refreshed twice; then zones by turns, so that none loses all
// its engines at once.
//
// An engine whose keeper is silent gets no turn: it would keep one from others.
func NextUpdates(engines []Engine, newest uint64, most int) []string {
	var waiting []Engine
	for _, e := range alternate(engines) {
		switch {
		case e.KeeperTimedOut || e.Phase == Down || e.UnansweredOrders >= triesMost:
		case e.Phase == Leaving || e.Phase == Loading:
			most--
		case e.Version < newest:
			waiting = append(waiting, e)
		}
	}
	slices.SortStableFunc(waiting, func(x, y Engine) int { return cmp.Compare(x.Version, y.Version) })
	ids := make([]string, 0, max(most, 0))
	for _, e := range waiting[:min(max(most, 0), len(waiting))] {
		ids = append(ids, e.ID)
	}
	return ids
}

// SummarizeFleet sums up engines for a pace. Within is how long weights may be used after
// they were overtaken.
func SummarizeFleet(engines []Engine, newest uint64, within time.Duration) Fleet {
	f := Fleet{Engines: len(engines)}
	work, slots := 0, 0
	for _, e := range engines {
		switch {
		case e.Version >= newest:
		case e.SupersededFor >= within:
			f.Expired++
		default:
			f.TimeLeft = append(f.TimeLeft, within-e.SupersededFor)
		}
		switch {
		case e.KeeperTimedOut || e.Phase == Down:
			f.Down++
		case e.Phase == Serving:
			work += e.Requests
			slots += e.Slots
		}
	}
	slices.Sort(f.TimeLeft)
	if slots > 0 {
		f.Utilization = float64(work) / float64(slots)
	}
	return f
}

// FallbackDelays gives, for each engine, the time after a version was named at which its
// keeper takes its turn by itself if it hears from no gate: spread from a half
// to three quarters of the operators' bound, or a fleet that has lost its gates
// would load all at once.
func FallbackDelays(engines []Engine, within time.Duration) map[string]time.Duration {
	times := make(map[string]time.Duration, len(engines))
	for i, e := range alternate(engines) {
		times[e.ID] = within/2 + within/2*time.Duration(i)/time.Duration(2*len(engines))
	}
	return times
}

// alternate orders engines so that zones take turns. Within a zone a hash
// decides, alike in all gates.
func alternate(engines []Engine) []Engine {
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
	order := make([]Engine, 0, len(engines))
	for i := 0; len(order) < len(engines); i++ {
		for _, name := range names {
			if list := zones[name]; i < len(list) {
				order = append(order, list[i].Engine)
			}
		}
	}
	return order
}
