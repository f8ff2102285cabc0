package beechentry

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/process/beechending"
)

// TestOnlyDeparturesAreUnanswered guards against requests that end without a whole answer in a healthy
// run, and against departures that are not told from them.
func TestOnlyDeparturesAreUnanswered(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent(t)
	close(a.release)
	e := newTestEntry(t, a)
	serveTestEntry(t, e)
	waitUntil(t, "an answer", func() bool {
		status, _, err := sendCompletion(t.Context(), e, "")
		return err == nil && status == http.StatusOK
	})
	for range 20 {
		status, _, err := sendCompletion(t.Context(), e, "")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	is.Equal(len(e.Status().Unanswered), 0)
	a.silent.Store(true)
	t.Cleanup(func() { close(a.quit) })
	before := a.opened.Load()
	request, err := newCompletion(t.Context(), e)
	is.NoErr(err)
	connection, err := net.Dial("tcp", e.listener.Addr().String())
	is.NoErr(err)
	is.NoErr(request.Write(connection))
	waitUntil(t, "the stream is open", func() bool { return a.opened.Load() > before })
	is.NoErr(connection.Close())
	waitUntil(t, "the departure is counted", func() bool { return len(e.Status().Unanswered) > 0 })
	is.Equal(e.Status().Unanswered, map[string]int64{string(beechending.CallerClosed): 1})
}
