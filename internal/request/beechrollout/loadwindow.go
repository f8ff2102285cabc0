package beechrollout

import (
	"cmp"
	"maps"
	"time"
)

// LoadWindow learns how many engines may load at once from how long loads take, as
// TCP learns its window from round trips: twice as many a round while they take no
// longer than alone, fewer when they stretch, and from then on one more a round. It
// is not safe for concurrent use.
//
// How many a store of weights serves without slowing down is on no sheet that
// the router reads. With some times as many, each load takes several times as long,
// and no engine can be used for seconds.
type LoadWindow struct {
	most  float64       // engines; 0 is not known yet
	base  time.Duration // of a load where few are at it
	cutAt time.Time     // when loads stretched last; zero: never
	began map[string]*load
}

// Fleet is what a pace needs to know of the engines.
type Fleet struct {
	Engines     int
	Down        int             // that serve nobody, without loading weights
	Utilization float64         // share of the slots of the others that is taken
	Expired     int             // whose weights may not be used any more: they serve nobody before they are refreshed
	TimeLeft    []time.Duration // of those with weights that were overtaken, until these may not be used; the shortest first
}

// load is one engine's load that is under way.
type load struct {
	at     time.Time
	had    uint64 // version before it
	beside int    // loads that were under way together meanwhile, itself included
}

const (
	// paceLeast load at once at first, or in a large fleet one in paceFirstShare,
	// and twice as many with each round until
	// loads stretch: begun with more than the store serves, no load would show how
	// long one takes alone. With one more a round 120 engines whose loads never
	// stretched had 7 at once after 6 s and 32 after 15 s.
	paceLeast = 2
	// paceFirstShare: where a store serves fewer than so small a part of its fleet
	// at once, no pace refreshes the fleet within any bound that operators state.
	paceFirstShare = 30
	// spareMost of the engines at the most are out of service for weights or by
	// themselves, while nothing presses, and never fewer than spareLeast: the others
	// carry the callers. In between it is what stays when those have headroom times
	// the work that they have now.
	spareMost  = 1. / 3
	spareLeast = 0.1
	headroom   = 2
	rounding   = 1e-6 // a share of a whole number of engines that comes out just below it
	// turnBeside is a turn's time beside the load: the notice before the order and
	// the words before and after it.
	turnBeside = 650 * time.Millisecond
	// stretched is how much longer than alone a load takes where too many are
	// at it; inTime is what is taken for as long as alone.
	stretched = 1.6
	inTime    = 1.25
	// noticed is how late the beginning and the end of a load may be seen.
	noticed = 120 * time.Millisecond
	paceCut = 0.7
	// baseShift weighs a load with few beside it that took longer than before:
	// 1/8, so that a changed engine or store is followed within ten such loads.
	baseShift = 3
	// forgotten is when a load that was not seen to end is not counted any more:
	// its engine is gone. The slowest known store takes 17 s with many at it.
	forgotten = time.Minute
)

// NewLoadWindow returns a pace that has seen no load.
func NewLoadWindow() *LoadWindow { return &LoadWindow{began: make(map[string]*load)} }

// Limit is how many engines may be taking new weights at once.
//
// With a third of a fleet crashed and a third more loading, those that were left
// could not carry the callers, and half of these were refused or late. So what is
// down counts too, and engines with much to do keep more of the others at work; but
// always as many take their turns as it needs to be done before old weights may not
// be used any more, since all engines that are left behind go out of service then.
func (p *LoadWindow) Limit(f Fleet) int {
	if p.most == 0 && f.Engines > 0 {
		p.most = float64(max(paceLeast, f.Engines/paceFirstShare))
	}
	share := min(max(1-headroom*f.Utilization, spareLeast), spareMost)
	spare := int(share*float64(f.Engines)+rounding) - f.Down
	atOnce := max(spare, min(p.needed(f), int(spareMost*float64(f.Engines))), paceLeast) + f.Expired
	return max(min(int(p.most), atOnce), 1)
}

// MissesDeadline tells whether not all engines can be refreshed before their weights may not
// be used any more, as loads take their time now. Callers come to those that are,
// and an operator who names versions faster than that should know.
func (p *LoadWindow) MissesDeadline(f Fleet) bool {
	return f.Expired > 0 || p.needed(f) > min(int(p.most), int(spareMost*float64(f.Engines)))
}

// needed is how many must take their turns at once for all to be done in time: for
// each engine those that have as little time left as it, or less.
func (p *LoadWindow) needed(f Fleet) int {
	turn := float64(p.base + turnBeside)
	needed := 0.
	for i, left := range f.TimeLeft {
		needed = max(needed, float64(i+1)*turn/float64(max(left, time.Millisecond)))
	}
	return int(needed)
}

// Size is how many may load at once as learned, before it is held inside the
// fleet's bounds; 0 is not known.
func (p *LoadWindow) Size() float64 { return p.most }

// BaseLoadTime is the time that a load takes where few are at it; 0 is not known.
func (p *LoadWindow) BaseLoadTime() time.Duration { return p.base }

// Observe takes in an engine's phase, its version of the weights that are rolled out
// and how long its keeper says that its last load took; 0 is not told. Took is how
// long the load took that ended with it, 0 if none did. What ends without newer
// weights was no load: an order was lost, or the engine went down.
func (p *LoadWindow) Observe(engine string, phase Phase, version uint64, told time.Duration, now time.Time) (took time.Duration) {
	l, loading := p.began[engine]
	switch {
	case phase == Loading && !loading:
		maps.DeleteFunc(p.began, func(_ string, l *load) bool { return now.Sub(l.at) > forgotten })
		p.began[engine] = &load{at: now, had: version}
		for _, other := range p.began {
			other.beside = max(other.beside, len(p.began))
		}
	case phase != Loading && loading:
		delete(p.began, engine)
		if phase == Serving && version > l.had {
			took = cmp.Or(told, now.Sub(l.at))
			p.learn(took, l.beside, now)
		}
	}
	return took
}

func (p *LoadWindow) learn(took time.Duration, beside int, now time.Time) {
	switch {
	case p.base == 0:
		p.base = took
	case took < p.base:
		p.base -= (p.base - took) / 2
	case beside <= paceLeast:
		p.base += min(took-p.base, p.base) >> baseShift
	}
	switch {
	case took > time.Duration(float64(p.base)*stretched)+noticed:
		if now.Sub(p.cutAt) > p.base {
			p.most, p.cutAt = max(p.most*paceCut, 1), now
		}
	case took > time.Duration(float64(p.base)*inTime)+noticed:
	case p.cutAt.IsZero() && beside >= int(p.most)/2:
		p.most++ // each load of a round: twice as many in the next, which grows while this one ends
	case beside >= int(p.most):
		p.most += 1 / max(p.most, 1)
	}
}
