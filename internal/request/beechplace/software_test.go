package beechplace

import (
	"testing"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechorigin"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

func softwareFleet(born ...uint64) (*fleet, []beechcall.Server) {
	f := newFleet(len(born))
	servers := append([]beechcall.Server(nil), f.servers...)
	for i := range servers {
		servers[i].Software, servers[i].Revision = "v1", 1
		servers[i].Born = born[i/2]
	}
	return f, servers
}

// A stream that has begun goes on only at servers of its version.
func TestContinuedStreamIsSentToItsVersion(t *testing.T) {
	is := is.New(t)
	f, servers := softwareFleet(1, 1, 1)
	servers[0].Software = "v2" // e00
	servers[2].Software = ""   // e01
	f.SetServers(servers)
	call := newCall("s", 0, 10)
	call.Parts = nil
	for _, test := range []struct {
		software string
		want     []string
	}{{"v1", []string{"e02"}}, {"v2", []string{"e00"}}, {"v3", nil}, {"", nil}} {
		call.Origin = &beechorigin.Origin{Service: call.Service, Software: test.software}
		var got, tried []string
		for c, ok := f.Choose(call, tried); ok; c, ok = f.Choose(call, tried) {
			got, tried = append(got, c.Server.ID), append(tried, c.Server.ID)
			is.Equal(f.Software(c), test.software)
			is.True(f.StillUsable(call, c))
		}
		is.Equal(got, test.want)
	}
}

// An engine starts again under its ID. Until its entry is written again, its software is not known.
func TestSoftwareIsInDoubtAfterARestart(t *testing.T) {
	is := is.New(t)
	f, servers := softwareFleet(5)
	f.SetServers(servers)
	call := newCall("s", 0, 10)
	call.Parts = nil
	call.Origin = &beechorigin.Origin{Service: call.Service, Software: "v1"}
	c := f.choose(t, call)
	f.UpdateState(State{Number: 1, Address: servers[0].Address, Phase: beechrollout.Serving, Weights: map[string]uint64{"m": 1}, Born: 9})
	is.True(!f.StillUsable(call, c))
	is.Equal(f.Software(c), "")
	_, ok := f.Choose(call, nil)
	is.True(!ok)
	f.SetServers(servers) // the entry of the lifetime before is read again
	_, ok = f.Choose(call, nil)
	is.True(!ok)
	servers[0].Born, servers[0].Revision, servers[0].Software = 9, 2, "v2"
	f.SetServers(servers)
	_, ok = f.Choose(call, nil)
	is.True(!ok)
	call.Origin.Software = "v2"
	_, ok = f.Choose(call, nil)
	is.True(ok)
	is.Equal(f.Software(c), "") // of the choice before the restart
}
