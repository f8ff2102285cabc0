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
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const copyTimeout = 30 * time.Second // only if an exchange hangs

type (
	// copyingServer answers requests by a function, and sends the first answer of each connection once more before every
	// later one unless it is honest.
	copyingServer struct {
		address netip.AddrPort
		respond func(r *http.Request, body string) string
		honest  bool
		closes  bool // each connection after its first answer, without saying so

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
		if s.closes {
			return
		}
		if first == "" && !s.honest {
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

// Guards against a second copy of one call's answer that is taken for another call's: a cancellation or an order that
// was never taken, or cache blocks of another salt.
func TestCopyOfACallsAnswerIsNotAnotherCalls(t *testing.T) {
	const load, events = `{"incarnation":7,"models":["m@1"]}`, `{"incarnation":8}`
	respond := func(r *http.Request, body string) string {
		switch {
		case r.URL.Path == "/load":
			return rawResponse(http.StatusOK, "", "", load)
		case r.URL.Path == "/cache/events":
			return rawResponse(http.StatusOK, "", "", events)
		case r.URL.Path == "/kv/export" && strings.Contains(body, `"s1"`):
			return rawResponse(http.StatusOK, "", "", `"blocks of s1"`)
		case r.URL.Path == "/kv/export":
			return rawResponse(http.StatusOK, "", "", `"blocks of s2"`)
		case r.Header.Get(RequestHeader) != "":
			return rawResponse(http.StatusOK, r.Header.Get(RequestHeader), "", `{"incarnation":9}`)
		default:
			return rawResponse(http.StatusConflict, "", "", "")
		}
	}
	firsts := map[string]func(ctx context.Context, e Engine){
		"report":       func(ctx context.Context, e Engine) { _, _ = e.Report(ctx) },
		"cache events": func(ctx context.Context, e Engine) { _, _, _ = e.CacheEvents(ctx, 0) },
		"export":       func(ctx context.Context, e Engine) { _, _ = e.Export(ctx, "s1", []byte("[]")) },
		"request": func(ctx context.Context, e Engine) {
			if answer, err := e.Generate(ctx, generate("r")); err == nil {
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			}
		},
	}
	seconds := map[string]func(is *is.I, ctx context.Context, e Engine){
		"report": func(is *is.I, ctx context.Context, e Engine) {
			report, err := e.Report(ctx)
			is.NoErr(err)
			is.Equal(report.Incarnation, uint64(7))
		},
		"cache events": func(is *is.I, ctx context.Context, e Engine) {
			incarnation, _, err := e.CacheEvents(ctx, 0)
			is.NoErr(err)
			is.Equal(incarnation, uint64(8))
		},
		"cancel": func(is *is.I, ctx context.Context, e Engine) { is.True(e.Cancel(ctx, "x") != nil) },
		"order":  func(is *is.I, ctx context.Context, e Engine) { is.True(e.Order(ctx, Order{Fence: 1}) != nil) },
		"import": func(is *is.I, ctx context.Context, e Engine) {
			_, err := e.Import(ctx, "s2", []byte("[]"))
			is.True(err != nil)
		},
		"export": func(is *is.I, ctx context.Context, e Engine) {
			blocks, err := e.Export(ctx, "s2", []byte("[]"))
			is.NoErr(err)
			is.Equal(string(blocks), `"blocks of s2"`)
		},
	}
	for firstName, first := range firsts {
		for secondName, second := range seconds {
			t.Run(firstName+", "+secondName, func(t *testing.T) {
				engine := NewOpenAI(startCopyingServer(t, respond).address, NewClient(time.Second))
				ctx, cancel := context.WithTimeout(t.Context(), copyTimeout)
				defer cancel()
				first(ctx, engine)
				second(is.New(t), ctx, engine)
			})
		}
	}
}

// Guards against cache events that were read before and come again, so that the reader goes back.
func TestCopyOfEarlierCacheEventsIsNotRead(t *testing.T) {
	is := is.New(t)
	s := startCopyingServer(t, func(r *http.Request, _ string) string {
		if r.URL.Query().Get("after") == "0" {
			return rawResponse(http.StatusOK, "", "", `{"incarnation":7,"events":[{"sequence":1},{"sequence":2}]}`)
		}
		return rawResponse(http.StatusOK, "", "", `{"incarnation":7,"events":[{"sequence":3}]}`)
	})
	engine := NewOpenAI(s.address, NewClient(time.Second))
	ctx, cancel := context.WithTimeout(t.Context(), copyTimeout)
	defer cancel()
	_, events, err := engine.CacheEvents(ctx, 0)
	is.NoErr(err)
	is.Equal(len(events), 2)
	_, _, err = engine.CacheEvents(ctx, 2)
	is.True(errors.Is(err, ErrWrongRequest))
	_, events, err = engine.CacheEvents(ctx, 2)
	is.NoErr(err)
	is.Equal(events, []CacheEvent{{Sequence: 3}})
}
