package beechsimulator

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

const silence = 400 * time.Millisecond

// ask sends a request for a stream and returns its response.
func ask(t *testing.T, url string, events int) *http.Response {
	t.Helper()
	r, err := CallerRequest{ID: "r", URL: url + "/pick/x", Model: "m", Prompt: 10, Output: events, Parts: "a:10"}.NewRequest()
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// TestSilentEngineGoesOn guards against events that a silent engine loses, or writes before its silence is over.
func TestSilentEngineGoesOn(t *testing.T) {
	is := is.New(t)
	e := NewEngine(EngineSettings{ID: "e", Model: "m", Version: 1, Token: 10 * time.Millisecond})
	server := httptest.NewServer(e)
	defer server.Close()
	response := ask(t, server.URL, 4)
	defer response.Body.Close()
	lines := bufio.NewReader(response.Body)
	first, err := lines.ReadString('\n')
	is.NoErr(err)
	is.Equal(first, "id: 1\n")
	began := time.Now()
	e.FallSilent(silence)
	rest, err := io.ReadAll(lines)
	is.NoErr(err)
	is.Equal(string(rest), "data: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\n")
	is.True(time.Since(began) >= silence)
}

// TestSilentEngineHoldsEndsAndReports guards against headers, ends of streams and reports that a silent engine sends.
func TestSilentEngineHoldsEndsAndReports(t *testing.T) {
	is := is.New(t)
	e := NewEngine(EngineSettings{ID: "e", Model: "m", Version: 1})
	server := httptest.NewServer(e)
	defer server.Close()
	for _, path := range []string{"/beechring/report", "/beechring/kv-list", "/beechring/kv-events", healthPath} {
		began := time.Now()
		e.FallSilent(silence / 4)
		response, err := http.Get(server.URL + path)
		is.NoErr(err)
		_ = response.Body.Close()
		is.True(time.Since(began) >= silence/4)
	}
	began := time.Now()
	e.FallSilent(silence)
	answered := make(chan time.Time)
	go func() {
		_ = ask(t, server.URL, 1).Body.Close()
		answered <- time.Now()
	}()
	for e.Running() == 0 && time.Since(began) < silence {
		time.Sleep(time.Millisecond)
	}
	is.True(time.Since(began) < silence) // the request begins to run
	at := <-answered
	is.True(at.Sub(began) >= silence)
}

// TestSilenceEndsForDepartedCaller guards against runs of departed callers that a silence keeps.
func TestSilenceEndsForDepartedCaller(t *testing.T) {
	is := is.New(t)
	e := NewEngine(EngineSettings{ID: "e", Model: "m", Version: 1, Token: time.Millisecond})
	server := httptest.NewServer(e)
	defer server.Close()
	response := ask(t, server.URL, 1000)
	e.FallSilent(time.Minute)
	_ = response.Body.Close()
	for end := time.Now().Add(5 * time.Second); e.Running() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(e.Running(), 0)
}

// TestSilenceDoesNotBecomeShorter guards against a second, shorter silence that ends the first.
func TestSilenceDoesNotBecomeShorter(t *testing.T) {
	is := is.New(t)
	e := NewEngine(EngineSettings{ID: "e"})
	e.FallSilent(silence)
	e.FallSilent(silence / 2)
	is.Equal(len(e.Silences()), 1)
	first := e.Silences()[0]
	is.True(first.Until.Sub(first.From) >= silence)
	e.FallSilent(2 * silence)
	is.Equal(len(e.Silences()), 1)
	is.True(e.Silences()[0].Until.After(first.Until))
}
