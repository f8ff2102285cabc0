package beechconvert

import (
	"maps"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/beechring/beechring/internal/link/beechwire"
)

// connectionHeaders apply to a single connection or are set again at each hop.
var connectionHeaders = []string{
	"Connection", "Content-Length", "Content-Type", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// hiddenRequestHeaders are request headers that are never forwarded to a
// service: the workspace's key, headers that would make net/http resend a
// request, and headers that could make a service treat a call as another method
// than the one that was checked for being repeatable.
var hiddenRequestHeaders = []string{
	"Authorization", "Expect", "Host", "Idempotency-Key", "X-Idempotency-Key", "Last-Event-Id", "X-Request-Id",
	"X-Http-Method", "X-Http-Method-Override", "X-Method-Override", "X-Request-Timeout-Ms",
}

// WireRequestHeaders returns the request headers that are forwarded to a plain
// service.
func WireRequestHeaders(header http.Header) []beechwire.Header {
	return wireHeaders(header, hiddenRequestHeaders)
}

// WireAnswerHeaders returns the response headers of a plain service that are
// forwarded to the caller.
func WireAnswerHeaders(header http.Header) []beechwire.Header {
	return wireHeaders(header, []string{"X-Request-Id", "X-Ran"})
}

// HTTPHeader converts wire headers to an HTTP header.
func HTTPHeader(lines []beechwire.Header) http.Header {
	header := http.Header{}
	for _, l := range lines {
		header.Add(l.Name, l.Value)
	}
	return header
}

func wireHeaders(header http.Header, excluded []string) []beechwire.Header {
	var lines []beechwire.Header
	connection := header.Values("Connection")
	for _, name := range slices.Sorted(maps.Keys(header)) {
		if slices.Contains(connectionHeaders, name) || slices.Contains(excluded, name) || listedInConnection(connection, name) {
			continue
		}
		for _, value := range header[name] {
			lines = append(lines, beechwire.Header{Name: name, Value: value})
		}
	}
	return lines
}

// listedInConnection reports whether a Connection header lists name as a
// hop-by-hop header.
func listedInConnection(connection []string, name string) bool {
	for _, value := range connection {
		for _, token := range strings.Split(value, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token)) == name {
				return true
			}
		}
	}
	return false
}
