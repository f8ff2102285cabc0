package beechcall

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechring/beechring/internal/decision/beechorigin"
	"github.com/beechring/beechring/internal/decision/beechsurvival"
	"github.com/beechring/beechring/internal/decision/beechthrottle"
)

type (
	// Part is a piece of a prompt that requests may share. A cache hit on a part requires
	// the same parts before it.
	Part struct {
		ID     string
		Tokens int
	}

	// Call is one request of a caller. Header and Body are opaque: they are forwarded
	// unchanged, except for headers that concern a single connection.
	Call struct {
		ID             string
		Workspace      Workspace
		Route          *Route
		Service        string
		Version        uint64 // of the configuration under which it was admitted
		Model          string // empty if the service is not an engine
		Parts          []Part // the last one is particular to the request or its session
		PromptTokens   int
		OutputTokens   int                 // the maximum
		ExpectedTokens int                 // of the output, as the caller estimates; often far off; 0: not told
		TokensDeclared bool                // the caller declared its token counts
		LastEventID    string              // of the last event the caller has, if it resumes a stream
		Resumes        string              // ID of the caller's request that the resumed stream began with; empty: not named
		Origin         *beechorigin.Origin // of the stream, once it has begun; it goes on only there. nil: not begun
		CameBack       bool                // it was refused before, and comes at the time that it was told
		Promised       bool                // it was promised to be served at that time
		Received       time.Time
		Deadline       time.Time // of the caller or the route, whichever is earlier
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
		Weights     uint64          // version that the server must have; 0: any
		Salt        string          // cache salt: separates the cached parts of workspaces
		Urgency     int             // 0 is the most urgent
		Fetch       netip.AddrPort  // where to fetch cached parts from; invalid: nowhere
		Save        netip.AddrPort  // where to save cached parts; invalid: nowhere
		LastEventID string          // resume the stream after this event
		Copy        CopyName        // with which the run goes on at the engine that keeps it; zero: the run begins
		Withdrawn   func() bool     // checked just before the attempt is sent, which must not be if it holds; nil: never
		Reset       func(told bool) // called when the attempt was cancelled after it was sent; false: the server cannot be told, since the connection was dead; may be nil
	}

	// CopyName names a copy of a run's memory.
	CopyName struct {
		Source netip.AddrPort // engine that it is a copy of
		Handle string
	}

	// Answer is a server's answer whose body has not been read. Closing the body before its
	// end cancels the execution.
	Answer struct {
		Status  int
		Header  http.Header
		Body    io.ReadCloser
		Weights uint64 // version that computed it; 0: not reported
		Load    Load
		Limit   beechthrottle.ServerLimit // nil: not known
		Backoff time.Duration             // time for which the server asks this client for no requests; 0: none
		Leaving bool                      // the server will stop soon
		// WeightsLine begins the line of an event at which the server's weights changed; empty: none does.
		WeightsLine []byte
		// Unframed means that the body ends with the connection, so that a server that crashes
		// may end it like a complete one.
		Unframed bool
	}

	// Load is the load that a server reports with an answer.
	Load struct {
		Known    bool
		Running  int
		Waiting  int
		Slots    int
		Slowness int // how long work takes on its host at this moment, in percent of the usual; 0: not known
	}

	// Backend sends attempts. Errors are of type NotSent, NotExecuted or OutcomeUnknown.
	Backend interface {
		Send(ctx context.Context, attempt Attempt) (*Answer, error)
		// CopyRun has the server that runs a call copy the memory of the run to another engine, and
		// returns when that has it. The run continues.
		CopyRun(ctx context.Context, server netip.AddrPort, callID string, to netip.AddrPort) (CopyName, error)
		// DropCopy has an engine free a copy.
		DropCopy(ctx context.Context, peer netip.AddrPort, name CopyName) error
		// Identify returns which process of a service answers at an address now. Engines say when they started; others
		// name their ID only, and only if their service has a health path.
		Identify(ctx context.Context, peer netip.AddrPort, service Service) (beechsurvival.Lifetime, error)
	}

	// Failure is the error of an attempt without an answer.
	Failure interface {
		error
		failure()
	}

	// NotSent means that nothing reached the server.
	NotSent struct {
		Peer netip.AddrPort
		Step string
		Err  error
	}

	// NotExecuted means that the server rejected the request and reported that it was not
	// executed. Replaced means that another server, ActualID, answered at the address;
	// WeightsDiffer, that the right server has other weights.
	NotExecuted struct {
		Peer          netip.AddrPort
		Status        int
		Replaced      bool
		ActualID      string
		WeightsDiffer bool
		Weights       uint64 // version that it has, if reported
		Load          Load
		Limit         beechthrottle.ServerLimit // nil: not known
		Backoff       time.Duration             // time for which the server asks this client for no requests; 0: none
		Leaving       bool                      // the server will stop soon
		Unmarked      bool                      // the answer does not name its request
		Connection    Connection
	}

	// Connection is the connection to a server that carried an attempt.
	Connection struct {
		Number    int // in the order in which this process dialed
		Exchanges int // on it so far, the attempt's included
		Discarded int // answers to earlier exchanges that came in the place of the attempt's
	}

	// OutcomeUnknown means that the request was sent and may have been executed.
	OutcomeUnknown struct {
		Peer netip.AddrPort
		Step string
		Err  error
	}
)

