package beechbackend

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
)

// usualMembers is how many members a request's body has seldom more than.
const usualMembers = 16

type (
	// member is one name and value of a JSON object, as offsets of its bytes:
	// where the name begins, where the value begins, and what is behind it.
	member struct {
		name  []byte // decoded
		start int
		value int
		end   int
	}

	// field is a member to be set, or to be taken out where value is nil.
	field struct {
		name  string
		value []byte
	}
)

// setFields returns the JSON object with these fields set and all others left
// byte for byte. A field without value is only taken out. Every member of a
// set name goes first, whatever its case and however often it stands there: a
// caller could otherwise name the cache salt of another workspace and rely on
// the server's taking the last one.
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
		separate(out, &count)
		out.WriteString(`"` + f.name + `":`)
		out.Write(f.value)
	}
	for _, m := range members {
		if named(fields, m.name) {
			continue
		}
		separate(out, &count)
		out.Write(object[m.start:m.end])
	}
	out.WriteByte('}')
	return out.Bytes()
}

// lastValue returns the value a server would take for a name, or nil.
func lastValue(object []byte, members []member, name string) []byte {
	for _, m := range slices.Backward(members) {
		if string(m.name) == name {
			return object[m.value:m.end]
		}
	}
	return nil
}

func separate(out *bytes.Buffer, count *int) {
	if *count > 0 {
		out.WriteByte(',')
	}
	*count++
}

func named(fields []field, name []byte) bool {
	for _, f := range fields {
		if strings.EqualFold(f.name, string(name)) {
			return true
		}
	}
	return false
}

// scanObject finds the members of a JSON object without decoding their values.
func scanObject(data []byte) ([]member, error) {
	members := make([]member, 0, usualMembers)
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
		behind, ok := skipValue(data, at)
		if !ok {
			return 0, ErrInvalidJSON
		}
		return behind, visit(data[at:behind])
	})
}

// eachItem visits where each item of an object or array begins; visit returns
// what is behind the item.
func eachItem(data []byte, open, shut byte, visit func(at int) (int, error)) error {
	at := skipSpace(data, 0)
	if at >= len(data) || data[at] != open {
		return ErrInvalidJSON
	}
	at = skipSpace(data, at+1)
	if at < len(data) && data[at] == shut {
		return end(data, at+1)
	}
	for at < len(data) {
		behind, err := visit(at)
		if err != nil {
			return err
		}
		at = skipSpace(data, behind)
		if at >= len(data) {
			break
		}
		if data[at] == shut {
			return end(data, at+1)
		}
		if data[at] != ',' {
			break
		}
		at = skipSpace(data, at+1)
	}
	return ErrInvalidJSON
}

func end(data []byte, at int) error {
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

// decodeName takes the quotes off a name, and decodes it where it is escaped,
// since an escaped name means the same field to the server.
func decodeName(quoted []byte) ([]byte, bool) {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return quoted[1 : len(quoted)-1], true
	}
	var name string
	err := json.Unmarshal(quoted, &name)
	return []byte(name), err == nil
}

// decodeString returns a JSON string's text, and "" for any other value.
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

// skipString returns what is behind the string that begins at the index.
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

// skipValue returns what is behind the value that begins at the index.
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
