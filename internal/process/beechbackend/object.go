package beechbackend

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
)

// expectedMembers is the initial capacity for the members of an object. Request bodies
// seldom have more.
const expectedMembers = 16

type (
	// member is one member of a JSON object. start, value and end are offsets into the
	// object: of the name, of the value and of the first byte after the value.
	member struct {
		name  []byte // decoded
		start int
		value int
		end   int
	}

	// field is a member to be set, or to be removed if value is nil.
	field struct {
		name  string
		value []byte
	}
)

// setFields returns the JSON object with the given fields set, and all other members
// copied byte for byte. A field whose value is nil is only removed. All existing
// members with the name of a field are removed first, regardless of case and number of
// occurrences. Otherwise a caller could add a second cache salt, that of another
// workspace, if the server uses the last occurrence.
func setFields(object []byte, members []member, fields []field) []byte {
	size := len(object) + len("{}")
	for _, f := range fields {
		size += len(f.name) + len(f.value) + len(`"":,`)
	}
	out := bytes.NewBuffer(make([]byte, 0, size))
	out.WriteByte('{')
	count := 0
	for _, f := range fields {
		if f.value == nil {
			continue
		}
		writeSeparator(out, &count)
		out.WriteString(`"` + f.name + `":`)
		out.Write(f.value)
	}
	for _, m := range members {
		if setsField(fields, m.name) {
			continue
		}
		writeSeparator(out, &count)
		out.Write(object[m.start:m.end])
	}
	out.WriteByte('}')
	return out.Bytes()
}

// lastValue returns the value of the last member with the name, which is the one that
// servers use, or nil.
func lastValue(object []byte, members []member, name string) []byte {
	for _, m := range slices.Backward(members) {
		if string(m.name) == name {
			return object[m.value:m.end]
		}
	}
	return nil
}

func writeSeparator(out *bytes.Buffer, count *int) {
	if *count > 0 {
		out.WriteByte(',')
	}
	*count++
}

func setsField(fields []field, name []byte) bool {
	for _, f := range fields {
		if strings.EqualFold(f.name, string(name)) {
			return true
		}
	}
	return false
}

// scanObject returns the members of a JSON object without decoding their values.
func scanObject(data []byte) ([]member, error) {
	members := make([]member, 0, expectedMembers)
	err := eachMember(data, func(m member) error {
		members = append(members, m)
		return nil
	})
	return members, err
}

func eachMember(data []byte, visit func(member) error) error {
	return eachItem(data, '{', '}', func(at int) (int, error) {
		m, ok := scanMember(data, at)
		if !ok {
			return 0, ErrInvalidJSON
		}
		return m.end, visit(m)
	})
}

// eachElement visits the values of a JSON array.
func eachElement(data []byte, visit func(value []byte) error) error {
	return eachItem(data, '[', ']', func(at int) (int, error) {
		next, ok := skipValue(data, at)
		if !ok {
			return 0, ErrInvalidJSON
		}
		return next, visit(data[at:next])
	})
}

// eachItem calls visit with the offset of each item of an object or array. visit
// returns the offset after the item.
func eachItem(data []byte, open, closing byte, visit func(at int) (int, error)) error {
	at := skipSpace(data, 0)
	if at >= len(data) || data[at] != open {
		return ErrInvalidJSON
	}
	at = skipSpace(data, at+1)
	if at < len(data) && data[at] == closing {
		return expectEnd(data, at+1)
	}
	for at < len(data) {
		next, err := visit(at)
		if err != nil {
			return err
		}
		at = skipSpace(data, next)
		if at >= len(data) {
			break
		}
		if data[at] == closing {
			return expectEnd(data, at+1)
		}
		if data[at] != ',' {
			break
		}
		at = skipSpace(data, at+1)
	}
	return ErrInvalidJSON
}

func expectEnd(data []byte, at int) error {
	if skipSpace(data, at) != len(data) {
		return ErrInvalidJSON
	}
	return nil
}

func scanMember(data []byte, at int) (member, bool) {
	m := member{start: at}
	at, ok := skipString(data, at)
	if !ok {
		return m, false
	}
	if m.name, ok = decodeName(data[m.start:at]); !ok {
		return m, false
	}
	at = skipSpace(data, at)
	if at >= len(data) || data[at] != ':' {
		return m, false
	}
	m.value = skipSpace(data, at+1)
	m.end, ok = skipValue(data, m.value)
	return m, ok
}

// decodeName returns a member name without its quotes. It decodes escapes, since an
// escaped name denotes the same member for the server.
func decodeName(quoted []byte) ([]byte, bool) {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return quoted[1 : len(quoted)-1], true
	}
	var name string
	err := json.Unmarshal(quoted, &name)
	return []byte(name), err == nil
}

// decodeString returns the text of a JSON string, and "" for any other value.
func decodeString(value []byte) (string, error) {
	if len(value) < 2 || value[0] != '"' {
		return "", nil
	}
	if bytes.IndexByte(value, '\\') < 0 {
		return string(value[1 : len(value)-1]), nil
	}
	var s string
	err := json.Unmarshal(value, &s)
	return s, err
}

func skipSpace(data []byte, at int) int {
	for at < len(data) && (data[at] == ' ' || data[at] == '\n' || data[at] == '\t' || data[at] == '\r') {
		at++
	}
	return at
}

// skipString returns the offset after the string that starts at the given offset.
func skipString(data []byte, at int) (int, bool) {
	if at >= len(data) || data[at] != '"' {
		return at, false
	}
	for at++; at < len(data); at++ {
		switch data[at] {
		case '"':
			return at + 1, true
		case '\\':
			at++
		}
	}
	return at, false
}

// skipValue returns the offset after the value that starts at the given offset.
func skipValue(data []byte, at int) (int, bool) {
	depth := 0
	for at < len(data) {
		switch data[at] {
		case '"':
			next, ok := skipString(data, at)
			if !ok {
				return at, false
			}
			at = next
		case '{', '[':
			depth++
			at++
		case '}', ']':
			depth--
			at++
		case ',', ':', ' ', '\n', '\t', '\r':
			if depth == 0 {
				return at, false
			}
			at++
		default:
			at = skipScalar(data, at)
		}
		if depth < 0 {
			return at, false
		}
		if depth == 0 {
			return at, true
		}
	}
	return at, false
}

func skipScalar(data []byte, at int) int {
	for at < len(data) && !strings.ContainsRune(",:{}[]\" \n\t\r", rune(data[at])) {
		at++
	}
	return at
}
