package beechplay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

type (
	// callerConnection is a caller's connection to a gate, which tells whether the gate read a request
	// that it closed the connection on.
	callerConnection struct {
		conn   *net.TCPConn
		reader *bufio.Reader
	}

	// exchange is a request of a caller and what became of it.
	exchange struct {
		id       string
		path     string
		events   int // asked for; 0 without a stream
		gate     string
		lifetime int           // of the gate, from 1
		idle     time.Duration // of a kept connection before the request; 0 for a new one
		sent     time.Time
		last     time.Time // when the last bytes came
		ended    time.Time
		received int // whole events
		longest  time.Duration
		status   int
		closes   bool // the connection is not to be used again
		outcome  outcome
		timeout  time.Duration // shortest of the route that was in force meanwhile
		err      error
	}

	// outcome is how an exchange ended.
	outcome string
)

const (
	answered   outcome = "answered"
	unsent     outcome = "closed before the request was sent"
	unread     outcome = "closed with the request unread"
	unanswered outcome = "closed without an answer"
	cut        outcome = "cut in the middle of the answer"
	overdue    outcome = "not answered in time"
	stalled    outcome = "no event within the caller's patience"
	wrong      outcome = "another answer"

	dialTimeout = time.Second
	// resetDelay is how long the reset of a connection may take to arrive on a busy machine.
	resetDelay = 50 * time.Millisecond
	// answerSlack is how long after its deadline a request is still waited for.
	answerSlack = time.Second
)

func dialGate(address string) (*callerConnection, error) {
	c, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &callerConnection{conn: c.(*net.TCPConn), reader: bufio.NewReader(c)}, nil
}

// closed reports whether the other side has closed the connection.
func (c *callerConnection) closed() bool {
	gone := false
	c.control(func(fd int) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN)
	})
	return gone
}

// refused reports whether the other side has reset the connection. It does so if bytes arrive after it
// has closed it, and if it closes it with bytes unread.
func (c *callerConnection) refused() bool {
	code := 0
	c.control(func(fd int) { code, _ = syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ERROR) })
	return code != 0
}

func (c *callerConnection) control(call func(fd int)) {
	if raw, err := c.conn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { call(int(fd)) })
	}
}

// send sends a request and reads its answer. The caller gives up if no event comes within patience
// once the answer has begun.
func (c *callerConnection) send(x *exchange, ask beechsimulator.CallerRequest, patience time.Duration) {
	r, err := ask.NewRequest()
	x.sent = time.Now()
	x.last, x.ended = x.sent, x.sent
	if err != nil {
		x.outcome, x.err = wrong, err
		return
	}
	if c.closed() {
		x.outcome = unsent
		return
	}
	if err := r.Write(c.conn); err != nil {
		x.outcome, x.err = unread, err
		return
	}
	_ = c.conn.SetReadDeadline(x.sent.Add(ask.Left + answerSlack))
	response, err := http.ReadResponse(c.reader, r)
	x.ended = time.Now()
	if err != nil {
		x.err = err
		x.outcome = c.failure(err, unanswered)
		return
	}
	defer response.Body.Close()
	x.status, x.closes, x.last = response.StatusCode, response.Close, time.Now()
	body, err := c.readBody(x, response.Body, patience)
	x.ended = time.Now()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.outcome, x.err = stalled, err
	case err != nil:
		x.outcome, x.err = cut, err
	default:
		x.outcome = answered
		if x.status == http.StatusOK && !isAnswer(x, body) {
			x.outcome, x.err = wrong, fmt.Errorf("body %.200q", body)
		}
	}
}

// failure tells apart what ended a connection on which no answer has come: a process that has read all
// that was sent closes it without a reset.
func (c *callerConnection) failure(err error, read outcome) outcome {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return overdue
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return unread
	}
	for end := time.Now().Add(resetDelay); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if c.refused() {
			return unread
		}
	}
	return read
}

func (c *callerConnection) readBody(x *exchange, body io.Reader, patience time.Duration) (string, error) {
	var text strings.Builder
	buffer := make([]byte, 4<<10)
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(patience))
		n, err := body.Read(buffer)
		if n > 0 {
			now := time.Now()
			x.longest = max(x.longest, now.Sub(x.last))
			x.last = now
			text.Write(buffer[:n])
			x.received = strings.Count(text.String(), "\n\n")
		}
		switch {
		case err == io.EOF:
			return text.String(), nil
		case err != nil:
			return text.String(), err
		}
	}
}

// isAnswer reports whether a body is a request's whole answer.
func isAnswer(x *exchange, body string) bool {
	if x.events == 0 {
		return strings.HasPrefix(body, "POST "+x.path)
	}
	for _, version := range soakVersions {
		if strings.ReplaceAll(body, " by "+version+"\n", "\n") == expectedStream(x.events) {
			return true
		}
	}
	return false
}

func (x *exchange) String() string {
	connection := "new connection"
	if x.idle > 0 {
		connection = "connection idle for " + x.idle.Round(time.Millisecond).String()
	}
	return fmt.Sprintf("%s %s at %s#%d, %s: %s after %s, status %d, %d of %d events, last bytes %s before, error %v, sent %s",
		x.id, x.path, x.gate, x.lifetime, connection, x.outcome, x.ended.Sub(x.sent).Round(time.Millisecond), x.status, x.received, x.events,
		x.ended.Sub(x.last).Round(time.Millisecond), x.err, x.sent.Format("15:04:05.000"))
}

// requestFor returns the request of an exchange.
func (x *exchange) requestFor(address, key string, left time.Duration) beechsimulator.CallerRequest {
	ask := beechsimulator.CallerRequest{ID: x.id, Key: key, Host: Host, URL: "http://" + address + x.path + x.id, Left: left, Body: "question"}
	if x.events > 0 {
		ask.Model, ask.Prompt, ask.Output, ask.Parts = Model, 1000, x.events, "c0:400,5b:300,"+strconv.Itoa(len(x.id))+x.id+":300"
	}
	return ask
}
