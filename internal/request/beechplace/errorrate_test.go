package beechplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against servers that answer with errors at once and receive most requests, since they
// are never busy.
func TestServersThatFailAtOnceDoNotAttractRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.reportAll(nil)
	type running struct {
		attempt *Attempt
		endsAt  time.Time
	}
	var streams []running
	served := 0
	for i := range 200 {
		call := newCall(fmt.Sprint("s", i), 0, 300)
		call.Parts = nil
		choice := f.choose(t, call)
		attempt := f.StartAttempt(call, choice)
		if choice.Server.ID == "e02" {
			served++
			streams = append(streams, running{attempt, f.clock.Now().Add(400 * time.Millisecond)})
		} else {
			attempt.Done(Errored)
		}
		f.clock.Advance(10 * time.Millisecond)
		for len(streams) > 0 && !streams[0].endsAt.After(f.clock.Now()) {
			streams[0].attempt.Done(Answered)
			streams = streams[1:]
		}
	}
	t.Logf("%d of 200 requests went to the server that works", served)
	is.True(served >= 160) // no more than a fifth of all requests may be retried
}

// Guards against a server that works again and stays without requests.
func TestServerThatWorksAgainReceivesRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.reportAll(nil)
	failed := 0
	for i := range 100 {
		call := newCall(fmt.Sprint("s", i), 0, 300)
		call.Parts = nil
		choice := f.choose(t, call, "e01") // in the other zone
		attempt := f.StartAttempt(call, choice)
		if choice.Server.ID == "e00" && failed < 8 {
			failed++
			attempt.Done(Errored)
		} else {
			attempt.Done(Answered)
		}
		f.clock.Advance(10 * time.Millisecond)
	}
	f.clock.Advance(5 * time.Second)
	received := 0
	for i := range 100 {
		call := newCall(fmt.Sprint("r", i), 0, 300)
		call.Parts = nil
		choice := f.choose(t, call, "e01") // in the other zone
		if choice.Server.ID == "e00" {
			received++
		}
		f.StartAttempt(call, choice).Done(Answered)
	}
	t.Logf("%d of 100 requests went to the server that failed before", received)
	is.True(received >= 40)
}

// One request fails by its own fault and is not tried again. Other callers must stay with the server
// that caches their prompts.
func TestSingleErrorMovesNoOtherCaller(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.reportAll(nil)
	call := newCall("s", 300, 30)
	first := f.choose(t, call)
	f.StartAttempt(call, first).Done(Answered)
	for _, outcome := range []Outcome{Errored, Failed} {
		f.clock.Advance(10 * time.Second)
		f.reportAll(nil)
		is.Equal(f.choose(t, call).Server.ID, first.Server.ID)
		f.StartAttempt(newCall("invalid", 0, 30), first).Done(outcome)
		is.Equal(f.choose(t, call).Server.ID, first.Server.ID)
	}
}
