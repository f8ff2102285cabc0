package beechroute

import (
	"cmp"
	"net/netip"
	"slices"
)

const (
	hotRate = 0.2 // requests a second that make a prefix worth telling others
	maxHot  = 256
)

// HotPrefixes is the prefixes in demand, those with the most tokens asked for a second
// first, for entry hosts that restart.
func (r *Router) HotPrefixes() []HotPrefix {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	var hot []HotPrefix
	for _, key := range r.prefixes.entries.Keys() {
		p := r.prefixes.get(key)
		rate := p.rate(now)
		if rate < hotRate {
			continue
		}
		hot = append(hot, HotPrefix{Key: key, Tokens: p.tokens, Rate: rate, Holders: p.addresses()})
	}
	slices.SortFunc(hot, func(a, b HotPrefix) int {
		return cmp.Compare(b.Rate*float64(b.Tokens), a.Rate*float64(a.Tokens))
	})
	return hot[:min(len(hot), maxHot)]
}

// RestorePrefixes takes in prefixes that another entry host knew to be in demand. What is
// known here already is kept.
func (r *Router) RestorePrefixes(hot []HotPrefix) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	for _, h := range slices.Backward(hot) {
		if r.prefixes.get(h.Key) != nil {
			continue
		}
		level := Level{Key: h.Key, Tokens: h.Tokens}
		p := r.prefixes.use(level)
		p.count = max(0, h.Rate) * rateWindow.Seconds()
		p.counted = now
		for _, address := range h.Holders {
			if s := r.servers[address]; s != nil {
				r.prefixes.hold(level, s, now)
			}
		}
	}
}

func (p *prefix) addresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, h := range p.holders {
		if h.valid() {
			addresses = append(addresses, h.server.Address)
		}
	}
	return addresses
}
