package beechscenario

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/beechring/beechring/internal/standin/beechengine"
)

type (
	// request describes a request of a caller.
	request struct {
		Entry            netip.AddrPort
		Key              string
		Model            string
		System           string // system prompt, common to many requests
		History          string
		Prompt           string
		Tokens           int
		Stream           bool
		IdempotencyKey   string
		LastEvent        string
		Timeout          time.Duration
		Service          string // path below /v1/services/, starting with the service's name
		Method           string
		Body             string
		ReadDelay        time.Duration // pause between reads
		LeaveAfterEvents int           // disconnect after this number of events; 0 is never
		SmallBuffer      bool          // receive through small buffers
		PriorText        string        // text of the response that earlier calls received
		LeaveAfter       time.Duration // disconnect after this time; 0 is never
	}

	// call is one request and the response that its caller received.
	call struct {
		name    string
		request request
		done    chan struct{}

		mu         sync.Mutex
		status     int
		retryAfter string
		header     http.Header
		events     int
		lastID     string
		pending    pendingEvent
		text       string
		body       []byte
		finished   bool // whether the stream's last event or the whole body was received
		ran        string
		code       string
		prompt     int
		cached     int
		err        error
		firstByte  time.Duration
		took       time.Duration
	}

	// pendingEvent is an event whose terminating blank line has not been received.
	// An incomplete event at the end of a connection is dropped, as the standard
	// for server-sent events requires.
	pendingEvent struct {
		id      string
		data    string
		hasData bool
	}

	chunk struct {
		Choices []struct {
			Text    string                   `json:"text"`
			Delta   struct{ Content string } `json:"delta"`
			Message struct{ Content string } `json:"message"`
		} `json:"choices"`
		Usage *struct {
			Prompt  int `json:"prompt_tokens"`
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
		Error *struct {
			Code string `json:"code"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}
)

const smallBufferBytes = 4 << 10

var (
	defaultClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	// smallBufferClient receives through small buffers, so that bytes that a caller
	// does not read accumulate at the entry host.
	smallBufferClient = &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, DialContext: dialSmallBuffer, ReadBufferSize: smallBufferBytes,
	}}
	errCallerLeft = errors.New("caller disconnected")
)

func dialSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBufferBytes)
		})
	}}
	return dialer.DialContext(ctx, network, address)
}

// newCall starts a call in its own goroutine.
func newCall(ctx context.Context, name string, r request) *call {
	c := &call{name: name, request: r, done: make(chan struct{})}
	go func() {
		defer close(c.done)
		began := time.Now()
		err := c.run(ctx, began)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.err = err
		c.took = time.Since(began)
	}()
	return c
}

func (c *call) run(ctx context.Context, began time.Time) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c.request.LeaveAfter > 0 {
		ctx, cancel = context.WithTimeout(ctx, c.request.LeaveAfter)
		defer cancel()
	}
	httpRequest, err := c.build(ctx)
	if err != nil {
		return err
	}
	client := defaultClient
	if c.request.SmallBuffer {
		client = smallBufferClient
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	c.mu.Lock()
	c.status = response.StatusCode
	c.header = response.Header
	c.retryAfter = response.Header.Get("Retry-After")
	c.firstByte = time.Since(began)
	c.mu.Unlock()
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return c.readEvents(response.Body)
	}
	body, err := io.ReadAll(response.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = body
	c.finished = err == nil
	c.takeChunkLocked(body)
	return err
}

func (c *call) build(ctx context.Context) (*http.Request, error) {
	r := &c.request
	method, path, body := http.MethodPost, "/v1/chat/completions", r.completion()
	if r.Service != "" {
		path = "/v1/services/" + r.Service
		body = []byte(r.Body)
		if r.Method != "" {
			method = r.Method
		}
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+r.Entry.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Authorization", "Bearer "+r.Key)
	httpRequest.Header.Set("Content-Type", "application/json")
	setHeader(httpRequest.Header, "Idempotency-Key", r.IdempotencyKey)
	setHeader(httpRequest.Header, "Last-Event-ID", r.LastEvent)
	if r.Timeout > 0 {
		httpRequest.Header.Set("X-Request-Timeout-Ms", fmt.Sprint(r.Timeout.Milliseconds()))
	}
	return httpRequest, nil
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// completion encodes a chat completion request whose messages are the prompt's
// levels: system prompt, history and question.
func (r *request) completion() []byte {
	var messages []map[string]string
	for _, level := range []struct{ role, content string }{{"system", r.System}, {"user", r.History}, {"user", r.Prompt}} {
		if level.content != "" {
			messages = append(messages, map[string]string{"role": level.role, "content": level.content})
		}
	}
	data, _ := json.Marshal(map[string]any{
		"model": r.Model, "messages": messages, "stream": r.Stream, "max_tokens": r.Tokens,
		"stream_options": map[string]bool{"include_usage": true},
	})
	return data
}

// expected returns the complete response text under the given weights version.
func (r *request) expected(weights string) string {
	prompt, err := beechengine.Prompt(r.completion())
	if err != nil {
		return ""
	}
	return beechengine.Answer(r.Model+"@"+weights, prompt, r.Tokens)
}

func (c *call) readEvents(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if c.takeLine(lines.Text()) {
			return nil
		}
		if c.request.LeaveAfterEvents > 0 && c.eventCount() >= c.request.LeaveAfterEvents {
			return errCallerLeft
		}
		time.Sleep(c.request.ReadDelay)
	}
	return lines.Err()
}

// takeLine processes a line and returns true after the stream's last event.
func (c *call) takeLine(line string) bool {
	name, value, _ := strings.Cut(line, ": ")
	c.mu.Lock()
	defer c.mu.Unlock()
	switch name {
	case "id":
		c.pending.id = value
	case "data":
		c.pending.data += value
		c.pending.hasData = true
	case "":
		return c.dispatchLocked()
	}
	return false
}

// dispatchLocked processes the pending event after its blank line.
func (c *call) dispatchLocked() (last bool) {
	event := c.pending
	c.pending = pendingEvent{}
	if !event.hasData {
		return false
	}
	if event.data == "[DONE]" {
		c.finished = true
		return true
	}
	if event.id != "" {
		c.lastID = event.id
	}
	c.events++
	c.takeChunkLocked([]byte(event.data))
	return false
}

func (c *call) takeChunkLocked(data []byte) {
	var got chunk
	if json.Unmarshal(data, &got) != nil {
		return
	}
	if len(got.Choices) > 0 {
		c.text += got.Choices[0].Text + got.Choices[0].Delta.Content + got.Choices[0].Message.Content
	}
	if got.Usage != nil {
		c.prompt = got.Usage.Prompt
		c.cached = got.Usage.Details.Cached
	}
	if got.Error != nil {
		c.ran = got.Error.Ran
		c.code = got.Error.Code
	}
}

func (c *call) eventCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.events
}

func (c *call) isOver() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

func (c *call) waitDone(limit time.Duration) error {
	select {
	case <-c.done:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("call %s did not end within %s", c.name, limit)
	}
}

// describe formats the call for messages of failed checks.
func (c *call) describe() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("call %s: status %d, code %q, ran %q, retry %q, events %d, finished %t, error %v, text %.60q, body %.200q",
		c.name, c.status, c.code, c.ran, c.retryAfter, c.events, c.finished, c.err, c.text, c.body)
}
