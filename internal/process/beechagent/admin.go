package beechagent

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"sync/atomic"

	"github.com/beechring/beechring/internal/decision/beechintake"
	"github.com/beechring/beechring/internal/decision/beechqueue"
	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechadmin"
	"github.com/beechring/beechring/internal/prompt/beechindex"
)

type (
	// counters count events since the start of the process. They are part of
	// Status and published by expvar.
	counters struct {
		Begun     atomic.Int64
		Joined    atomic.Int64
		Refused   atomic.Int64
		Failed    atomic.Int64
		Cancelled atomic.Int64
		Abandoned atomic.Int64
		Crashes   atomic.Int64
	}

	// Status is the state of the agent as published on the admin listener.
	Status struct {
		Name        string             `json:"name"`
		Zone        string             `json:"zone"`
		Address     string             `json:"address"`
		Pool        string             `json:"pool"`
		Incarnation uint64             `json:"incarnation"`
		Generation  uint64             `json:"generation"`
		Ready       bool               `json:"ready"`
		Leaving     bool               `json:"leaving"`
		Offers      []string           `json:"offers"`
		Entries     int                `json:"entries"`
		Queue       beechqueue.State   `json:"queue"`
		Load        beechwire.Load     `json:"load"`
		Cache       beechindex.Counts  `json:"cache"`
		Version     uint64             `json:"cacheVersion"`
		Links       beechlink.Counters `json:"links"`
		Shared      int                `json:"sharedMembers"`
		Kept        int                `json:"keptAnswers"`
		Counts      map[string]int64   `json:"counts"`
		Bodies      beechintake.State  `json:"bodies"` // memory of requests' bodies
	}
)

// Status returns the current state of the agent.
func (a *Agent) Status() Status {
	return Status{
		Name:        a.settings.Name,
		Zone:        a.settings.Zone,
		Address:     a.settings.Listen.String(),
		Pool:        a.settings.Pool,
		Incarnation: a.incarnation,
		Generation:  a.holder.Generation(),
		Ready:       a.ready(),
		Leaving:     a.leaving.Load(),
		Offers:      a.offered(),
		Entries:     a.entryCount(),
		Queue:       a.scheduler.queue.State(),
		Load:        a.wireLoad(),
		Cache:       a.index.Counts(),
		Version:     a.index.Version(),
		Links:       a.server.Counters(),
		Shared:      a.entryHosts.sharedMembers(),
		Kept:        a.generations.size(),
		Counts:      a.counters.values(),
		Bodies:      a.bodies.intake.State(),
	}
}

func (c *counters) values() map[string]int64 {
	return map[string]int64{
		"begun":     c.Begun.Load(),
		"joined":    c.Joined.Load(),
		"refused":   c.Refused.Load(),
		"failed":    c.Failed.Load(),
		"cancelled": c.Cancelled.Load(),
		"abandoned": c.Abandoned.Load(),
		"crashes":   c.Crashes.Load(),
	}
}

// newAdmin opens the admin listener and returns the function that serves it.
func (a *Agent) newAdmin() (func(ctx context.Context) error, error) {
	vars := new(expvar.Map).Init()
	vars.Set("agent", expvar.Func(func() any { return a.Status() }))
	mux := beechadmin.NewMux(a.settings.AdminKey, a.ready, vars)
	mux.Handle("GET /status", beechadmin.RequireKey(a.settings.AdminKey, http.HandlerFunc(a.serveStatus)))
	return beechadmin.Listen(a.settings.Admin, mux)
}

func (a *Agent) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.Status())
}
