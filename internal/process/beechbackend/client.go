package beechbackend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/beechring/beechring/internal/link/beechanswer"
	"github.com/beechring/beechring/internal/state/beechfence"
)

// Headers between an agent and a backend server. RequestHeader carries the request
// id. A server sets RanHeader to "no" to state that it did not run the request.
const (
	RequestHeader = "X-Request-Id"
	RanHeader     = "X-Ran"
)

const (
	maxErrorBytes = 4096

	// streamBufferSize is smaller than the default of 4 KB, since an agent holds two
	// buffers for each open stream, and the event of a token has about 200 bytes.
	streamBufferSize = 1 << 10
	maxReplyBytes    = 1 << 20   // of a call; a report has some 100 bytes for each model
	maxEventsBytes   = 4 << 20   // of cache events
	maxExportBytes   = 256 << 20 // of exported cache blocks
	maxHeadBytes     = 64 << 10  // of a response
	orderBufferSize  = 4 << 10   // an order with its headers fits, and leaves in one write
)

var errReplyTooLong = errors.New("the reply exceeds its limit")

type (
	// serverClient sends requests to one server and returns errors of the types of
	// this package.
	serverClient struct {
		address netip.AddrPort
		client  *http.Client
	}

	// singleUseReader hides the type of the request body from net/http, which
	// resends a request on its own if it can rewind the body. A request that may
	// not be repeated would then run twice.
	singleUseReader struct {
		*bytes.Reader
	}

	// checkedConnection writes only while the check succeeds.
	checkedConnection struct {
		net.Conn
		check func() error
	}

	// answerBody converts errors of reading an answer to the types of this package.
	answerBody struct {
		io.ReadCloser
		ctx  context.Context
		step string
		peer netip.AddrPort
	}
)

// NewClient returns an HTTP client for servers on the same host or nearby. The only timeout
// is the given one for connecting, since a generation may take minutes; callers set deadlines
// in their contexts.
func NewClient(connect time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: connect}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if t, ok := connection.(*net.TCPConn); ok {
				// A cancelled request is discarded wherever it is queued: closed normally, the
				// server would read it whole.
				_ = t.SetLinger(0)
			}
			return connection, err
		},
		DisableCompression: true,
		ReadBufferSize:     streamBufferSize,
		WriteBufferSize:    streamBufferSize,

		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

func (c checkedConnection) Write(data []byte) (int, error) {
	if err := c.check(); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// newServerClient returns a client that reuses connections where no copy of an earlier answer can be taken
// for the answer to another request.
func newServerClient(address netip.AddrPort, client *http.Client) serverClient {
	shared, ok := transportOf(client)
	if !ok {
		return serverClient{address: address, client: withTransport(client, unknownTransport{})}
	}
	return serverClient{address: address, client: withTransport(client, newConnections(shared))}
}

// newSingleUseClient returns a client that opens a connection for each request, so that no copy of an
// earlier answer can be taken for the answer to this one, and the check of an order's Guard can be made at
// the write: the process may be paused while it connects.
func newSingleUseClient(address netip.AddrPort, client *http.Client) serverClient {
	shared, ok := transportOf(client)
	if !ok {
		return serverClient{address: address, client: withTransport(client, unknownTransport{})}
	}
	transport := shared.Clone()
	transport.DisableKeepAlives = true
	transport.WriteBufferSize = orderBufferSize
	dial := dialContext(shared)
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if check := beechfence.CheckBeforeWrite(ctx); check != nil && err == nil {
			return checkedConnection{connection, check}, nil
		}
		return connection, err
	}
	return serverClient{address: address, client: withTransport(client, beechanswer.Transport(transport))}
}

func transportOf(c *http.Client) (*http.Transport, bool) {
	roundTripper := c.Transport
	if roundTripper == nil {
		roundTripper = http.DefaultTransport
	}
	transport, ok := roundTripper.(*http.Transport)
	return transport, ok
}

func dialContext(t *http.Transport) func(ctx context.Context, network, address string) (net.Conn, error) {
	if t.DialContext == nil {
		return (&net.Dialer{}).DialContext
	}
	return t.DialContext
}

// withTransport copies the client and disables redirects: following one would send
// the request a second time, and to a server that was not selected for it.
func withTransport(client *http.Client, transport http.RoundTripper) *http.Client {
	c := *client
	c.Transport = transport
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &c
}

