package beechentry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/state/beechmanifest"
)

// lateAnswer is what a caller saw whose request was sent to an entry host that stops.
type lateAnswer struct {
	name   string
	sentAt time.Duration // the last byte, after the signal
	status int
	body   string
	err    error
	at     time.Duration // after the signal
}

const (
	stopGrace = 2 * time.Second
	startLine = "POST /v1/chat/completions HTTP/1.1\r\n"
)

// sendLate sends a completion whose first line was sent before, and reads the answer.
func sendLate(c net.Conn, a *lateAnswer, timeout time.Duration, parts bool) {
	body := `{"model":"fit-advisor","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"Which size?"}]}`
	head := fmt.Sprintf("Host: h\r\nAuthorization: Bearer loop-key\r\nContent-Length: %d\r\n", len(body))
	if timeout > 0 {
		head += fmt.Sprintf("%s: %d\r\n", headerTimeout, timeout.Milliseconds())
	}
	_ = c.SetDeadline(time.Now().Add(testLimit))
	go func() {
		_, _ = io.WriteString(c, head+"\r\n")
		half := len(body) / 2
		_, _ = io.WriteString(c, body[:half])
		if parts {
			time.Sleep(stopGrace / 10)
		}
		_, _ = io.WriteString(c, body[half:])
	}()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.err = err
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a.status, a.body, a.err = response.StatusCode, string(data), err
}

// A request that a stopping entry host has taken must not end with its connection: its caller could not tell
// whether it may be sent again.
func TestRequestsLateInTheGraceAreAnswered(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent(t)
	close(a.release)
	e := newTestEntry(t, a)
	e.settings.Limits.Grace = beechsettings.Duration(stopGrace)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Serve(ctx) }()
	waitUntil(t, "the entry to be ready", e.ready)
	waitUntil(t, "an answer", func() bool {
		status, _, err := sendCompletion(t.Context(), e, "")
		return err == nil && status == http.StatusOK
	})
	a.silent.Store(true)
	t.Cleanup(func() { close(a.quit) })
	before := a.opened.Load()
	var answers []*lateAnswer
	var sent sync.WaitGroup
	signalled := time.Now()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", e.listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	send := func(at, timeout time.Duration, parts bool) {
		answer := &lateAnswer{name: fmt.Sprintf("at %s, timeout %s, parts %t", at, timeout, parts), sentAt: at}
		if parts {
			answer.sentAt += stopGrace / 10
		}
		answers = append(answers, answer)
		c := dial()
		_, _ = io.WriteString(c, startLine) // keeps the connection open
		sent.Go(func() {
			time.Sleep(at)
			sendLate(c, answer, timeout, parts)
			answer.at = time.Since(signalled)
		})
	}
	stop()
	for tenth := range time.Duration(10) {
		for _, timeout := range []time.Duration{0, time.Minute, stopGrace / 5} {
			for _, parts := range []bool{false, true} {
				send(tenth*stopGrace/10, timeout, parts)
			}
		}
	}
	<-ended
	took := time.Since(signalled)
	if took >= stopGrace {
		t.Errorf("ended after %s, the grace is %s", took, stopGrace)
	}
	sent.Wait()
	statuses, mayHaveRun := make(map[string]int), 0
	for _, answer := range answers {
		statuses[fmt.Sprint(answer.status)]++
		switch {
		case answer.status == 0 && answer.sentAt >= took:
			continue // not read
		case answer.err != nil || answer.at > took:
			t.Errorf("%s: no answer before the end of the process: %d, %v, after %s", answer.name, answer.status, answer.err, answer.at)
		case !strings.Contains(answer.body, `"ran":"no"`):
			mayHaveRun++
		}
	}
	if opened := int(a.opened.Load() - before); opened != mayHaveRun {
		t.Errorf("%d requests reached a server, %d callers were told that theirs may have run", opened, mayHaveRun)
	}
	t.Logf("%v", statuses)
}

// An entry host that ends must not record that an outcome is unknown whose request goes on at its agent: the
// agent records the outcome, and repeats are told that.
func TestOutcomeThatTheAgentWillKnowIsLeftToIt(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent(t)
	close(a.release)
	e := newTestEntry(t, a)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	waitUntil(t, "the entry to be ready", e.ready)
	j := &job{workspace: &beechmanifest.Workspace{}, sentTo: generationRef{agent: a.address, requestID: "booking"}}
	j.request.ID, j.request.Claim, j.request.RecordKey = "booking", "claim", "key"
	e.draining.Store(true)
	e.end()
	e.recordOutcomeLater(j)
	is.Equal(a.finished.Load(), int32(0))
}

// The caller of a run that an agent cuts at the end of its own stop must be told that it may have run.
func TestRunsCutByAStoppingAgentAreAnswered(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent(t)
	close(a.release)
	e := newTestEntry(t, a)
	serveTestEntry(t, e)
	waitUntil(t, "the entry to be ready", e.ready)
	waitUntil(t, "an answer", func() bool {
		status, _, err := sendCompletion(t.Context(), e, "")
		return err == nil && status == http.StatusOK
	})
	a.silent.Store(true)
	t.Cleanup(func() { close(a.quit) })
	before := a.opened.Load()
	answered := make(chan string, 1)
	go func() {
		_, body := post(t, e)
		answered <- body
	}()
	waitUntil(t, "the run", func() bool { return a.opened.Load() > before })
	drained, cancel := context.WithTimeout(t.Context(), stopGrace/10)
	defer cancel()
	is.True(a.server.Drain(drained) != nil)
	body := <-answered
	is.True(strings.Contains(body, `"ran":"unknown"`))
	is.Equal(a.opened.Load(), before+1)
}
