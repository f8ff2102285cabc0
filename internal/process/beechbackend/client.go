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
)

// Headers between an agent and a backend server. RanHeader with the value "no"
// is a server's word that it did not run the request.
const (
	RequestHeader = "X-Request-Id"
	RanHeader     = "X-Ran"
)

const (
	idleConnections = 1024
	idleTime        = 90 * time.Second
	maxErrorText    = 4096

	// streamBuffer is less than the usual 4 KB: an agent holds two of them for
	// each open stream, and a token's event has some 200 bytes.
	streamBuffer = 1 << 10
	maxReply     = 256 << 20
)

type (
	// peer sends requests to one server and types what goes wrong.
	peer struct {
		address netip.AddrPort
		client  *http.Client
	}

	// bodyReader hides the type of a request's body from net/http, which
	// resends by itself what it knows how to read again. A request that may not
	// be repeated would then run twice.
	bodyReader struct {
		*bytes.Reader
	}

	// answerBody types the errors of reading an answer.
	answerBody struct {
		io.ReadCloser
		ctx  context.Context
		step string
		peer netip.AddrPort
	}
)

// NewClient returns an HTTP client for servers on the same host or nearby. It
// keeps connections alive and has no time limit but that to connect, since a
// generation may take minutes; callers limit by their contexts.
func NewClient(connect time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: connect}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTime,
		DisableCompression:  true,
		ReadBufferSize:      streamBuffer,
		WriteBufferSize:     streamBuffer,
	}}
}

// newPeer copies the client without redirects: following one would send a
// request a second time, and to a server that nobody chose.
func newPeer(address netip.AddrPort, client *http.Client) peer {
	c := *client
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return peer{address: address, client: &c}
}

// send returns the server's answer, whatever its status.
func (p peer) send(ctx context.Context, step, method, path, id, contentType string, header http.Header, body []byte) (*http.Response, error) {
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	r, err := p.request(traced, method, path, body)
	if err != nil {
		return nil, &NotSent{Step: step, Peer: p.address, Err: err}
	}
	maps.Copy(r.Header, header)
	if id != "" {
		r.Header.Set(RequestHeader, id)
	}
	if contentType != "" {
		r.Header.Set("Content-Type", contentType)
	}
	response, err := p.client.Do(r)
	if err != nil {
		return nil, p.failure(ctx, step, sent.Load(), err)
	}
	return response, nil
}

func (p peer) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	if !strings.HasPrefix(path, "/") {
		return nil, fmt.Errorf("path %q does not begin with /", path)
	}
	var reader io.Reader
	if len(body) > 0 || resentWithoutBody(method) {
		reader = bodyReader{bytes.NewReader(body)}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.address.String()+path, reader)
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(body))
	return r, nil
}

// resentWithoutBody tells whether net/http sends a request without a body a
// second time when a kept connection closes under it. Such a request gets a body
// of no bytes, which net/http cannot read again.
func resentWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// failure types the error of a request that got no answer. Only a request that
// never had a connection is proved not to have run.
func (p peer) failure(ctx context.Context, step string, sent bool, err error) error {
	if !sent {
		return &NotSent{Step: step, Peer: p.address, Err: err}
	}
	return typed(ctx, step, p.address, err)
}

func typed(ctx context.Context, step string, address netip.AddrPort, err error) error {
	var timeout net.Error
	late := errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
	if late {
		return &Timeout{Step: step, Peer: address, Err: err}
	}
	return &Broken{Step: step, Peer: address, Err: err}
}

// call sends a request whose answer is small JSON, and reads it.
func (p peer) call(ctx context.Context, step, method, path string, body []byte, into any) error {
	response, err := p.send(ctx, step, method, path, "", "application/json", nil, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return p.refusal(step, response)
	}
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return typed(ctx, step, p.address, err)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(reply, into); err != nil {
		return &Broken{Step: step, Peer: p.address, Err: err}
	}
	return nil
}

// refusal reads an error answer and closes it.
func (p peer) refusal(step string, response *http.Response) error {
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText))
	return &Refused{
		Step:    step,
		Peer:    p.address,
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

// errorMessage takes the message out of an OpenAI error object. Other text is
// dropped, since a server may quote the prompt in it.
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

// answer hands a response on, once its id is seen to be the request's.
func (p peer) answer(ctx context.Context, step, id string, response *http.Response) (*Answer, error) {
	if got := response.Header.Get(RequestHeader); got != "" && got != id {
		response.Body.Close()
		return nil, &Broken{Step: step, Peer: p.address, Err: ErrWrongRequest}
	}
	contentType := response.Header.Get("Content-Type")
	return &Answer{
		Status:      response.StatusCode,
		ContentType: contentType,
		Header:      response.Header,
		Streamed:    isEventStream(contentType),
		Body:        answerBody{ReadCloser: response.Body, ctx: ctx, step: step, peer: p.address},
	}, nil
}

func (b answerBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && err != io.EOF {
		err = typed(b.ctx, b.step, b.peer, err)
	}
	return n, err
}

func isEventStream(contentType string) bool {
	kind, _, _ := strings.Cut(contentType, ";")
	return strings.TrimSpace(kind) == "text/event-stream"
}
