package beechkeeper

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// cachePosition is how far a keeper has followed the changes of its engine's cache.
type cachePosition struct {
	since  uint64 // number of the last change
	epoch  uint64
	listed bool // the cache was listed at the start of this epoch
	stale  staleAnswers
}

// keyQueue holds keys to be sent to gates. Each is sent several times, since a datagram
// may be lost.
type keyQueue struct {
	keys       []uint64
	sendCounts []int
}

const (
	keyRepeats        = 2
	maxKeysPerMessage = 64 // per datagram
	evictionWait      = 900 * time.Millisecond
	// evictionInterval lets evictions accumulate: each call costs the same, however many
	// it returns.
	evictionInterval   = 100 * time.Millisecond
	cacheRetryInterval = 500 * time.Millisecond
	evictionWaitSlack  = time.Second
	// maxCachedParts bounds the list of cached parts: some evictions are never reported,
	// so parts would stay in it forever. An engine's memory of 100 thousand tokens
	// holds a few hundred parts at most.
	maxCachedParts = 1024
	// minPartTokens is the size from which a part in the engine's list is reported:
	// prefilling it takes ten milliseconds or more.
	minPartTokens = 512
	// relistInterval is the minimum time between lists of the cache, which block the
	// engine.
	relistInterval = 2 * time.Second
)

func (q *keyQueue) add(key uint64) {
	if i := slices.Index(q.keys, key); i >= 0 {
		q.sendCounts[i] = 0
		return
	}
	q.keys = append(q.keys, key)
	q.sendCounts = append(q.sendCounts, 0)
}

func (q *keyQueue) remove(key uint64) {
	if i := slices.Index(q.keys, key); i >= 0 {
		q.keys = slices.Delete(q.keys, i, i+1)
		q.sendCounts = slices.Delete(q.sendCounts, i, i+1)
	}
}

// take returns the keys to send now.
func (q *keyQueue) take() []uint64 {
	taken := slices.Clone(q.keys[:min(len(q.keys), maxKeysPerMessage)])
	if taken == nil {
		taken = []uint64{}
	}
	remaining := 0
	for i, key := range q.keys {
		count := q.sendCounts[i]
		if i < len(taken) {
			count++
		}
		if count < keyRepeats {
			q.keys[remaining], q.sendCounts[remaining] = key, count
			remaining++
		}
	}
	q.keys, q.sendCounts = q.keys[:remaining], q.sendCounts[:remaining]
	return taken
}

// watchCache follows the engine's cache and notifies gates of evicted parts that they
// consider cached there. Otherwise they would direct other engines to fetch from this one
// what it no longer has, and those would have to prefill it.
//
// Additions to the cache are known from gates' announcements. At the start and after a gap,
// the engine's own list replaces them.
func (k *Keeper) watchCache(ctx context.Context) error {
	var position cachePosition
	for ctx.Err() == nil {
		pause := k.followCacheOnce(ctx, &position)
		select {
		case <-k.deps.Clock.After(pause):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// followCacheOnce does one step and returns the pause before the next.
func (k *Keeper) followCacheOnce(ctx context.Context, position *cachePosition) time.Duration {
	if !position.listed {
		snapshot, err := k.listCache(ctx)
		if err != nil {
			return cacheRetryInterval
		}
		*position = cachePosition{since: snapshot.Next, epoch: snapshot.Epoch, listed: true}
		return evictionInterval
	}
	limited, cancel := clockwork.WithTimeout(ctx, k.deps.Clock, evictionWait+evictionWaitSlack)
	defer cancel()
	evictions, err := k.deps.Engine.WaitForEvictions(limited, position.since, evictionWait)
	switch {
	case err != nil:
		return cacheRetryInterval
	case position.stale.ignore(evictions.olderThan(*position)):
		k.metrics.staleAnswers.Add(1)
		k.deps.Log.Info("changes of the cache ignored as older ones", zap.Uint64("next", evictions.Next), zap.Uint64("since", position.since))
		return evictionInterval
	case evictions.Lost || evictions.Epoch != position.epoch || position.stale > 0:
		k.deps.Log.Info("cache state lost", zap.Bool("lost", evictions.Lost), zap.Uint64("epoch", evictions.Epoch))
		k.removeAllParts()
		position.listed, position.stale = false, 0
		return relistInterval
	}
	k.removeParts(evictions.Parts)
	position.since = evictions.Next
	return evictionInterval
}

// listCache records what the engine lists as cached. Small parts are skipped: prefilling
// them costs less than notifying all gates.
func (k *Keeper) listCache(ctx context.Context) (CacheSnapshot, error) {
	limited, cancel := clockwork.WithTimeout(ctx, k.deps.Clock, reportTimeout)
	defer cancel()
	snapshot, err := k.deps.Engine.CacheSnapshot(limited)
	if err != nil {
		k.deps.Log.Info("cache not listed", zap.Error(err))
		return snapshot, err
	}
	k.deps.Log.Info("cache listed", zap.Int("parts", len(snapshot.Parts)), zap.Uint64("epoch", snapshot.Epoch))
	k.mu.Lock()
	added := 0
	for _, part := range snapshot.Parts {
		if part.Tokens < minPartTokens {
			continue
		}
		if added++; added > maxCachedParts {
			break // more would push the first ones out of the list again
		}
		k.addPart(part.Key, false)
	}
	k.mu.Unlock()
	k.notify(true)
	return snapshot, nil
}

// addPart records a part that is in the engine's cache, or will be once announced prompts
// are prefilled, and queues it. The caller holds the lock.
func (k *Keeper) addPart(part uint64, stored bool) {
	k.cachedParts.Add(part, struct{}{})
	k.added.add(part)
	if stored {
		k.stored.add(part)
	}
}

func (k *Keeper) removeParts(parts []Part) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, part := range parts {
		if k.cachedParts.Remove(part.Key) {
			k.queueRemoval(part.Key)
		}
	}
}

func (k *Keeper) removeAllParts() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, part := range k.cachedParts.Keys() {
		k.queueRemoval(part)
	}
	k.cachedParts.Purge()
}

// queueRemoval queues a part's removal. The caller holds the lock.
func (k *Keeper) queueRemoval(part uint64) {
	k.added.remove(part)
	k.removed.add(part)
}
