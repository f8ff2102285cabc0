package beechagent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechsurvival"
	"github.com/beechring/beechring/internal/process/beechbackend"
)

// startUnframedService starts a service that sends an answer without a length, ends its connection, and
// exits with it or goes on.
func startUnframedService(t *testing.T, exits bool) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				if exits {
					_ = l.Close()
				}
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\nhalf")
			}
			_ = c.Close()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// Guards against half of an answer of a plain service that exits being passed on as a whole one.
func TestUnframedAnswerOfAServiceThatExits(t *testing.T) {
	for _, exits := range []bool{false, true} {
		is := is.New(t)
		a := newBackoffAgent(t)
		a.clock = clockwork.NewRealClock()
		a.survivals = beechsurvival.New(dialer{}, a.clock)
		a.settings.Backend = startUnframedService(t, exits)
		a.settings.Limits.AnswerBytes = 1 << 20
		a.answers = newAnswerMemory(a.settings)
		service := beechbackend.NewService(a.settings.Backend, "", beechbackend.NewClient(time.Second))
		answer, err := service.Relay(context.Background(), beechbackend.RelayRequest{RequestID: "r", Method: http.MethodGet, Path: "/"})
		is.NoErr(err)
		g := newTestGeneration(a.clock, "r", 0)
		g.request.Service = "parcels"
		attempt := &attempt{agent: a, generation: g}
		err = attempt.copyBody(answer)
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		is.Equal(errors.Is(err, beechsurvival.ErrExited), exits)
		is.Equal(g.lastSequence() > 0, !exits)
	}
}
