package beechroute

import (
	"cmp"
	"net/netip"
	"slices"
)

const (
	minHotRate     = 0.2 // requests per second from which a prefix counts as hot
	maxHotPrefixes = 256
)

// HotPrefixes returns the prefixes in demand for entry hosts that restart, ordered
// by the tokens requested per second, highest first.
func (r *Router) HotPrefixes() []HotPrefix {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	var hot []HotPrefix
	for _, key := range r.prefixes.entries.Keys() {
		p := r.prefixes.get(key)
		rate := p.rate(now)
		if rate < minHotRate {
			continue
		}
		hot = append(hot, HotPrefix{Key: key, Tokens: p.tokens, Rate: rate, Holders: p.holderAddresses()})
	}
	slices.SortFunc(hot, func(a, b HotPrefix) int {
		return cmp.Compare(b.Rate*float64(b.Tokens), a.Rate*float64(a.Tokens))
	})
	return hot[:min(len(hot), maxHotPrefixes)]
}

// RestorePrefixes adds hot prefixes of another entry host. Prefixes that are
// already known are left unchanged.
func (r *Router) RestorePrefixes(hot []HotPrefix) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	for _, h := range slices.Backward(hot) {
		if r.prefixes.get(h.Key) != nil {
			continue
		}
		level := Level{Key: h.Key, Tokens: h.Tokens}
		p := r.prefixes.touch(level)
		p.requests = max(0, h.Rate) * rateWindow.Seconds()
		p.countedAt = now
		for _, address := range h.Holders {
			if s := r.servers[address]; s != nil {
				r.prefixes.addHolder(level, s, now)
			}
		}
	}
}

func (p *prefix) holderAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, h := range p.holders {
		if h.valid() {
			addresses = append(addresses, h.server.Address)
		}
	}
	return addresses
}
