package beechplace

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// kvStore is the state of a remote KV cache store. A fleet may have several, each with a
// network link of its own.
type kvStore struct {
	beechcall.Service
	downUntil   time.Time
	lastFailure time.Time // its contents are lost when it fails
	fetches     storeLink
	saves       storeLink
}

// storeRetryInterval is how long a store that refused a connection is not used. It exceeds two
// probe intervals, since stores are probed in turn and a fleet may have two.
const storeRetryInterval = 4 * time.Second

// setKVStores applies the stores of a configuration and keeps the state of known ones. The
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

// updateLinkShares sets this gate's share of the stores' links in both directions. The caller
// holds the lock.
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

// linkHasRoom reports whether the given number of tokens may be transferred now. The caller
// holds the lock.
func (p *Placer) linkHasRoom(link *storeLink, tokens int, now time.Time) bool {
	link.minBurst = burstPrompts * p.meanPrompt
	return link.hasRoom(tokens, now)
}

// kvStoreAt returns the store at an address, or nil. The caller holds the lock.
func (p *Placer) kvStoreAt(address netip.AddrPort) *kvStore {
	i := slices.IndexFunc(p.kvStores, func(s *kvStore) bool { return s.KVStore == address })
	if i < 0 {
		return nil
	}
	return p.kvStores[i]
}

// kvStoreFor returns the store for a shared part with all parts before it, or nil if there are
// no stores. All gates select the same one: if each gate chose its own, most parts saved by
// one gate would be looked for in another store and prefilled again. A request fetches from
// one place only, so the innermost shared part decides. The caller holds the lock.
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

// savedAt returns when a part was saved to the store, or the zero time if the store no longer
// has it.
func (s *kvStore) savedAt(locations *partLocations) time.Time {
	if s == nil || !locations.savedAt.After(s.lastFailure) {
		return time.Time{}
	}
	return locations.savedAt
}

// address returns the store's address, which is invalid while the store does not answer.
func (s *kvStore) address(now time.Time) netip.AddrPort {
	if now.Before(s.downUntil) {
		return netip.AddrPort{}
	}
	return s.KVStore
}

// KVStoreFailed records that a KV cache store does not answer. It comes back empty, so earlier
// saves no longer count.
func (p *Placer) KVStoreFailed(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if store := p.kvStoreAt(address); store != nil {
		now := p.clock.Now()
		store.downUntil, store.lastFailure = now.Add(storeRetryInterval), now
	}
}

// KVStores returns the addresses of the KV cache stores.
func (p *Placer) KVStores() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make([]netip.AddrPort, 0, len(p.kvStores))
	for _, store := range p.kvStores {
		addresses = append(addresses, store.KVStore)
	}
	return addresses
}
