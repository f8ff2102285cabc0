package beechsummary

import (
	"maps"
	"slices"
	"sync"
	"time"
)

type (
	// Pace sums up samples of how long an engine takes compared with the others.
	Pace struct {
		Engine  uint64 // hash of the ID
		Samples int
		Log     float64 // mean of the logarithm of actual over expected time
	}

	// Speed sums up samples of the speed of all engines.
	Speed struct {
		Samples int
		Rate    float64 // prompt tokens per millisecond
		Fixed   float64 // milliseconds
	}

	// ServerLoad is the load that a server without a keeper told with an answer.
	ServerLoad struct {
		Server  uint64 // hash of the ID
		Running int
		Waiting int
		At      time.Time
	}

	// Measurements is what gates have measured.
	Measurements struct {
		Paces []Pace
		Speed Speed
		Loads []ServerLoad
	}

	// Totals collects the measurements of many gates, of which each sees few requests. It is
	// safe for concurrent use.
	Totals struct {
		mu        sync.Mutex
		audiences [2]digest
	}

	digest struct {
		paces map[uint64]Pace
		speed Speed
		loads map[uint64]ServerLoad
	}
)

// NewTotals returns an empty totals.
func NewTotals() *Totals {
	b := &Totals{}
	for i := range b.audiences {
		b.audiences[i] = digest{paces: make(map[uint64]Pace), loads: make(map[uint64]ServerLoad)}
	}
	return b
}

// Add takes the measurements of a gate, or those of another zone, which are not sent to other
// zones again.
func (b *Totals) Add(n Measurements, ownZone bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.audiences[Near].add(n)
	if ownZone {
		b.audiences[Far].add(n)
	}
}

func (d *digest) add(n Measurements) {
	for _, p := range n.Paces {
		sum := d.paces[p.Engine]
		total := sum.Samples + p.Samples
		if p.Samples <= 0 {
			continue
		}
		log := (sum.Log*float64(sum.Samples) + p.Log*float64(p.Samples)) / float64(total)
		d.paces[p.Engine] = Pace{Engine: p.Engine, Samples: total, Log: log}
	}
	d.speed = d.speed.add(n.Speed)
	for _, l := range n.Loads {
		if known, ok := d.loads[l.Server]; !ok || l.At.After(known.At) {
			d.loads[l.Server] = l
		}
	}
}

func (s Speed) add(t Speed) Speed {
	if t.Samples <= 0 {
		return s
	}
	share := float64(t.Samples) / float64(s.Samples+t.Samples)
	return Speed{Samples: s.Samples + t.Samples, Rate: s.Rate + (t.Rate-s.Rate)*share, Fixed: s.Fixed + (t.Fixed-s.Fixed)*share}
}

// Empty reports whether there are no measurements.
func (n Measurements) Empty() bool { return len(n.Paces)+len(n.Loads)+n.Speed.Samples == 0 }

// Take returns and clears what was collected for an audience, of at most the given number of
// paces and of loads.
func (b *Totals) Take(to Audience, limit int) Measurements {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := &b.audiences[to]
	n := Measurements{Speed: d.speed}
	d.speed = Speed{}
	for _, engine := range slices.Sorted(maps.Keys(d.paces)) {
		if len(n.Paces) < limit {
			n.Paces = append(n.Paces, d.paces[engine])
			delete(d.paces, engine)
		}
	}
	for _, server := range slices.Sorted(maps.Keys(d.loads)) {
		if len(n.Loads) < limit {
			n.Loads = append(n.Loads, d.loads[server])
			delete(d.loads, server)
		}
	}
	return n
}
