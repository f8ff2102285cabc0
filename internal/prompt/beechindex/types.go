package beechindex

type (
	// Key is the chained hash that identifies a prefix.
	Key = [16]byte

	// Level is one prefix in a prompt's chain; a chain is ordered from the
	// shortest prefix to the longest. Tokens is the entry host's estimate of the
	// tokens from the start of the prompt to the end of the level.
	Level struct {
		Key    Key
		Tokens int
	}

	// Event is a change of the engine's prompt cache. Sequence counts from 1
	// without gaps; a gap means that an event was lost. Hash identifies a block
	// by the engine's own hash. Tokens is the number of tokens from the start of
	// the prompt to the end of the block. Stored is false for an eviction.
	// Cleared means that the whole cache was emptied.
	Event struct {
		Sequence uint64
		Salt     string
		Hash     string
		Tokens   int
		Stored   bool
		Cleared  bool
	}

	// Reply is the engine's usage report for a prompt that it has processed.
	// Prompt and Cached are the engine's own token counts. Estimated is the entry
	// host's estimate for the whole prompt; if 0, the estimate of the last level
	// is used.
	Reply struct {
		Incarnation uint64
		Salt        string
		Levels      []Level
		Estimated   int
		Prompt      int
		Cached      int
	}

	// Change is a level that has become held (cached, or about to be stored by a
	// waiting request) or is no longer held.
	Change struct {
		Key    Key
		Tokens int
		Held   bool
	}

	// Changes is a list of changes for entry hosts. Snapshot says that the list
	// is everything held, so that any other level must be forgotten.
	Changes struct {
		Snapshot bool
		List     []Change
	}

	// Settings configures an Index. If MaxBytes is 0, a default is used.
	Settings struct {
		MaxBytes int
	}

	// Counts are the metrics of an index.
	Counts struct {
		Entries   int
		Gaps      uint64 // gaps in the sequence of events
		Stale     uint64 `json:"Ended"` // dropped events and replies of an ended incarnation
		Evictions uint64 // entries evicted by an event
		Unmatched uint64 // evictions of blocks that are assigned to no level
	}
)
