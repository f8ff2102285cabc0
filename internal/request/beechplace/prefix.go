package beechplace

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// sharedPart is a shared part of a prompt together with all parts before it.
type sharedPart struct {
	id     string
	tokens int
	homeID string   // the engine that all gates select for it
	store  *kvStore // the KV cache store that all gates select for it; nil if there is none
}

const (
	// cacheRetention is how long after its last use a part is assumed to be cached. Engines
	// evict the least recently used parts and replace their whole cache in about this time.
	cacheRetention = 12 * time.Second
	// homeHitProbability is the chance that the home of a part has it cached although this
	// gate has no record of it, because another gate's announcement has not arrived yet.
	homeHitProbability = 0.1
	// resaveInterval is how long a part is assumed to stay in the KV cache store without being
	// saved again; fetching a part keeps it there. Each save includes the request's own part,
	// which nobody fetches, so saving more often would exceed the capacity of the store's
	// link.
	resaveInterval = time.Minute
	// maxPrefixWait bounds the wait for a part that is being prefilled. Engines take 100 to
	// 200 ms for a history; with a longer queue the end of the prefill cannot be predicted.
	maxPrefixWait = 250 * time.Millisecond
	// engineOverhead is the time that an engine needs besides the prefill.
	engineOverhead = 10 * time.Millisecond
	// saveLatency is the time until a part can be fetched from the KV cache store, its prefill
	// included. From then on the store is the better source, as engines evict parts within
	// seconds.
	saveLatency = 300 * time.Millisecond
	// minSlowFetchTokens is the size below which a part is prefilled rather than fetched over
	// a congested link: the prefill takes less than 25 ms.
	minSlowFetchTokens = 1024
	// minAnnouncedMissing is the number of missing shared tokens from which on other gates are
	// told that the server will now cache them.
	minAnnouncedMissing = 32
)

// sharedParts returns a call's shared parts, outermost first.
func (p *Placer) sharedParts(call *beechcall.Call, now time.Time) []sharedPart {
	if len(call.Parts) < 2 {
		return nil
	}
	parts := make([]sharedPart, 0, len(call.Parts)-1)
	chain := ""
	for _, part := range call.Parts[:len(call.Parts)-1] {
		chain += part.ID + ","
		parts = append(parts, sharedPart{id: part.ID, tokens: part.Tokens})
	}
	innermost := &parts[len(parts)-1]
	innermost.homeID, innermost.store = p.homeServer(call.Service, chain, now), p.kvStoreFor(innermost.id)
	return parts
}

// homeServer selects, by rendezvous hashing, the engine that all gates use for a part of which
// they have no record. Two gates that see a part for the first time at once then prefill it
// only once. Servers with a limit or that have asked for no requests are excluded, as most
// requests for the part would have to go elsewhere.
func (p *Placer) homeServer(service, name string, now time.Time) string {
	best, bestScore := "", uint64(0)
	for _, s := range p.services[service] {
		if !p.mayReceive(s, now) || p.limits.Limited(s.ID) {
			continue
		}
		if score := xxhash.Sum64String(name + s.ID); best == "" || score > bestScore {
			best, bestScore = s.ID, score
		}
	}
	return best
}

// estimatePrefix sets the choice's prefill tokens and the source to fetch shared parts from,
// and returns the cost of both beyond the prefill time itself.
//
// A part is usable only if all parts before it are cached too, so cached tokens end at the
// first missing part. Missing parts can be fetched from one place: the one that probably has
// the most of them. If a part is being prefilled by another request, this request waits for
// it; sent at once, it would prefill the part a second time.
func (p *Placer) estimatePrefix(call *beechcall.Call, s *server, parts []sharedPart, now time.Time, c *Choice) float64 {
	sharedTokens, missing, fetched := 0, 0, 0
	var store *kvStore
	if len(parts) > 0 {
		store = parts[len(parts)-1].store
	}
	cached, fetchable := true, true
	var savedAt time.Time
	for _, part := range parts {
		sharedTokens += part.tokens
		locations, tracked := p.locations.Peek(PartKey(c.Salt, part.id))
		if !tracked {
			locations = &partLocations{}
		}
		savedAt = store.savedAt(locations)
		if cached {
			if wait, ok := locations.readyIn(s, now); ok {
				c.Wait = max(c.Wait, wait)
				continue
			}
		}
		cached = false
		missing += part.tokens
		if !fetchable {
			continue
		}
		if source, wait, ok := p.fetchSource(s, locations, now); ok {
			c.Fetch = source
			c.Wait = max(c.Wait, wait)
			fetched += part.tokens
			continue
		}
		fetchable = false
	}
	uncached := float64(missing - fetched)
	if uncached > 0 && parts[len(parts)-1].homeID == s.ID {
		uncached *= 1 - homeHitProbability
	}
	c.PrefillTokens = max(call.PromptTokens-sharedTokens, 0) + int(uncached)
	c.Missing = missing
	if missing > 0 && store != nil {
		inStore := !savedAt.IsZero() && now.Sub(savedAt) > saveLatency
		if (inStore || !c.Fetch.IsValid()) && p.linkHasRoom(&store.fetches, missing, now) && (missing >= minSlowFetchTokens || !store.fetches.congested()) {
			c.Fetch = store.address(now)
			c.StoreTokens = missing
		}
		if now.Sub(savedAt) > resaveInterval && p.linkHasRoom(&store.saves, call.PromptTokens, now) {
			c.Save = store.address(now)
		}
	}
	return p.settings.ReprefillCost*uncached + p.settings.FetchCost*float64(fetched) + milliseconds(c.Wait)
}

