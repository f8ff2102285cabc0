package beechplace

import (
	"testing"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// A server's answer says that it leaves, and its entry vanishes and returns as ready. It must
// get no requests until it has started again under its ID.
func TestLeavingByAnswerOutlivesTheServerList(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	call := &beechcall.Call{Service: "app", Route: route}
	servers := []beechcall.Server{f.servers[1]}
	servers[0].Born = 1
	f.SetServers(servers)
	c := f.choose(t, call)
	attempt, other := f.StartAttempt(call, c), f.StartAttempt(call, c)
	is.True(attempt.ObserveLeaving())
	is.True(!other.ObserveLeaving()) // logged once
	other.Done(Answered)
	is.True(!f.StillUsable(call, c))
	for _, list := range [][]beechcall.Server{servers, nil, servers} {
		f.SetServers(list)
		_, ok := f.Choose(call, nil)
		is.True(!ok)
	}
	servers[0].Born = 2
	f.SetServers(servers)
	f.choose(t, call)
}

// Servers that are replaced all day must not fill the memory of a gate.
func TestLeavingServersAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for i := range 3 * maxLeaving {
		s := f.servers[1]
		s.ID = string(rune(i + 1))
		f.SetServers([]beechcall.Server{s})
		call := &beechcall.Call{Service: "app", Route: route}
		f.StartAttempt(call, f.choose(t, call)).ObserveLeaving()
	}
	is.True(len(f.answeredLeaving) <= maxLeaving)
}
