package beechentry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

type (
	// postResult is the response to a completion.
	postResult struct {
		status int
		body   string
		err    error
	}
)

// newStartingEntry returns an entry whose startup lasts until the clock is advanced.
func newStartingEntry(t *testing.T, a *linkedAgent) (*Entry, *clockwork.FakeClock) {
	e := newTestEntry(t, a)
	clock := clockwork.NewFakeClock()
	e.startup = newStartup(clock)
	return e, clock
}

// serveCallers serves callers until the test ends, without the entry's other tasks.
func serveCallers(t *testing.T, e *Entry) {
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = e.http.Serve(e.listener)
	}()
	t.Cleanup(func() {
		is.New(t).NoErr(e.http.Close())
		<-served
		e.fleet.close()
	})
}

// startPost sends a completion in the background.
func startPost(ctx context.Context, e *Entry, timeout string) <-chan postResult {
	ended := make(chan postResult, 1)
	go func() {
		var r postResult
		r.status, r.body, r.err = sendCompletion(ctx, e, timeout)
		ended <- r
	}()
	return ended
}

func sendCompletion(ctx context.Context, e *Entry, timeout string) (int, string, error) {
	request, err := newCompletion(ctx, e)
	if err != nil {
		return 0, "", err
	}
	if timeout != "" {
		request.Header.Set(headerTimeout, timeout)
	}
	return do(request)
}

// awaitWaiting returns once a request waits for the startup, and fails the test
// if the request ends instead.
func awaitWaiting(t *testing.T, clock *clockwork.FakeClock, ended <-chan postResult) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	waiting := make(chan error, 1)
	go func() { waiting <- clock.BlockUntilContext(ctx, 1) }()
	select {
	case r := <-ended:
		t.Fatalf("ended instead of waiting: %d %s %v", r.status, r.body, r.err)
	case err := <-waiting:
		is.New(t).NoErr(err)
	}
}

// TestCallAtStartWaitsForConfiguration guards against refusing the calls that reach
// an entry between its start and its first configuration.
func TestCallAtStartWaitsForConfiguration(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent(t)
	e, clock := newStartingEntry(t, a)
	serveTestEntry(t, e)
	<-a.asked
	ended := startPost(t.Context(), e, "")
	awaitWaiting(t, clock, ended)
	close(a.release)
	r := <-ended
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusOK)
	is.Equal(e.Status().Counts["unconfigured"], int64(0))
}

// TestCallAtStartWaitsForLimits guards against refusing the calls that reach an entry
// whose limits are not in force yet.
func TestCallAtStartWaitsForLimits(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent(t)
	e, clock := newStartingEntry(t, a)
	e.startup.begin()
	e.fleet.linkSeeds()
	serveCallers(t, e)
	close(a.release)
	waitUntil(t, "a configuration", func() bool { return e.holder.Current() != nil })
	ended := startPost(t.Context(), e, "")
	awaitWaiting(t, clock, ended)
	e.applyConfiguration(e.holder.Current())
	r := <-ended
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusOK)
}

// TestCallAtStartWaitsForServers guards against refusing with no_server the calls that
// reach an entry before its first servers can be chosen.
func TestCallAtStartWaitsForServers(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent(t)
	close(a.release)
	e, clock := newStartingEntry(t, a)
	e.startup.begin()
	serveCallers(t, e)
	_, err := e.holder.Offer(testGeneration, a.configuration)
	is.NoErr(err)
	e.applyConfiguration(e.holder.Current())
	ended := startPost(t.Context(), e, "")
	awaitWaiting(t, clock, ended)
	e.fleet.linkSeeds()
	r := <-ended
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusOK)
}

// TestCallerLeavesAtStart guards against keeping the request of a caller that left
// while it waited for a server.
func TestCallerLeavesAtStart(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent(t)
	e, clock := newStartingEntry(t, a)
	e.startup.begin()
	serveCallers(t, e)
	_, err := e.holder.Offer(testGeneration, a.configuration)
	is.NoErr(err)
	e.applyConfiguration(e.holder.Current())
	ctx, leave := context.WithCancel(t.Context())
	ended := startPost(ctx, e, "")
	awaitWaiting(t, clock, ended)
	leave()
	<-ended
	waitUntil(t, "the end of the request", func() bool { return e.openRequests.Load() == 0 })
}

// TestStartupEnds guards against an entry that makes callers wait although it has not
// read its configuration in time.
func TestStartupEnds(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent(t)
	e, clock := newStartingEntry(t, a)
	serveTestEntry(t, e)
	<-a.asked
	first := startPost(t.Context(), e, "")
	awaitWaiting(t, clock, first)
	clock.Advance(startupWait - 1)
	awaitWaiting(t, clock, first)
	clock.Advance(1)
	for _, ended := range []<-chan postResult{first, startPost(t.Context(), e, "")} {
		r := <-ended
		is.NoErr(r.err)
		is.Equal(r.status, http.StatusServiceUnavailable)
		is.True(strings.Contains(r.body, `"no_configuration"`))
	}
	is.Equal(e.Status().Counts["unconfigured"], int64(2))
}

// TestCallerDeadlineAtStart guards against waiting longer than the caller does.
func TestCallerDeadlineAtStart(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent(t)
	e, clock := newStartingEntry(t, a)
	serveTestEntry(t, e)
	<-a.asked
	ended := startPost(t.Context(), e, "100")
	awaitWaiting(t, clock, ended)
	clock.Advance(100 * time.Millisecond)
	r := <-ended
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(r.body, `"no_configuration"`))
}

// TestWaitAtStartShortensDeadline guards against giving an attempt the time that its
// caller has spent waiting for the startup.
func TestWaitAtStartShortensDeadline(t *testing.T) {
	is := is.New(t)
	j := &job{timeout: time.Second}
	j.shortenTimeout(200 * time.Millisecond)
	is.Equal(j.timeout, 800*time.Millisecond)
	j.shortenTimeout(time.Second)
	is.Equal(j.timeout, time.Millisecond) // 0 would mean no deadline
	j = &job{}
	j.shortenTimeout(time.Second)
	is.Equal(j.timeout, time.Duration(0))
}

// TestShutdownAtStart guards against a graceful shutdown that waits for calls that
// wait for the startup.
func TestShutdownAtStart(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent(t)
	e, clock := newStartingEntry(t, a)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- e.Serve(ctx) }()
	<-a.asked
	ended := startPost(t.Context(), e, "")
	awaitWaiting(t, clock, ended)
	stop()
	r := <-ended
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.NoErr(<-stopped)
}
