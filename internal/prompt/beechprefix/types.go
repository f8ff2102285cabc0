package beechprefix

type (
	// Key is a prefix's chained hash.
	Key = [16]byte

	// Level is one step of a prompt's prefix chain, the shortest first.
	// Tokens is an estimate counted from the prompt's start.
	Level struct {
		Key    Key
		Tokens int
	}

	// Root is what level 0 hashes. No key of one root can match one of
	// another.
	Root struct {
		Workspace string
		Model     string
		Adapter   string
		Weights   string
	}

	// Chain is a prompt's prefix chain. Salt goes to the engine, so that its
	// own cache cannot match across roots.
	Chain struct {
		Salt         string
		Levels       []Level
		PromptTokens int
	}

	// Message is one chat message in canonical form. Content is the text, or
	// the canonical JSON of the content's parts. Extra is the canonical JSON of
	// everything else the engine renders: name, tool calls, tool call id.
	Message struct {
		Role    string
		Content string
		Extra   string
	}

	// Fields is what the entry host reads from a body besides the prompt.
	// MaxTokens is 0 where the caller set none. Resumable says that the text
	// given so far is all an engine needs to go on with the answer: one choice,
	// no tool calls, no log probabilities.
	Fields struct {
		Model      string
		Stream     bool
		WantsUsage bool
		Resumable  bool
		MaxTokens  int
		Messages   int
	}

	// Prompt is a body that was read, before its root is known.
	Prompt struct {
		Fields   Fields
		tools    string
		messages []Message
		text     string
		plain    bool
	}

	// Kind says what is wrong with a body.
	Kind string

	// Error is a body that cannot be read. Field names the field at fault and is
	// empty where the body as a whole is.
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
	KindField    Kind = "field"    // a field of the wrong type, or missing
	KindPath     Kind = "path"     // not a path with a prompt
)

func (e *Error) Error() string {
	if e.Field == "" {
		return "read request body: " + e.Reason
	}
	return "read request body: field " + e.Field + ": " + e.Reason
}
