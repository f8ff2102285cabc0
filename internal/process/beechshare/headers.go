package beechshare

import (
	"maps"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/beechring/beechring/internal/link/beechwire"
)

// connectionHeaders belong to one connection or are set anew at each hop.
var connectionHeaders = []string{
	"Connection", "Content-Length", "Content-Type", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// keptFromServices are headers of callers that no service sees: the workspace's
// key, what net/http would resend a request by, and what could make a
// service take a call for another method than the one that was checked against
// the calls that may not be repeated.
var keptFromServices = []string{
	"Authorization", "Expect", "Host", "Idempotency-Key", "X-Idempotency-Key", "Last-Event-Id", "X-Request-Id",
	"X-Http-Method", "X-Http-Method-Override", "X-Method-Override", "X-Request-Timeout-Ms",
}

// WireRequestHeaders are a caller's headers that a plain service may see.
func WireRequestHeaders(header http.Header) []beechwire.Header {
	return wireHeaders(header, keptFromServices)
}

// WireAnswerHeaders are a plain service's headers that its caller may see.
func WireAnswerHeaders(header http.Header) []beechwire.Header {
	return wireHeaders(header, []string{"X-Request-Id", "X-Ran"})
}

// Header makes an HTTP header of the wire's lines.
func Header(lines []beechwire.Header) http.Header {
	header := http.Header{}
	for _, l := range lines {
		header.Add(l.Name, l.Value)
	}
	return header
}

func wireHeaders(header http.Header, kept []string) []beechwire.Header {
	var lines []beechwire.Header
	named := header.Values("Connection")
	for _, name := range slices.Sorted(maps.Keys(header)) {
		if slices.Contains(connectionHeaders, name) || slices.Contains(kept, name) || isNamed(named, name) {
			continue
		}
		for _, value := range header[name] {
			lines = append(lines, beechwire.Header{Name: name, Value: value})
		}
	}
	return lines
}

// isNamed tells whether a Connection header names another as its own.
func isNamed(connection []string, name string) bool {
	for _, value := range connection {
		for _, token := range strings.Split(value, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token)) == name {
				return true
			}
		}
	}
	return false
}
