package beechconvert

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// A caller can ask a service to treat a GET as a POST through an override
// header, or list other headers in Connection. If these were forwarded, a call
// that may not be repeated would run without a claim, or a service would
// receive a workspace's key.
func TestServicesNeverReceiveKeysOrMethodOverrides(t *testing.T) {
	is := is.New(t)
	header := http.Header{}
	for name, value := range map[string]string{
		"Accept": "text/csv", "If-None-Match": "v1", "X-Own": "kept",
		"Authorization": "Bearer key", "Idempotency-Key": "k", "X-HTTP-Method-Override": "POST", "X-Method-Override": "POST",
		"Connection": "close, x-hop", "X-Hop": "1", "Transfer-Encoding": "chunked", "Content-Length": "7", "X-Request-Timeout-Ms": "5",
	} {
		header.Set(name, value)
	}
	got := HTTPHeader(WireRequestHeaders(header))
	is.Equal(got, http.Header{"Accept": {"text/csv"}, "If-None-Match": {"v1"}, "X-Own": {"kept"}})
}

func TestResponseHeadersReachTheCaller(t *testing.T) {
	is := is.New(t)
	header := http.Header{"Location": {"/b/1"}, "Set-Cookie": {"a=1", "b=2"}, "X-Ran": {"no"}, "Content-Type": {"text/plain"}}
	is.Equal(HTTPHeader(WireAnswerHeaders(header)), http.Header{"Location": {"/b/1"}, "Set-Cookie": {"a=1", "b=2"}})
}
