package beechplace

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechsaturation"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// Another gate reports the plain servers of this zone as overloaded. Those of the other zone
// are chosen until they are overloaded too; then the nearest ones are chosen again.
func TestOverloadedServersAreChosenLast(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	call := &beechcall.Call{Service: "app", Route: route}
	other := beechsaturation.New(f.clock, func() {})
	is.Equal(f.choose(t, call).Server.Zone, "a")
	for _, s := range f.servers {
		if s.Service == "app" && s.Zone == "a" {
			other.Rejected(s.ID, 0)
		}
	}
	f.Placer.overloaded.ApplyUpdate(other.NextUpdate())
	is.Equal(f.choose(t, call).Server.Zone, "b")
	for _, s := range f.servers {
		other.Rejected(s.ID, 0)
	}
	f.Placer.overloaded.ApplyUpdate(other.NextUpdate())
	is.Equal(f.choose(t, call).Server.Zone, "a")
}

// A server rejects a request and asks for a retry after one second. It is the last choice for
// that time, or until it completes a newer request.
func TestServerRetryAfterIsHonored(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	call := &beechcall.Call{Service: "app", Route: route}
	c := f.choose(t, call)
	attempt := f.StartAttempt(call, c)
	attempt.Done(Rejected)
	f.ObserveRejection(c.Server.ID, beechcall.NotExecuted{Status: 503, Backoff: time.Second}, "")
	f.clock.Advance(900 * time.Millisecond)
	next := f.choose(t, call)
	is.True(next.Server.ID != c.Server.ID)
	last := f.choose(t, call, next.Server.ID)
	is.Equal(last.Server.ID, c.Server.ID)
	f.StartAttempt(call, last).Done(Answered)
	is.Equal(f.choose(t, call).Server.ID, c.Server.ID)
}

// While a keeper reports, a rejection must not mark its server as overloaded for other gates:
// the report is more recent.
func TestRejectionIsNotSharedWhileKeeperReports(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.reportAll(nil)
	call := newCall("s", 300, 100)
	c := f.choose(t, call)
	attempt := f.StartAttempt(call, c)
	attempt.Done(Rejected)
	f.ObserveRejection(c.Server.ID, beechcall.NotExecuted{Status: 503}, "m")
	is.Equal(len(f.Placer.overloaded.NextUpdate()), 0)
}

// A server reports in its response that it is busy with requests of other gates. The next
// request goes to another server, until the reported load has expired.
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
