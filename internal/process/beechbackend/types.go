package beechbackend

import (
	"context"
	"io"
	"net/http"
	"time"
)

type (
	// GenerateRequest is one request to an engine. Body is the caller's JSON, in which
	// the implementation sets the other fields. Streamed determines whether the engine streams
	// its answer, regardless of the body: an agent may need a stream although the caller
	// does not.
	GenerateRequest struct {
		RequestID string
		Path      string // /v1/chat/completions or /v1/completions
		Body      []byte
		Model     string // model@weights to use; if empty, the caller's model is used
		Adapter   string // model adapter; empty for none
		Salt      string
		Priority  int
		Streamed  bool
		Resume    string // text already generated, which the engine continues
	}

	// Answer is the HTTP response of an engine or service. The caller must close Body.
	// The body of a streamed answer consists of server-sent events.
	Answer struct {
		Status      int
		ContentType string
		Header      http.Header
		Streamed    bool
		Unframed    bool // the body ends with the connection, also if the server exits in the middle of it
		Body        io.ReadCloser
	}

	// CacheEvent is one change of the engine's prompt cache. Sequence numbers start at
	// 1 and are consecutive; a gap means that events were lost. Cleared means that the
	// cache is now empty.
	CacheEvent struct {
		Sequence uint64
		Salt     string
		Hash     string // of the chain of blocks, as computed by the engine
		Tokens   int    // from the start of the prompt to the end of this block
		Stored   bool   // false: evicted
		Cleared  bool
	}

	// Report is the load of an engine, as reported by the engine. It may be delayed.
	Report struct {
		Incarnation   uint64
		Running       int
		Waiting       int
		Slots         int
		PrefillRate   int // prompt tokens per second
		TokenTime     time.Duration
		Models        []string // loaded models, as model@weights
		Loading       []string
		FencingNumber uint64
	}

	// Order is a command to an engine to load or unload a model, to load a model adapter
	// or to change its role. Fence is the fencing number that the agent acquired by
	// compare-and-swap; some engines reject older numbers, others ignore them.
	Order struct {
		Fence   uint64
		Load    string // model@weights, or empty
		Unload  string
		Adapter string
		Role    string
	}

	// Engine is the interface to a model engine. Each kind of engine has an implementation
	// in a file of its own.
	Engine interface {
		Generate(ctx context.Context, g GenerateRequest) (*Answer, error)
		Cancel(ctx context.Context, requestID string) error
		CacheEvents(ctx context.Context, after uint64) (incarnation uint64, events []CacheEvent, err error)
		Report(ctx context.Context) (Report, error)
		Order(ctx context.Context, o Order) error
		Export(ctx context.Context, salt string, prompt []byte) ([]byte, error)
		Import(ctx context.Context, salt string, blocks []byte) (tokens int, err error)
	}

	// RelayRequest is one request to a plain service.
	RelayRequest struct {
		RequestID   string
		Method      string
		Path        string
		ContentType string
		Header      http.Header // headers of the caller that may be passed on
		Body        []byte
	}

	// Service is the interface to a plain service, which is not a model engine.
	Service interface {
		Relay(ctx context.Context, r RelayRequest) (*Answer, error)
		Ready(ctx context.Context) error
	}
)
