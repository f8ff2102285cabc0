package beechbody

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechintake"
)

const (
	maxBytes = 1 << 20
	capacity = 2 * maxBytes
)

// server reads bodies and answers 200 with their length, or with the status of the error.
type server struct {
	t       *testing.T
	intake  *beechintake.Intake
	reader  *Reader
	address string
	limits  Limits
	hold    chan struct{} // whole bodies are held until it is closed; nil: they are not
}

func start(t *testing.T, hold chan struct{}) *server {
	s := &server{
		t: t, intake: beechintake.New(beechintake.Settings{Capacity: capacity}, clockwork.NewRealClock()), limits: Limits{Bytes: maxBytes, Time: 5 * time.Second}, hold: hold,
	}
	s.reader = New(s.intake)
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	s.address = h.Listener.Addr().String()
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	body, err := s.reader.Read(control, r, "w", s.limits)
	if err == nil {
		defer body.Release()
		if s.hold != nil {
			<-s.hold
		}
		_, _ = fmt.Fprint(w, len(body.Data))
		return
	}
	status := http.StatusBadRequest
	var tooLarge *TooLargeError
	var refused *RefusedError
	switch {
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &refused):
		status = http.StatusServiceUnavailable
	case errors.Is(err, ErrLate):
		status = http.StatusRequestTimeout
	}
	w.Header().Set("Content-Length", "0")
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
	s.reader.Dismiss(control, r)
}

func (s *server) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp4", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// ask sends a request and returns its answer's status and body.
func (s *server) ask(text string) (int, string) {
	s.t.Helper()
	c := s.dial()
	_, _ = io.WriteString(c, text) // the server may close before it has all
	return s.receive(c)
}

func (s *server) receive(c net.Conn) (int, string) {
	s.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return response.StatusCode, string(data)
}

func withLength(size int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, body)
}

func chunked(sizes ...int) string {
	var text strings.Builder
	text.WriteString("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, size := range sizes {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
	}
	return text.String()
}

func TestWholeBodiesAreRead(t *testing.T) {
	s := start(t, nil)
	for _, c := range []struct{ name, text, length string }{
		{"none", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "0"},
		{"empty", withLength(0, ""), "0"},
		{"length", withLength(5, "hello"), "5"},
		{"largest", withLength(maxBytes, strings.Repeat("x", maxBytes)), fmt.Sprint(maxBytes)},
		{"chunks", chunked(3, 1, 1000) + "0\r\n\r\n", "1004"},
		{"largest in chunks", chunked(maxBytes-1, 1) + "0\r\n\r\n", fmt.Sprint(maxBytes)},
		{"empty chunks", chunked() + "0\r\n\r\n", "0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, length := s.ask(c.text)
			is.Equal(status, http.StatusOK)
			is.Equal(length, c.length)
		})
	}
	is := is.New(t)
	for end := time.Now().Add(5 * time.Second); s.intake.State().Held > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(s.intake.State().Held, 0)
}

func TestTooLargeBodiesAreRefused(t *testing.T) {
	s := start(t, nil)
	for _, c := range []struct{ name, text string }{
		{"announced", withLength(maxBytes+1, "")},
		{"announced, and sent in part", withLength(1<<30, strings.Repeat("x", 3*maxBytes))},
		{"announced, and not asked to be sent", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1073741824\r\nExpect: 100-continue\r\n\r\n"},
		{"in chunks", chunked(maxBytes, 1) + "0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, _ := s.ask(c.text)
			is.Equal(status, http.StatusRequestEntityTooLarge)
		})
	}
}

// Guards against a refusal that reaches its client only after the client has sent its body.
func TestRefusalComesAtOnce(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	defer close(hold)
	s := start(t, hold)
	for range 3 {
		_, err := io.WriteString(s.dial(), withLength(capacity/4, strings.Repeat("x", capacity/4)))
		is.NoErr(err)
	}
	for end := time.Now().Add(5 * time.Second); s.intake.State().Held < capacity/4*3 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	status, _ := s.ask(withLength(maxBytes, "the rest never comes"))
	is.Equal(status, http.StatusServiceUnavailable)
	status, _ = s.ask("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\nExpect: 100-continue\r\n\r\n")
	is.Equal(status, http.StatusServiceUnavailable)
}

func TestBodyThatStopsShortIsLate(t *testing.T) {
	is := is.New(t)
	s := start(t, nil)
	s.limits.Time = 50 * time.Millisecond
	status, _ := s.ask(withLength(10, "hello"))
	is.Equal(status, http.StatusRequestTimeout)
	is.Equal(s.intake.State().Held, 0)
}

// Guards against a reader that goes on with a body that has given way.
func TestBodyThatGivesWayIsRefused(t *testing.T) {
	is := is.New(t)
	s := start(t, nil)
	c := s.dial()
	_, err := io.WriteString(c, withLength(maxBytes, "the rest never comes"))
	is.NoErr(err)
	for end := time.Now().Add(5 * time.Second); s.intake.State().Held == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond) // until it may have to give way
	status, _ := s.ask(withLength(maxBytes, strings.Repeat("x", maxBytes)))
	is.Equal(status, http.StatusOK)
	status, _ = s.receive(c)
	is.Equal(status, http.StatusServiceUnavailable)
}

// Guards against clients that go on sending after a refusal, and keep the kernel's memory by it.
func TestClientThatGoesOnSendingIsReset(t *testing.T) {
	is := is.New(t)
	s := start(t, nil)
	c := s.dial()
	_, err := io.WriteString(c, withLength(1<<30, ""))
	is.NoErr(err)
	piece := make([]byte, 64<<10)
	for err == nil {
		_, err = c.Write(piece)
	}
	is.True(!errors.Is(err, net.ErrClosed))
	is.Equal(s.reader.Reset(), int64(1))
	is.Equal(len(s.reader.dismissed), 0)
}

// Guards against one request of the largest size that finds no room though it is alone.
func TestLargestRequestFitsAlone(t *testing.T) {
	is := is.New(t)
	s := start(t, nil)
	s.intake = beechintake.New(beechintake.Settings{Capacity: 1000}, clockwork.NewRealClock())
	s.reader = New(s.intake)
	const head = 16 << 10
	is.True(s.intake.RoomFor(maxBytes + HeadCopies*head))
	status, _ := s.ask(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nX-Long: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("x", head-100), maxBytes, strings.Repeat("x", maxBytes)))
	is.Equal(status, http.StatusOK)
}

// Guards against heads that hold memory beside bodies that are counted.
func TestLongHeadsAreCounted(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	s := start(t, hold)
	c := s.dial()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("x", 2*freeHeadBytes)+"\r\n\r\n")
	is.NoErr(err)
	for end := time.Now().Add(5 * time.Second); s.intake.State().Held == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(s.intake.State().Held >= HeadCopies*2*freeHeadBytes)
	close(hold)
	status, _ := s.receive(c)
	is.Equal(status, http.StatusOK)
}
