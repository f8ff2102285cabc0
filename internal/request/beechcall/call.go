package beechcall

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechring/beechring/internal/decision/beechthrottle"
)

type (
	// Part is a piece of a prompt that requests may share; a part is found in a
	// cache only behind the same parts before it.
	Part struct {
		ID     string
		Tokens int
	}

	// Call is one request of a caller. Header and Body are opaque: they are
	// handed on as they came, without what concerns one connection only.
	Call struct {
		ID             string
		Workspace      Workspace
		Route          *Route
		Service        string
		Version        uint64 // of the configuration it was admitted under
		Model          string // empty for plain services
		Parts          []Part // the last belongs to the request or its session
		PromptTokens   int
		OutputTokens   int  // at most
		TokensDeclared bool // the caller named the tokens
		LastEventID    string
		Received       time.Time
		Deadline       time.Time // the caller's own or the route's, the earlier
		Method         string
		Target         string // path and query
		Host           string
		Header         http.Header
		Body           []byte
	}

	// Attempt is a call on its way to one server.
	Attempt struct {
		Call        *Call
		Server      Server
		Weights     uint64 // version the server must have; 0 is any
		Salt        string // what cached parts are kept under
		Urgency     int    // 0 goes first
		Fetch       netip.AddrPort
		Save        netip.AddrPort
		LastEventID string // go on after it
	}

	// Answer is a server's answer, its body not yet read. Close before the
	// body's end cancels the run.
	Answer struct {
		Status  int
		Header  http.Header
		Body    io.ReadCloser
		Weights uint64 // version that made it; 0 where not told
		Load    Load
		Limit   beechthrottle.Said // nil is not known
	}

	// Load is what a server said of itself with an answer.
	Load struct {
		Known   bool
		Running int
		Waiting int
		Slots   int
	}

	// Backend sends attempts. Errors are NotSent, NotRun or Unknown.
	Backend interface {
		Send(ctx context.Context, attempt Attempt) (*Answer, error)
	}

	// Failure is how an attempt ends without an answer.
	Failure interface {
		error
		failure()
	}

	// NotSent says that nothing reached the server.
	NotSent struct {
		Peer netip.AddrPort
		Step string
		Err  error
	}

	// NotExecuted says that the server turned the request away, by its own word.
	// Replaced tells that another server answered at its address, There which,
	// Other that it was the right one with other weights.
	NotExecuted struct {
		Peer          netip.AddrPort
		Status        int
		Replaced      bool
		ActualID      string // ID
		WeightsDiffer bool
		Weights       uint64 // that it has, where told
		Load          Load
		Limit         beechthrottle.Said // nil is not known
		RetryAfter    time.Duration      // when it asks to be tried again; 0 is not told
	}

	// OutcomeUnknown says that the request was sent and may have run.
	OutcomeUnknown struct {
		Peer netip.AddrPort
		Step string
		Err  error
	}
)

func (NotSent) failure()        {}
func (NotExecuted) failure()    {}
func (OutcomeUnknown) failure() {}

// Error gives the step, the peer and the cause.
func (e NotSent) Error() string { return fmt.Sprintf("%s at %s: not sent: %v", e.Step, e.Peer, e.Err) }

// Unwrap gives the cause.
func (e NotSent) Unwrap() error { return e.Err }

// Error gives the peer and its status.
func (e NotExecuted) Error() string {
	return fmt.Sprintf("attempt at %s: not run, status %d", e.Peer, e.Status)
}

// Error gives the step, the peer and the cause.
func (e OutcomeUnknown) Error() string {
	return fmt.Sprintf("%s at %s: it may have run: %v", e.Step, e.Peer, e.Err)
}

// Unwrap gives the cause.
func (e OutcomeUnknown) Unwrap() error { return e.Err }

// TimeLeft is the time until the call's deadline.
func (c *Call) TimeLeft(now time.Time) time.Duration { return c.Deadline.Sub(now) }

// QuotaCost is what the call counts of its workspace's quota.
func (c *Call) QuotaCost() float64 {
	switch {
	case !c.Workspace.Quota.CountsTokens:
		return 1
	case c.TokensDeclared:
		return float64(c.PromptTokens + c.OutputTokens)
	}
	return float64(c.Workspace.Quota.DefaultTokens)
}

// SharedTokens counts the tokens of the parts that other requests may share.
func (c *Call) SharedTokens() int {
	total := 0
	for i := 0; i+1 < len(c.Parts); i++ {
		total += c.Parts[i].Tokens
	}
	return total
}

// SharedPrefix names the chain of shared parts, the same for all requests about one
// thing; empty where nothing is shared.
func (c *Call) SharedPrefix() string {
	name := ""
	for i := 0; i+1 < len(c.Parts); i++ {
		name += c.Parts[i].ID + ","
	}
	return name
}

// Fingerprint tells requests of the same workspace, path and body from others,
// alike in all processes.
func (c *Call) Fingerprint() uint64 {
	h := xxhash.New()
	for _, text := range []string{c.Workspace.Name, c.Method, c.Target} {
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}
