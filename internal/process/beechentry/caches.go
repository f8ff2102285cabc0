package beechentry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechroute"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechtask"
)

const (
	// changesInterval is how often an agent is asked for changes of its
	// engine's cache at most. The replay found a hit rate that does not fall
	// from 100 to 400 ms, for about twice the waste.
	changesInterval = 100 * time.Millisecond

	// changesAtOnce bounds the questions under way.
	changesAtOnce = 16
)

// followCaches asks agents what has come into their engines' caches, and gone,
// until ctx ends. Only those that said that something changed are asked, so
// that an idle fleet costs nothing. Without it each entry host would learn of
// prefixes only by its own requests, and would make a copy of each.
func (e *Entry) followCaches(ctx context.Context) error {
	return beechtask.Every(ctx, e.clock, changesInterval, func() { e.askChanges(ctx) })
}

func (e *Entry) askChanges(ctx context.Context) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, changesAtOnce)
	for agent, known := range e.fleet.changedCaches() {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			e.askChangesOf(ctx, agent, known)
		})
	}
	wait.Wait()
}

func (e *Entry) askChangesOf(ctx context.Context, agent netip.AddrPort, known uint64) {
	asking, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var got beechwire.Changes
	if err := e.fleet.call(asking, agent, beechwire.MethodChanges, &beechwire.ChangesAsk{After: known}, &got); err != nil {
		e.log.Debug("cache changes not read", beechlog.Step("read changes"), beechlog.Peer(agent), zap.Error(err))
		return
	}
	if !e.fleet.noteChanges(agent, got) {
		return
	}
	changes := beechroute.CacheChanges{Complete: got.All, List: make([]beechroute.CacheChange, 0, len(got.List))}
	for _, c := range got.List {
		change := beechroute.CacheChange{Tokens: c.Tokens, Held: c.Held}
		copy(change.Key[:], c.Key)
		changes.List = append(changes.List, change)
	}
	if !e.fleet.router.ApplyCacheChanges(agent, got.Incarnation, changes) {
		e.fleet.forgetChanges(agent)
	}
}

// forgetChanges makes the next question ask for everything: the router did not
// know the server yet.
func (f *fleet) forgetChanges(agent netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.links[agent]; l != nil {
		l.known = 0
	}
}

// changedCaches lists the agents whose caches changed, with the version that
// the router has.
func (f *fleet) changedCaches() map[netip.AddrPort]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := map[netip.AddrPort]uint64{}
	for address, l := range f.links {
		if l.up && l.told != l.known {
			changed[address] = l.known
		}
	}
	return changed
}

// cacheVersions gives the version of each agent's index that is known here, by
// the agent's address.
func (f *fleet) cacheVersions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions := make(map[string]uint64, len(f.links))
	for address, l := range f.links {
		versions[address.String()] = l.known
	}
	return versions
}

// noteChanges notes the version that the router is about to have. It is false
// for the word of an agent that was replaced meanwhile.
func (f *fleet) noteChanges(agent netip.AddrPort, got beechwire.Changes) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.links[agent]
	if l == nil || l.incarnation != got.Incarnation {
		return false
	}
	l.known = got.Next
	l.told = got.Next
	return true
}