// fetchSource returns an engine that probably caches a part, or will after the returned wait.
// Engines in the server's own zone are preferred.
func (p *Placer) fetchSource(s *server, locations *partLocations, now time.Time) (netip.AddrPort, time.Duration, bool) {
	var best netip.AddrPort
	var bestWait time.Duration
	for _, id := range locations.sources {
		entry := locations.servers[id]
		candidate, ok := p.byID[id]
		wait := max(entry.readyAt.Sub(now), 0)
		if !ok || candidate == s || candidate.superseded || !entry.likelyCached(candidate, now) || wait > maxPrefixWait || now.Before(candidate.downUntil) {
			continue
		}
		if candidate.Zone == s.Zone && wait == 0 {
			return candidate.Address, 0, true
		}
		if !best.IsValid() || wait < bestWait {
			best, bestWait = candidate.Address, wait
		}
	}
	return best, bestWait, best.IsValid()
}

// readyIn reports whether a server caches the part now or will after the returned wait.
func (l *partLocations) readyIn(s *server, now time.Time) (time.Duration, bool) {
	entry, ok := l.servers[s.ID]
	if !ok || !entry.likelyCached(s, now) {
		return 0, false
	}
	wait := max(entry.readyAt.Sub(now), 0)
	return wait, wait <= maxPrefixWait
}

// likelyCached reports whether a part sent to a server is probably still cached there.
func (c cachedCopy) likelyCached(s *server, now time.Time) bool {
	return now.Sub(c.usedAt) <= cacheRetention && !c.usedAt.Before(s.restartedAt)
}

// recordAttempt records that the chosen server will cache a call's shared parts, and returns
// their keys.
func (p *Placer) recordAttempt(call *beechcall.Call, c Choice, now time.Time) []uint64 {
	var keys []uint64
	if store := p.kvStoreAt(c.Fetch); store != nil {
		store.fetches.take(c.StoreTokens, now)
	}
	if store := p.kvStoreAt(c.Save); store != nil {
		store.saves.take(call.PromptTokens, now)
	}
	readyAt := now
	if s, ok := p.byID[c.Server.ID]; ok {
		readyAt = p.prefillDoneAt(s, now.Add(c.Wait))
	}
	for i := 0; i+1 < len(call.Parts); i++ {
		key := PartKey(c.Salt, call.Parts[i].ID)
		p.recordCopy(key, c.Server.ID, now, readyAt, c.Save.IsValid())
		keys = append(keys, key)
	}
	return keys
}

// prefillDoneAt returns when a server is expected to have prefilled all that it was sent.
func (p *Placer) prefillDoneAt(s *server, now time.Time) time.Time {
	return now.Add(time.Duration(p.queuedTokens(s, now)/p.serverPrefillRate(s, now)*float64(time.Millisecond)) + engineOverhead)
}

// locationsOf returns the record of a part and creates it if there is none.
func (p *Placer) locationsOf(key uint64) *partLocations {
	if locations, ok := p.locations.Get(key); ok {
		return locations
	}
	locations := &partLocations{servers: make(map[string]cachedCopy)}
	p.locations.Add(key, locations)
	return locations
}

// recordCopy records that a server caches a part.
func (p *Placer) recordCopy(key uint64, id string, now, readyAt time.Time, saved bool) {
	locations := p.locationsOf(key)
	entry := cachedCopy{usedAt: now, readyAt: readyAt}
	if previous, ok := locations.servers[id]; ok && now.Sub(previous.usedAt) < cacheRetention {
		entry.readyAt = previous.readyAt // cached already, or being prefilled
	}
	if len(locations.servers) > len(p.byID) {
		maps.DeleteFunc(locations.servers, func(other string, _ cachedCopy) bool { return p.byID[other] == nil })
	}
	locations.servers[id] = entry
	locations.sources = slices.DeleteFunc(locations.sources, func(other string) bool { return other == id })
	locations.sources = slices.Insert(locations.sources, 0, id)
	if len(locations.sources) > maxSources {
		locations.sources = locations.sources[:maxSources]
	}
	if saved {
		locations.savedAt = now
	}
}

// recordSaved records that a part is being saved to the KV cache store.
func (p *Placer) recordSaved(key uint64, now time.Time) { p.locationsOf(key).savedAt = now }

// removeCopy removes a server from a part's locations.
func (p *Placer) removeCopy(key uint64, id string) {
	locations, ok := p.locations.Peek(key)
	if !ok {
		return
	}
	delete(locations.servers, id)
	locations.sources = slices.DeleteFunc(locations.sources, func(other string) bool { return other == id })
}

// PartKey returns the key of a part under a salt. It is the same in all processes.
func PartKey(salt, part string) uint64 { return xxhash.Sum64String(salt + "|" + part) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
