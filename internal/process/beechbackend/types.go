package beechbackend

import (
	"context"
	"io"
	"net/http"
	"time"
)

type (
	// GenerateRequest is one request to an engine. Body is the caller's JSON, which
	// the adapter completes with salt, priority and what is to be resumed.
	// Streamed decides how the engine answers, whatever the body asks for: an
	// agent may want a stream for a caller that does not.
	GenerateRequest struct {
		RequestID string
		Path      string // /v1/chat/completions or /v1/completions
		Body      []byte
		Model     string // model@weights that must serve it; empty leaves the caller's
		Adapter   string // empty is none
		Salt      string
		Priority  int
		Streamed  bool
		Resume    string // text already given, which the engine continues
	}

	// Answer is the engine's or service's HTTP answer. Body is closed by the
	// caller. A streamed answer's body is server-sent events.
	Answer struct {
		Status      int
		ContentType string
		Header      http.Header
		Streamed    bool
		Body        io.ReadCloser
	}

	// CacheEvent is one change of the engine's prompt cache. Sequence counts
	// from 1 without holes; a hole is a lost event. Cleared empties the cache.
	CacheEvent struct {
		Sequence uint64
		Salt     string
		Hash     string // of the block chain, the engine's own
		Tokens   int    // from the prompt's start through this block
		Stored   bool   // false: evicted
		Cleared  bool
	}

	// Report is the engine's load, late by what the engine says.
	Report struct {
		Incarnation   uint64
		Running       int
		Waiting       int
		Slots         int
		PrefillRate   int // prompt tokens a second
		TokenTime     time.Duration
		Models        []string // model@weights, loaded
		Loading       []string
		FencingNumber uint64
	}

	// Order changes what an engine holds. Fence is the number the agent took
	// by compare-and-swap; some engines refuse an older one, others ignore it.
	Order struct {
		Fence   uint64
		Load    string // model@weights, or empty
		Unload  string
		Adapter string
		Role    string
	}

	// Engine is a model engine. One adapter a kind, in one file.
	Engine interface {
		Generate(ctx context.Context, g GenerateRequest) (*Answer, error)
		Cancel(ctx context.Context, requestID string) error
		CacheEvents(ctx context.Context, after uint64) (incarnation uint64, events []CacheEvent, err error)
		Report(ctx context.Context) (Report, error)
		Order(ctx context.Context, o Order) error
		Export(ctx context.Context, salt string, prompt []byte) ([]byte, error)
		Import(ctx context.Context, salt string, blocks []byte) (tokens int, err error)
	}

	// RelayRequest is one call of a plain service.
	RelayRequest struct {
		RequestID   string
		Method      string
		Path        string
		ContentType string
		Header      http.Header // of the caller, what may be passed on
		Body        []byte
	}

	// Service is a plain service beside the engines.
	Service interface {
		Relay(ctx context.Context, r RelayRequest) (*Answer, error)
		Ready(ctx context.Context) error
	}
)
