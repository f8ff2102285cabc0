package beechbackend

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a second copy of an earlier refusal that is taken for that of a request which runs, and would run again elsewhere.
func TestRefusalOfAnotherRequestIsNotBelieved(t *testing.T) {
	is := is.New(t)
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(RequestHeader, "earlier")
		w.Header().Set(RanHeader, "no")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	client := NewClient(time.Second)
	defer client.CloseIdleConnections()
	var refused *Refused
	_, err := NewOpenAI(address, client).Generate(t.Context(), generate("next"))
	is.True(errors.Is(err, ErrWrongRequest))
	is.True(!errors.As(err, &refused))
	_, err = NewService(address, "", client).Relay(t.Context(), RelayRequest{RequestID: "next", Method: http.MethodPost, Path: "/book"})
	is.True(errors.Is(err, ErrWrongRequest))
	is.True(!errors.As(err, &refused))
}

// Guards against answers at the agents' door that a server cut off, at any byte, and that look whole.
func TestAnswerOfAServiceThatIsCutOffIsNotWhole(t *testing.T) {
	const body = "a whole body"
	for name, response := range map[string]string{
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nX-Last: 1\r\n\r\n%s", len(body), body),
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n6\r\na whol\r\n6\r\ne body\r\n0\r\nX-End: 1\r\n\r\n",
		"interim": fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"folded":  fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Folded: a\r\n b\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for end := range len(response) + 1 {
				address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					is.NoErr(err)
					_, _ = conn.Write([]byte(response[:end]))
					_ = conn.Close()
				}))
				client := NewClient(time.Second)
				answer, err := NewService(address, "", client).Relay(t.Context(), RelayRequest{RequestID: "r", Method: http.MethodPost, Path: "/book", Body: []byte("x")})
				var text []byte
				if err == nil {
					is.True(!answer.Unframed)
					text, err = io.ReadAll(answer.Body)
				}
				client.CloseIdleConnections()
				if end < len(response) {
					is.True(err != nil)
					continue
				}
				is.NoErr(err)
				is.Equal(string(text), body)
			}
		})
	}
}

// Guards against an answer without a length at the agents' door that counts as whole though its server reset the connection
// while the request was being written, and against answers whose heads are none of HTTP.
func TestAnswerOfAServiceInTroubleIsNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		size     int
	}{
		"reset under an upload":  {"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart", 1 << 20},
		"status 000":             {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nab", 1},
		"blank behind a length":  {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nabcdefghijk", 1},
		"blank in a name":        {"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nab", 1},
		"blank in a trailer":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX Odd: 1\r\n\r\n", 1},
		"blank in an early hint": {"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				is.NoErr(err)
				_, _ = conn.Write([]byte(c.response))
				if c.size > 1 {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}))
			client := NewClient(time.Second)
			defer client.CloseIdleConnections()
			for range 20 {
				answer, err := NewService(address, "", client).Relay(t.Context(), RelayRequest{RequestID: "r", Method: http.MethodPost, Path: "/book", Body: make([]byte, c.size)})
				var text []byte
				if err == nil {
					text, err = io.ReadAll(answer.Body)
				}
				if err == nil {
					t.Fatalf("%q is an answer", text)
				}
				var refused *Refused
				is.True(!errors.As(err, &refused)) // it may have run
			}
		})
	}
}
