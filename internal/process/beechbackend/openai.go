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
	// openAI is an engine with OpenAI's HTTP shapes and the extensions that
	// the package beechengine of the stand-ins documents.
	openAI struct {
		peer peer
	}

	openAIEvents struct {
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

	openAILoad struct {
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

	openAIImported struct {
		Tokens int `json:"tokens"`
	}
)

// NewOpenAI returns the adapter for an engine at address. The client's timeout
// must be 0; see NewClient.
func NewOpenAI(address netip.AddrPort, client *http.Client) Engine {
	return openAI{peer: newPeer(address, client)}
}

// Generate returns the engine's answer. A 404, 429 or 503 is Refused: the
// engine does not have the model or has no room. Any other status is an Answer.
func (e openAI) Generate(ctx context.Context, g GenerateRequest) (*Answer, error) {
	const step = "generate"
	body, err := completeBody(g)
	if err != nil {
		return nil, &NotSent{Step: step, Peer: e.peer.address, Err: err}
	}
	response, err := e.peer.send(ctx, step, http.MethodPost, g.Path, g.RequestID, "application/json", nil, body)
	if err != nil {
		return nil, err
	}
	switch response.StatusCode {
	case http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return nil, e.peer.refusal(step, response)
	default:
		return e.peer.answer(ctx, step, g.RequestID, response)
	}
}

// Cancel ends a request. One that has ended already is no error.
func (e openAI) Cancel(ctx context.Context, requestID string) error {
	err := e.peer.call(ctx, "cancel", http.MethodPost, "/cancel/"+url.PathEscape(requestID), nil, nil)
	var refused *Refused
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return nil
	}
	return err
}

// CacheEvents returns the events published behind a sequence number, and the
// incarnation that they belong to.
func (e openAI) CacheEvents(ctx context.Context, after uint64) (uint64, []CacheEvent, error) {
	var reply openAIEvents
	path := "/cache/events?after=" + strconv.FormatUint(after, 10)
	if err := e.peer.call(ctx, "read cache events", http.MethodGet, path, nil, &reply); err != nil {
		return 0, nil, err
	}
	events := make([]CacheEvent, len(reply.Events))
	for i, v := range reply.Events {
		events[i] = CacheEvent(v)
	}
	return reply.Incarnation, events, nil
}

// Report returns the engine's load.
func (e openAI) Report(ctx context.Context) (Report, error) {
	var l openAILoad
	if err := e.peer.call(ctx, "read load", http.MethodGet, "/load", nil, &l); err != nil {
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

// Order begins an order. The report shows when it is done. An older fencing
// number is Refused with status 409 by an engine that checks it.
func (e openAI) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(openAIOrder(o))
	if err != nil {
		return err
	}
	return e.peer.call(ctx, "order", http.MethodPost, "/orders", body, nil)
}

// Export returns the cached blocks of a request's body, in the engine's own
// format.
func (e openAI) Export(ctx context.Context, salt string, prompt []byte) ([]byte, error) {
	// json.Marshal would escape the prompt, and then the engine would find none
	// of its blocks.
	body := setFields(nil, nil, []field{{"salt", text(salt)}, {"prompt", prompt}})
	var blocks json.RawMessage
	err := e.peer.call(ctx, "export cache", http.MethodPost, "/kv/export", body, &blocks)
	return blocks, err
}

// Import gives the engine blocks that were exported under the same salt.
func (e openAI) Import(ctx context.Context, salt string, blocks []byte) (int, error) {
	var imported openAIImported
	path := "/kv/import?salt=" + url.QueryEscape(salt)
	err := e.peer.call(ctx, "import cache", http.MethodPost, path, blocks, &imported)
	return imported.Tokens, err
}

// completeBody sets what the agent decides in the caller's JSON. The caller's
// own salt, priority, adapter and resume text never reach the engine.
func completeBody(g GenerateRequest) ([]byte, error) {
	members, err := scanObject(g.Body)
	if err != nil {
		return nil, err
	}
	fields := []field{
		{"cache_salt", text(g.Salt)},
		{"priority", strconv.AppendInt(nil, int64(g.Priority), 10)},
		{"stream", strconv.AppendBool(nil, g.Streamed)},
		{"resume_text", text(g.Resume)},
		{"adapter", text(g.Adapter)},
	}
	if g.Model != "" {
		fields = append(fields, field{"model", text(g.Model)})
	}
	options := field{name: "stream_options"}
	if g.Streamed {
		options.value = withUsage(lastValue(g.Body, members, options.name))
	}
	fields = append(fields, options)
	return setFields(g.Body, members, fields), nil
}

// withUsage asks for the usage at the stream's end, which the agent needs
// whether the caller wants it or not.
func withUsage(options []byte) []byte {
	members, err := scanObject(options)
	if err != nil {
		return []byte(`{"include_usage":true}`)
	}
	return setFields(options, members, []field{{"include_usage", []byte("true")}})
}

// text is a JSON string, or nil for an empty one.
func text(s string) []byte {
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
