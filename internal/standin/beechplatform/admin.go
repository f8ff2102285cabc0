package beechplatform

import (
	"encoding/json"
	"net/http"

	"github.com/beechring/beechring/internal/state/beechstore"
)

func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !decode(w, r, &f) {
		return
	}
	p.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	var lines []beechstore.WireHost
	if !decode(w, r, &lines) {
		return
	}
	hosts := make([]beechstore.Host, 0, len(lines))
	for _, l := range lines {
		hosts = append(hosts, l.Host())
	}
	p.fake.SetHosts(hosts)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Counts())
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}
