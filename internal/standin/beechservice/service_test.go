package beechservice

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

func book(url string) (int, error) {
	response, err := http.Post(url+"/bookings", "application/json", strings.NewReader(`{"field":1}`))
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// The service crashes after it has made a booking and before it replies. The
// caller cannot tell whether the booking was made; the journal must show it.
func TestJournalIsKeptAcrossCrashAndFreeze(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s := New(Settings{Delay: time.Second, CrashPause: time.Second}, clock)
	server := httptest.NewServer(s.Handler())
	defer server.Close()

	replies := make(chan error)
	go func() {
		_, err := book(server.URL)
		replies <- err
	}()
	is.NoErr(clock.BlockUntilContext(t.Context(), 1)) // booked, reply pending
	s.Inject(Fault{Kind: FaultCrash})
	is.True(<-replies != nil)
	is.Equal(len(s.Journal().Runs), 1)
	_, err := book(server.URL)
	is.True(err != nil) // down
	is.Equal(len(s.Journal().Runs), 1)

	clock.Advance(time.Second)
	s.Inject(Fault{Kind: FaultFreeze})
	client := &http.Client{Timeout: 20 * time.Millisecond}
	_, err = client.Get(server.URL + "/ready")
	is.True(err != nil)
	s.Inject(Fault{Kind: FaultThaw})
	response, err := http.Get(server.URL + "/ready")
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusNoContent)
	is.True(!s.Inject(Fault{Kind: "unheard of"}))
}
