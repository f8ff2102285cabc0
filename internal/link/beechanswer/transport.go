package beechanswer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"
)

type (
	// checkedTransport gives only answers with sound heads and whole bodies.
	checkedTransport struct{ next http.RoundTripper }

	// requestWriting is the writing of a request, of which a transport may begin several.
	requestWriting struct {
		mu   sync.Mutex
		done chan struct{} // closed when the last one has ended
		err  error         // valid then
	}

	checkedBody struct {
		io.ReadCloser
		ctx      context.Context
		response *http.Response
		writing  *requestWriting
		unframed bool // it ends with its connection
		ended    error
	}
)

const (
	// writeGrace is how long a request may still be written after its answer has ended with the connection, which ends
	// the writing too.
	writeGrace          = 100 * time.Millisecond
	maxInterimResponses = 100
)

var errInterim = fmt.Errorf("%w: %d interim responses", ErrMalformed, maxInterimResponses)

// ErrCut is the error of a body without a length that ended with its connection before its request was written whole. A
// reset is reported to one call only, which may have been the writing.
var ErrCut = fmt.Errorf("the connection failed as an answer without a length ended: %w", io.ErrUnexpectedEOF)

// Transport returns a transport whose answers have sound heads and trailers, and whose bodies do not end without an error if
// they may lack a part.
func Transport(next http.RoundTripper) http.RoundTripper { return checkedTransport{next} }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	writing := &requestWriting{done: make(chan struct{})}
	interim := 0
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { writing.begin() },
		WroteRequest: func(i httptrace.WroteRequestInfo) { writing.end(i.Err) },
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if interim++; interim > maxInterimResponses { // the transport leaves the bound to this function
				return errInterim
			}
			return CheckFields(http.Header(header))
		},
	})
	response, err := t.next.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	unframed := response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !response.Uncompressed && response.Body != http.NoBody
	response.Body = &checkedBody{ReadCloser: response.Body, ctx: r.Context(), response: response, writing: writing, unframed: unframed}
	return response, nil
}

// CloseIdleConnections closes those of the transport below.
func (t checkedTransport) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

func (w *requestWriting) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.done: // on another connection
		w.done, w.err = make(chan struct{}), nil
	default:
	}
}

func (w *requestWriting) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.done:
	default:
		w.err = err
		close(w.done)
	}
}

// check returns an error unless the request was written whole.
func (w *requestWriting) check(ctx context.Context) error {
	w.mu.Lock()
	done := w.done
	w.mu.Unlock()
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		return ErrCut
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrCut, ctx.Err())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return fmt.Errorf("%w: write request: %w", ErrCut, w.err)
	}
	return nil
}

// Read reads from the body, and checks at its end that it is that of a whole answer.
func (b *checkedBody) Read(data []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF {
		b.ended = err
		if failed := CheckFields(b.response.Trailer); failed != nil {
			b.ended = failed
		} else if b.unframed {
			if failed := b.writing.check(b.ctx); failed != nil {
				b.ended = failed
			}
		}
		err = b.ended
	}
	return n, err
}
