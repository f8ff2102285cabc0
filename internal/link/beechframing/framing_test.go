package beechframing

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serve starts a server that responds with the path of each request, whether it is
// ambiguous, and its body. It returns the address.
func serve(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnContext: ConnContext, ConnState: ConnState, ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ambiguous := Ambiguous(r)
		data, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %v %s", r.URL.Path, ambiguous, data)
	})}
	go func() { _ = server.Serve(Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func roundTrips(t *testing.T, address string, requests ...string) []string {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	r := bufio.NewReader(c)
	var answers []string
	for _, text := range requests {
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		data, _ := io.ReadAll(response.Body)
		answers = append(answers, string(data))
	}
	return answers
}

const (
	plain   = "POST /plain HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
	chunked = "POST /chunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
	both    = "POST /both HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
)

func TestAmbiguous(t *testing.T) {
	is := is.New(t)
	address := serve(t)
	got := roundTrips(t, address, plain, chunked, plain, both)
	is.Equal(got, []string{"/plain false ab", "/chunked false ab", "/plain false ab", "/both true ab"})
}

// Guards against a second length hidden behind a bare line feed, which net/http takes for the end of a line.
func TestBareLineFeeds(t *testing.T) {
	is := is.New(t)
	address := serve(t)
	for _, head := range []string{
		"Transfer-Encoding: chunked\nContent-Length: 7\r\n\r\n",
		"Content-Length: 7\nTransfer-Encoding: chunked\r\n\r\n",
		"Content-Length: 7\nTransfer-Encoding: chunked\n\n",
		"X: y\nContent-Length: 7\r\nTransfer-Encoding: chunked\r\n\n",
		"X: y\nTransfer-Encoding: chunked\r\n\r\n", // one length, but another reader may find none
	} {
		got := roundTrips(t, address, "POST /feeds HTTP/1.1\r\nHost: h\r\n"+head+"2\r\nab\r\n0\r\n\r\n")
		is.Equal(got, []string{"/feeds true ab"})
	}
}

// The head arrives in several reads, split within the name of a header field.
func TestHeadInSeveralReads(t *testing.T) {
	is := is.New(t)
	address := serve(t)
	c, err := net.Dial("tcp4", address)
	is.NoErr(err)
	defer c.Close()
	for _, piece := range []string{both[:40], both[40:60], both[60:]} {
		_, err = io.WriteString(c, piece)
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	data, _ := io.ReadAll(response.Body)
	is.Equal(string(data), "/both true ab")
}

// An ambiguous request is pipelined behind a plain one, before the response to that.
func TestPipelinedRequest(t *testing.T) {
	is := is.New(t)
	c, err := net.Dial("tcp4", serve(t))
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, plain+both)
	is.NoErr(err)
	r := bufio.NewReader(c)
	for _, want := range []string{"/plain false ab", "/both true ab"} {
		response, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		data, _ := io.ReadAll(response.Body)
		is.Equal(string(data), want)
	}
}
