package beechrollout

import (
	"maps"
	"time"
)

// Pace learns how many engines may load at once from how long loads take, as
// TCP learns its window from round trips: twice as many a round while they take no
// longer than alone, fewer when they stretch, and from then on one more a round. It
// is not safe for concurrent use.
//
// How many a store of weights serves without slowing down is on no sheet that
// the router reads. With nine at once where three are served well, loads of
// 1.9 s were seen to take 10 to 17 s, and no engine could be used for seconds.
type Pace struct {
	most  float64       // engines; 0 is not known yet
	base  time.Duration // of a load where few are at it
	cutAt time.Time     // when loads were seen to stretch last; zero: never
	began map[string]*load
}

// load is one engine's load that is under way.
type load struct {
	at     time.Time
	had    uint64 // version before it
	beside int    // loads that were under way together meanwhile, itself included
}

const (
	// paceLeast load at once at first, and twice as many with each round until
	// loads stretch: begun with more than the store serves, no load would show how
	// long one takes alone. With one more a round 120 engines whose loads never
	// stretched had 7 at once after 6 s and 32 after 15 s.
	paceLeast = 2
	// paceMostShare of the engines at the most: the others carry the callers.
	paceMostShare = 3
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

// NewPace returns a pace that has seen no load.
func NewPace() *Pace { return &Pace{began: make(map[string]*load)} }

// Most is how many of a number of engines may load at once.
func (p *Pace) Most(engines int) int {
	if p.most == 0 && engines > 0 {
		p.most = paceLeast
	}
	return max(min(int(p.most), max(engines/paceMostShare, paceLeast)), 1)
}

// Window is how many may load at once as learned, before it is held inside the
// fleet's bounds; 0 is not known.
func (p *Pace) Window() float64 { return p.most }

// Load is the time that a load takes where few are at it; 0 is not known.
func (p *Pace) Load() time.Duration { return p.base }

// Saw takes in an engine's phase and its version of the weights that are rolled
// out. Took is how long the load took that ended with it, 0 if none did. What
// ends without newer weights was no load: an order was lost, or the engine went
// down.
func (p *Pace) Saw(engine string, phase Phase, version uint64, now time.Time) (took time.Duration) {
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
			took = now.Sub(l.at)
			p.learn(took, l.beside, now)
		}
	}
	return took
}

func (p *Pace) learn(took time.Duration, beside int, now time.Time) {
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
