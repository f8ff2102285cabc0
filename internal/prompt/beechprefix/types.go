package beechprefix

type (
	// Key is the chained hash that identifies a prefix.
	Key = [16]byte

	// Level is one prefix in a prompt's chain; a chain is ordered from the
	// shortest prefix to the longest. Tokens is the estimated number of tokens
	// from the start of the prompt to the end of the level.
	Level struct {
		Key    Key
		Tokens int
	}

	// Root is what level 0 is a hash of. No key of one root can match a key of
	// another.
	Root struct {
		Workspace string
		Model     string
		Adapter   string
		Weights   string
	}

	// Chain is a prompt's prefix chain. Salt is sent to the engine, so that the
	// engine's own cache cannot match across roots.
	Chain struct {
		Salt         string
		Levels       []Level
		PromptTokens int
	}

	// Message is a chat message in canonical form. Content is the text, or the
	// canonical JSON of a content that has several parts. Extra is the canonical
	// JSON of everything else that the engine renders: name, tool calls, tool
	// call ID.
	Message struct {
		Role    string
		Content string
		Extra   string
	}

	// Fields is what the entry host needs from a body besides the prompt.
	// MaxTokens is 0 if the caller set no limit. Resumable says that an engine
	// can continue an interrupted answer from its text alone: one choice, no tool
	// calls, no log probabilities.
	Fields struct {
		Model      string
		Stream     bool
		WantsUsage bool
		Resumable  bool
		MaxTokens  int
		Messages   int
	}

	// Prompt is a decoded body whose root is not known yet.
	Prompt struct {
		Fields   Fields
		tools    string
		messages []Message
		text     string
		plain    bool
	}

	// Kind says what is wrong with a body.
	Kind string

	// Error is the error for a body that cannot be decoded. Field names the
	// invalid field, and is empty if the body as a whole is invalid.
	Error struct {
		Kind   Kind
		Field  string
		Reason string
	}
)

// Kinds of Error.
const (
	KindEncoding Kind = "encoding" // not UTF-8
	KindSyntax   Kind = "syntax"   // not JSON
	KindField    Kind = "field"    // a field is missing or has the wrong type
	KindPath     Kind = "path"     // requests on this path have no prompt
)

func (e *Error) Error() string {
	if e.Field == "" {
		return "read request body: " + e.Reason
	}
	return "read request body: field " + e.Field + ": " + e.Reason
}
