package beechbody

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/beechring/beechring/internal/decision/beechintake"
)

type (
	// Reader reads bodies. It is safe for concurrent use.
	Reader struct {
		intake    *beechintake.Intake
		dismissed chan struct{} // has an element for each connection whose rest is being received
		reset     atomic.Int64  // connections that were reset with their rest unread
	}

	// Limits bound one body.
	Limits struct {
		Bytes int64
		Time  time.Duration // in which the whole body must arrive
	}

	// Body is a whole body.
	Body struct {
		Data        []byte
		reservation *beechintake.Body
	}

	// TooLargeError reports a body that exceeds its limit.
	TooLargeError struct{ Limit int64 }

	// RefusedError reports a body for which there is no memory. Its request has not run.
	RefusedError struct{ beechintake.Refused }
)

const (
	firstBytes = 16 << 10 // reserved for a body without a length
	// freeHeadBytes is the size up to which a request's header fields are not counted.
	freeHeadBytes = 4 << 10
	// HeadCopies is how often a request's header fields are held. They count with its body if they are long.
	HeadCopies = 2

	maxDismissed = 32 // connections whose rest is received at a time
	dismissTime  = 500 * time.Millisecond
	dismissBytes = 8 << 20     // of the rest of a body
	writeTime    = time.Second // for the response to a client that is dismissed
)

// ErrLate is returned for a body that did not arrive in time.
var ErrLate = errors.New("body did not arrive in time")

// New returns a reader.
func New(intake *beechintake.Intake) *Reader {
	return &Reader{intake: intake, dismissed: make(chan struct{}, maxDismissed)}
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("body is larger than %d bytes", e.Limit)
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("no memory for the body: %s", e.Cause)
}

// Read reads the body of a workspace's request. The error is a *TooLargeError, a *RefusedError, ErrLate
// or that of the connection.
func (rd *Reader) Read(control *http.ResponseController, r *http.Request, workspace string, l Limits) (*Body, error) {
	if r.ContentLength > l.Bytes {
		return nil, &TooLargeError{Limit: l.Bytes}
	}
	head, size := headBytes(r.Header), int(r.ContentLength)
	if size < 0 {
		size = int(min(firstBytes, l.Bytes))
	}
	if head+size == 0 {
		return &Body{}, nil
	}
	reservation, refused := rd.intake.Open(workspace, head+size, func() { _ = control.SetReadDeadline(time.Unix(0, 0)) })
	if refused != nil {
		return nil, &RefusedError{*refused}
	}
	_ = control.SetReadDeadline(time.Now().Add(l.Time))
	s := source{body: r.Body, reservation: reservation, head: head, limit: int(l.Bytes)}
	data, err := s.read(size, r.ContentLength >= 0)
	if refused := reservation.Complete(); refused != nil {
		err = &RefusedError{*refused}
	}
	if err != nil {
		reservation.Close()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = ErrLate
		}
		return nil, err
	}
	_ = control.SetReadDeadline(time.Time{})
	return &Body{Data: data, reservation: reservation}, nil
}

// Expect reserves memory for what a whole body is decoded into.
func (b *Body) Expect(bytes int) error {
	if b.reservation == nil {
		return nil
	}
	if refused := b.reservation.Grow(len(b.Data) + bytes); refused != nil {
		return &RefusedError{*refused}
	}
	return nil
}

// Release gives back the memory. It may be called more than once, and on a nil body.
func (b *Body) Release() {
	if b != nil {
		b.reservation.Close()
	}
}

// Dismiss ends a request whose response was written before its body was read. The response must have a
// Content-Length and Connection: close. If the client goes on sending, the connection is reset, by a
// panic with http.ErrAbortHandler.
func (rd *Reader) Dismiss(control *http.ResponseController, r *http.Request) {
	_ = control.SetWriteDeadline(time.Now().Add(writeTime))
	err := control.Flush()
	if err == nil && rd.receiveRest(control, r) {
		return
	}
	rd.reset.Add(1)
	_ = control.SetReadDeadline(time.Unix(0, 0)) // net/http reads on otherwise
	panic(http.ErrAbortHandler)
}

// Reset returns the number of connections that were reset as their clients went on sending.
func (rd *Reader) Reset() int64 { return rd.reset.Load() }

// receiveRest receives the rest of a body and drops it. It reports whether it has come to its end.
func (rd *Reader) receiveRest(control *http.ResponseController, r *http.Request) bool {
	if r.Header.Get("Expect") != "" {
		return false // the client waits for the response before it sends the body
	}
	select {
	case rd.dismissed <- struct{}{}:
	default:
		return false
	}
	defer func() { <-rd.dismissed }()
	_ = control.SetReadDeadline(time.Now().Add(dismissTime))
	_, err := io.CopyN(io.Discard, r.Body, dismissBytes)
	return err == io.EOF
}

// source is a body that is being read.
type source struct {
	body        io.Reader
	reservation *beechintake.Body
	head        int // bytes reserved beside the body
	limit       int
}

// read reads the body into a buffer of a first size, which is its length if that is known.
func (s *source) read(size int, known bool) ([]byte, error) {
	data := make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			if known || len(data) == s.limit {
				return data, s.end()
			}
			larger := min(2*cap(data), s.limit)
			if refused := s.reservation.Grow(s.head + larger); refused != nil {
				return nil, &RefusedError{*refused}
			}
			data = append(make([]byte, 0, larger), data...)
		}
		n, err := s.body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		s.reservation.Received(n)
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		// Readers of many small chunks would otherwise keep the processor until they are preempted.
		runtime.Gosched()
	}
}

// end returns an error unless the body is at its end.
func (s *source) end() error {
	switch _, err := io.ReadFull(s.body, make([]byte, 1)); err {
	case io.EOF:
		return nil
	case nil:
		return &TooLargeError{Limit: int64(s.limit)}
	default:
		return err
	}
}

// headBytes returns the memory that a request's header fields take, or 0 if they are short.
func headBytes(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size <= freeHeadBytes {
		return 0
	}
	return HeadCopies * size
}
