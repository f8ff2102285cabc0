package beechconvert

import (
	"net/netip"
	"time"

	"github.com/beechring/beechring/internal/decision/beechsummary"
	"github.com/beechring/beechring/internal/link/beechwire"
)

const fixedPointScale = 1000

// EngineReport converts a keeper's report.
func EngineReport(tell *beechwire.Tell, now time.Time) (beechsummary.State, beechsummary.Parts) {
	s := beechsummary.State{
		Number: tell.Number,
		Load:   beechsummary.Load{Running: tell.Run, Waiting: tell.Wait, CacheUsed: tell.Used, Reading: tell.Read},
		Status: beechsummary.Status{
			Port: tell.Port, Phase: tell.Phase, Weights: weights(tell.Have), CacheTotal: tell.Room, Unanswered: tell.Tries,
			LoadTime: time.Duration(tell.Took) * time.Millisecond, Born: tell.Born,
		},
	}
	if tell.Old > 0 {
		s.OutdatedSince = now.Add(-time.Duration(tell.Old) * time.Millisecond)
	}
	return s, beechsummary.Parts{Added: tell.Parts, Evicted: tell.Gone, Stored: tell.Kept}
}

func weights(list []beechwire.Weights) []beechsummary.Weights {
	var converted []beechsummary.Weights
	for _, w := range list {
		converted = append(converted, beechsummary.Weights{Model: w.Model, Version: w.Version})
	}
	return converted
}

// WireSummary converts a summary. Pass asks the receiver to hand it on in its zone.
func WireSummary(s beechsummary.Summary, pass bool) *beechwire.Summary {
	w := &beechwire.Summary{Pass: pass}
	for _, c := range s.Changes {
		engine := beechwire.Engine{
			Host: WireHost(c.Host), Number: c.Number, Base: c.Base, Run: c.Load.Running, Wait: c.Load.Waiting, Used: c.Load.CacheUsed, Read: c.Load.Reading,
			Parts: c.Parts.Added, Gone: c.Parts.Evicted, Kept: c.Parts.Stored,
		}
		if c.Status != nil {
			engine.Status = []beechwire.Status{wireStatus(c.Status, c.OutdatedFor)}
		}
		w.Changes = append(w.Changes, engine)
	}
	for _, c := range s.Confirmed {
		w.Confirmed = append(w.Confirmed, beechwire.Heard{Host: WireHost(c.Host), Number: c.Number})
	}
	for _, host := range s.Lost {
		w.Lost = append(w.Lost, WireHost(host))
	}
	return w
}

func wireStatus(s *beechsummary.Status, outdatedFor time.Duration) beechwire.Status {
	w := beechwire.Status{
		Port: s.Port, Phase: s.Phase, Room: s.CacheTotal, Tries: s.Unanswered, Old: outdatedFor.Milliseconds(), Took: s.LoadTime.Milliseconds(), Born: s.Born,
	}
	for _, weights := range s.Weights {
		w.Have = append(w.Have, beechwire.Weights{Model: weights.Model, Version: weights.Version})
	}
	return w
}

// Summary converts a summary from its wire form. What names no valid host is left out.
func Summary(w *beechwire.Summary) beechsummary.Summary {
	var s beechsummary.Summary
	for _, e := range w.Changes {
		host, ok := netip.AddrFromSlice([]byte(e.Host))
		if !ok {
			continue
		}
		c := beechsummary.Change{
			Host: host, Number: e.Number, Base: e.Base, Load: beechsummary.Load{Running: e.Run, Waiting: e.Wait, CacheUsed: e.Used, Reading: e.Read},
			Parts: beechsummary.Parts{Added: e.Parts, Evicted: e.Gone, Stored: e.Kept},
		}
		if len(e.Status) > 0 {
			status := e.Status[0]
			c.Status = &beechsummary.Status{
				Port: status.Port, Phase: status.Phase, Weights: weights(status.Have), CacheTotal: status.Room, Unanswered: status.Tries,
				LoadTime: time.Duration(status.Took) * time.Millisecond, Born: status.Born,
			}
			c.OutdatedFor = time.Duration(status.Old) * time.Millisecond
		}
		s.Changes = append(s.Changes, c)
	}
	for _, h := range w.Confirmed {
		if host, ok := netip.AddrFromSlice([]byte(h.Host)); ok {
			s.Confirmed = append(s.Confirmed, beechsummary.Confirmation{Host: host, Number: h.Number})
		}
	}
	s.Lost = Hosts(w.Lost)
	return s
}

// WireHost returns the wire form of a host's IP.
func WireHost(host netip.Addr) string { return string(host.AsSlice()) }

// Hosts converts IPs from their wire form and leaves out invalid ones.
func Hosts(list []string) []netip.Addr {
	var hosts []netip.Addr
	for _, text := range list {
		if host, ok := netip.AddrFromSlice([]byte(text)); ok {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// WireMeasurements converts gates' measurements. Pass asks the receiver to hand them on.
func WireMeasurements(n beechsummary.Measurements, suspects []beechwire.Suspect, now time.Time, pass bool) *beechwire.Summary {
	w := &beechwire.Summary{Pass: pass, Suspects: suspects}
	for _, p := range n.Paces {
		w.Paces = append(w.Paces, beechwire.Seen{Engine: p.Engine, Samples: p.Samples, Log: int(p.Log * fixedPointScale)})
	}
	if n.Speed.Samples > 0 {
		w.Speed = []beechwire.Speed{{Samples: n.Speed.Samples, Rate: int(n.Speed.Rate * fixedPointScale), Fixed: int(n.Speed.Fixed * fixedPointScale)}}
	}
	for _, l := range n.Loads {
		w.Busy = append(w.Busy, beechwire.Busy{Server: l.Server, Run: l.Running, Wait: l.Waiting, Age: max(now.Sub(l.At), 0).Milliseconds()})
	}
	return w
}

// Measurements converts gates' measurements from their wire form.
func Measurements(w *beechwire.Summary, now time.Time) beechsummary.Measurements {
	var n beechsummary.Measurements
	for _, p := range w.Paces {
		n.Paces = append(n.Paces, beechsummary.Pace{Engine: p.Engine, Samples: p.Samples, Log: float64(p.Log) / fixedPointScale})
	}
	if len(w.Speed) > 0 {
		s := w.Speed[0]
		n.Speed = beechsummary.Speed{Samples: s.Samples, Rate: float64(s.Rate) / fixedPointScale, Fixed: float64(s.Fixed) / fixedPointScale}
	}
	for _, l := range w.Busy {
		n.Loads = append(n.Loads, beechsummary.ServerLoad{Server: l.Server, Running: l.Run, Waiting: l.Wait, At: now.Add(-time.Duration(max(l.Age, 0)) * time.Millisecond)})
	}
	return n
}
