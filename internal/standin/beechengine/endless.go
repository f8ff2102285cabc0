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
}

// sendEndless sends bytes that are no answer until the connection is closed or the context ends.
func (e *Engine) sendEndless(ctx context.Context, w http.ResponseWriter, form string) error {
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
		time.Sleep(endlessPause)
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return errEndless
}

// consumeEndless returns the form of the next answer, if it is to be endless.
func (f *faults) consumeEndless() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endless <= 0 {
		return "", false
	}
	f.endless--
	return f.form, true
}
