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
	// Ask is what decides whether a request is let in.
	Ask struct {
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

	// NoWorkspace says that the key is nobody's.
	NoWorkspace struct{}

	// NotKnown says that this gate cannot tell, since it does not know the
	// configuration, or not well enough.
	NotKnown struct{ After time.Duration }
)

const (
	// revokeShare of the operators' bound may pass without the store's word on
	// the keys: the rest is for the request's own way to its server.
	revokeShare = 0.84
	// denySure is the age up to which a gate may say that a route or key is not
	// there; an older belief may lack what was added.
	denySure = 2600 * time.Millisecond
	// notKnownAfter is when to come back to a gate that has lost the store;
	// other gates may serve at once.
	notKnownAfter = 200 * time.Millisecond
)

func (Admitted) admission()    {}
func (NoRoute) admission()     {}
func (NoWorkspace) admission() {}
func (NotKnown) admission()    {}

// Admit decides whether a request is let in.
func (g *Gate) Admit(ask Ask) Admission {
	a := g.admit(ask)
	switch v := a.(type) {
	case NoRoute:
		g.metrics.denied.Add("no route", 1)
	case NoWorkspace:
		g.metrics.denied.Add("no workspace", 1)
	case NotKnown:
		g.metrics.denied.Add("not known", 1)
		g.log.Debug("request not let in", zap.String("host", ask.Host), zap.String("path", ask.Path), zap.Duration("age", g.belief.Age()), zap.Duration("after", v.After))
	case Admitted:
	}
	return a
}

func (g *Gate) admit(ask Ask) Admission {
	c := g.configuration.Load()
	if c == nil {
		return NotKnown{After: notKnownAfter}
	}
	age := g.belief.Age()
	route, ok := c.FindRoute(ask.Host, ask.Path)
	if !ok {
		if age > denySure {
			return NotKnown{After: notKnownAfter}
		}
		return NoRoute{}
	}
	admitted := Admitted{Route: route, Service: route.PickService(rand.Float64()), Version: c.Version, BodyBytes: c.Limits.BodyBytes, Workspace: beechcall.Workspace{Priority: -1}}
	if route.Public || c.Workspaces == nil {
		return admitted
	}
	if age > time.Duration(float64(g.bounds.Load().Revoke)*revokeShare) {
		return NotKnown{After: notKnownAfter}
	}
	workspace, ok := c.Workspaces[ask.Key]
	if !ok {
		if age > denySure {
			return NotKnown{After: notKnownAfter}
		}
		return NoWorkspace{}
	}
	admitted.Workspace = workspace
	return admitted
}

// Serve answers a call that was let in, as far as its workspace's quota goes.
func (g *Gate) Serve(ctx context.Context, call *beechcall.Call, out beechattempt.Responder) {
	if !g.spend(ctx, call, out) {
		return
	}
	g.spent(call, g.core.Serve(ctx, call, out))
}
