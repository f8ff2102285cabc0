package beechload

import (
	"cmp"
	"net/netip"
	"slices"
)

type (
	// Step is an order to a server: Load or Unload.
	Step interface{ step() }

	// Load orders a server to load a model in addition to its loaded ones.
	Load struct {
		Server netip.AddrPort
		Model  string
	}

	// Unload orders a server to unload a model.
	Unload struct {
		Server netip.AddrPort
		Model  string
	}

	// planner is the state from which a plan is made.
	planner struct {
		pools               []Pool
		members             []Member
		assigned            map[netip.AddrPort][]string
		holders             map[poolModel]int // servers that hold a model, by version
		holdersOfAnyVersion map[poolModel]int // the same by model name
		assignedCount       map[poolModel]int // servers that a model is assigned to, by version
	}

	// poolModel identifies a model within a pool, with or without its version.
	poolModel struct{ pool, model string }

	// candidate is a possible load with what determines its urgency.
	candidate struct {
		pool                string
		load                Load
		holdersOfAnyVersion int    // servers that hold any version of the model
		holders             int    // servers that hold the wanted version
		unloadFirst         string // model to unload first; empty if the server has memory left
	}
)

func (Load) step()   {}
func (Unload) step() {}

// Plan returns the steps that may start now, most urgent first: loads of models
// that no server holds, then of models that few hold, then unloads. At most
// maxLoads servers load at the same time, including those that are loading already;
// a value below 1 counts as 1. A server loads one model at a time.
func Plan(pools []Pool, members []Member, maxLoads int) []Step {
	p := newPlanner(pools, members)
	freeSlots := max(maxLoads, 1)
	for _, m := range p.members {
		if m.Loading != "" {
			freeSlots--
		}
	}
	var loads []candidate
	var unloads []Step
	for _, m := range p.members {
		removable := p.unloads(m)
		unloads = append(unloads, removable...)
		loads = append(loads, p.loads(m, len(removable) > 0)...)
	}
	slices.SortStableFunc(loads, compareUrgency)
	return append(p.selectLoads(loads, freeSlots), unloads...)
}

// selectLoads selects the most urgent loads, at most one per server. For a load
// that needs memory it returns the unload that must precede it.
func (p *planner) selectLoads(loads []candidate, freeSlots int) []Step {
	var out []Step
	started := make(map[netip.AddrPort]bool)
	for _, c := range loads {
		if freeSlots <= 0 {
			break
		}
		if started[c.load.Server] || (c.unloadFirst != "" && !p.mayExchange(c)) {
			continue
		}
		started[c.load.Server] = true
		freeSlots--
		if c.unloadFirst == "" {
			out = append(out, c.load)
			continue
		}
		p.holdersOfAnyVersion[poolModel{c.pool, modelName(c.unloadFirst)}]--
		out = append(out, Unload{Server: c.load.Server, Model: c.unloadFirst})
	}
	return out
}

// compareUrgency orders loads that need no unload first, so that a server that has
// unloaded a model gets its load before the next server unloads one.
func compareUrgency(a, b candidate) int {
	if c := cmp.Compare(len(a.unloadFirst), len(b.unloadFirst)); c != 0 && (a.unloadFirst == "" || b.unloadFirst == "") {
		return c
	}
	return cmp.Or(cmp.Compare(a.holdersOfAnyVersion, b.holdersOfAnyVersion), cmp.Compare(a.holders, b.holders), a.load.Server.Compare(b.load.Server))
}

// NextStep returns the first step of a plan that is for the server.
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

func newPlanner(pools []Pool, members []Member) *planner {
	p := &planner{
		pools:               pools,
		members:             eligible(members),
		assigned:            make(map[netip.AddrPort][]string),
		holders:             make(map[poolModel]int),
		holdersOfAnyVersion: make(map[poolModel]int),
		assignedCount:       make(map[poolModel]int),
	}
	for _, a := range Assign(pools, members) {
		p.assigned[a.Server] = a.Models
	}
	p.members = slices.DeleteFunc(p.members, func(m Member) bool { return p.pool(m.Pool) == nil })
	for _, m := range p.members {
		for _, model := range p.assigned[m.Server] {
			p.assignedCount[poolModel{m.Pool, model}]++
		}
		names := make(map[string]bool)
		for _, model := range m.Loaded {
			p.holders[poolModel{m.Pool, model}]++
			names[modelName(model)] = true
		}
		for n := range names {
			p.holdersOfAnyVersion[poolModel{m.Pool, n}]++
		}
	}
	return p
}