const (
	// MaxUrgency is the least urgent priority that engines know.
	MaxUrgency = 9
	// routeRanks is the number of route priorities told apart within one workspace priority.
	routeRanks           = 3
	defaultWorkspaceRank = 1 // where the operators' configuration has none
)

var (
	// ErrWithdrawn is the cause of NotSent if the context had ended or Attempt.Withdrawn held.
	ErrWithdrawn = errors.New("withdrawn")
	// ErrMalformed is the cause of OutcomeUnknown if the server has sent more bytes that are no answer than
	// belong to one. It has not crashed.
	ErrMalformed = errors.New("malformed answer")
)

func (NotSent) failure()        {}
func (NotExecuted) failure()    {}
func (OutcomeUnknown) failure() {}

// Error implements error.
func (e NotSent) Error() string { return fmt.Sprintf("%s at %s: not sent: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e NotSent) Unwrap() error { return e.Err }

// Error implements error.
func (e NotExecuted) Error() string {
	return fmt.Sprintf("attempt at %s: not executed, status %d", e.Peer, e.Status)
}

// Error implements error.
func (e OutcomeUnknown) Error() string {
	return fmt.Sprintf("%s at %s: outcome unknown: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e OutcomeUnknown) Unwrap() error { return e.Err }

// ExpectedOutput returns the best known number of output tokens.
func (c *Call) ExpectedOutput() int {
	if c.ExpectedTokens > 0 && (c.OutputTokens == 0 || c.ExpectedTokens < c.OutputTokens) {
		return c.ExpectedTokens
	}
	return c.OutputTokens
}

// TimeLeft returns the time until the call's deadline.
func (c *Call) TimeLeft(now time.Time) time.Duration { return c.Deadline.Sub(now) }

// Urgency returns the call's priority at an engine: by the workspace's priority first, then by
// the route's. Without the second, a short question waits behind all long reviews of
// workspaces with the same priority.
func (c *Call) Urgency() int {
	rank := defaultWorkspaceRank
	if c.Workspace.Priority >= 0 {
		rank = min(c.Workspace.Priority, MaxUrgency)
	}
	return min(rank*routeRanks+min(max(c.Route.Priority, 0), routeRanks-1), MaxUrgency)
}

// QuotaCost returns what the call takes from its workspace's quota, in requests or
// tokens.
func (c *Call) QuotaCost() float64 {
	switch {
	case !c.Workspace.Quota.CountsTokens:
		return 1
	case c.TokensDeclared:
		return float64(c.PromptTokens + c.OutputTokens)
	}
	return float64(c.Workspace.Quota.DefaultTokens)
}

// SharedParts returns the parts that other requests may share.
func (c *Call) SharedParts() []Part { return c.Parts[:max(len(c.Parts)-1, 0)] }

// SharedTokens returns the number of tokens in the parts that other requests may share.
func (c *Call) SharedTokens() int {
	total := 0
	for _, part := range c.SharedParts() {
		total += part.Tokens
	}
	return total
}

// SharedPrefix identifies the sequence of shared parts, which is the same for all requests
// about one subject; it is empty if nothing is shared.
func (c *Call) SharedPrefix() string {
	name := ""
	for i := 0; i+1 < len(c.Parts); i++ {
		name += c.Parts[i].ID + ","
	}
	return name
}

// Fingerprint returns a hash of the workspace, method, target and body that is the same in
// all processes.
func (c *Call) Fingerprint() uint64 {
	h := xxhash.New()
	for _, text := range []string{c.Workspace.Name, c.Method, c.Target} {
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}
