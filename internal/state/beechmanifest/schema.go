package beechmanifest

import (
	"bytes"
	_ "embed" // for manifest.schema.json
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// schemaNode holds the parts of a JSON Schema node that appear in error messages.
type schemaNode struct {
	description string
	properties  []string
}

const (
	schemaURL     = "manifest.schema.json"
	maxShownValue = 60 // characters of an invalid value in an error message
)

var (
	//go:embed manifest.schema.json
	schemaText []byte

	loadSchema     = sync.OnceValues(compileSchema)
	englishPrinter = message.NewPrinter(language.English)
)

func compileSchema() (*jsonschema.Schema, any) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic(fmt.Sprintf("embedded manifest schema: %v", err))
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaURL, document); err != nil {
		panic(fmt.Sprintf("embedded manifest schema: %v", err))
	}
	return c.MustCompile(schemaURL), document
}

// checkSchema validates a manifest against the schema and returns all problems.
func checkSchema(value any) []Problem {
	schema, document := loadSchema()
	err := schema.Validate(value)
	if err == nil {
		return nil
	}
	invalid, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return []Problem{{Field: "manifest", Wrong: err.Error(), Allowed: "a manifest that conforms to manifest.schema.json"}}
	}
	var problems []Problem
	for _, leaf := range leafErrors(invalid) {
		problems = append(problems, problemsFrom(leaf, value, document)...)
	}
	return sortProblems(problems)
}

func sortProblems(problems []Problem) []Problem {
	slices.SortFunc(problems, func(a, b Problem) int { return strings.Compare(a.Field, b.Field) })
	return slices.Compact(problems)
}

func leafErrors(e *jsonschema.ValidationError) []*jsonschema.ValidationError {
	if len(e.Causes) == 0 {
		return []*jsonschema.ValidationError{e}
	}
	var all []*jsonschema.ValidationError
	for _, c := range e.Causes {
		all = append(all, leafErrors(c)...)
	}
	return all
}

func problemsFrom(e *jsonschema.ValidationError, value, document any) []Problem {
	node := findNode(document, e.SchemaURL)
	field := strings.Join(e.InstanceLocation, "/")
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		return problemPerField(field, k.Properties, "is not a known field", "one of "+strings.Join(node.properties, ", "))
	case *kind.Required:
		return problemPerField(field, k.Missing, "is missing", "a value for each of the required fields")
	}
	if field == "" {
		field = "manifest"
	}
	wrong := describeValue(e.InstanceLocation, value)
	if _, ok := e.ErrorKind.(*kind.Pattern); !ok {
		wrong += ": " + e.ErrorKind.LocalizedString(englishPrinter)
	}
	return []Problem{{Field: field, Wrong: wrong, Allowed: node.description}}
}

func problemPerField(parent string, names []string, wrong, allowed string) []Problem {
	problems := make([]Problem, 0, len(names))
	for _, n := range names {
		problems = append(problems, Problem{Field: joinField(parent, n), Wrong: wrong, Allowed: allowed})
	}
	return problems
}

// describeValue formats an invalid value for an error message and truncates it. Values
// in a list of keys are hidden: an operator may have entered a bearer key instead of its
// SHA-256 sum, and error messages are logged.
func describeValue(location []string, value any) string {
	secret := slices.Contains(location, "keys")
	for _, step := range location {
		value = childNode(value, step)
	}
	switch v := value.(type) {
	case string:
		if secret {
			return fmt.Sprintf("a text of %d characters (not shown)", len([]rune(v)))
		}
		if r := []rune(v); len(r) > maxShownValue {
			return fmt.Sprintf("%q and %d characters more", string(r[:maxShownValue]), len(r)-maxShownValue)
		}
		return fmt.Sprintf("%q", v)
	case []any:
		return fmt.Sprintf("a list of %d", len(v))
	case map[string]any:
		return "an object"
	case nil:
		return "null"
	}
	if secret {
		return "not a text"
	}
	return fmt.Sprint(value)
}

func childNode(value any, step string) any {
	switch v := value.(type) {
	case map[string]any:
		return v[step]
	case []any:
		var i int
		if _, err := fmt.Sscan(step, &i); err == nil && i >= 0 && i < len(v) {
			return v[i]
		}
	}
	return nil
}

// findNode returns the schema node that a validation error refers to. Location is a URL
// with a JSON pointer as its fragment.
func findNode(document any, location string) schemaNode {
	_, pointer, _ := strings.Cut(location, "#")
	for _, step := range strings.Split(strings.Trim(pointer, "/"), "/") {
		if step == "" {
			continue
		}
		step = strings.NewReplacer("~1", "/", "~0", "~", "%24", "$").Replace(step)
		document = childNode(document, step)
	}
	object, _ := document.(map[string]any)
	description, _ := object["description"].(string)
	properties, _ := object["properties"].(map[string]any)
	n := schemaNode{description: description}
	for name := range properties {
		n.properties = append(n.properties, name)
	}
	slices.Sort(n.properties)
	return n
}
