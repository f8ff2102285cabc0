package beechbackend

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

type (
	// openAI implements Engine for engines with an OpenAI-compatible HTTP API and the
	// extensions documented in the package internal/standin/beechengine.
	openAI struct {
		server serverClient
		single serverClient // a connection for each call
	}

	openAIEventsReply struct {
		Incarnation uint64 `json:"incarnation"`
		Events      []struct {
			Sequence uint64 `json:"sequence"`
			Salt     string `json:"salt"`
			Hash     string `json:"hash"`
			Tokens   int    `json:"tokens"`
			Stored   bool   `json:"stored"`
			Cleared  bool   `json:"cleared"`
		} `json:"events"`
	}

	openAILoadReply struct {
		Incarnation   uint64   `json:"incarnation"`
		Running       int      `json:"running"`
		Waiting       int      `json:"waiting"`
		Slots         int      `json:"slots"`
		PrefillRate   int      `json:"prefill_rate"`
		TokenNanos    int64    `json:"token_time_nanos"`
		Models        []string `json:"models"`
		Loading       []string `json:"loading"`
		FencingNumber uint64   `json:"fencing_number"`
	}

	openAIOrder struct {
		Fence   uint64 `json:"fence"`
		Load    string `json:"load,omitempty"`
		Unload  string `json:"unload,omitempty"`
		Adapter string `json:"adapter,omitempty"`
		Role    string `json:"role,omitempty"`
	}

	openAIImportReply struct {
		Tokens int `json:"tokens"`
	}
)

// NewOpenAI returns the Engine for an engine at address. The client's timeout
// must be 0; see NewClient.
func NewOpenAI(address netip.AddrPort, client *http.Client) Engine {
	return openAI{server: newServerClient(address, client), single: newSingleUseClient(address, client)}
}

// Generate sends a request and returns the engine's answer. The statuses 404, 429 and
// 503 are returned as Refused: the engine does not have the model or has no capacity.
// Any other status is returned as an Answer.
func (e openAI) Generate(ctx context.Context, g GenerateRequest) (*Answer, error) {
	const step = "generate"
	body, err := completeBody(g)
	if err != nil {
		return nil, &NotSent{Step: step, Peer: e.server.address, Err: err}
	}
	response, err := e.server.send(ctx, step, http.MethodPost, g.Path, g.RequestID, "application/json", nil, body)
	if err != nil {
		return nil, err
	}
	switch response.StatusCode {
	case http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return nil, e.server.readRefusal(step, response)
	default:
		return e.server.newAnswer(ctx, step, response), nil
	}
}

// Cancel cancels a request. It is not an error if the request has already ended.
func (e openAI) Cancel(ctx context.Context, requestID string) error {
	err := e.single.callJSON(ctx, "cancel", http.MethodPost, "/cancel/"+url.PathEscape(requestID), nil, nil)
	var refused *Refused
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// CacheEvents returns the cache events after the given sequence number, and the
// incarnation of the engine that they belong to. Events before that number are the copy of an earlier
// answer, and an error.
func (e openAI) CacheEvents(ctx context.Context, after uint64) (uint64, []CacheEvent, error) {
	const step = "read cache events"
	var reply openAIEventsReply
	path := "/cache/events?after=" + strconv.FormatUint(after, 10)
	if err := e.server.callBounded(ctx, step, http.MethodGet, path, nil, &reply, maxEventsBytes); err != nil {
		return 0, nil, err
	}
	events := make([]CacheEvent, len(reply.Events))
	for i, v := range reply.Events {
		if v.Sequence <= after {
			return 0, nil, &Broken{Step: step, Peer: e.server.address, Err: ErrWrongRequest}
		}
		events[i] = CacheEvent(v)
	}
	return reply.Incarnation, events, nil
}

// Report returns the load report of the engine.
func (e openAI) Report(ctx context.Context) (Report, error) {
	var l openAILoadReply
	if err := e.server.callJSON(ctx, "read load", http.MethodGet, "/load", nil, &l); err != nil {
		return Report{}, err
	}
	return Report{
		Incarnation:   l.Incarnation,
		Running:       l.Running,
		Waiting:       l.Waiting,
		Slots:         l.Slots,
		PrefillRate:   l.PrefillRate,
		TokenTime:     time.Duration(l.TokenNanos),
		Models:        l.Models,
		Loading:       l.Loading,
		FencingNumber: l.FencingNumber,
	}, nil
}

// Order starts the execution of an order; the load report shows when it is done. An
// engine that checks fencing numbers rejects an older one with status 409, which is
// returned as Refused.
func (e openAI) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(openAIOrder(o))
	if err != nil {
		return err
	}
	return e.single.callJSON(ctx, "order", http.MethodPost, "/orders", body, nil)
}

// Export returns the cached blocks of the prompt, in the format of the engine.
func (e openAI) Export(ctx context.Context, salt string, prompt []byte) ([]byte, error) {
	// json.Marshal would escape characters of the prompt, and the engine would then
	// find none of its blocks.
	body := setFields(nil, nil, []field{{"salt", jsonString(salt)}, {"prompt", prompt}})
	var blocks json.RawMessage
	err := e.single.callBounded(ctx, "export cache", http.MethodPost, "/kv/export", body, &blocks, maxExportBytes)
	return blocks, err
}

// Import stores blocks in the cache of the engine that were exported under the same
// salt. It returns the number of tokens imported.
func (e openAI) Import(ctx context.Context, salt string, blocks []byte) (int, error) {
	var imported openAIImportReply
	path := "/kv/import?salt=" + url.QueryEscape(salt)
	err := e.single.callJSON(ctx, "import cache", http.MethodPost, path, blocks, &imported)
	return imported.Tokens, err
}

// completeBody sets the fields that the agent controls in the caller's JSON. The
// caller's own salt, priority, adapter and resume text never reach the engine.
func completeBody(g GenerateRequest) ([]byte, error) {
	members, err := scanObject(g.Body)
	if err != nil {
		return nil, err
	}
	fields := []field{
		{"cache_salt", jsonString(g.Salt)},
		{"priority", strconv.AppendInt(nil, int64(g.Priority), 10)},
		{"stream", strconv.AppendBool(nil, g.Streamed)},
		{"resume_text", jsonString(g.Resume)},
		{"adapter", jsonString(g.Adapter)},
	}
	if g.Model != "" {
		fields = append(fields, field{"model", jsonString(g.Model)})
	}
	options := field{name: "stream_options"}
	if g.Streamed {
		options.value = withIncludeUsage(lastValue(g.Body, members, options.name))
	}
	fields = append(fields, options)
	return setFields(g.Body, members, fields), nil
}

// withIncludeUsage sets include_usage in the stream options, so that the engine reports
// the usage at the end of the stream. The agent needs it even if the caller does not.
func withIncludeUsage(options []byte) []byte {
	members, err := scanObject(options)
	if err != nil {
		return []byte(`{"include_usage":true}`)
	}
	return setFields(options, members, []field{{"include_usage", []byte("true")}})
}

// jsonString encodes s as a JSON string. It returns nil if s is empty.
func jsonString(s string) []byte {
	if s == "" {
		return nil
	}
	var b strings.Builder
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if encoder.Encode(s) != nil {
		return nil
	}
	return []byte(strings.TrimSuffix(b.String(), "\n"))
}
