package beechbackend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	drawnSeeds       = 40
	drawnWorkers     = 4
	drawnSteps       = 25 // of each worker
	drawnIDs         = 4
	drawnCallTimeout = 20 * time.Second      // no step depends on it
	drawnSettleTime  = 20 * time.Millisecond // a request that counts as not run may still be on its way

	loadIncarnation   = 1000
	eventsIncarnation = 2000
)

type (
	// drawnServer draws its answers. Each may be followed, at any later time, by copies of any earlier answer of its
	// connection.
	drawnServer struct {
		address netip.AddrPort
		copies  bool
		marked  bool // each answer to a request with an ID names it

		mu   sync.Mutex
		draw *rand.Rand
		ran  map[string]bool // by the token of the send or call
		sent int             // copies
	}

	// drawnClient sends requests of a few IDs, and calls. Each has a token of its own.
	drawnClient struct {
		t       *testing.T
		server  *drawnServer
		engine  Engine
		service Service

		mu      sync.Mutex
		draw    *rand.Rand
		tokens  int
		refused []string // tokens of requests that count as not run
		unknown int      // requests of which neither an answer nor a refusal was received
	}
)

var tokenPattern = regexp.MustCompile(`token-[0-9]+-`)

func startDrawnServer(t *testing.T, seed uint64, copies bool) *drawnServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &drawnServer{
		address: netip.MustParseAddrPort(l.Addr().String()), copies: copies,
		draw: rand.New(rand.NewPCG(seed, 1)), ran: make(map[string]bool),
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *drawnServer) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draw.IntN(n)
}

func (s *drawnServer) serve(c net.Conn) {
	defer c.Close()
	var earlier []string
	var writing sync.Mutex
	write := func(pieces ...string) {
		writing.Lock()
		defer writing.Unlock()
		for i, piece := range pieces {
			if i > 0 {
				time.Sleep(time.Millisecond)
			}
			_, _ = io.WriteString(c, piece)
		}
	}
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		response := s.answer(r, string(body))
		s.writeWithCopies(write, earlier, response)
		earlier = append(earlier, response)
	}
}

// writeWithCopies writes an answer, and copies of earlier ones or itself before, behind or after it.
func (s *drawnServer) writeWithCopies(write func(pieces ...string), earlier []string, response string) {
	if !s.copies || s.intN(3) == 0 {
		write(response)
		return
	}
	again := response
	if len(earlier) > 0 && s.intN(4) > 0 {
		again = earlier[s.intN(len(earlier))]
	}
	cut := s.intN(len(again))
	s.mu.Lock()
	s.sent++
	s.mu.Unlock()
	switch form := s.intN(6); {
	case form == 0 && again != response:
		write(again + response)
	case form == 1 && again != response:
		write(again[:cut], again[cut:]+response)
	case form == 2:
		write(response+again[:cut], again[cut:])
	case form == 3:
		write(response + again + again)
	case form == 4:
		write(response)
		time.AfterFunc(time.Duration(s.intN(4))*time.Millisecond, func() { write(again) })
	default:
		write(response, again)
	}
}

// answer runs a request or refuses it.
func (s *drawnServer) answer(r *http.Request, body string) string {
	token := tokenPattern.FindString(body + r.URL.String())
	id := r.Header.Get(RequestHeader)
	if id == "" {
		return s.answerCall(r, token)
	}
	if !s.marked && s.intN(4) == 0 {
		id = "" // the answer is unmarked
	}
	switch s.intN(3) {
	case 0:
		return rawResponse([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound}[s.intN(3)], id, RanHeader+": no\r\n", "")
	case 1:
		s.run(token)
		return rawResponse(http.StatusInternalServerError, id, "", token)
	default:
		s.run(token)
		return rawResponse(http.StatusOK, id, "", token)
	}
}

func (s *drawnServer) answerCall(r *http.Request, token string) string {
	switch r.URL.Path {
	case "/load":
		return rawResponse(http.StatusOK, "", "", fmt.Sprintf(`{"incarnation":%d}`, loadIncarnation))
	case "/cache/events":
		after, _ := strconv.Atoi(r.URL.Query().Get("after"))
		return rawResponse(http.StatusOK, "", "", fmt.Sprintf(`{"incarnation":%d,"events":[{"sequence":%d}]}`, eventsIncarnation, after+1))
	case "/ready":
		return rawResponse(http.StatusOK, "", "", "")
	case "/kv/export":
		return rawResponse(http.StatusOK, "", "", strconv.Quote(token))
	}
	if s.intN(2) == 0 {
		return rawResponse(http.StatusConflict, "", "", "")
	}
	s.run(token)
	return rawResponse(http.StatusOK, "", "", "{}")
}

