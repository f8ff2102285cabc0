package beechsimulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestCopiesOfEarlierAnswers guards against a stand-in whose copies are no copies, or are of the answer itself.
func TestCopiesOfEarlierAnswers(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	e := NewEngine(EngineSettings{ID: "s1"})
	server := &http.Server{Handler: e, ConnContext: ConnContext}
	go func() { _ = server.Serve(NewListener(l)) }()
	defer server.Close()
	c, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	reader := bufio.NewReader(c)
	read := func() (id string, status int) {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		return response.Header.Get(headerAttemptID), response.StatusCode
	}
	ask := func(id string) {
		_, err := fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: s1\r\n%s: %s\r\n\r\n", headerAttemptID, id)
		is.NoErr(err)
	}
	e.SetFaults(EngineFaults{Refuse: true, Twice: 1})
	ask("one")
	id, status := read() // there is nothing to copy yet
	is.Equal(id, "one")
	is.Equal(status, http.StatusServiceUnavailable)
	e.SetFaults(EngineFaults{Twice: 1})
	ask("one")
	id, status = read()
	is.Equal(id, "one")
	is.Equal(status, http.StatusServiceUnavailable) // the copy of the refusal
	id, status = read()
	is.Equal(id, "one")
	is.Equal(status, http.StatusOK)
	is.Equal(e.Runs("one"), 1)
	is.Equal(e.CopiesSent(), 1)
	e.SetFaults(EngineFaults{})
	ask("two")
	id, status = read()
	is.Equal(id, "two")
	is.Equal(status, http.StatusOK)
	is.Equal(reader.Buffered(), 0)
}
