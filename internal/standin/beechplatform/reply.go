package beechplatform

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/beechring/beechring/internal/state/beechstore"
)

// discardWriter discards a reply that LoseReplies suppresses.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header { return d.header }

func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }

func (d discardWriter) WriteHeader(int) {}

func expectedVersion(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "want If-Match with the version, 0 to create")
		return 0, false
	}
	return version, true
}

func writeValue(w http.ResponseWriter, v beechstore.Value, err error) {
	if err != nil {
		writeStoreError(w, err)
		return
	}
	setVersion(w, v)
	if v.Version == 0 {
		writeError(w, http.StatusNotFound, "no such key")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(v.Data)
}

func setVersion(w http.ResponseWriter, v beechstore.Value) {
	w.Header().Set(beechstore.HeaderVersion, strconv.FormatUint(v.Version, 10))
	w.Header().Set(beechstore.HeaderEra, strconv.FormatUint(v.Era, 10))
}

func writeLease(w http.ResponseWriter, l beechstore.Lease, err error) {
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, beechstore.GrantReply{ID: l.ID, TTLMillis: l.TTL.Milliseconds()})
}

func writeStoreError(w http.ResponseWriter, err error) {
	var conflict beechstore.Conflict
	var refused beechstore.Refused
	switch {
	case errors.As(err, &conflict):
		w.Header().Set(beechstore.HeaderVersion, strconv.FormatUint(conflict.Current, 10))
		writeError(w, http.StatusPreconditionFailed, err.Error())
	case errors.As(err, &refused) && refused.After == 0:
		writeError(w, http.StatusNotFound, err.Error())
	default:
		writeError(w, http.StatusServiceUnavailable, err.Error())
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, text string) {
	body, _ := json.Marshal(beechstore.ErrorReply{Error: text})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
