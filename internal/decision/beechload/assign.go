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
	// Pool is a group of like backend servers. Models holds "model@weights",
	// the versions wanted; where they don't all fit, the first go first.
	Pool struct {
		Name            string
		Models          []string
		ModelsPerServer int // models that one server holds; 0 is all
		MaxModels       int // models that fit in a server's memory at once; 0 is enough
	}

	// Member is a backend server as its agent reports it. Loaded and Loading
	// are "model@weights"; Loading is empty where nothing is being loaded.
	Member struct {
		Server  netip.AddrPort
		Pool    string
		Loaded  []string
		Loading string
		Leaving bool
	}

	// Assignment is what one server should hold, sorted.
	Assignment struct {
		Server netip.AddrPort
		Models []string
	}

	// pair is a server that may hold a model, and how well they match.
	pair struct {
		server int
		model  int
		score  uint64
	}
)

// Assign tells what every live member should hold, sorted by server. All who
// know the same configuration and members come to the same answer, whatever
// the order they know them in. A member that comes or goes, or a version that
// changes, moves little else. Members of a pool that is not configured have no
// assignment.
func Assign(pools []Pool, members []Member) []Assignment {
	members = live(members)
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

// live gives the members that may get orders, each once, sorted by server.
func live(members []Member) []Member {
	out := slices.Clone(members)
	slices.SortStableFunc(out, func(a, b Member) int { return a.Server.Compare(b.Server) })
	out = slices.CompactFunc(out, func(a, b Member) bool { return a.Server == b.Server })
	return slices.DeleteFunc(out, func(m Member) bool { return m.Leaving || !m.Server.IsValid() })
}

func assignPool(p Pool, servers []netip.AddrPort) []Assignment {
	models := wanted(p)
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
	copies := quotas(len(models), len(servers)*p.ModelsPerServer, len(servers))
	for _, c := range rank(models, servers) {
		if copies[c.model] > 0 && len(out[c.server].Models) < p.ModelsPerServer {
			out[c.server].Models = append(out[c.server].Models, models[c.model])
			copies[c.model]--
		}
	}
	fill(p, models, copies, out)
	for i := range out {
		slices.Sort(out[i].Models)
	}
	return out
}

// wanted gives the pool's models, each name once: a name at two versions is the
// later one's.
func wanted(p Pool) []string {
	var out []string
	for _, m := range p.Models {
		if m == "" {
			continue
		}
		if i := slices.IndexFunc(out, func(o string) bool { return name(o) == name(m) }); i >= 0 {
			out[i] = m
			continue
		}
		out = append(out, m)
	}
	return out
}

// quotas divides places evenly; the first models get what is left over, and at
// most one a server.
func quotas(models, places, servers int) []int {
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

// rank orders all pairs by rendezvous hash of the server and the model's name
// without its version, so that a new version is loaded where the old one is.
func rank(models []string, servers []netip.AddrPort) []pair {
	pairs := make([]pair, 0, len(models)*len(servers))
	for j, m := range models {
		named := xxhash.Sum64String(name(m))
		for i, s := range servers {
			pairs = append(pairs, pair{server: i, model: j, score: score(s, named)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.score, b.score), a.server-b.server, a.model-b.model)
	})
	return pairs
}

func score(s netip.AddrPort, named uint64) uint64 {
	buffer := make([]byte, 0, 32)
	buffer, _ = s.AppendBinary(buffer) // fails for no address
	return xxhash.Sum64(binary.BigEndian.AppendUint64(buffer, named))
}

// fill gives the copies that found no place by hash a place at the first server
// with room that lacks them. Without it a small pool could leave a model
// with no server at all while another has it one time too often.
func fill(p Pool, models []string, copies []int, out []Assignment) {
	for j, m := range models {
		for i := range out {
			if copies[j] > 0 && len(out[i].Models) < p.ModelsPerServer && !slices.Contains(out[i].Models, m) {
				out[i].Models = append(out[i].Models, m)
				copies[j]--
			}
		}
		if copies[j] > 0 {
			swap(p, m, out)
		}
	}
}

// swap makes room for a model that every server with room already holds: a full
// server that lacks it hands one of its models to a server with room.
func swap(p Pool, m string, out []Assignment) {
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

// name is a model without its weights version.
func name(model string) string {
	n, _, _ := strings.Cut(model, "@")
	return n
}
