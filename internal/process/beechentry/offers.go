package beechentry

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/beechring/beechring/internal/decision/beechroute"
)

// rebuild updates the router and the health tracker with the servers that may
// be chosen now.
func (f *fleet) rebuild() {
	members := f.members.Members()
	f.mu.Lock()
	offered := newServerOffers()
	for _, m := range members {
		if m.Usable {
			f.addOffers(offered, m.Host.Address)
		}
	}
	// A server whose link flaps is excluded for a while, unless no other server
	// offers the same: excluding it then would only make its callers' requests
	// fail.
	for _, m := range members {
		if !m.Usable && m.Linked && !m.Leaving && f.isOnlyProvider(offered, m.Host.Address) {
			f.addOffers(offered, m.Host.Address)
		}
	}
	f.weightsByModel = offered.weightsByModel
	entries := 1
	for _, l := range f.links {
		entries = max(entries, l.entryHosts)
	}
	f.mu.Unlock()
	f.router.SetServers(offered.servers)
	f.setTargets(offered.byTarget)
	f.entry.limiter.SetEntryHosts(entries)
	f.entry.startup.notify()
}

// setTargets registers each target's servers with the health tracker, which
// compares a server with its peers, and removes targets that no server offers
// any more.
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

// serverOffers is the set of servers that can be reached now and what they
// offer.
type serverOffers struct {
	servers        []beechroute.Server
	byTarget       map[string][]netip.AddrPort
	weightsByModel map[string][]string // versions by model
}

func newServerOffers() *serverOffers {
	return &serverOffers{byTarget: map[string][]netip.AddrPort{}, weightsByModel: map[string][]string{}}
}

// addOffers adds what an agent offers, if its link is up. The caller holds
// f.mu.
func (f *fleet) addOffers(o *serverOffers, address netip.AddrPort) {
	l := f.links[address]
	if l == nil || !l.up {
		return
	}
	o.servers = append(o.servers, beechroute.Server{Address: address, Zone: l.zone, Incarnation: l.incarnation, Models: l.offers})
	for _, target := range l.offers {
		o.byTarget[target] = append(o.byTarget[target], address)
		if name, version, found := strings.Cut(target, "@"); found && !slices.Contains(o.weightsByModel[name], version) {
			o.weightsByModel[name] = append(o.weightsByModel[name], version)
		}
	}
}

// isOnlyProvider reports whether an agent offers something that no server in o
// offers. The caller holds f.mu.
func (f *fleet) isOnlyProvider(o *serverOffers, address netip.AddrPort) bool {
	l := f.links[address]
	if l == nil {
		return false
	}
	return slices.ContainsFunc(l.offers, func(target string) bool { return len(o.byTarget[target]) == 0 })
}
