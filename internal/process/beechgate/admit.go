package beechgate

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/request/beechattempt"
	"github.com/beechring/beechring/internal/request/beechcall"
)

type (
	// AdmissionRequest is what decides whether a request is let in.
	AdmissionRequest struct {
		Host string // without a port
		Path string
		Key  string
	}

	// Admission is Admitted, NoRoute, NoWorkspace or NotKnown.
	Admission interface{ admission() }

	// Admitted lets a request in under a configuration.
	Admitted struct {
		Route     *beechcall.Route
		Service   string
		Workspace beechcall.Workspace
		Version   uint64
		BodyBytes int64 // most; 0 is no bound
	}

	// NoRoute says that no route matches.
	NoRoute struct{}

	// UnknownKey says that the key is nobody's.
	UnknownKey struct{}

	// Undecided says that this gate cannot tell, since it does not know the
	// configuration, or not well enough.
	Undecided struct{ After time.Duration }
)

const (
	// revokeShare of the operators' bound may pass without the store's word on
	// the keys: the rest is for the request's own way to its server.
	revokeShare = 0.84
	// denyMaxAge is the age up to which a gate may say that a route or key is not
	// there; an older belief may lack what was added.
	denyMaxAge = 2600 * time.Millisecond
	// undecidedRetryAfter is when to come back to a gate that has lost the store;
	// other gates may serve at once.
	undecidedRetryAfter = 200 * time.Millisecond
)

func (Admitted) admission()   {}
func (NoRoute) admission()    {}
func (UnknownKey) admission() {}
func (Undecided) admission()  {}

// Admit decides whether a request is let in.
func (g *Gate) Admit(request AdmissionRequest) Admission {
	admission := g.admit(request)
	switch v := admission.(type) {
	case NoRoute:
		g.metrics.denied.Add("no route", 1)
	case UnknownKey:
		g.metrics.denied.Add("no workspace", 1)
	case Undecided:
		g.metrics.denied.Add("not known", 1)
		g.log.Debug("request not let in", zap.String("host", request.Host), zap.String("path", request.Path), zap.Duration("age", g.freshness.Age()), zap.Duration("after", v.After))
	case Admitted:
	}
	return admission
}

func (g *Gate) admit(request AdmissionRequest) Admission {
	c := g.configuration.Load()
	if c == nil {
		return Undecided{After: undecidedRetryAfter}
	}
	age := g.freshness.Age()
	route, ok := c.Find(request.Host, request.Path)
	if !ok {
		if age > denyMaxAge {
			return Undecided{After: undecidedRetryAfter}
		}
		return NoRoute{}
	}
	admitted := Admitted{Route: route, Service: route.Pick(rand.Float64()), Version: c.Version, BodyBytes: c.Limits.BodyBytes, Workspace: beechcall.Workspace{Priority: -1}}
	if route.Public || c.Workspaces == nil {
		return admitted
	}
	if age > time.Duration(float64(g.bounds.Load().Revoke)*revokeShare) {
		return Undecided{After: undecidedRetryAfter}
	}
	workspace, ok := c.Workspaces[request.Key]
	if !ok {
		if age > denyMaxAge {
			return Undecided{After: undecidedRetryAfter}
		}
		return UnknownKey{}
	}
	admitted.Workspace = workspace
	return admitted
}

// Serve answers a call that was let in, as far as its workspace's quota goes.
func (g *Gate) Serve(ctx context.Context, call *beechcall.Call, out beechattempt.Responder) {
	if !g.chargeQuota(ctx, call, out) {
		return
	}
	g.settleQuota(call, g.core.Serve(ctx, call, out))
}
