package beechmanifest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// MaxBytes is the size of the largest manifest that Parse accepts.
const MaxBytes = 32 << 20

var errTrailingData = errors.New("unexpected data after the manifest")

// Parse decodes and validates a manifest. The error is of type Invalid and lists every
// problem found. The weight of a workspace defaults to 1.
func Parse(data []byte) (*Manifest, error) {
	if problem, ok := checkEncoding(data); !ok {
		return nil, Invalid{Problems: []Problem{problem}}
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, invalidJSON(err)
	}
	if problems := checkNumbers("", value); len(problems) > 0 {
		return nil, Invalid{Problems: sortProblems(problems)}
	}
	if problems := checkSchema(value); len(problems) > 0 {
		return nil, Invalid{Problems: problems}
	}
	return decode(data)
}

// decode decodes a manifest that its publisher has validated with Parse. It omits only the
// validation against the schema: at 9,300 workspaces that takes several times longer than
// the rest, and each process would repeat it for each change.
func decode(data []byte) (*Manifest, error) {
	var m Manifest
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		return nil, decodeError(err)
	}
	if d.More() {
		return nil, invalidJSON(errTrailingData)
	}
	for i := range m.Workspaces {
		m.Workspaces[i].Weight = max(1, m.Workspaces[i].Weight)
	}
	if problems := checkConsistency(&m); len(problems) > 0 {
		return nil, Invalid{Problems: problems}
	}
	return &m, nil
}

// Encode encodes a manifest for Parse. Nil lists that the schema requires are encoded as
// empty lists.
func Encode(m *Manifest) ([]byte, error) {
	full := *m
	emptyIfNil(&full.Models)
	emptyIfNil(&full.Priorities)
	emptyIfNil(&full.Workspaces)
	emptyIfNil(&full.Pools)
	emptyIfNil(&full.Services)
	data, err := json.Marshal(full)
	if err != nil {
		return nil, fmt.Errorf("encode a manifest: %w", err)
	}
	return data, nil
}

func emptyIfNil[T any](list *[]T) {
	if *list == nil {
		*list = []T{}
	}
}

func checkEncoding(data []byte) (Problem, bool) {
	if len(data) > MaxBytes {
		return Problem{Field: "manifest", Wrong: fmt.Sprintf("has %d bytes", len(data)), Allowed: fmt.Sprintf("at most %d bytes", MaxBytes)}, false
	}
	if !utf8.Valid(data) {
		return Problem{Field: "manifest", Wrong: "is not valid UTF-8", Allowed: "JSON in UTF-8"}, false
	}
	return Problem{}, true
}

func invalidJSON(err error) error {
	return Invalid{Problems: []Problem{{Field: "manifest", Wrong: "cannot be decoded: " + err.Error(), Allowed: "one JSON object in UTF-8"}}}
}

// decodeError converts an error of the JSON decoder. The decoder rejects some values that
// the schema accepts, such as 3.0 as an integer.
func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return Invalid{Problems: []Problem{{Field: wrongType.Field, Wrong: "cannot decode the " + wrongType.Value, Allowed: "a plain " + wrongType.Type.String()}}}
	}
	return invalidJSON(err)
}
