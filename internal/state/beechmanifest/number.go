package beechmanifest

import (
	"encoding/json"
	"fmt"
	"strings"
)

// maxNumberLength is the longest accepted number, in characters. No valid number in a
// manifest is longer.
const maxNumberLength = 20

// checkNumbers rejects numbers with an exponent or too many digits before the schema is
// validated. Validation compares numbers exactly: for 1e999999 that takes seconds and
// megabytes, and a few such numbers would block the whole process.
func checkNumbers(field string, value any) []Problem {
	switch v := value.(type) {
	case json.Number:
		if text := v.String(); len(text) > maxNumberLength || strings.ContainsAny(text, "eE") {
			return []Problem{{
				Field:   field,
				Wrong:   "the number " + text[:min(len(text), maxNumberLength)] + " is not in plain digits",
				Allowed: fmt.Sprintf("a number of at most %d characters without an exponent", maxNumberLength),
			}}
		}
	case []any:
		var problems []Problem
		for i, x := range v {
			problems = append(problems, checkNumbers(joinField(field, fmt.Sprint(i)), x)...)
		}
		return problems
	case map[string]any:
		var problems []Problem
		for name, x := range v {
			problems = append(problems, checkNumbers(joinField(field, name), x)...)
		}
		return problems
	}
	return nil
}

func joinField(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "/" + name
}