func (s *drawnServer) run(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[token] = true
}

func (s *drawnServer) hasRun(token string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[token]
}

func (c *drawnClient) next() (step, id int, token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens++
	return c.draw.IntN(12), c.draw.IntN(drawnIDs), fmt.Sprintf("token-%d-", c.tokens)
}

// step sends one drawn request or call, and checks what is returned of it.
func (c *drawnClient) step(ctx context.Context) {
	step, number, token := c.next()
	id := fmt.Sprint("id", number)
	ctx, cancel := context.WithTimeout(ctx, drawnCallTimeout)
	defer cancel()
	switch step {
	case 0:
		report, err := c.engine.Report(ctx)
		c.check(err != nil || report.Incarnation == loadIncarnation, "report of another call: %+v", report)
	case 1:
		after := uint64(number)
		incarnation, events, err := c.engine.CacheEvents(ctx, after)
		c.check(err != nil || incarnation == eventsIncarnation && events[0].Sequence > after, "cache events of another call: %d %+v", incarnation, events)
	case 2:
		c.checkCall("cancel", token, c.engine.Cancel(ctx, token))
	case 3:
		c.checkCall("order", token, c.engine.Order(ctx, Order{Fence: 1, Load: token}))
	case 4:
		_, err := c.engine.Import(ctx, token, []byte("[]"))
		c.checkCall("import", token, err)
	case 5:
		blocks, err := c.engine.Export(ctx, token, []byte("[]"))
		c.check(err != nil || string(blocks) == strconv.Quote(token), "blocks of another salt: %s", blocks)
	case 6:
		_ = c.service.Ready(ctx)
	case 7, 8, 9:
		g := GenerateRequest{RequestID: id, Path: "/v1/completions", Body: []byte(`{"messages":"` + token + `"}`)}
		answer, err := c.engine.Generate(ctx, g)
		c.checkRequest(token, answer, err, step == 9)
	default:
		answer, err := c.service.Relay(ctx, RelayRequest{RequestID: id, Method: http.MethodPost, Path: "/book", Body: []byte(token)})
		c.checkRequest(token, answer, err, step == 11 && number == 0)
	}
}

func (c *drawnClient) check(holds bool, format string, values ...any) {
	if !holds {
		c.t.Errorf(format, values...)
	}
}

func (c *drawnClient) checkCall(name, token string, err error) {
	var refused *Refused
	ran := c.server.hasRun(token)
	c.check(err != nil || ran, "%s succeeded that the server did not take", name)
	c.check(!errors.As(err, &refused) || !ran, "%s refused that the server took: %v", name, err)
	c.check(c.server.copies || err == nil == ran, "%s without copies: taken %t, error %v", name, ran, err)
}

func (c *drawnClient) checkRequest(token string, answer *Answer, err error, closeEarly bool) {
	if err != nil {
		c.check(c.server.copies || NotRun(err), "a request without copies: %v", err)
		c.mu.Lock()
		defer c.mu.Unlock()
		if NotRun(err) {
			c.refused = append(c.refused, token)
		} else {
			c.unknown++
		}
		return
	}
	defer answer.Body.Close()
	if closeEarly {
		return
	}
	text, err := io.ReadAll(answer.Body)
	// A plain service's refusal with a status of its own is returned as it is.
	own := string(text) == token && c.server.hasRun(token)
	c.check(err != nil || own, "answer %d %q to %s", answer.Status, text, strings.TrimSuffix(token, "-"))
}

// Guards against copies of earlier answers, at any time, that make a request which runs count as not run, or reach
// another request or call; and against honest refusals of which it is not known that they are.
func TestNoCopyIsTakenForAnAnswer(t *testing.T) {
	for seed := range uint64(drawnSeeds) {
		copies := seed%4 != 0
		t.Run(fmt.Sprintf("seed %d, copies %t", seed, copies), func(t *testing.T) {
			s := startDrawnServer(t, seed, copies)
			client := NewClient(time.Second)
			c := &drawnClient{
				t: t, server: s, engine: NewOpenAI(s.address, client), service: NewService(s.address, "/ready", client),
				draw: rand.New(rand.NewPCG(seed, 2)),
			}
			var workers sync.WaitGroup
			for range drawnWorkers {
				workers.Go(func() {
					for range drawnSteps {
						c.step(t.Context())
					}
				})
			}
			workers.Wait()
			time.Sleep(drawnSettleTime)
			for _, token := range c.refused {
				c.check(!s.hasRun(token), "a request that ran counts as not run: %s", token)
			}
			t.Logf("%d copies, %d requests refused, %d of unknown outcome", s.sent, len(c.refused), c.unknown)
			is.New(t).True(len(c.refused) > 0)
		})
	}
}
