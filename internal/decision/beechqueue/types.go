package beechqueue

import "time"

type (
	// Key is a prefix's chained hash.
	Key = [16]byte

	// Level is one step of the prompt's prefix chain, the shortest first.
	// Tokens counts from the prompt's start through this level.
	Level struct {
		Key    Key
		Tokens int
	}

	// Request is a request that asks to run on this agent's server.
	Request struct {
		ID           uint64 // unique in the agent
		Workspace    string
		Priority     int // 0 is served first
		Levels       []Level
		PromptTokens int
		CachedTokens int // of the prompt, known to be cached by this engine
		OutputTokens int
		Deadline     time.Time // zero is none
		Suspect      bool      // suspect: never beside another suspect
	}

	// Usage is what the server said a request took. Known is false where it
	// said nothing; then the estimate stands.
	Usage struct {
		Known  bool
		Prompt int
		Cached int
		Output int
	}

	// Load is what the queue needs to know of the server now.
	Load struct {
		Slots       int // requests the server runs at once
		PrefillRate int // prompt tokens a second
		TokenTime   time.Duration
	}

	// Reason says why work was refused.
	Reason string

	// Decision is the answer to Offer: Run, Wait or Refuse.
	Decision interface{ decision() }

	// Run lets the work start at once.
	Run struct{}

	// Wait queues the work; Dispatch returns it when it may run.
	Wait struct {
		Position   int
		FirstToken time.Duration // predicted
	}

	// Refuse turns the work away, not run. RetryAfter says when to come back.
	Refuse struct {
		Reason     Reason
		RetryAfter time.Duration
	}

	// Refused is work that was let wait and cannot be served any more.
	Refused struct {
		ID     uint64
		Refuse Refuse
	}

	// Settings bound the queue. Weights holds each workspace's share; one
	// that is missing or below 1 has 1. MaxWaiting 0 lets nothing wait.
	// LongPrefill 0 is what the server prefills in a second. MaxPrefixWait 0 holds nothing
	// back for a shared prefix. PrefillAhead 0 gives the server as many prefills
	// as it has slots. MaxWait 0 bounds only work with a deadline.
	Settings struct {
		MaxWaiting      int
		MaxWait         time.Duration // to the first token, without a deadline
		MaxLongPrefills int
		LongPrefill     int // tokens
		MaxPrefixWait   time.Duration
		PrefillAhead    time.Duration // of short prefills under way at once
		Weights         map[string]int
	}

	// State is what the queue holds now. WaitingTokens counts the uncached
	// prompt tokens that are not prefilled yet, waiting or running; a prefix
	// that several requests wait for is counted once.
	State struct {
		Running       int
		Waiting       int
		WaitingTokens int64
	}
)

// Reasons of Refuse.
const (
	ReasonBusy     Reason = "busy"
	ReasonDeadline Reason = "deadline"
	ReasonInvalid  Reason = "invalid"
)

func (Run) decision()    {}
func (Wait) decision()   {}
func (Refuse) decision() {}
