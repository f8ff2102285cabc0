package beechplace

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechbackup"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// A copy takes a slot at its engine too, which would be filled with copies for which there are none, though
// it has memory to spare. Placing of requests does not count copies.
func TestCopiesOccupySlots(t *testing.T) {
	is := is.New(t)
	const slots = 10
	f := newFleet(2)
	for i := range f.servers {
		f.servers[i].Slots, f.servers[i].Software = slots, "v1"
	}
	f.SetServers(f.servers)
	f.SetConfiguration(&beechcall.Configuration{Services: map[string]beechcall.Service{"llm": {Name: "llm", CopiesRuns: true, TokenBytes: 131072, LinkRate: 10e6}}})
	f.reportAll(nil)
	call := &beechcall.Call{ID: "id", Service: "llm", Model: "m", Route: route, PromptTokens: 800, OutputTokens: 120}
	source := f.choose(t, call)
	backup := func() (*Backup, beechbackup.Reason) { return f.Backup(call, source, beechbackup.On, 2*time.Second) }
	var copies []*Backup
	for range slots {
		b, reason := backup()
		is.Equal(reason, beechbackup.Reason(""))
		copies = append(copies, b)
	}
	is.Equal(len(copies), slots)
	_, reason := backup()
	is.Equal(reason, beechbackup.NoEngine)
	is.Equal(f.estimatedLoad(f.byID[copies[0].Server.ID]), 0.)
	copies[0].Done()
	b, _ := backup()
	is.True(b != nil)
}