// send sends a request and returns the server's response, regardless of its status. A response that carries
// the ID of another request is an error.
func (c serverClient) send(ctx context.Context, step, method, path, id, contentType string, header http.Header, body []byte) (*http.Response, error) {
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	r, err := c.request(traced, method, path, body)
	if err != nil {
		return nil, &NotSent{Step: step, Peer: c.address, Err: err}
	}
	maps.Copy(r.Header, header)
	if id != "" {
		r.Header.Set(RequestHeader, id)
	}
	if contentType != "" {
		r.Header.Set("Content-Type", contentType)
	}
	response, err := c.client.Do(r)
	if err != nil {
		return nil, c.sendError(ctx, step, sent.Load(), err)
	}
	if got := response.Header.Get(RequestHeader); id != "" && got != "" && got != id {
		response.Body.Close()
		return nil, &Broken{Step: step, Peer: c.address, Err: ErrWrongRequest}
	}
	return response, nil
}

func (c serverClient) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	if !strings.HasPrefix(path, "/") {
		return nil, fmt.Errorf("path %q does not start with /", path)
	}
	var reader io.Reader
	if len(body) > 0 || retriedByTransport(method) {
		reader = singleUseReader{bytes.NewReader(body)}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.address.String()+path, reader)
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(body))
	if beechfence.CheckBeforeWrite(ctx) != nil {
		// net/http writes the headers on their own unless it knows the type of the body. Without
		// GetBody it cannot resend the request.
		r.Body, r.GetBody = io.NopCloser(bytes.NewReader(body)), nil
	}
	return r, nil
}

// retriedByTransport reports whether net/http retries a request of this method without
// a body when a kept-alive connection is closed during it. To prevent this, such a
// request gets an empty body that net/http cannot rewind.
func retriedByTransport(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// sendError converts the error of a request that got no response. Only a request for
// which no connection was made, or of which nothing was written, is known not to have run.
func (c serverClient) sendError(ctx context.Context, step string, sent bool, err error) error {
	if !sent || errors.Is(err, errNothingWritten) || errors.Is(err, beechfence.ErrOutdated) {
		return &NotSent{Step: step, Peer: c.address, Err: err}
	}
	return transportError(ctx, step, c.address, err)
}

// isOverdue reports whether the deadline of a context has passed. It never blocks, whereas Err of a
// fake clock's context waits for the end of the context.
func isOverdue(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return errors.Is(ctx.Err(), context.DeadlineExceeded)
	default:
		return false
	}
}

func transportError(ctx context.Context, step string, address netip.AddrPort, err error) error {
	var timeout net.Error
	timedOut := isOverdue(ctx) || errors.As(err, &timeout) && timeout.Timeout()
	if timedOut {
		return &Timeout{Step: step, Peer: address, Err: err}
	}
	return &Broken{Step: step, Peer: address, Err: err}
}

// callJSON sends a request and decodes its JSON response into the given value, unless
// that is nil. A status of 400 or above is returned as Refused.
func (c serverClient) callJSON(ctx context.Context, step, method, path string, body []byte, into any) error {
	return c.callBounded(ctx, step, method, path, body, into, maxReplyBytes)
}

// callBounded is callJSON for a response of any length in bytes.
func (c serverClient) callBounded(ctx context.Context, step, method, path string, body []byte, into any, bound int64) error {
	response, err := c.send(ctx, step, method, path, "", "application/json", nil, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return c.readRefusal(step, response)
	}
	reply, err := io.ReadAll(io.LimitReader(response.Body, bound+1))
	if err != nil {
		return transportError(ctx, step, c.address, err)
	}
	if int64(len(reply)) > bound {
		return &Broken{Step: step, Peer: c.address, Err: errReplyTooLong}
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(reply, into); err != nil {
		return &Broken{Step: step, Peer: c.address, Err: err}
	}
	return nil
}

// readRefusal reads an error response and closes it.
func (c serverClient) readRefusal(step string, response *http.Response) error {
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return &Refused{
		Step:    step,
		Peer:    c.address,
		Status:  response.StatusCode,
		After:   retryAfter(response.Header),
		Message: errorMessage(text),
	}
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// errorMessage returns the message of an OpenAI error object. Any other text is
// discarded, since a server may quote the prompt in it.
func errorMessage(text []byte) string {
	var body struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(text, &body) != nil || body.Error.Message == "" {
		return "no reason given"
	}
	return body.Error.Message
}

// newAnswer returns the response as an Answer.
func (c serverClient) newAnswer(ctx context.Context, step string, response *http.Response) *Answer {
	contentType := response.Header.Get("Content-Type")
	return &Answer{
		Status:      response.StatusCode,
		ContentType: contentType,
		Header:      response.Header,
		Streamed:    isEventStream(contentType),
		Unframed:    response.ContentLength < 0 && len(response.TransferEncoding) == 0,
		Body:        answerBody{ReadCloser: response.Body, ctx: ctx, step: step, peer: c.address},
	}
}

func (b answerBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && err != io.EOF {
		err = transportError(b.ctx, b.step, b.peer, err)
	}
	return n, err
}

func isEventStream(contentType string) bool {
	kind, _, _ := strings.Cut(contentType, ";")
	return strings.TrimSpace(kind) == "text/event-stream"
}
