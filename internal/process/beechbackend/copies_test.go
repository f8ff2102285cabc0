package beechbackend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const copyTimeout = 5 * time.Second

type (
	// copyingServer answers requests by a function, and sends the first answer of each connection once more before every
	// later one.
	copyingServer struct {
		address netip.AddrPort
		respond func(r *http.Request, body string) string

		mu    sync.Mutex
		conns int
		asked map[string]int // by the ID or, if there is none, the path
	}

	requestSender func(ctx context.Context, id string) error
)

func startCopyingServer(t *testing.T, respond func(r *http.Request, body string) string) *copyingServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	s := &copyingServer{address: netip.MustParseAddrPort(l.Addr().String()), respond: respond, asked: make(map[string]int)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *copyingServer) serve(c net.Conn) {
	defer c.Close()
	reader, first := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		if id := r.Header.Get(RequestHeader); id != "" {
			s.asked[id]++
		} else {
			s.asked[r.URL.Path]++
		}
		s.mu.Unlock()
		response := s.respond(r, string(body))
		if _, err := io.WriteString(c, first+response); err != nil {
			return
		}
		if first == "" {
			first = response
		}
	}
}

func (s *copyingServer) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

func rawResponse(status int, id, header, body string) string {
	if id != "" {
		header += RequestHeader + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

func rawRefusal(id string) string {
	return rawResponse(http.StatusServiceUnavailable, id, RanHeader+": no\r\n", "")
}

func requestSenders(address netip.AddrPort) map[string]requestSender {
	client := NewClient(time.Second)
	engine, service := NewOpenAI(address, client), NewService(address, "", client)
	return map[string]requestSender{
		"engine": func(ctx context.Context, id string) error {
			answer, err := engine.Generate(ctx, generate(id))
			return readNamed(answer, id, err)
		},
		"service": func(ctx context.Context, id string) error {
			answer, err := service.Relay(ctx, RelayRequest{RequestID: id, Method: http.MethodPost, Path: "/book", Body: []byte("x")})
			return readNamed(answer, id, err)
		},
	}
}

var errOfAnother = errors.New("the answer of another request")

// readNamed reads an answer whose body is the ID of its request.
func readNamed(answer *Answer, id string, err error) error {
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err == nil && string(text) != id {
		return errOfAnother
	}
	return err
}

// Guards against a second copy of a refusal that is taken for that of the same request when it is sent again and runs.
func TestCopyOfARefusalIsNotBelievedWhenTheRequestIsSentAgain(t *testing.T) {
	for _, kind := range []string{"engine", "service"} {
		for between := range 3 {
			t.Run(fmt.Sprintf("%s, %d between", kind, between), func(t *testing.T) {
				is := is.New(t)
				refused := make(map[string]bool)
				s := startCopyingServer(t, func(r *http.Request, _ string) string {
					id := r.Header.Get(RequestHeader)
					if id == "again" && !refused[id] {
						refused[id] = true
						return rawRefusal(id)
					}
					return rawResponse(http.StatusOK, id, "", id)
				})
				send := requestSenders(s.address)[kind]
				ctx, cancel := context.WithTimeout(t.Context(), copyTimeout)
				defer cancel()
				is.True(NotRun(send(ctx, "again"))) // an honest refusal
				for i := range between {
					_ = send(ctx, fmt.Sprint("between", i))
				}
				err := send(ctx, "again")
				t.Logf("second send of the request, which ran: %v", err)
				is.True(!NotRun(err))
			})
		}
	}
}

// Guards against a second copy of a refusal that names no request and is taken for that of another request, which runs.
func TestCopyOfAnUnmarkedRefusalIsNotBelievedForAnotherRequest(t *testing.T) {
	for _, kind := range []string{"engine", "service"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			s := startCopyingServer(t, func(r *http.Request, _ string) string {
				if id := r.Header.Get(RequestHeader); id != "first" {
					return rawResponse(http.StatusOK, id, "", id)
				}
				return rawRefusal("")
			})
			send := requestSenders(s.address)[kind]
			ctx, cancel := context.WithTimeout(t.Context(), copyTimeout)
			defer cancel()
			is.True(NotRun(send(ctx, "first")))
			err := send(ctx, "next")
			t.Logf("request that ran: %v", err)
			is.NoErr(err)
		})
	}
}

// Guards against a second copy of an answer that names no request and reaches the caller of another one.
func TestCopyOfAnUnmarkedAnswerIsNotAnothersAnswer(t *testing.T) {
	for _, kind := range []string{"engine", "service"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			s := startCopyingServer(t, func(r *http.Request, _ string) string {
				return rawResponse(http.StatusOK, "", "", r.Header.Get(RequestHeader))
			})
			send := requestSenders(s.address)[kind]
			ctx, cancel := context.WithTimeout(t.Context(), copyTimeout)
			defer cancel()
			for i := range 4 {
				is.NoErr(send(ctx, fmt.Sprint("r", i)))
			}
		})
	}
}
