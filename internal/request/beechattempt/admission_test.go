package beechattempt

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
)

// promptCall returns a call with a long prompt of the given route priority.
func promptCall(f *fixture, id string, priority int, objective time.Duration) *beechcall.Call {
	route := &beechcall.Route{Name: fmt.Sprint("r", priority), RetryPolicy: beechcall.Repeatable, Stream: true, Objective: objective, MaxAttempts: 2, Priority: priority}
	return &beechcall.Call{
		ID: id, Route: route, Service: "llm", Model: "m", Parts: []beechcall.Part{{ID: "s", Tokens: 1000}, {ID: id, Tokens: 3000}}, PromptTokens: 4000,
		Deadline: f.clock.Now().Add(10 * time.Second), Workspace: beechcall.Workspace{Name: "w", Priority: -1},
	}
}

// setEngines makes the servers engines of a model.
func (f *fixture) setEngines() {
	servers := slices.Clone(f.servers)
	for i := range servers {
		servers[i].Service, servers[i].Slots, servers[i].Weights = "llm", 64, map[string]uint64{"m": 1}
	}
	f.placer.SetServers(servers)
	f.servers = servers
}

// report makes all servers report what they run and the prompt tokens that they still have to prefill.
func (f *fixture) report(number uint32, running, waiting, reading int) {
	for _, s := range f.servers {
		f.placer.UpdateState(beechplace.State{Number: number, Address: s.Address, Weights: map[string]uint64{"m": 1}, Running: running, Waiting: waiting, Reading: reading, CacheUsed: 1000 * running, CacheTotal: 100_000})
	}
}

// tellSlowness makes servers answer with the load of a host that they share.
func tellSlowness(slowness int) step {
	return func(context.Context, beechcall.Attempt) (*beechcall.Answer, error) {
		return &beechcall.Answer{
			Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(event(1))), Load: beechcall.Load{Known: true, Running: 1, Slots: 64, Slowness: slowness},
		}, nil
	}
}

// While engines are full, less urgent calls are refused without being sent, and served again as soon as
// room is back. The most urgent are served all the time.
func TestLessUrgentCallsAreRefusedWhileRoomIsShort(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 5, tellSlowness(100))
	f.setEngines()
	f.report(1, 2, 0, 0)
	for _, id := range []string{"a", "a2"} { // the first answer tells that the host is shared
		is.Equal(f.serve(context.Background(), promptCall(f, id, 0, 500*time.Millisecond)).status, 200)
	}
	is.Equal(f.serve(context.Background(), promptCall(f, "b", 2, 1500*time.Millisecond)).status, 200)
	f.report(2, 60, 6, 30_000)
	sent := len(f.backend.sent)
	refused := f.serve(context.Background(), promptCall(f, "c", 2, 1500*time.Millisecond))
	rejection, ok := refused.rejection.(NotExecuted)
	is.True(ok)
	is.Equal(rejection.Reason, reasonNoRoom)
	is.True(rejection.RetryAfter > 0)
	is.Equal(len(f.backend.sent), sent)
	f.report(3, 2, 0, 0)
	is.Equal(f.serve(context.Background(), promptCall(f, "d", 2, 1500*time.Millisecond)).status, 200)
}

// Guards against a change for services whose servers do not say that they share their hosts: the same calls
// are sent to the same servers, however full these are.
func TestServicesThatAreNotControlledAreServedAsBefore(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 5, tellSlowness(0))
	f.setEngines()
	for i := range 30 {
		f.report(uint32(i+1), 60, 6, 30_000)
		for _, priority := range []int{0, 2} {
			call := promptCall(f, fmt.Sprint(i, priority), priority, 500*time.Millisecond)
			want, ok := f.placer.Choose(call, nil)
			is.True(ok)
			got, short := (&execution{dispatcher: f.dispatcher, call: call}).admit(want)
			is.Equal(short, nil)
			is.Equal(got, want)
			is.Equal(f.serve(context.Background(), call).status, 200)
			is.Equal(f.backend.sent[len(f.backend.sent)-1].Server.ID, want.Server.ID)
		}
	}
	is.Equal(len(f.dispatcher.admission.States()), 0)
	demands, controls := f.dispatcher.admission.TakeDemands()
	is.Equal(len(demands), 0)
	is.True(!controls)
}

// A stream to be resumed is never refused for room: engines have worked on it.
func TestResumedStreamsAreAdmitted(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 5, tellSlowness(100))
	f.setEngines()
	f.report(1, 2, 0, 0)
	is.Equal(f.serve(context.Background(), promptCall(f, "a", 0, 500*time.Millisecond)).status, 200)
	f.report(2, 60, 6, 30_000)
	call := promptCall(f, "b", 2, 1500*time.Millisecond)
	call.LastEventID = "7"
	choice, ok := f.placer.Choose(call, nil)
	is.True(ok)
	_, short := (&execution{dispatcher: f.dispatcher, call: call}).admit(choice)
	is.Equal(short, nil)
}

// Urgent calls that are refused as too late were not counted: after two seconds their rank seemed to
// ask for nothing, and less urgent calls filled the engines that were too slow for it.
func TestCallsThatWouldBeTooLateStayInDemand(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 5, tellSlowness(100))
	f.setEngines()
	f.report(1, 2, 0, 0)
	for _, id := range []string{"a", "a2"} {
		is.Equal(f.serve(context.Background(), promptCall(f, id, 0, 500*time.Millisecond)).status, 200)
	}
	f.dispatcher.admission.TakeDemands()
	f.report(2, 60, 6, 200_000)
	refused := f.serve(context.Background(), promptCall(f, "b", 0, 500*time.Millisecond))
	rejection, ok := refused.rejection.(NotExecuted)
	is.True(ok)
	is.Equal(rejection.Reason, "no server would answer in time")
	demands, _ := f.dispatcher.admission.TakeDemands()
	is.True(len(demands) > 0)
	is.Equal(demands[0].Refused, int64(1))
}
