package beechload

import (
	"net/netip"
	"slices"
)

type (
	// Pool is a group of like backend servers. Models holds "model@weights",
	// the versions wanted. Hold is how many of them one server holds; 0 is all.
	Pool struct {
		Name   string
		Models []string
		Hold   int
	}

	// Member is a backend server as its agent reports it. Held and Loading
	// are "model@weights"; Loading is empty where nothing is being loaded.
	Member struct {
		Server  netip.AddrPort
		Pool    string
		Held    []string
		Loading string
		Leaving bool
	}

	// Assignment is what one server should hold, sorted.
	Assignment struct {
		Server netip.AddrPort
		Models []string
	}

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
)

func (Load) step()   {}
func (Unload) step() {}

// Assign tells what every member should hold, sorted by server.
func Assign(pools []Pool, members []Member) []Assignment {
	var out []Assignment
	for _, m := range members {
		for _, p := range pools {
			if p.Name != m.Pool || m.Leaving {
				continue
			}
			out = append(out, Assignment{Server: m.Server, Models: slices.Sorted(slices.Values(p.Models))})
		}
	}
	return out
}

// Plan gives the steps that may start now, most urgent first. At most maxLoads
// servers load at once, those that are loading included.
func Plan(pools []Pool, members []Member, maxLoads int) []Step {
	var out []Step
	held := make(map[netip.AddrPort][]string)
	for _, m := range members {
		held[m.Server] = m.Held
		if m.Loading != "" {
			maxLoads--
		}
	}
	for _, a := range Assign(pools, members) {
		for _, m := range a.Models {
			if maxLoads > 0 && !slices.Contains(held[a.Server], m) {
				out = append(out, Load{Server: a.Server, Model: m})
				maxLoads--
			}
		}
	}
	return out
}

// Next gives the first step of a plan that is for the server.
func Next(plan []Step, server netip.AddrPort) (Step, bool) {
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
