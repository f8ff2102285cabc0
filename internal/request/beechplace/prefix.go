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
type level struct {
	id     string
	tokens int
	home   string     // the engine that all gates agree on for it
	store  *keptStore // and the store of kept KV cache; nil is none
}

const (
	// heldFor is how long after its last use a part is taken to lie in an
	// engine still: the least recently used yield, and the engines here turn
	// their memory over in about that time.
	heldFor = 12 * time.Second
	// homeHolds is the chance that the home of a part that this gate knows
	// nothing of has it already, from another gate whose word has not come yet.
	homeHolds = 0.1
	// saveAgain is how long a part is taken to lie in the store of kept KV cache
	// without being saved again; fetching it keeps it there. Each saving takes
	// the request's own part along, which nobody fetches: saved more often, prompts
	// would be more than the store's link carries.
	saveAgain = time.Minute
	// waitMost is the longest wait for a part that is being read. Reading a
	// history takes engines 100 to 200 ms; with more ahead it is not sure when
	// it will be read.
	waitMost = 250 * time.Millisecond
	// readSlack is an engine's time beside the reading itself.
	readSlack = 10 * time.Millisecond
	// savedIn is how long a part takes to come into the store of kept KV cache,
	// its reading included. From then on the store is the better source: what
	// engines hold is dropped within seconds.
	savedIn = 300 * time.Millisecond
	// smallFetch is the tokens below which a part is read rather than fetched over
	// a link that is slow: reading them takes less than 25 ms.
	smallFetch = 1024
	// newsLeast is the shared tokens that a server must be missing for other
	// gates to be told that it will hold them now.
	newsLeast = 32
)

// levels gives a call's shared parts, outermost first.
func (p *Placer) levels(call *beechcall.Call, now time.Time) []level {
	if len(call.Parts) < 2 {
		return nil
	}
	levels := make([]level, 0, len(call.Parts)-1)
	chain := ""
	for _, part := range call.Parts[:len(call.Parts)-1] {
		chain += part.ID + ","
		levels = append(levels, level{id: part.ID, tokens: part.Tokens})
	}
	last := &levels[len(levels)-1]
	last.home, last.store = p.home(call.Service, chain, now), p.storeOf(last.id)
	return levels
}

