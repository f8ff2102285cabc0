package beechgate

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/process/beechending"
	"github.com/beechring/beechring/internal/request/beechattempt"
	"github.com/beechring/beechring/internal/request/beechcall"
)

type (
	// AdmissionRequest holds what decides whether a request is admitted.
	AdmissionRequest struct {
		Host string // without a port
		Path string
		Key  string
	}

	// Admission is Admitted, NoRoute, UnknownKey or Undecided.
	Admission interface{ admission() }

	// Admitted admits a request under a configuration.
	Admitted struct {
		Route     *beechcall.Route
		Service   string
		Workspace beechcall.Workspace
		Version   uint64
		BodyBytes int64 // maximum size of the body; 0 is unlimited
	}

	// NoRoute is returned if no route matches.
	NoRoute struct{}

	// UnknownKey is returned if the key belongs to no workspace.
	UnknownKey struct{}

	// Undecided is returned if this gate cannot decide because its configuration is missing or
	// too old.
	Undecided struct{ After time.Duration }
)

const (
	// revokeShare is the share of the operators' bound for which keys are accepted without
	// confirmation by the store. The rest of the bound is left for the request's way to its
	// server.
	revokeShare = 0.84
	// denyMaxAge is the age of the configuration up to which a route or key is reported as
	// missing; an older configuration may lack recent additions.
	denyMaxAge = 2600 * time.Millisecond
	// undecidedRetryAfter is the retry time given by a gate that has lost the store. It is
	// short, as other gates may serve the request at once.
	undecidedRetryAfter = 200 * time.Millisecond
)

func (Admitted) admission()   {}
func (NoRoute) admission()    {}
func (UnknownKey) admission() {}
func (Undecided) admission()  {}

// Admit decides whether a request is admitted.
func (g *Gate) Admit(request AdmissionRequest) Admission {
	admission := g.admit(request)
	switch v := admission.(type) {
	case NoRoute:
		g.metrics.denied.Add("no route", 1)
	case UnknownKey:
		g.metrics.denied.Add("no workspace", 1)
	case Undecided:
		g.metrics.denied.Add("not known", 1)
		g.log.Debug("request not admitted", zap.String("host", request.Host), zap.String("path", request.Path), zap.Duration("age", g.freshness.keys.Age()), zap.Duration("after", v.After))
	case Admitted:
	}
	return admission
}

func (g *Gate) admit(request AdmissionRequest) Admission {
	c := g.configuration.Load()
	if c == nil {
		return Undecided{After: undecidedRetryAfter}
	}
	age := g.freshness.keys.Age()
	route, ok := c.FindRoute(request.Host, request.Path)
	if !ok {
		if age > denyMaxAge || c.Unread.Routes {
			return Undecided{After: undecidedRetryAfter}
		}
		return NoRoute{}
	}
	if route.Leftover && g.freshness.whole.Age() > time.Duration(float64(g.bounds.Load().Revoke)*revokeShare) {
		return Undecided{After: undecidedRetryAfter}
	}
	admitted := Admitted{Route: route, Service: route.PickService(rand.Float64()), Version: c.Version, BodyBytes: c.Limits.BodyBytes, Workspace: beechcall.Workspace{Priority: -1}}
	if route.Public || c.Workspaces == nil {
		return admitted
	}
	if age > time.Duration(float64(g.bounds.Load().Revoke)*revokeShare) {
		return Undecided{After: undecidedRetryAfter}
	}
	workspace, ok := c.Workspaces[request.Key]
	if !ok {
		if age > denyMaxAge || c.Unread.Workspaces {
			return Undecided{After: undecidedRetryAfter}
		}
		return UnknownKey{}
	}
	admitted.Workspace = workspace
	return admitted
}

// Serve runs an admitted call if its workspace's quota permits. It returns the number of attempts
// that may have run.
func (g *Gate) Serve(ctx context.Context, call *beechcall.Call, out beechattempt.Responder) int {
	if g.RefuseStopping(call, out) {
		return 0
	}
	if call.LastEventID != "" && call.Route.RetryPolicy == beechcall.Resumable && !g.resumable(ctx, call, out) {
		return 0
	}
	g.returns.arrive(call)
	if !g.chargeQuota(ctx, call, out) {
		return 0
	}
	attempts := g.serveUntilEnd(ctx, call, out)
	g.settleQuota(call, attempts)
	return attempts
}

// Door returns what records the ends of callers' requests.
func (g *Gate) Door() *beechending.Door { return g.door }
