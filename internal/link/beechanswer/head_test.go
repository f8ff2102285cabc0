package beechanswer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// Guards against an answer whose status is none, or in whose head a field's name holds bytes that no name has.
func TestHeadsThatAreNoHTTP(t *testing.T) {
	for head, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n":                    true,
		"HTTP/1.1 599 \r\nX_odd!#$%&'*+.^`|~: a\tb\r\n":      true,
		"HTTP/1.1 100 Continue\r\n":                          true,
		"HTTP/1.1 000 OK\r\n":                                false,
		"HTTP/1.1 099 OK\r\n":                                false,
		"HTTP/1.1 600 OK\r\n":                                false,
		"HTTP/1.1 999 OK\r\n":                                false,
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n":                    false,
		"HTTP/1.1 200 OK\r\nX-Odd : 1\r\n":                   false,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n":          false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n": false,
		"HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n":                 false,
		"HTTP/1.1 200 OK\r\nX\"Odd\": 1\r\n":                 false,
		"HTTP/1.1 200 OK\r\nX-\u00c4rger: 1\r\n":             false,
	} {
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewBufferString(head+"\r\n")), nil)
		if err == nil {
			err = Check(response)
			if err != nil && !errors.Is(err, ErrMalformed) {
				t.Errorf("%q: %v", head, err)
			}
		}
		if (err == nil) != sound {
			t.Errorf("%q: %v", head, err)
		}
	}
	is := is.New(t)
	is.True(CheckFields(http.Header{"A": {"b\x00"}}) != nil)
	is.True(CheckFields(http.Header{"": {"b"}}) != nil)
	is.NoErr(CheckFields(nil))
}

var (
	statusLine = regexp.MustCompile(`^HTTP/1\.\d +([1-5]\d\d)[ \t]*( |\r?\n)`)
	fieldLine  = regexp.MustCompile("^[!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*\r?\n$")
	foldedLine = regexp.MustCompile("^[ \t][^\x00-\x08\x0a-\x1f\x7f]*\r?\n$")
)

// No head that is not HTTP yields an answer, by another reading of the same bytes.
func FuzzHeads(f *testing.F) {
	for _, seed := range []string{"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "HTTP/1.1 000 \r\nA : b\r\n\r\n", "HTTP/1.1 200 OK\nContent-Length : 2\n\nab", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil || Check(response) != nil {
			return
		}
		lines := bytes.SplitAfter(data, []byte("\n"))
		if m := statusLine.FindSubmatch(lines[0]); m == nil {
			t.Fatalf("status line %q", lines[0])
		} else if status, _ := strconv.Atoi(string(m[1])); status != response.StatusCode {
			t.Fatalf("status %d of %q", response.StatusCode, lines[0])
		}
		for _, line := range lines[1:] {
			if len(bytes.TrimRight(line, "\r\n")) == 0 {
				break
			}
			if !fieldLine.Match(line) && !foldedLine.Match(line) {
				t.Fatalf("line %q", line)
			}
		}
		_, _ = io.Copy(io.Discard, response.Body)
	})
}
