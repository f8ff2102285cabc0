package beechplace

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// kvStore is a store of kept KV cache as this gate knows it. A fleet may have
// several, each behind a link of its own.
type kvStore struct {
	beechcall.Service
	downUntil   time.Time
	lastFailure time.Time // when it was seen down last; it comes back empty
	fetches     storeLink
	saves       storeLink
}

// storeRetryInterval is how long a store is left alone that took no connection: two are
// looked at by turns.
const storeRetryInterval = 4 * time.Second

// setStores takes in the stores of a configuration. What is known of one stays. The
// caller holds the lock.
func (p *Placer) setKVStores(list []beechcall.Service) {
	stores := make([]*kvStore, 0, len(list))
	for _, service := range list {
		store := p.kvStoreAt(service.KVStore)
		if store == nil {
			store = &kvStore{}
		}
		store.Service = service
		stores = append(stores, store)
	}
	p.kvStores = stores
	p.updateLinkShares()
}

// shareLinks works out this gate's share of both ways of the stores' links. The
// caller holds the lock.
func (p *Placer) updateLinkShares() {
	tokenBytes := 0
	for _, s := range p.serviceConfigs {
		tokenBytes = max(tokenBytes, s.TokenBytes)
	}
	for _, store := range p.kvStores {
		store.fetches.setRate(store.KVStoreRate, tokenBytes, p.settings.Gates)
		store.saves.setRate(store.KVStoreRate, tokenBytes, p.settings.Gates)
	}
}

// room tells whether so many tokens may be moved by a link now. The caller holds
// the lock.
func (p *Placer) linkHasRoom(link *storeLink, tokens int, now time.Time) bool {
	link.minBurst = burstPrompts * p.meanPrompt
	return link.hasRoom(tokens, now)
}

// storeAt gives the store at an address, nil if there is none. The caller holds the
// lock.
func (p *Placer) kvStoreAt(address netip.AddrPort) *kvStore {
	i := slices.IndexFunc(p.kvStores, func(s *kvStore) bool { return s.KVStore == address })
	if i < 0 {
		return nil
	}
	return p.kvStores[i]
}

// storeOf gives the store for a shared part with all parts before it, alike in all
// gates; nil if there is none. A request fetches all that it needs from one place,
// so the innermost shared part decides. With a store of its own choice in each gate
// most of what one had saved the others sought where it was not, and it was read
// again. The caller holds the lock.
func (p *Placer) kvStoreFor(part string) *kvStore {
	var best *kvStore
	var bestScore uint64
	for _, store := range p.kvStores {
		if score := xxhash.Sum64String(part + store.KVStore.String()); best == nil || score > bestScore {
			best, bestScore = store, score
		}
	}
	return best
}

// savedSince tells when a part was sent to the store, zero where it is not there any
// more.
func (s *kvStore) savedAt(locations *partLocations) time.Time {
	if s == nil || !locations.savedAt.After(s.lastFailure) {
		return time.Time{}
	}
	return locations.savedAt
}

// address is where the store is, invalid while it does not answer.
func (s *kvStore) address(now time.Time) netip.AddrPort {
	if now.Before(s.downUntil) {
		return netip.AddrPort{}
	}
	return s.KVStore
}

// KVStoreFailed tells that a store of kept KV cache does not answer. It comes back
// empty, so what was saved before counts no more.
func (p *Placer) KVStoreFailed(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if store := p.kvStoreAt(address); store != nil {
		now := p.clock.Now()
		store.downUntil, store.lastFailure = now.Add(storeRetryInterval), now
	}
}

// KVStores gives the addresses of the stores of kept KV cache.
func (p *Placer) KVStores() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make([]netip.AddrPort, 0, len(p.kvStores))
	for _, store := range p.kvStores {
		addresses = append(addresses, store.KVStore)
	}
	return addresses
}
