package beechanswer

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformed is the cause of all errors of this package.
var ErrMalformed = errors.New("malformed response head")

const (
	minStatus = 100
	maxStatus = 599 // RFC 9110, section 15
	// maxQuoted bounds what an error quotes of a field.
	maxQuoted = 40
)

// Check returns an error if a response's version, status or one of its fields is none of HTTP/1.
func Check(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %d.%d", ErrMalformed, r.ProtoMajor, r.ProtoMinor)
	}
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrMalformed, r.StatusCode)
	}
	return CheckFields(r.Header)
}

// CheckFields returns an error if a field of a header or trailer has a name that is no token (RFC 9110, section 5.6.2), or
// a value with a control byte (section 5.5).
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		if name == "" || strings.ContainsFunc(name, func(r rune) bool { return !isTokenRune(r) }) {
			return fmt.Errorf("%w: field name %.*q", ErrMalformed, maxQuoted, name)
		}
		for _, value := range values {
			if strings.ContainsFunc(value, isControl) {
				return fmt.Errorf("%w: value of field %.*q", ErrMalformed, maxQuoted, name)
			}
		}
	}
	return nil
}

func isTokenRune(r rune) bool {
	return 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == '\x7f' }
