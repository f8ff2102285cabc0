package beechentry

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/beechring/beechring/internal/decision/beechroute"
)

// rebuild gives the router and the health tracker the servers that may be
// chosen now.
func (f *fleet) rebuild() {
	members := f.members.Members()
	f.mu.Lock()
	offered := newOffers()
	for _, m := range members {
		if m.Usable {
			f.offer(offered, m.Host.Address)
		}
	}
	// A server whose link flaps is left out for a while, unless nobody else
	// offers what it does: its callers would be refused for no gain.
	for _, m := range members {
		if !m.Usable && m.Linked && !m.Leaving && f.onlyHere(offered, m.Host.Address) {
			f.offer(offered, m.Host.Address)
		}
	}
	f.models = offered.weights
	entries := 1
	for _, l := range f.links {
		entries = max(entries, l.entries)
	}
	f.mu.Unlock()
	f.router.SetServers(offered.servers)
	f.setTargets(offered.byTarget)
	f.entry.limiter.SetEntryHosts(entries)
}

// setTargets names each target's servers to the health tracker, which compares
// a server with its peers, and forgets the targets that nobody offers any more.
func (f *fleet) setTargets(byTarget map[string][]netip.AddrPort) {
	f.mu.Lock()
	gone := f.targets
	f.targets = map[string]bool{}
	for target := range byTarget {
		delete(gone, target)
		f.targets[target] = true
	}
	f.mu.Unlock()
	for target, addresses := range byTarget {
		f.entry.health.SetServers(target, addresses)
	}
	for target := range gone {
		f.entry.health.SetServers(target, nil)
	}
}

// offers is what can be had where now.
type offers struct {
	servers  []beechroute.Server
	byTarget map[string][]netip.AddrPort
	weights  map[string][]string // by model
}

func newOffers() *offers {
	return &offers{byTarget: map[string][]netip.AddrPort{}, weights: map[string][]string{}}
}

// offer adds what an agent offers, if its link is up; f.mu is held.
func (f *fleet) offer(o *offers, address netip.AddrPort) {
	l := f.links[address]
	if l == nil || !l.up {
		return
	}
	o.servers = append(o.servers, beechroute.Server{Address: address, Zone: l.zone, Incarnation: l.incarnation, Models: l.offers})
	for _, target := range l.offers {
		o.byTarget[target] = append(o.byTarget[target], address)
		if name, version, found := strings.Cut(target, "@"); found && !slices.Contains(o.weights[name], version) {
			o.weights[name] = append(o.weights[name], version)
		}
	}
}

// onlyHere tells whether an agent offers something that nobody in o does; f.mu
// is held.
func (f *fleet) onlyHere(o *offers, address netip.AddrPort) bool {
	l := f.links[address]
	if l == nil {
		return false
	}
	return slices.ContainsFunc(l.offers, func(target string) bool { return len(o.byTarget[target]) == 0 })
}
