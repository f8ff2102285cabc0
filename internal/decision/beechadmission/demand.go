package beechadmission

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// demand counts what was asked of a service, by rank and workspace.
	demand struct {
		heardAt time.Time
		covered decaying // seconds of single gates that the counts cover
		meters  map[demandKey]*meter
	}

	// demandKey names a workspace's requests of a rank; workspace 0: all of that rank.
	demandKey struct {
		rank      int
		workspace uint32
	}

	// standing of a request within its rank: a place from 0 to 1, or last. What is last gets only
	// room that leaves the others the given share of their objectives.
	standing struct {
		place float64
		last  bool
		spare float64
		// idleOnly: it gets only engines that have nothing to do for others.
		idleOnly bool
	}

	counts struct{ asked, refused, work int64 }

	// meter holds counts that decay: of the last seconds, and of the time before.
	meter struct {
		asked   decaying
		work    decaying
		refused decaying
		usual   decaying
	}

	decaying struct {
		sum float64
		at  time.Time
	}
)

const (
	// demandTTL is how long a rank counts as in demand after its last request: a caller that
	// was refused is back by then.
	demandTTL = 2 * time.Second
	// recentHalfLife follows bursts, usualHalfLife does not within their seconds.
	recentHalfLife = time.Second
	usualHalfLife  = 20 * time.Second
	// minUsual is the number of a rank's recent requests below which nothing counts as unusual.
	minUsual = 20
	// surgeFactor is how many times its usual part of the demand a workspace may ask, and
	// surgeDeviations how many standard deviations more, before the rest counts as unusual.
	surgeFactor     = 1.5
	surgeDeviations = 2
	minOthers       = 1 // requests a second of other workspaces, without which there is nobody to be fair to
	// shedShare is the part of the refused share that is refused by standing before engines are
	// nearly full. It is less than all, so that the cut-off opens when fewer have to be refused.
	shedShare = 0.9
	// usableShare is the part of the engines' capacity that demand is let come to: waits grow
	// beyond all bounds as it nears the whole.
	usableShare     = 0.9
	maxExcessShare  = 0.99
	millisPerSecond = 1000
	// yieldFactor times the share of the others that is refused is the share of a workspace's
	// unusual requests that get no room but on idle engines.
	yieldFactor = 4
	// rotationTime is how long a subject keeps its standing: about as long as its shared parts
	// stay cached, so that an admitted one is worth the room that it takes.
	rotationTime = 2 * time.Second
	maxMeters    = 2048
)

// goldenRatio is the part of the range by which standings rotate: each subject's are spread evenly over time.
var goldenRatio = (math.Sqrt(5) - 1) / 2

func newDemand() demand { return demand{meters: make(map[demandKey]*meter)} }

func (d *demand) add(key demandKey, n counts, now time.Time) {
	m := d.meter(key, now)
	if m == nil {
		return
	}
	m.asked.add(float64(n.asked), recentHalfLife, now)
	m.work.add(float64(n.work), recentHalfLife, now)
	m.refused.add(float64(n.refused), recentHalfLife, now)
	if key.workspace == 0 {
		return
	}
	// What is not usual becomes so only slowly.
	usual := float64(n.asked) * d.usualPart(key, now)
	m.usual.add(usual, usualHalfLife, now)
	if all := d.meter(demandKey{rank: key.rank}, now); all != nil {
		all.usual.add(usual, usualHalfLife, now)
	}
}

func (d *demand) meter(key demandKey, now time.Time) *meter {
	m, ok := d.meters[key]
	if ok {
		return m
	}
	if len(d.meters) >= maxMeters {
		d.sweep(now)
	}
	if len(d.meters) >= maxMeters {
		return nil
	}
	m = &meter{}
	d.meters[key] = m
	return m
}

// sweep forgets workspaces that have long asked for nothing.
func (d *demand) sweep(now time.Time) {
	maps.DeleteFunc(d.meters, func(_ demandKey, m *meter) bool { return m.usual.value(usualHalfLife, now) < 1 })
}

func (d *demand) asked(rank int, now time.Time) bool {
	m, ok := d.meters[demandKey{rank: rank}]
	return ok && now.Sub(m.asked.at) < demandTTL
}

// meanWork returns the mean work of a rank's requests.
func (d *demand) meanWork(rank int, now time.Time) (float64, bool) {
	m, ok := d.meters[demandKey{rank: rank}]
	if !ok || now.Sub(d.heardAt) >= demandTTL {
		return 0, false
	}
	asked := m.asked.value(recentHalfLife, now)
	if asked < 1 {
		return 0, false
	}
	return m.work.value(recentHalfLife, now) / asked, true
}

