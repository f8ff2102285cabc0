package beechload

import (
	"cmp"
	"net/netip"
	"slices"
)

type (
	// Step is one order to a server: Load or Unload.
	Step interface{ step() }

	// Load lets a server load a model beside what it holds.
	Load struct {
		Server netip.AddrPort
		Model  string
	}

	// Unload lets a server drop a model.
	Unload struct {
		Server netip.AddrPort
		Model  string
	}

	// view is what the plan is made from.
	view struct {
		pools    []Pool
		members  []Member
		assigned map[netip.AddrPort][]string
		holders  map[copyOf]int // by version
		any      map[copyOf]int // by name, whatever the version
		targets  map[copyOf]int // assigned, by version
	}

	// copyOf names a model in a pool.
	copyOf struct{ pool, model string }

	// candidate is a load with what makes it urgent.
	candidate struct {
		pool     string
		load     Load
		any      int    // servers that hold the model at any version
		holders  int    // at the wanted one
		exchange string // must be dropped first; empty where there is room
	}
)

func (Load) step()   {}
func (Unload) step() {}

// Plan gives the steps that may start now, most urgent first: models that no
// server holds, then those that few hold, then what may be dropped. At most
// maxLoads servers load at once, those that are loading included; below 1
// counts as 1. A server loads one model at a time.
func Plan(pools []Pool, members []Member, maxLoads int) []Step {
	v := newView(pools, members)
	free := max(maxLoads, 1)
	for _, m := range v.members {
		if m.Loading != "" {
			free--
		}
	}
	var loads []candidate
	var drops []Step
	for _, m := range v.members {
		idle := v.drops(m)
		drops = append(drops, idle...)
		loads = append(loads, v.loads(m, len(idle) > 0)...)
	}
	slices.SortStableFunc(loads, compareUrgency)
	return append(v.start(loads, free), drops...)
}

// start takes the most urgent loads, one for a server.
func (v *view) start(loads []candidate, free int) []Step {
	var out []Step
	started := make(map[netip.AddrPort]bool)
	for _, c := range loads {
		if free <= 0 {
			break
		}
		if started[c.load.Server] || (c.exchange != "" && !v.mayExchange(c)) {
			continue
		}
		started[c.load.Server] = true
		free--
		if c.exchange == "" {
			out = append(out, c.load)
			continue
		}
		v.any[copyOf{c.pool, name(c.exchange)}]--
		out = append(out, Unload{Server: c.load.Server, Model: c.exchange})
	}
	return out
}

// compareUrgency puts a load that needs no exchange first: a server that has
// dropped a model for it must get its turn before the next one drops.
func compareUrgency(a, b candidate) int {
	if c := cmp.Compare(len(a.exchange), len(b.exchange)); c != 0 && (a.exchange == "" || b.exchange == "") {
		return c
	}
	return cmp.Or(cmp.Compare(a.any, b.any), cmp.Compare(a.holders, b.holders), a.load.Server.Compare(b.load.Server))
}

// NextStep gives the first step of a plan that is for the server.
func NextStep(plan []Step, server netip.AddrPort) (Step, bool) {
	for _, s := range plan {
		switch s := s.(type) {
		case Load:
			if s.Server == server {
				return s, true
			}
		case Unload:
			if s.Server == server {
				return s, true
			}
		}
	}
	return nil, false
}

func newView(pools []Pool, members []Member) *view {
	v := &view{
		pools:    pools,
		members:  live(members),
		assigned: make(map[netip.AddrPort][]string),
		holders:  make(map[copyOf]int),
		any:      make(map[copyOf]int),
		targets:  make(map[copyOf]int),
	}
	for _, a := range Assign(pools, members) {
		v.assigned[a.Server] = a.Models
	}
	v.members = slices.DeleteFunc(v.members, func(m Member) bool { return v.pool(m.Pool) == nil })
	for _, m := range v.members {
		for _, model := range v.assigned[m.Server] {
			v.targets[copyOf{m.Pool, model}]++
		}
		names := make(map[string]bool)
		for _, model := range m.Loaded {
			v.holders[copyOf{m.Pool, model}]++
			names[name(model)] = true
		}
		for n := range names {
			v.any[copyOf{m.Pool, n}]++
		}
	}
	return v
}

func (v *view) pool(name string) *Pool {
	for i := range v.pools {
		if v.pools[i].Name == name {
			return &v.pools[i]
		}
	}
	return nil
}

// loads gives what a server may load next. A full one waits for what it can
// drop, or exchanges.
func (v *view) loads(m Member, drops bool) []candidate {
	switch {
	case m.Loading != "":
		return nil
	case !v.isFull(m):
		return v.missing(m)
	case drops:
		return nil
	}
	return v.exchanges(m, v.missing(m))
}

func (v *view) missing(m Member) []candidate {
	var out []candidate
	for _, model := range v.assigned[m.Server] {
		if slices.Contains(m.Loaded, model) {
			continue
		}
		out = append(out, candidate{
			pool:    m.Pool,
			load:    Load{Server: m.Server, Model: model},
			any:     v.any[copyOf{m.Pool, name(model)}],
			holders: v.holders[copyOf{m.Pool, model}],
		})
	}
	return out
}

// drops gives what a server holds beyond its assignment and is not needed
// there any more.
func (v *view) drops(m Member) []Step {
	var out []Step
	for _, model := range m.Loaded {
		if !slices.Contains(v.assigned[m.Server], model) && v.mayDrop(m, model) {
			out = append(out, Unload{Server: m.Server, Model: model})
		}
	}
	return out
}

// mayDrop tells whether the model keeps being served without this copy. An old
// version goes where the new one is in its place, and once half of the servers
// that should hold the new one do; dropped earlier, the first few servers with the
// new version would get the load of all.
func (v *view) mayDrop(m Member, model string) bool {
	current := v.current(m.Pool, model)
	if current == "" {
		return true // not wanted at any version
	}
	if slices.Contains(v.assigned[m.Server], current) && !slices.Contains(m.Loaded, current) {
		return false
	}
	others := v.holders[copyOf{m.Pool, current}]
	if current == model {
		others--
	}
	return others >= 1 && 2*others >= v.targets[copyOf{m.Pool, current}]
}

// current gives the version of a model that its pool wants.
func (v *view) current(pool, model string) string {
	p := v.pool(pool)
	if p == nil {
		return ""
	}
	for _, w := range wanted(*p) {
		if name(w) == name(model) {
			return w
		}
	}
	return ""
}

// isFull tells whether the server has no room for one more model.
func (v *view) isFull(m Member) bool {
	room := v.pool(m.Pool).MaxModels
	return room > 0 && len(m.Loaded) >= room
}

// exchanges gives the loads of a full server, each with the model that goes
// first to make room. It takes a load slot, so that no more servers are without
// it at once than may load.
func (v *view) exchanges(m Member, missing []candidate) []candidate {
	for _, model := range m.Loaded {
		if slices.Contains(v.assigned[m.Server], model) {
			continue
		}
		for i := range missing {
			missing[i].exchange = model
		}
		return missing
	}
	return nil
}

// mayExchange tells whether another server holds what would be dropped, at any
// version, or none but this one should. Only the latter leaves a model without
// a server, for as long as a load takes; the new version could else never come.
func (v *view) mayExchange(c candidate) bool {
	if v.any[copyOf{c.pool, name(c.exchange)}] > 1 {
		return true
	}
	current := v.current(c.pool, c.exchange)
	return v.targets[copyOf{c.pool, current}] <= 1 && slices.Contains(v.assigned[c.load.Server], current)
}
