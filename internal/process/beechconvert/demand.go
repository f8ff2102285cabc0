package beechconvert

import (
	"github.com/beechring/beechring/internal/decision/beechadmission"
	"github.com/beechring/beechring/internal/link/beechwire"
)

// WireDemands converts demands to their wire form.
func WireDemands(list []beechadmission.Demand) []beechwire.Demand {
	out := make([]beechwire.Demand, 0, len(list))
	for _, d := range list {
		out = append(out, beechwire.Demand{Service: d.Service, Urgency: d.Rank, Workspace: d.Workspace, Asked: int(d.Asked), Refused: int(d.Refused), Work: int(d.Work)})
	}
	return out
}

// Demands converts demands from their wire form.
func Demands(list []beechwire.Demand) []beechadmission.Demand {
	out := make([]beechadmission.Demand, 0, len(list))
	for _, d := range list {
		out = append(out, beechadmission.Demand{Service: d.Service, Rank: d.Urgency, Workspace: d.Workspace, Asked: int64(d.Asked), Refused: int64(d.Refused), Work: int64(d.Work)})
	}
	return out
}
