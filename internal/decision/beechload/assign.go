package beechload

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

type (
	// Pool is a group of identical backend servers. Models lists the wanted
	// versions as "model@weights". If not all of them fit, the first ones take
	// precedence.
	Pool struct {
		Name            string
		Models          []string
		ModelsPerServer int // models assigned to each server; 0 means all
		MaxModels       int // models that fit in a server's memory at once; 0 means no limit
	}

	// Member is a backend server as its agent reports it. Loaded and Loading are
	// "model@weights"; Loading is empty if no model is being loaded.
	Member struct {
		Server  netip.AddrPort
		Pool    string
		Loaded  []string
		Loading string
		Leaving bool
	}

	// Assignment lists the models that one server should hold, sorted.
	Assignment struct {
		Server netip.AddrPort
		Models []string
	}

	// pair is a server and a model that it may hold, with their rendezvous hash.
	pair struct {
		server int
		model  int
		score  uint64
	}
)

// Assign returns what every eligible member should hold, sorted by server. The
// result depends only on the configuration and the set of members, not on their
// order, so all agents with the same view compute the same. A member that joins or
// leaves, or a version that changes, moves few other models. Members of unknown
// pools get no assignment.
func Assign(pools []Pool, members []Member) []Assignment {
	members = eligible(members)
	var out []Assignment
	for i, p := range pools {
		if slices.ContainsFunc(pools[:i], func(o Pool) bool { return o.Name == p.Name }) {
			continue
		}
		var servers []netip.AddrPort
		for _, m := range members {
			if m.Pool == p.Name {
				servers = append(servers, m.Server)
			}
		}
		out = append(out, assignPool(p, servers)...)
	}
	slices.SortFunc(out, func(a, b Assignment) int { return a.Server.Compare(b.Server) })
	return out
}

// eligible returns the members that may get steps, without duplicates and sorted by
// server.
func eligible(members []Member) []Member {
	out := slices.Clone(members)
	slices.SortStableFunc(out, func(a, b Member) int { return a.Server.Compare(b.Server) })
	out = slices.CompactFunc(out, func(a, b Member) bool { return a.Server == b.Server })
	return slices.DeleteFunc(out, func(m Member) bool { return m.Leaving || !m.Server.IsValid() })
}

// assignPool assigns the models of a pool to its servers.
func assignPool(p Pool, servers []netip.AddrPort) []Assignment {
	models := wantedModels(p)
	out := make([]Assignment, len(servers))
	for i, s := range servers {
		out[i].Server = s
	}
	if p.ModelsPerServer <= 0 || p.ModelsPerServer >= len(models) {
		for i := range out {
			out[i].Models = slices.Sorted(slices.Values(models))
		}
		return out
	}
	copies := copyCounts(len(models), len(servers)*p.ModelsPerServer, len(servers))
	for _, c := range rankPairs(models, servers) {
		if copies[c.model] > 0 && len(out[c.server].Models) < p.ModelsPerServer {
			out[c.server].Models = append(out[c.server].Models, models[c.model])
			copies[c.model]--
		}
	}
	placeRemaining(p, models, copies, out)
	for i := range out {
		slices.Sort(out[i].Models)
	}
	return out
}

// wantedModels returns the pool's models without duplicates. If a model is listed
// in two versions, the last one counts.
func wantedModels(p Pool) []string {
	var out []string
	for _, m := range p.Models {
		if m == "" {
			continue
		}
		if i := slices.IndexFunc(out, func(o string) bool { return modelName(o) == modelName(m) }); i >= 0 {
			out[i] = m
			continue
		}
		out = append(out, m)
	}
	return out
}

// copyCounts divides the places evenly among the models. The first models get the
// remainder, and none gets more copies than there are servers.
func copyCounts(models, places, servers int) []int {
	out := make([]int, models)
	for i := range out {
		out[i] = places / models
		if i < places%models {
			out[i]++
		}
		out[i] = min(out[i], servers)
	}
	return out
}

// rankPairs sorts all pairs by the rendezvous hash of the server and the model
// name. The version is left out, so that a new version is loaded where the old one
// is.
func rankPairs(models []string, servers []netip.AddrPort) []pair {
	pairs := make([]pair, 0, len(models)*len(servers))
	for j, m := range models {
		nameHash := xxhash.Sum64String(modelName(m))
		for i, s := range servers {
			pairs = append(pairs, pair{server: i, model: j, score: score(s, nameHash)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.score, b.score), a.server-b.server, a.model-b.model)
	})
	return pairs
}

func score(s netip.AddrPort, nameHash uint64) uint64 {
	buffer := make([]byte, 0, 32)
	buffer, _ = s.AppendBinary(buffer) // never fails
	return xxhash.Sum64(binary.BigEndian.AppendUint64(buffer, nameHash))
}

// placeRemaining places the copies that found no place by hash on the first servers
// that have a free place and lack the model. Without it, a small pool could leave a
// model without any server while another model has one copy too many.
func placeRemaining(p Pool, models []string, copies []int, out []Assignment) {
	for j, m := range models {
		for i := range out {
			if copies[j] > 0 && len(out[i].Models) < p.ModelsPerServer && !slices.Contains(out[i].Models, m) {
				out[i].Models = append(out[i].Models, m)
				copies[j]--
			}
		}
		if copies[j] > 0 {
			placeBySwap(p, m, out)
		}
	}
}

// placeBySwap places a model that all servers with a free place already hold: a
// full server that lacks it passes one of its models to a server with a free place.
func placeBySwap(p Pool, m string, out []Assignment) {
	for i := range out {
		if len(out[i].Models) < p.ModelsPerServer {
			continue
		}
		if slices.Contains(out[i].Models, m) {
			continue
		}
		for k, moved := range out[i].Models {
			to := slices.IndexFunc(out, func(a Assignment) bool {
				return len(a.Models) < p.ModelsPerServer && !slices.Contains(a.Models, moved)
			})
			if to >= 0 {
				out[to].Models = append(out[to].Models, moved)
				out[i].Models[k] = m
				return
			}
		}
	}
}

// modelName returns the name of a model without the version of its weights.
func modelName(model string) string {
	n, _, _ := strings.Cut(model, "@")
	return n
}
