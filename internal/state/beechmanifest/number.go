package beechmanifest

import (
	"encoding/json"
	"fmt"
	"strings"
)

// maxNumberLength is longer than any number that a manifest needs.
const maxNumberLength = 20

// checkNumbers refuses numbers with an exponent or very many digits, before
// the schema compares them exactly: 1e999999 would take the comparison
// seconds and megabytes, and a few such lines would stop a whole process.
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
