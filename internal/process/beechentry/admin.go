package beechentry

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/beechring/beechring/internal/decision/beechhealth"
	"github.com/beechring/beechring/internal/decision/beechintake"
	"github.com/beechring/beechring/internal/link/beechkeepalive"
	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechadmin"
	"github.com/beechring/beechring/internal/process/beechburn"
	"github.com/beechring/beechring/internal/state/beechmember"
)

type (
	// counters are published through expvar and in Status.
	counters struct {
		Requests        atomic.Int64
		Overloaded      atomic.Int64
		Unconfigured    atomic.Int64 // refused because no configuration or no limits were in force
		RefusedStopping atomic.Int64 // refused because the process might end before their deadlines
		EndedByStop     atomic.Int64 // under way when the process ended
		Retries         atomic.Int64
		Broken          atomic.Int64
		Reattached      atomic.Int64
		Joined          atomic.Int64
		Wasted          atomic.Int64
	}

	// Status is the state of an entry for operators.
	Status struct {
		Name        string                `json:"name"`
		Zone        string                `json:"zone"`
		Address     string                `json:"address"`
		Incarnation uint64                `json:"incarnation"`
		Generation  uint64                `json:"generation"`
		Ready       bool                  `json:"ready"`
		Leaving     bool                  `json:"leaving"`
		Watching    bool                  `json:"watching"`
		Linked      int                   `json:"linkedAgents"`
		Serving     int                   `json:"servingAgents"`
		Streams     int64                 `json:"openRequests"`
		Members     []beechmember.Member  `json:"members"`
		Servers     []beechhealth.Status  `json:"servers"`
		Caches      map[string]uint64     `json:"cacheVersions"` // known version of each agent's cache index
		Links       beechlink.Counters    `json:"links"`
		Counts      map[string]int64      `json:"counts"`
		Closings    beechkeepalive.Counts `json:"closings"`   // connections of callers that were closed
		Unanswered  map[string]int64      `json:"unanswered"` // requests without a whole answer, by cause
		Bodies      beechintake.State     `json:"bodies"`     // memory of callers' bodies
		Reset       int64                 `json:"callersReset"`
	}
)

// Status returns the current state.
func (e *Entry) Status() Status {
	return Status{
		Name:        e.settings.Name,
		Zone:        e.settings.Zone,
		Address:     e.settings.Listen.String(),
		Incarnation: e.incarnation,
		Generation:  e.holder.Generation(),
		Ready:       e.ready(),
		Leaving:     e.draining.Load(),
		Watching:    e.isWatcher(),
		Linked:      e.fleet.countUp(),
		Serving:     e.fleet.countServing(),
		Streams:     e.openRequests.Load(),
		Members:     e.fleet.members.Members(),
		Servers:     e.health.Status(),
		Caches:      e.fleet.cacheVersions(),
		Links:       e.fleet.dialer.Counters(),
		Counts:      e.counters.values(),
		Closings:    e.connections.Counts(),
		Unanswered:  e.door.Values(),
		Bodies:      e.intake.State(),
		Reset:       e.bodies.Reset(),
	}
}

// Burn returns a snapshot of this entry's service-level counts.
func (e *Entry) Burn() beechburn.Snapshot { return e.burn.Snapshot() }

// WastedTokens returns the number of prompt tokens computed so far although a
// live server was predicted to hold them.
func (e *Entry) WastedTokens() uint64 { return uint64(e.counters.Wasted.Load()) }

func (c *counters) values() map[string]int64 {
	return map[string]int64{
		"requests":        c.Requests.Load(),
		"overloaded":      c.Overloaded.Load(),
		"unconfigured":    c.Unconfigured.Load(),
		"refusedStopping": c.RefusedStopping.Load(),
		"endedByStop":     c.EndedByStop.Load(),
		"retries":         c.Retries.Load(),
		"broken":          c.Broken.Load(),
		"reattached":      c.Reattached.Load(),
		"joined":          c.Joined.Load(),
		"wasted":          c.Wasted.Load(),
	}
}

// newAdmin opens the admin listener and returns the function that serves it.
func (e *Entry) newAdmin() (func(ctx context.Context) error, error) {
	vars := new(expvar.Map).Init()
	vars.Set("entry", expvar.Func(func() any { return e.Status() }))
	mux := beechadmin.NewMux(e.settings.AdminKey, e.ready, vars)
	mux.Handle("GET /status", beechadmin.RequireKey(e.settings.AdminKey, serveJSON(func() any { return e.Status() })))
	mux.Handle("GET /burn", beechadmin.RequireKey(e.settings.AdminKey, serveJSON(func() any { return e.Burn() })))
	return beechadmin.Listen(e.settings.Admin, mux)
}

func serveJSON(value func() any) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value())
	})
}

// observe counts the outcome of a job for the burn report.
func (e *Entry) observe(j *job, f *failure) {
	outcome := beechburn.Outcome{
		Workspace:  j.workspace.Name,
		Result:     resultOf(f),
		FirstToken: j.firstToken,
		Total:      e.clock.Since(j.startedAt),
		Prompt:     j.usage.Prompt,
		Cached:     j.usage.Cached,
		Wasted:     wastedTokens(j.usage, j.request.PromptTokens, j.minUncached),
	}
	if j.request.Service != "" {
		outcome.FirstToken = 0
	}
	e.counters.Wasted.Add(int64(outcome.Wasted))
	e.burn.Observe(outcome)
}

func (e *Entry) observeRefusal(workspace string, f *failure) {
	e.burn.Observe(beechburn.Outcome{Workspace: workspace, Result: resultOf(f), Total: time.Millisecond})
}

// wastedTokens returns the number of prompt tokens that were computed although
// a server was predicted to hold them. The prediction is in estimated tokens
// and is scaled to the engine's count, so that an estimation error is not
// counted as waste.
func wastedTokens(usage beechwire.Usage, estimated, leastUncached int) int {
	if !usage.Known || estimated <= 0 {
		return 0
	}
	held := int64(max(0, estimated-leastUncached)) * int64(usage.Prompt) / int64(estimated)
	return max(0, int(held)-usage.Cached)
}

func resultOf(f *failure) beechburn.Result {
	switch {
	case f == nil:
		return beechburn.Served
	case f.Status == statusCallerGone:
		return beechburn.Cancelled
	case f.Status == http.StatusTooManyRequests:
		return beechburn.Limited
	case f.Status < http.StatusInternalServerError && f.Ran == beechwire.RanNo:
		return beechburn.Invalid
	case f.Ran == beechwire.RanNo:
		return beechburn.Refused
	default:
		return beechburn.Failed
	}
}
