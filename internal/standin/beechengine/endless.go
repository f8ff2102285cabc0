package beechengine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	endlessPiece = 16 << 10             // bytes written at a time
	endlessPause = 4 * time.Millisecond // after each
	streamHead   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	wholeFields  = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	chunkedHead  = wholeFields + "Transfer-Encoding: chunked\r\n\r\n"
)

// errEndless ends a request whose endless answer was cut off by the caller.
var errEndless = errors.New("the connection of an endless answer was closed")

// endlessForms are the beginning of an endless answer and what is repeated after it.
var endlessForms = map[string][2]string{
	"field":    {"HTTP/1.1 200 OK\r\nX: ", "x"},
	"fields":   {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
	"interim":  {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"event":    {streamHead + "data: ", "x"},
	"lines":    {streamHead, "x: y\n\n"},
	"comments": {streamHead, ": x\n"},

	"events":    {streamHead, "data: {\"choices\":[]}\n\n"},
	"status":    {"HTTP/1.1 200 ", "x"},
	"body":      {wholeFields + "\r\n", "x"},
	"length":    {wholeFields + "Content-Length: 4611686018427387904\r\n\r\n", "x"},
	"chunk":     {chunkedHead + "4000000000000000\r\n", "x"},
	"chunks":    {chunkedHead, "8\r\nxxxxxxxx\r\n"},
	"size":      {chunkedHead, "1"},
	"extension": {chunkedHead + "1;", "x"},
	"trailer":   {chunkedHead + "0\r\nX: ", "x"},
	"trailers":  {chunkedHead + "0\r\n", "X: x\r\n"},
}

// sendEndless sends bytes that are no answer until the connection is closed or the context ends.
func (e *Engine) sendEndless(ctx context.Context, w http.ResponseWriter, form string, pause time.Duration) error {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return fmt.Errorf("take over the connection: %w", err)
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	begin, repeat := endlessForms[form][0], endlessForms[form][1]
	if _, err := c.Write([]byte(begin)); err != nil {
		return errEndless
	}
	piece := []byte(strings.Repeat(repeat, endlessPiece/len(repeat)))
	for ctx.Err() == nil {
		if _, err := c.Write(piece); err != nil {
			break
		}
		time.Sleep(pause)
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return errEndless
}

// consumeEndless returns the form of the next answer, and the time between its pieces, if it is to be endless.
func (f *faults) consumeEndless(call bool) (form string, pause time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endless <= 0 || call && !f.calls {
		return "", 0, false
	}
	f.endless--
	if f.full {
		return f.form, 0, true
	}
	return f.form, endlessPause, true
}

// isCall reports whether a request is a call of an agent, as opposed to a request that it forwards.
func isCall(r *http.Request) bool { return !strings.HasPrefix(r.URL.Path, "/v1/") }
