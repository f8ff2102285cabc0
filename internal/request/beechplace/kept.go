package beechplace

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// keptStore is a store of kept KV cache as this gate knows it. A fleet may have
// several, each behind a link of its own.
type keptStore struct {
	beechcall.Service
	downTil time.Time
	emptied time.Time // when it was seen down last; it comes back empty
	fetches keptLink
	saves   keptLink
}

// keptDownLasts is how long a store is left alone that took no connection: two are
// looked at by turns.
const keptDownLasts = 4 * time.Second

// setStores takes in the stores of a configuration. What is known of one stays. The
// caller holds the lock.
func (p *Placer) setStores(list []beechcall.Service) {
	stores := make([]*keptStore, 0, len(list))
	for _, sheet := range list {
		store := p.storeAt(sheet.Kept)
		if store == nil {
			store = &keptStore{}
		}
		store.Service = sheet
		stores = append(stores, store)
	}
	p.stores = stores
	p.shareLinks()
}

// shareLinks works out this gate's share of both ways of the stores' links. The
// caller holds the lock.
func (p *Placer) shareLinks() {
	bytes := 0
	for _, s := range p.sheets {
		bytes = max(bytes, s.TokenBytes)
	}
	for _, store := range p.stores {
		store.fetches.set(store.Link, bytes, p.settings.Gates)
		store.saves.set(store.Link, bytes, p.settings.Gates)
	}
}

// room tells whether so many tokens may be moved by a link now. The caller holds
// the lock.
func (p *Placer) room(link *keptLink, tokens int, now time.Time) bool {
	link.least = lumpPrompts * p.size
	return link.room(tokens, now)
}

// storeAt gives the store at an address, nil if there is none. The caller holds the
// lock.
func (p *Placer) storeAt(address netip.AddrPort) *keptStore {
	i := slices.IndexFunc(p.stores, func(s *keptStore) bool { return s.Kept == address })
	if i < 0 {
		return nil
	}
	return p.stores[i]
}

// storeOf gives the store for a shared part with all parts before it, alike in all
// gates; nil if there is none. A request fetches all that it needs from one place,
// so the innermost shared part decides. With a store of its own choice in each gate
// most of what one had saved the others sought where it was not, and it was read
// again. The caller holds the lock.
func (p *Placer) storeOf(part string) *keptStore {
	var best *keptStore
	var bestScore uint64
	for _, store := range p.stores {
		if score := xxhash.Sum64String(part + store.Kept.String()); best == nil || score > bestScore {
			best, bestScore = store, score
		}
	}
	return best
}

// savedSince tells when a part was sent to the store, zero where it is not there any
// more.
func (s *keptStore) savedSince(held *holding) time.Time {
	if s == nil || !held.saved.After(s.emptied) {
		return time.Time{}
	}
	return held.saved
}

// address is where the store is, invalid while it does not answer.
func (s *keptStore) address(now time.Time) netip.AddrPort {
	if now.Before(s.downTil) {
		return netip.AddrPort{}
	}
	return s.Kept
}

// KVStoreFailed tells that a store of kept KV cache does not answer. It comes back
// empty, so what was saved before counts no more.
func (p *Placer) KVStoreFailed(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if store := p.storeAt(address); store != nil {
		now := p.clock.Now()
		store.downTil, store.emptied = now.Add(keptDownLasts), now
	}
}

// KVStores gives the addresses of the stores of kept KV cache.
func (p *Placer) KVStores() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make([]netip.AddrPort, 0, len(p.stores))
	for _, store := range p.stores {
		addresses = append(addresses, store.Kept)
	}
	return addresses
}
