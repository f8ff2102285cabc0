package beechgate

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// setClock is a clock that tests set.
type setClock struct{ now time.Duration }

func (c *setClock) Now() time.Duration { return c.now }

// newAdmittingGate returns what of a gate decides which requests are admitted.
func newAdmittingGate(clock *setClock) *Gate {
	g := &Gate{freshness: newConfigurationAge(clock)}
	g.bounds.Store(&beechsettings.GateBounds{Revoke: beechsettings.Duration(5 * time.Second)})
	return g
}

// read applies a version as setOperators does, and confirms it.
func (g *Gate) read(c *beechcall.Configuration) {
	next, unread := nextConfiguration(c, g.configuration.Load())
	g.freshness.setUnread(unread)
	if next != nil {
		g.configuration.Store(next)
	}
	g.freshness.Confirm(g.freshness.Now())
}

var allUnread = beechcall.Unread{Version: true, Routes: true, Services: true, Workspaces: true, Limits: true}

// Guards against keys and routes that stay in use for as long as the version that takes them away cannot be read.
func TestNoOlderKeyOutlastsItsBound(t *testing.T) {
	keys, hosts := []string{"k0", "k1", "k2"}, []string{"h0", "h1", "h2"}
	rapid.Check(t, func(r *rapid.T) {
		clock := &setClock{now: time.Hour}
		g := newAdmittingGate(clock)
		endedAt := map[string]time.Duration{} // since when a key or a host has not been in the newest version
		for _, name := range append(keys, hosts...) {
			endedAt[name] = clock.now
		}
		for revision := range rapid.IntRange(1, 8).Draw(r, "versions") {
			c := &beechcall.Configuration{Version: uint64(revision + 1), Revision: uint64(revision + 1)}
			unread := rapid.SampledFrom([]beechcall.Unread{{}, {}, allUnread, {Workspaces: true}, {Routes: true}, {Services: true}, {Routes: true, Workspaces: true}}).Draw(r, "unread")
			c.Unread = unread
			named := map[string]bool{}
			if rapid.Bool().Draw(r, "tenants") || !unread.Any() {
				c.Workspaces = map[string]beechcall.Workspace{}
			}
			for _, key := range keys {
				if !rapid.Bool().Draw(r, key) {
					continue
				}
				named[key] = true
				if c.Workspaces != nil && (!unread.Workspaces || rapid.Bool().Draw(r, "read "+key)) {
					c.Workspaces[key] = beechcall.Workspace{Name: key}
				}
			}
			for _, host := range hosts {
				if !rapid.Bool().Draw(r, host) {
					continue
				}
				named[host] = true
				if !unread.Routes || rapid.Bool().Draw(r, "read "+host) {
					c.Routes = append(c.Routes, beechcall.Route{Host: host, PathPrefix: "/", Targets: []beechcall.Target{{Service: "s", Weight: 1}}})
				}
			}
			if unread == allUnread {
				c.Routes, c.Workspaces = nil, nil
			}
			c.BuildIndex()
			for name := range endedAt {
				if named[name] {
					delete(endedAt, name)
				}
			}
			for _, name := range append(keys, hosts...) {
				if _, ended := endedAt[name]; !ended && !named[name] {
					endedAt[name] = clock.now
				}
			}
			for range rapid.IntRange(1, 8).Draw(r, "reads") {
				g.read(c)
				for _, host := range hosts {
					for _, key := range keys {
						if _, ok := g.admit(AdmissionRequest{Host: host, Path: "/", Key: key}).(Admitted); !ok {
							continue
						}
						for _, name := range []string{host, key} {
							if at, ended := endedAt[name]; ended && clock.now-at > 5*time.Second {
								r.Fatalf("%s and %s admitted %s after a version that has no %s", host, key, clock.now-at, name)
							}
						}
					}
				}
				clock.now += time.Second
			}
		}
	})
}

// Guards against 401 and 404 for what the part of a version that cannot be read may have.
func TestUnreadPartsDenyNothing(t *testing.T) {
	clock := &setClock{now: time.Hour}
	g := newAdmittingGate(clock)
	c := &beechcall.Configuration{
		Version: 1, Revision: 1, Workspaces: map[string]beechcall.Workspace{"k": {}}, Unread: beechcall.Unread{Routes: true, Workspaces: true},
		Routes: []beechcall.Route{{Host: "h", PathPrefix: "/", Targets: []beechcall.Target{{Service: "s", Weight: 1}}}},
	}
	g.read(c) // by a gate that has just started
	for _, request := range []AdmissionRequest{{Host: "h", Path: "/", Key: "other"}, {Host: "other", Path: "/", Key: "k"}} {
		if _, ok := g.admit(request).(Undecided); !ok {
			t.Errorf("%+v: %#v", request, g.admit(request))
		}
	}
}
