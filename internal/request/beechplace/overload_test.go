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

// A server rejects a request and asks for none within one second. It gets none in that time,
// whether its keeper reports or not; a call that no other server can take is refused until then.
func TestServerRetryAfterIsHonored(t *testing.T) {
	for _, reported := range []bool{false, true} {
		is := is.New(t)
		f := newFleet(2)
		call := &beechcall.Call{Service: "app", Route: route}
		if reported {
			call = newCall("s", 0, 100)
			f.reportAll(nil)
		}
		c := f.choose(t, call)
		attempt := f.StartAttempt(call, c)
		remaining, seen := attempt.ObserveBackoff(time.Second)
		is.Equal(remaining, time.Duration(0))
		is.Equal(seen, reported)
		attempt.Done(Rejected)
		f.ObserveRejection(c.Server.ID, beechcall.NotExecuted{Status: 503, Backoff: time.Second}, "")
		is.True(!f.StillUsable(call, c))
		f.clock.Advance(900 * time.Millisecond)
		if reported {
			f.reportAll(nil)
		}
		next := f.choose(t, call)
		is.True(next.Server.ID != c.Server.ID)
		last, ok := f.Choose(call, []string{next.Server.ID})
		is.True(!ok)
		is.Equal(last.RetryAfter, time.Duration(0)) // the server that was tried may accept the call sooner
		other := f.StartAttempt(call, next)
		other.ObserveBackoff(5 * time.Second)
		other.Done(Rejected)
		last, ok = f.Choose(call, nil)
		is.True(!ok)
		is.True(last.BackingOff)
		is.Equal(last.RetryAfter, 100*time.Millisecond)
		after := f.RetryAfter(call.Service, last.RetryAfter)
		is.True(after >= last.RetryAfter && after <= last.RetryAfter+retrySpread)
		f.clock.Advance(last.RetryAfter)
		last = f.choose(t, call)
		is.Equal(last.Server.ID, c.Server.ID)
		f.StartAttempt(call, last).Done(Answered)
		is.Equal(f.choose(t, call).Server.ID, c.Server.ID)
	}
}

// Answers to requests that were sent before must not end the time that a server has named.
func TestAnswerDoesNotEndRetryAfter(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	call := &beechcall.Call{Service: "app", Route: route}
	c := f.choose(t, call)
	rejected, answered := f.StartAttempt(call, c), f.StartAttempt(call, c)
	rejected.ObserveBackoff(time.Second)
	rejected.Done(Rejected)
	answered.Done(Answered)
	is.True(f.choose(t, call).Server.ID != c.Server.ID)
}

// A server asks for no requests between the choice and the sending of a call. The call must not
// be sent there.
func TestRetryAfterIsCheckedWhenSending(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	call := &beechcall.Call{Service: "app", Route: route}
	c := f.choose(t, call)
	first := f.StartAttempt(call, c)
	f.StartAttempt(call, c)
	is.True(f.StillUsable(call, c))
	first.ObserveBackoff(time.Second)
	is.True(!f.StillUsable(call, c))
}

// A server's entry vanishes and returns while the platform's store is unavailable. The time that
// the server has named still counts, but not for a new lifetime under the same ID.
func TestRetryAfterOutlivesTheServerList(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	call := &beechcall.Call{Service: "app", Route: route}
	servers := []beechcall.Server{f.servers[1]}
	servers[0].Born = 1
	f.SetServers(servers)
	f.StartAttempt(call, f.choose(t, call)).ObserveBackoff(time.Minute)
	f.SetServers(nil)
	f.SetServers(servers)
	_, ok := f.Choose(call, nil)
	is.True(!ok)
	servers[0].Born = 2
	f.SetServers(servers)
	f.choose(t, call)
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
