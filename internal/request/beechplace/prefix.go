package beechplace

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// level is a shared part with all parts before it, as this gate knows it.
type sharedPart struct {
	id     string
	tokens int
	homeID string   // the engine that all gates agree on for it
	store  *kvStore // and the store of kept KV cache; nil is none
}

const (
	// cacheRetention is how long after its last use a part is taken to lie in an
	// engine still: the least recently used yield, and the engines here turn
	// their memory over in about that time.
	cacheRetention = 12 * time.Second
	// homeHitProbability is the chance that the home of a part that this gate knows
	// nothing of has it already, from another gate whose word has not come yet.
	homeHitProbability = 0.1
	// resaveInterval is how long a part is taken to lie in the store of kept KV cache
	// without being saved again; fetching it keeps it there. Each saving takes
	// the request's own part along, which nobody fetches: saved more often, prompts
	// would be more than the store's link carries.
	resaveInterval = time.Minute
	// maxPrefixWait is the longest wait for a part that is being read. Reading a
	// history takes engines 100 to 200 ms; with more ahead it is not sure when
	// it will be read.
	maxPrefixWait = 250 * time.Millisecond
	// engineOverhead is an engine's time beside the reading itself.
	engineOverhead = 10 * time.Millisecond
	// saveLatency is how long a part takes to come into the store of kept KV cache,
	// its reading included. From then on the store is the better source: what
	// engines hold is dropped within seconds.
	saveLatency = 300 * time.Millisecond
	// minSlowFetchTokens is the tokens below which a part is read rather than fetched over
	// a link that is slow: reading them takes less than 25 ms.
	minSlowFetchTokens = 1024
	// minAnnouncedMissing is the shared tokens that a server must be missing for other
	// gates to be told that it will hold them now.
	minAnnouncedMissing = 32
)

// levels gives a call's shared parts, outermost first.
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

// home is the engine that all gates choose by themselves for a part that they
// know nothing of, by rendezvous hashing. Two gates that meet a part in the
// same moment then read it once. A server with a limit is none's home, as most of
// those who look for the part there would be sent elsewhere.
func (p *Placer) homeServer(service, name string, now time.Time) string {
	best, bestScore := "", uint64(0)
	for _, s := range p.services[service] {
		if !p.usable(s, now) || p.limits.Limited(s.ID) {
			continue
		}
		if score := xxhash.Sum64String(name + s.ID); best == "" || score > bestScore {
			best, bestScore = s.ID, score
		}
	}
	return best
}

// prefix fills in what the server will have to read and where it may fetch
// shared parts from, and gives the cost of both beyond the reading's own time.
//
// A part is only of use behind all parts before it, so the first one that is
// missing ends what is held. What is missing can be fetched from one place:
// the one that probably has the most of it. A part that is being read at this
// moment is not there yet: a request that came at once would read it a second
// time, so it waits until the first has read it.
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

// source names an engine that probably holds a part, or will within the wait,
// of the server's own zone if there is one.
func (p *Placer) fetchSource(s *server, locations *partLocations, now time.Time) (netip.AddrPort, time.Duration, bool) {
	var best netip.AddrPort
	var bestWait time.Duration
	for _, id := range locations.sources {
		copied := locations.servers[id]
		candidate, ok := p.byID[id]
		wait := max(copied.readyAt.Sub(now), 0)
		if !ok || candidate == s || candidate.superseded || !copied.likelyCached(candidate, now) || wait > maxPrefixWait || now.Before(candidate.downUntil) {
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

// at tells whether a server holds the part, or will after a wait.
func (h *partLocations) readyIn(s *server, now time.Time) (time.Duration, bool) {
	v, ok := h.servers[s.ID]
	if !ok || !v.likelyCached(s, now) {
		return 0, false
	}
	wait := max(v.readyAt.Sub(now), 0)
	return wait, wait <= maxPrefixWait
}

// stands tells whether what a server was sent is probably there still.
func (h cachedCopy) likelyCached(s *server, now time.Time) bool {
	return now.Sub(h.usedAt) <= cacheRetention && !h.usedAt.Before(s.restartedAt)
}

// remember notes that a server will hold a call's shared parts, and gives their
// keys.
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

// readBy is when a server will have read what it was sent so far.
func (p *Placer) prefillDoneAt(s *server, now time.Time) time.Time {
	return now.Add(time.Duration(p.queuedTokens(s, now)/p.serverPrefillRate(s, now)*float64(time.Millisecond)) + engineOverhead)
}

// holding gives what is believed of a part, empty if nothing is.
func (p *Placer) locationsOf(key uint64) *partLocations {
	if locations, ok := p.locations.Get(key); ok {
		return locations
	}
	locations := &partLocations{servers: make(map[string]cachedCopy)}
	p.locations.Add(key, locations)
	return locations
}

// hold notes that a server holds a part.
func (p *Placer) recordCopy(key uint64, id string, now, readyAt time.Time, saved bool) {
	locations := p.locationsOf(key)
	entry := cachedCopy{usedAt: now, readyAt: readyAt}
	if previous, ok := locations.servers[id]; ok && now.Sub(previous.usedAt) < cacheRetention {
		entry.readyAt = previous.readyAt // it has them already, or is at it
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

// keep notes that a part is on its way to the store of kept KV cache.
func (p *Placer) recordSaved(key uint64, now time.Time) { p.locationsOf(key).savedAt = now }

// drop takes a server off a part's holders.
func (p *Placer) removeCopy(key uint64, id string) {
	locations, ok := p.locations.Peek(key)
	if !ok {
		return
	}
	delete(locations.servers, id)
	locations.sources = slices.DeleteFunc(locations.sources, func(other string) bool { return other == id })
}

// PartKey names a part under a salt, alike in all processes.
func PartKey(salt, part string) uint64 { return xxhash.Sum64String(salt + "|" + part) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
