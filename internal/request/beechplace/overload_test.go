package beechplace

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechroom"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// Another gate tells that the plain servers of this zone are full. Those of the other zone
// are chosen, until all are full: then the nearest, as before.
func TestOverloadedServersAreChosenLast(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	call := &beechcall.Call{Service: "app", Route: route}
	other := beechroom.New(f.clock, func() {})
	is.Equal(f.choose(t, call).Server.Zone, "a")
	for _, s := range f.servers {
		if s.Service == "app" && s.Zone == "a" {
			other.TurnedAway(s.ID, 0)
		}
	}
	f.Placer.overloaded.Hear(other.Word())
	is.Equal(f.choose(t, call).Server.Zone, "b")
	for _, s := range f.servers {
		other.TurnedAway(s.ID, 0)
	}
	f.Placer.overloaded.Hear(other.Word())
	is.Equal(f.choose(t, call).Server.Zone, "a")
}

// A server turns a request of this gate away and asks for a second. It is the last choice
// for as long, until it answers a newer request.
func TestServerRetryAfterIsHonored(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	call := &beechcall.Call{Service: "app", Route: route}
	c := f.choose(t, call)
	attempt := f.StartAttempt(call, c)
	attempt.Done(Rejected)
	f.ObserveRejection(c.Server.ID, beechcall.NotExecuted{Status: 503, RetryAfter: time.Second}, "")
	f.clock.Advance(900 * time.Millisecond)
	next := f.choose(t, call)
	is.True(next.Server.ID != c.Server.ID)
	last := f.choose(t, call, next.Server.ID)
	is.Equal(last.Server.ID, c.Server.ID)
	f.StartAttempt(call, last).Done(Answered)
	is.Equal(f.choose(t, call).Server.ID, c.Server.ID)
}

// A keeper that speaks knows better than an answer that is a moment old.
func TestRejectionIsNotSharedWhileKeeperReports(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.reportAll(nil)
	call := newCall("s", 300, 100)
	c := f.choose(t, call)
	attempt := f.StartAttempt(call, c)
	attempt.Done(Rejected)
	f.ObserveRejection(c.Server.ID, beechcall.NotExecuted{Status: 503}, "m")
	is.Equal(len(f.Placer.overloaded.Word()), 0)
}

// A server says with its answers that it is busy with others' requests. The next request
// goes to one that is not; after a while what it said counts no more.
func TestLoadReportedInAnswers(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	call := &beechcall.Call{Service: "app", Route: route}
	c := f.choose(t, call)
	attempt := f.StartAttempt(call, c)
	attempt.ObserveLoad(beechcall.Load{Known: true, Running: 6, Waiting: 2, Slots: 6})
	attempt.Done(Answered)
	next := f.choose(t, call)
	is.True(next.Server.ID != c.Server.ID)
	is.Equal(next.Server.Zone, c.Server.Zone)
	f.clock.Advance(answerLoadTTL)
	is.Equal(f.choose(t, call).Server.ID, c.Server.ID)
}
