package beechqueue

import "time"

type (
	// Key is the chained hash of a prompt prefix.
	Key = [16]byte

	// Level is one prefix in the chain of a prompt's prefixes, which is ordered
	// from the shortest to the longest. Tokens counts from the start of the prompt.
	Level struct {
		Key    Key
		Tokens int
	}

	// Request is a request for the backend server that this queue belongs to.
	Request struct {
		ID           uint64 // unique within the agent
		Workspace    string
		Priority     int // 0 is served first
		Levels       []Level
		PromptTokens int
		CachedTokens int       // prompt tokens known to be in the engine's cache
		OutputTokens int       // estimate or the caller's maximum
		Deadline     time.Time // for the first token; zero means none
		Suspect      bool      // may crash the server; at most one suspect runs at a time
	}

	// Usage is the token usage that the server reported for a request. Known is
	// false if it reported none; the estimate is then kept.
	Usage struct {
		Known  bool
		Prompt int
		Cached int
		Output int
	}

	// Load is the server's current capacity.
	Load struct {
		Slots       int           // requests that the server runs concurrently
		PrefillRate int           // prompt tokens per second
		TokenTime   time.Duration // per output token of one request
	}

	// Reason is the reason for refusing a request.
	Reason string

	// Decision is the result of Offer: Run, Wait or Refuse.
	Decision interface{ decision() }

	// Run means that the request may start immediately.
	Run struct{}

	// Wait means that the request was queued. Dispatch returns it once it may
	// start.
	Wait struct {
		Position   int
		FirstToken time.Duration // predicted
	}

	// Refuse means that the request is not run. RetryAfter is when the caller
	// should retry.
	Refuse struct {
		Reason     Reason
		RetryAfter time.Duration
	}

	// Refused is a queued request that can no longer be served in time.
	Refused struct {
		ID     uint64
		Refuse Refuse
	}

	// Settings configures a queue. MaxWaiting 0 disables queueing. LongPrefill 0
	// stands for the tokens that the server prefills in one second. MaxPrefixWait 0
	// disables waiting for a shared prefix. PrefillAhead 0 limits concurrent
	// prefills only by the server's slots. MaxWait 0 leaves the wait of requests
	// without a deadline unbounded. Weights maps workspaces to their shares; a
	// missing weight or one below 1 counts as 1.
	Settings struct {
		MaxWaiting      int
		MaxWait         time.Duration // until the first token, for requests without a deadline
		MaxLongPrefills int
		LongPrefill     int           // uncached tokens from which a prefill is long
		MaxPrefixWait   time.Duration // for another request that computes the same prefix
		PrefillAhead    time.Duration // total duration of the short prefills in progress
		Weights         map[string]int
	}

	// State is a snapshot of the queue. WaitingTokens is the number of uncached
	// prompt tokens of waiting and running requests that are not prefilled yet; a
	// prefix shared by several requests is counted once.
	State struct {
		Running       int
		Waiting       int
		WaitingTokens int64
	}
)

// Reasons for refusing a request.
const (
	ReasonBusy     Reason = "busy"
	ReasonDeadline Reason = "deadline"
	ReasonInvalid  Reason = "invalid"
)

func (Run) decision()    {}
func (Wait) decision()   {}
func (Refuse) decision() {}