// usualPart returns the part of a workspace's recent requests that it usually asks, at the demand of
// the others.
func (d *demand) usualPart(key demandKey, now time.Time) float64 {
	m, ok := d.meters[key]
	all, known := d.meters[demandKey{rank: key.rank}]
	if !ok || !known || all.usual.value(usualHalfLife, now) < minUsual {
		return 1
	}
	usual, usualOfOthers := m.usual.rate(usualHalfLife, now), all.usual.rate(usualHalfLife, now)-m.usual.rate(usualHalfLife, now)
	recent, recentOfOthers := m.asked.rate(recentHalfLife, now), all.asked.rate(recentHalfLife, now)-m.asked.rate(recentHalfLife, now)
	if recent <= 0 || recentOfOthers < minOthers || usualOfOthers <= 0 {
		return 1
	}
	expected := usual * max(recentOfOthers/usualOfOthers, 1)
	deviation := math.Sqrt(max(expected, 1/recentHalfLife.Seconds()) / recentHalfLife.Seconds())
	return min((surgeFactor*expected+surgeDeviations*deviation)/recent, 1)
}

// refusedShare returns the share of recent requests that were refused.
func (d *demand) refusedShare(key demandKey, now time.Time) float64 {
	m, ok := d.meters[key]
	if !ok {
		return 0
	}
	return min(m.refused.value(recentHalfLife, now)/max(m.asked.value(recentHalfLife, now), 1), 1)
}

// excessShare returns the share of a rank's demand that engines cannot prefill beside that of more
// urgent ranks.
func (d *demand) excessShare(q Request, now time.Time) float64 {
	m, ok := d.meters[demandKey{rank: q.Rank}]
	if !ok || q.Capacity <= 0 {
		return 0
	}
	left := usableShare * q.Capacity * millisPerSecond
	for rank := range q.Rank {
		if more, asked := d.meters[demandKey{rank: rank}]; asked {
			left -= more.work.rate(recentHalfLife, now)
		}
	}
	work := m.work.rate(recentHalfLife, now)
	if work <= 0 {
		return 0
	}
	return min(max(1-left/work, 0), maxExcessShare)
}

// othersRefused returns the share of the requests of a rank's other workspaces that were refused.
func (d *demand) othersRefused(key demandKey, now time.Time) float64 {
	m, ok := d.meters[key]
	all, known := d.meters[demandKey{rank: key.rank}]
	if !ok || !known {
		return 0
	}
	asked := all.asked.value(recentHalfLife, now) - m.asked.value(recentHalfLife, now)
	refused := all.refused.value(recentHalfLife, now) - m.refused.value(recentHalfLife, now)
	return min(max(refused, 0)/max(asked, 1), 1)
}

func (d *decaying) add(n float64, halfLife time.Duration, now time.Time) {
	d.sum, d.at = d.value(halfLife, now)+n, now
}

func (d *decaying) value(halfLife time.Duration, now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp2(-float64(max(now.Sub(d.at), 0))/float64(halfLife))
}

// rate returns the count per second.
func (d *decaying) rate(halfLife time.Duration, now time.Time) float64 {
	return d.value(halfLife, now) * math.Ln2 / halfLife.Seconds()
}

// ranksInDemand returns the ranks that callers of any gate ask for; that of a request at hand is
// one of them.
func (s *service) ranksInDemand(rank int, now time.Time) [ranks]bool {
	var list [ranks]bool
	for r := range ranks {
		list[r] = r == rank || s.own.asked(r, now) || s.fleet.asked(r, now)
	}
	return list
}

// current returns the demand of all gates, or of this one if it hears of no other.
func (s *service) current(now time.Time) *demand {
	if now.Sub(s.fleet.heardAt) < demandTTL {
		return &s.fleet
	}
	return &s.own
}

// coveredShare returns the share of all gates whose demand is counted. They are allowed that share of
// the engines.
func (d *demand) coveredShare(gates int, now time.Time) float64 {
	return min(max(d.covered.rate(recentHalfLife, now), 1)/float64(gates), 1)
}

// standing returns the standing of a request within its rank.
func (s *service) standing(q Request, gates int, now time.Time) standing {
	d := s.current(now)
	q.Capacity *= d.coveredShare(gates, now)
	key := demandKey{q.Rank, uint32(xxhash.Sum64String(q.Workspace))}
	usual, draw := d.usualPart(key, now), fraction(xxhash.Sum64String(q.ID))
	if draw >= usual {
		return standing{last: true, spare: spareShare, idleOnly: (draw-usual)/(1-usual) < yieldFactor*d.othersRefused(key, now)}
	}
	if q.Returned {
		return standing{place: 1}
	}
	subject := q.Subject
	if subject == "" {
		subject = q.ID
	}
	turns := float64(now.UnixNano() / int64(rotationTime) % (1 << 20))
	_, place := math.Modf(fraction(xxhash.Sum64String(subject)) + turns*goldenRatio)
	cut := max(shedShare*d.refusedShare(key, now), d.excessShare(q, now))
	if place < cut {
		return standing{last: true, spare: spareShare * (1 - d.refusedShare(demandKey{rank: q.Rank}, now))}
	}
	return standing{place: (place - cut) / (1 - cut)}
}

// fraction maps a hash to a number from 0 to 1.
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
