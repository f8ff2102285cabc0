package beechconvert

import (
	"net/netip"

	"github.com/beechring/beechring/internal/decision/beechstrain"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// WireStrain converts a strain. A keeper leaves out its own host.
func WireStrain(s beechstrain.Strain) beechwire.Strain {
	w := beechwire.Strain{Number: s.Number, Slow: s.Slowness}
	if s.Host.IsValid() {
		w.Host = WireHost(s.Host)
	}
	for _, r := range s.Ranks {
		w.Ranks = append(w.Ranks, beechwire.RankLoad{Urgency: r.Urgency, Run: r.Running, Used: r.CacheUsed})
	}
	return w
}

// WireStrains converts strains.
func WireStrains(strains []beechstrain.Strain) []beechwire.Strain {
	list := make([]beechwire.Strain, 0, len(strains))
	for _, s := range strains {
		list = append(list, WireStrain(s))
	}
	return list
}

// Strains converts strains from their wire form; sender is the host of those that name none.
// What names no valid host, or an urgency that engines do not know, is left out.
func Strains(list []beechwire.Strain, sender netip.Addr) []beechstrain.Strain {
	var strains []beechstrain.Strain
	for _, w := range list {
		host := sender
		if w.Host != "" {
			named, ok := netip.AddrFromSlice([]byte(w.Host))
			if !ok {
				continue
			}
			host = named
		}
		s := beechstrain.Strain{Host: host, Number: w.Number, Slowness: max(w.Slow, 0)}
		for _, r := range w.Ranks {
			if r.Urgency >= 0 && r.Urgency <= beechcall.MaxUrgency && r.Run >= 0 && r.Used >= 0 {
				s.Ranks = append(s.Ranks, beechstrain.RankLoad{Urgency: r.Urgency, Running: r.Run, CacheUsed: r.Used})
			}
		}
		strains = append(strains, s)
	}
	return strains
}
