package beechindex

type (
	// Key is a prefix's chained hash.
	Key = [16]byte

	// Level is one step of a prompt's prefix chain, the shortest first. Tokens
	// counts from the prompt's start, by the entry host's estimate.
	Level struct {
		Key    Key
		Tokens int
	}

	// Event is one change of the engine's prompt cache. Sequence counts from 1
	// without holes; a hole is a lost event. Hash names a block by the engine's
	// own hash, Tokens counts from the prompt's start through it. Stored false
	// is an eviction. Cleared empties the cache.
	Event struct {
		Sequence uint64
		Salt     string
		Hash     string
		Tokens   int
		Stored   bool
		Cleared  bool
	}

	// Reply is what the engine's usage said of a prompt that it has prefilled.
	// Prompt and Cached are the engine's own token counts. Estimated is the
	// entry host's for the whole prompt; 0 takes the last level's.
	Reply struct {
		Incarnation uint64
		Salt        string
		Levels      []Level
		Estimated   int
		Prompt      int
		Cached      int
	}

	// Change is a level that has come into the cache or queue, or gone.
	Change struct {
		Key    Key
		Tokens int
		Held   bool
	}

	// Changes is a part of what an agent tells entry hosts. All says that the
	// list is everything held, so that anything else is to be forgotten.
	Changes struct {
		Snapshot bool
		List     []Change
	}

	// Settings bound the index. MaxBytes of 0 is the default.
	Settings struct {
		MaxBytes int
	}

	// Counts is what the index has seen, for metrics.
	Counts struct {
		Entries   int
		Gaps      uint64 // holes in the events' sequence
		Stale     uint64 `json:"Ended"` // events and replies of an ended incarnation, dropped
		Evictions uint64 // entries that an event took away
		Unmatched uint64 // evictions of blocks that no entry is tied to
	}
)
