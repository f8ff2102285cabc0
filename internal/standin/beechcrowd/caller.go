package beechcrowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

type (
	// Caller is a client that behaves, beside a crowd. It sends each request on a new connection.
	Caller struct {
		Address netip.AddrPort
		Host    string // Host header
		Path    string
		Header  func() http.Header // of the next request
		Bytes   int                // of the body
		Pause   time.Duration      // between two pieces of the body
	}

	// RefusalError is an answer other than success.
	RefusalError struct {
		Status int
		After  time.Duration // until the caller may come again; 0: not told
		Body   string
	}
)

const (
	bodyPiece     = 16 << 10
	answerTimeout = 20 * time.Second
	// defaultReturn is how long a caller waits that was not told when to come again.
	defaultReturn = 200 * time.Millisecond
)

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("status %d, to come again after %s: %s", e.Status, e.After, e.Body)
}

// AskPatiently asks until the request is answered, and comes again when it is told to. It returns the
// last error if the context ends before.
func (c Caller) AskPatiently(ctx context.Context) error {
	for tries := 1; ; tries++ {
		err := c.Ask()
		if err == nil {
			return nil
		}
		after := defaultReturn
		if refusal, ok := err.(*RefusalError); ok && refusal.After > 0 {
			after = refusal.After
		}
		select {
		case <-time.After(after):
		case <-ctx.Done():
			return fmt.Errorf("after %d tries: %w", tries, err)
		}
	}
}

// Ask asks once. The error is a *RefusalError if there was an answer.
func (c Caller) Ask() error {
	conn, err := net.DialTimeout("tcp", c.Address.String(), dialTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	sendErr := c.send(conn)
	// An early answer may be there though the rest of the body was not taken.
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil && sendErr != nil {
		return sendErr
	}
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // 0 if there is none
	return &RefusalError{Status: response.StatusCode, After: time.Duration(seconds * float64(time.Second)), Body: string(text)}
}

func (c Caller) send(conn net.Conn) error {
	head := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", c.Path, c.Host, c.Bytes)
	if _, err := conn.Write(head); err != nil {
		return err
	}
	if err := c.Header().Write(conn); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, "\r\n"); err != nil {
		return err
	}
	piece := make([]byte, bodyPiece)
	for left := c.Bytes; left > 0; left -= len(piece) {
		time.Sleep(c.Pause)
		piece = piece[:min(left, len(piece))]
		if _, err := conn.Write(piece); err != nil {
			return err
		}
	}
	return nil
}
