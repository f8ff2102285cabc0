package beechshare

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// A caller sends a GET that asks the service to take it for a POST, or names
// its key's header as one of the connection's. A call that may not be repeated
// would then run without a claim, or a service would learn a workspace's key.
func TestServicesSeeOnlyWhatTheyMay(t *testing.T) {
	is := is.New(t)
	header := http.Header{}
	for name, value := range map[string]string{
		"Accept": "text/csv", "If-None-Match": "v1", "X-Own": "kept",
		"Authorization": "Bearer key", "Idempotency-Key": "k", "X-HTTP-Method-Override": "POST", "X-Method-Override": "POST",
		"Connection": "close, x-hop", "X-Hop": "1", "Transfer-Encoding": "chunked", "Content-Length": "7", "X-Request-Timeout-Ms": "5",
	} {
		header.Set(name, value)
	}
	got := Header(WireRequestHeaders(header))
	is.Equal(got, http.Header{"Accept": {"text/csv"}, "If-None-Match": {"v1"}, "X-Own": {"kept"}})
}

func TestAnswersKeepTheirHeaders(t *testing.T) {
	is := is.New(t)
	header := http.Header{"Location": {"/b/1"}, "Set-Cookie": {"a=1", "b=2"}, "X-Ran": {"no"}, "Content-Type": {"text/plain"}}
	is.Equal(Header(WireAnswerHeaders(header)), http.Header{"Location": {"/b/1"}, "Set-Cookie": {"a=1", "b=2"}})
}
