package beechentry

import (
	"net"
	"net/http"
	"strings"
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

// TestPanicBecomesAnAnswer guards against callers that get no answer since the handler panics.
func TestPanicBecomesAnAnswer(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent(t)
	close(a.release)
	e := newTestEntry(t, a)
	e.signer = nil // the head of a streamed answer panics
	serveTestEntry(t, e)
	var body string
	waitUntil(t, "a status 500", func() bool {
		var status int
		var err error
		status, body, err = sendCompletion(t.Context(), e, "")
		return err == nil && status == http.StatusInternalServerError
	})
	is.True(strings.Contains(body, `"ran":"unknown"`))
	is.Equal(e.Status().Unanswered, map[string]int64{string(beechending.Panic): 1})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.listener.Addr().String()+"/v1/models", http.NoBody)
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer loop-key")
	status, _, err := do(request)
	is.NoErr(err)
	is.Equal(status, http.StatusOK) // the process goes on
}
