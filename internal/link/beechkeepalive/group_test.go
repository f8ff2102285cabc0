package beechkeepalive

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// start serves a handler until the test ends and returns the address.
func start(t *testing.T, g *Group, server *http.Server) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.ConnState = g.ConnState
	go func() { _ = server.Serve(g.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// caller is a caller's end of a connection.
type caller struct {
	*net.TCPConn
	responses *bufio.Reader
}

func dial(t *testing.T, address string) caller {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return caller{TCPConn: c.(*net.TCPConn), responses: bufio.NewReader(c)}
}

func (c caller) send(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// receive reads a whole response.
func (c caller) receive() (*http.Response, error) {
	response, err := http.ReadResponse(c.responses, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal(what)
}

// Nobody can tell why a connection ended under a caller's request.
func TestClosingsAreCountedByCause(t *testing.T) {
	for _, c := range []struct {
		name   string
		want   Cause
		unread int
		act    func(c caller, server *http.Server)
	}{
		{"caller closes", CallerLeft, 0, func(c caller, _ *http.Server) { _ = c.send(get); _, _ = c.receive(); _ = c.Close() }},
		{"nothing sent", NoRequest, 0, func(caller, *http.Server) {}},
		{"partial head", PartialHead, 0, func(c caller, _ *http.Server) { _ = c.send(get[:10]) }},
		{"last response", AfterResponse, 0, func(c caller, _ *http.Server) { _ = c.send("GET /last HTTP/1.1\r\nHost: h\r\n\r\n") }},
		{"last response, more sent", AfterResponse, len(get) - 1, func(c caller, _ *http.Server) {
			_ = c.send("GET /last HTTP/1.1\r\nHost: h\r\n\r\n")
			time.Sleep(10 * time.Millisecond)
			_ = c.send(get)
		}},
		{"broken off before the response", Unanswered, 0, func(c caller, _ *http.Server) { _ = c.send("GET /abort HTTP/1.1\r\nHost: h\r\n\r\n") }},
		{"server closed", Stopped, 0, func(c caller, s *http.Server) {
			_ = c.send(get)
			_, _ = c.receive()
			time.Sleep(50 * time.Millisecond)
			_ = s.Close()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			closings := make(chan Closing, 1)
			g := New(Settings{Closed: func(c Closing) { closings <- c }}, clockwork.NewRealClock())
			server := &http.Server{ReadHeaderTimeout: 100 * time.Millisecond, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/last":
					time.Sleep(100 * time.Millisecond)
					w.Header().Set("Connection", "close")
				case "/abort":
					panic(http.ErrAbortHandler)
				}
			})}
			c.act(dial(t, start(t, g, server)), server)
			waitFor(t, "connection is not closed", func() bool { return len(g.Counts().Closed) > 0 })
			is.Equal(g.Counts().Closed, map[Cause]int64{c.want: 1})
			if c.unread == 0 {
				is.Equal(len(g.Counts().Unread), 0)
				return
			}
			is.Equal(g.Counts().Unread, map[Cause]int64{c.want: 1})
			closing := <-closings
			is.Equal(closing.Cause, c.want)
			is.Equal(closing.Unread, c.unread) // net/http has read one byte to notice a departure
			is.True(closing.Heard >= 0)
		})
	}
}
