package beechmanifest

import (
	"fmt"
	"strings"
)

type (
	// Problem is an error in one field of a manifest.
	Problem struct {
		Field   string // such as workspaces/2/priority
		Wrong   string // what is wrong with the value
		Allowed string // what is allowed
	}

	// Invalid is the error for a refused manifest. It lists at least one problem.
	Invalid struct {
		Problems []Problem
	}
)

const maxProblemsShown = 20

// String formats the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s; allowed: %s", p.Field, p.Wrong, p.Allowed)
}

// Error lists the first maxProblemsShown problems, each on its own line.
func (e Invalid) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for i, p := range e.Problems {
		if i == maxProblemsShown {
			lines = append(lines, fmt.Sprintf("and %d more", len(e.Problems)-i))
			break
		}
		lines = append(lines, p.String())
	}
	return "manifest refused: " + strings.Join(lines, "\n")
}