func (p *planner) pool(name string) *Pool {
	for i := range p.pools {
		if p.pools[i].Name == name {
			return &p.pools[i]
		}
	}
	return nil
}

// loads returns the loads that a server may start next. A full server waits for its
// unloads, or exchanges one model for another.
func (p *planner) loads(m Member, unloadsPending bool) []candidate {
	switch {
	case m.Loading != "":
		return nil
	case !p.isFull(m):
		return p.missingLoads(m)
	case unloadsPending:
		return nil
	}
	return p.exchangeLoads(m, p.missingLoads(m))
}

// missingLoads returns a load for each assigned model that the server does not
// hold.
func (p *planner) missingLoads(m Member) []candidate {
	var out []candidate
	for _, model := range p.assigned[m.Server] {
		if slices.Contains(m.Loaded, model) {
			continue
		}
		out = append(out, candidate{
			pool:                m.Pool,
			load:                Load{Server: m.Server, Model: model},
			holdersOfAnyVersion: p.holdersOfAnyVersion[poolModel{m.Pool, modelName(model)}],
			holders:             p.holders[poolModel{m.Pool, model}],
		})
	}
	return out
}

// unloads returns unloads of the models that the server holds, that are not
// assigned to it, and that are not needed there any more.
func (p *planner) unloads(m Member) []Step {
	var out []Step
	for _, model := range m.Loaded {
		if !slices.Contains(p.assigned[m.Server], model) && p.mayUnload(m, model) {
			out = append(out, Unload{Server: m.Server, Model: model})
		}
	}
	return out
}

// mayUnload reports whether the model remains served without this copy. An old
// version may be unloaded once this server holds the new one, if that is assigned
// to it, and half of the servers that should hold the new version do. If it were
// unloaded earlier, the first few servers with the new version would get the whole
// load.
func (p *planner) mayUnload(m Member, model string) bool {
	current := p.wantedVersion(m.Pool, model)
	if current == "" {
		return true // not wanted in any version
	}
	if slices.Contains(p.assigned[m.Server], current) && !slices.Contains(m.Loaded, current) {
		return false
	}
	others := p.holders[poolModel{m.Pool, current}]
	if current == model {
		others--
	}
	return others >= 1 && 2*others >= p.assignedCount[poolModel{m.Pool, current}]
}

// wantedVersion returns the version of a model that its pool wants, or "".
func (p *planner) wantedVersion(pool, model string) string {
	config := p.pool(pool)
	if config == nil {
		return ""
	}
	for _, wanted := range wantedModels(*config) {
		if modelName(wanted) == modelName(model) {
			return wanted
		}
	}
	return ""
}

// isFull reports whether the server has no memory for another model.
func (p *planner) isFull(m Member) bool {
	limit := p.pool(m.Pool).MaxModels
	return limit > 0 && len(m.Loaded) >= limit
}

// exchangeLoads returns the loads of a full server, each with the model to unload
// first. An exchange takes a load slot, so that no more servers lack a model at the
// same time than may load.
func (p *planner) exchangeLoads(m Member, missing []candidate) []candidate {
	for _, model := range m.Loaded {
		if slices.Contains(p.assigned[m.Server], model) {
			continue
		}
		for i := range missing {
			missing[i].unloadFirst = model
		}
		return missing
	}
	return nil
}

// mayExchange reports whether another server holds some version of the model to
// unload, or this server is the only one that should hold it. Only the latter case
// leaves a model without a server, for the duration of a load; without it the new
// version could never be loaded.
func (p *planner) mayExchange(c candidate) bool {
	if p.holdersOfAnyVersion[poolModel{c.pool, modelName(c.unloadFirst)}] > 1 {
		return true
	}
	current := p.wantedVersion(c.pool, c.unloadFirst)
	return p.assignedCount[poolModel{c.pool, current}] <= 1 && slices.Contains(p.assigned[c.load.Server], current)
}
