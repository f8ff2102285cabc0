package beechmetric

import (
	"expvar"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestHandler(t *testing.T) {
	is := is.New(t)
	vars := new(expvar.Map)
	denied := new(expvar.Map)
	denied.Add("no route", 2)
	vars.Set("denied", denied)
	vars.Add("retried", 7)
	first := NewLatency()
	first.Record(1500 * time.Microsecond)
	vars.Set("first", expvar.Func(first.Percentiles))
	get := func(path string) string {
		w := httptest.NewRecorder()
		Handler(vars).ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, http.NoBody))
		is.Equal(w.Code, http.StatusOK)
		return w.Body.String()
	}
	is.Equal(get(TextPath), "denied.no_route 2\nfirst.count 1\nfirst.max 1503\nfirst.p50 1503\nfirst.p90 1503\nfirst.p99 1503\nretried 7\n")
	is.Equal(get("/"), vars.String())
}
