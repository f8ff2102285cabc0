package beechkeeper

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// cacheWatch is how far a keeper has followed its engine's cache.
type cacheWatch struct {
	since  uint64 // number of the last change
	epoch  uint64
	listed bool // what was held then is known
}

// news is keys that gates are to be told, each some times, since a datagram may
// be lost.
type news struct {
	keys  []uint64
	times []int
}

const (
	newsTimes = 2
	newsMost  = 64 // in one datagram
	cacheWait = 900 * time.Millisecond
	// cachePace lets changes come together: each call costs the same however
	// many it tells.
	cachePace  = 100 * time.Millisecond
	cacheAgain = 500 * time.Millisecond
	cacheSlack = time.Second
	// heldMost bounds what is remembered of an engine's cache: some changes are
	// never told, so parts would stay for good. An engine's memory of 100
	// thousand tokens holds a few hundred parts at most.
	heldMost = 1024
	// worthTelling is the tokens of a part in the engine's list that is worth a
	// word: reading it takes ten milliseconds or more.
	worthTelling = 512
	// listAgain is the least time between the engine's lists, which hold it up.
	listAgain = 2 * time.Second
)

func (n *news) add(key uint64) {
	if i := slices.Index(n.keys, key); i >= 0 {
		n.times[i] = 0
		return
	}
	n.keys = append(n.keys, key)
	n.times = append(n.times, 0)
}

func (n *news) remove(key uint64) {
	if i := slices.Index(n.keys, key); i >= 0 {
		n.keys = slices.Delete(n.keys, i, i+1)
		n.times = slices.Delete(n.times, i, i+1)
	}
}

// take gives what is to be told now.
func (n *news) take() []uint64 {
	told := slices.Clone(n.keys[:min(len(n.keys), newsMost)])
	if told == nil {
		told = []uint64{}
	}
	kept := 0
	for i, key := range n.keys {
		times := n.times[i]
		if i < len(told) {
			times++
		}
		if times < newsTimes {
			n.keys[kept], n.times[kept] = key, times
			kept++
		}
	}
	n.keys, n.times = n.keys[:kept], n.times[:kept]
	return told
}

// watchCache follows the engine's cache, and tells gates of the parts that it
// drops and that they believe there. Without it they would have other engines
// fetch from this one what it no longer has, and these would read it again.
//
// What comes into the cache is known from gates' announcements. At the start and
// after a gap the engine's own list stands in for them.
func (k *Keeper) watchCache(ctx context.Context) error {
	var w cacheWatch
	for ctx.Err() == nil {
		pause := k.followCache(ctx, &w)
		select {
		case <-k.needs.Clock.After(pause):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// followCache does one step, and gives the pause before the next.
func (k *Keeper) followCache(ctx context.Context, w *cacheWatch) time.Duration {
	if !w.listed {
		held, err := k.listCache(ctx)
		if err != nil {
			return cacheAgain
		}
		*w = cacheWatch{since: held.Next, epoch: held.Epoch, listed: true}
		return cachePace
	}
	limited, cancel := clockwork.WithTimeout(ctx, k.needs.Clock, cacheWait+cacheSlack)
	defer cancel()
	shrunk, err := k.needs.Engine.WaitForEvictions(limited, w.since, cacheWait)
	switch {
	case err != nil:
		return cacheAgain
	case shrunk.Lost || shrunk.Epoch != w.epoch:
		k.needs.Log.Info("cache not known any more", zap.Bool("lost", shrunk.Lost), zap.Uint64("epoch", shrunk.Epoch))
		k.dropAll()
		w.listed = false
		return listAgain
	}
	k.drop(shrunk.Parts)
	w.since = shrunk.Next
	return cachePace
}

// listCache takes in what the engine holds by its own word. Small parts are
// passed over: reading them takes less than telling all gates of them is worth.
func (k *Keeper) listCache(ctx context.Context) (CacheSnapshot, error) {
	limited, cancel := clockwork.WithTimeout(ctx, k.needs.Clock, reportPatience)
	defer cancel()
	held, err := k.needs.Engine.CacheSnapshot(limited)
	if err != nil {
		k.needs.Log.Info("cache not listed", zap.Error(err))
		return held, err
	}
	k.needs.Log.Info("cache listed", zap.Int("parts", len(held.Parts)), zap.Uint64("epoch", held.Epoch))
	k.mu.Lock()
	for _, part := range held.Parts {
		if part.Tokens >= worthTelling {
			k.hold(part.Key, false)
		}
	}
	k.mu.Unlock()
	k.tell(true)
	return held, nil
}

// hold notes a part that the engine has, or will have when it has read what is
// on its way, and has gates told. The caller holds the lock.
func (k *Keeper) hold(part uint64, kept bool) {
	k.held.Add(part, struct{}{})
	for a := range k.audiences() {
		a.parts.add(part)
		if kept {
			a.kept.add(part)
		}
	}
}

// introduce has a gate that is new told of what the engine holds, the newest
// parts. A gate that started knows nothing; it would send each history to
// another engine and have it read or moved there, all of them in the first
// second, and answers would be late for some. The caller holds the lock.
func (k *Keeper) introduce(f *follower) {
	held := k.held.Keys()
	for _, part := range held[max(len(held)-newsMost, 0):] {
		f.parts.add(part)
	}
}

func (k *Keeper) drop(parts []Part) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, part := range parts {
		if k.held.Remove(part.Key) {
			k.tellGone(part.Key)
		}
	}
}

func (k *Keeper) dropAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, part := range k.held.Keys() {
		k.tellGone(part)
	}
	k.held.Purge()
}

// tellGone has all gates told of a part. The caller holds the lock.
func (k *Keeper) tellGone(part uint64) {
	for a := range k.audiences() {
		a.parts.remove(part)
		a.gone.add(part)
	}
}