// home is the engine that all gates choose by themselves for a part that they
// know nothing of, by rendezvous hashing. Two gates that meet a part in the
// same moment then read it once. A server with a limit is none's home, as most of
// those who look for the part there would be sent elsewhere.
func (p *Placer) home(service, name string, now time.Time) string {
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
func (p *Placer) prefix(call *beechcall.Call, s *server, levels []level, now time.Time, c *Choice) float64 {
	shared, missing, fetched := 0, 0, 0
	var store *keptStore
	if len(levels) > 0 {
		store = levels[len(levels)-1].store
	}
	held, known := true, true
	var saved time.Time
	for _, l := range levels {
		shared += l.tokens
		h, met := p.holders.Peek(PartKey(c.Salt, l.id))
		if !met {
			h = &holding{}
		}
		saved = store.savedSince(h)
		if held {
			if wait, ok := h.at(s, now); ok {
				c.Wait = max(c.Wait, wait)
				continue
			}
		}
		held = false
		missing += l.tokens
		if !known {
			continue
		}
		if source, wait, ok := p.source(s, h, now); ok {
			c.Fetch = source
			c.Wait = max(c.Wait, wait)
			fetched += l.tokens
			continue
		}
		known = false
	}
	unread := float64(missing - fetched)
	if unread > 0 && levels[len(levels)-1].home == s.ID {
		unread *= 1 - homeHolds
	}
	c.PrefillTokens = max(call.PromptTokens-shared, 0) + int(unread)
	c.Missing = missing
	if missing > 0 && store != nil {
		fresh := !saved.IsZero() && now.Sub(saved) > savedIn
		if (fresh || !c.Fetch.IsValid()) && p.room(&store.fetches, missing, now) && (missing >= smallFetch || !store.fetches.slow()) {
			c.Fetch = store.address(now)
			c.StoreTokens = missing
		}
		if now.Sub(saved) > saveAgain && p.room(&store.saves, call.PromptTokens, now) {
			c.Save = store.address(now)
		}
	}
	return p.settings.ReprefillCost*unread + p.settings.FetchCost*float64(fetched) + milliseconds(c.Wait)
}

// source names an engine that probably holds a part, or will within the wait,
// of the server's own zone if there is one.
func (p *Placer) source(s *server, held *holding, now time.Time) (netip.AddrPort, time.Duration, bool) {
	var other netip.AddrPort
	var otherWait time.Duration
	for _, id := range held.latest {
		h := held.servers[id]
		v, ok := p.byID[id]
		wait := max(h.from.Sub(now), 0)
		if !ok || v == s || v.over || !h.stands(v, now) || wait > waitMost || now.Before(v.downTil) {
			continue
		}
		if v.Zone == s.Zone && wait == 0 {
			return v.Address, 0, true
		}
		if !other.IsValid() || wait < otherWait {
			other, otherWait = v.Address, wait
		}
	}
	return other, otherWait, other.IsValid()
}

// at tells whether a server holds the part, or will after a wait.
func (h *holding) at(s *server, now time.Time) (time.Duration, bool) {
	v, ok := h.servers[s.ID]
	if !ok || !v.stands(s, now) {
		return 0, false
	}
	wait := max(v.from.Sub(now), 0)
	return wait, wait <= waitMost
}

// stands tells whether what a server was sent is probably there still.
func (h holder) stands(s *server, now time.Time) bool {
	return now.Sub(h.at) <= heldFor && !h.at.Before(s.empty)
}

// remember notes that a server will hold a call's shared parts, and gives their
// keys.
func (p *Placer) remember(call *beechcall.Call, c Choice, now time.Time) []uint64 {
	var keys []uint64
	if store := p.storeAt(c.Fetch); store != nil {
		store.fetches.use(c.StoreTokens, now)
	}
	if store := p.storeAt(c.Save); store != nil {
		store.saves.use(call.PromptTokens, now)
	}
	from := now
	if s, ok := p.byID[c.Server.ID]; ok {
		from = p.readBy(s, now.Add(c.Wait))
	}
	for i := 0; i+1 < len(call.Parts); i++ {
		key := PartKey(c.Salt, call.Parts[i].ID)
		p.hold(key, c.Server.ID, now, from, c.Save.IsValid())
		keys = append(keys, key)
	}
	return keys
}

// readBy is when a server will have read what it was sent so far.
func (p *Placer) readBy(s *server, now time.Time) time.Time {
	return now.Add(time.Duration(p.ahead(s, now)/p.rateOf(s, now)*float64(time.Millisecond)) + readSlack)
}

// holding gives what is believed of a part, empty if nothing is.
func (p *Placer) holding(key uint64) *holding {
	if held, ok := p.holders.Get(key); ok {
		return held
	}
	held := &holding{servers: make(map[string]holder)}
	p.holders.Add(key, held)
	return held
}

// hold notes that a server holds a part.
func (p *Placer) hold(key uint64, id string, now, from time.Time, saved bool) {
	held := p.holding(key)
	next := holder{at: now, from: from}
	if old, ok := held.servers[id]; ok && now.Sub(old.at) < heldFor {
		next.from = old.from // it has them already, or is at it
	}
	if len(held.servers) > len(p.byID) {
		maps.DeleteFunc(held.servers, func(other string, _ holder) bool { return p.byID[other] == nil })
	}
	held.servers[id] = next
	held.latest = slices.DeleteFunc(held.latest, func(other string) bool { return other == id })
	held.latest = slices.Insert(held.latest, 0, id)
	if len(held.latest) > sourcesListed {
		held.latest = held.latest[:sourcesListed]
	}
	if saved {
		held.saved = now
	}
}

// keep notes that a part is on its way to the store of kept KV cache.
func (p *Placer) keep(key uint64, now time.Time) { p.holding(key).saved = now }

// drop takes a server off a part's holders.
func (p *Placer) drop(key uint64, id string) {
	held, ok := p.holders.Peek(key)
	if !ok {
		return
	}
	delete(held.servers, id)
	held.latest = slices.DeleteFunc(held.latest, func(other string) bool { return other == id })
}

// PartKey names a part under a salt, alike in all processes.
func PartKey(salt, part string) uint64 { return xxhash.Sum64String(salt + "|" + part) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
