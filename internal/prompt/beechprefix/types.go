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
)
