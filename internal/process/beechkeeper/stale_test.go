package beechkeeper

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/request/beechrollout"
)

// evictingEngine answers calls for evictions in turn.
type evictingEngine struct {
	engine
	evictions chan CacheEvictions
}

func (e evictingEngine) WaitForEvictions(context.Context, uint64, time.Duration) (CacheEvictions, error) {
	return <-e.evictions, nil
}

func reportOf(born, sequence uint64, versions map[string]uint64) Report {
	return Report{Report: beechrollout.Report{Known: true, Born: born, Sequence: sequence, Versions: versions}}
}

// The copy of a report from before an order passes for a restart. The keeper would forget what its engine has
// cached, and give up the update that is under way.
func TestCopyOfAnEarlierReportIsNoRestart(t *testing.T) {
	is := is.New(t)
	reports := make(chan Report, 8)
	k := newKeeper(t, engine{reports: reports})
	weights := map[string]uint64{"m": 2}
	for _, r := range []Report{reportOf(5, 1, weights), reportOf(5, 0, weights), reportOf(0, 0, nil), reportOf(5, 1, weights)} {
		reports <- r
		k.pollEngine(t.Context())
		is.Equal(k.metrics.restarts.Value(), int64(0))
		is.Equal(k.lastReport.Sequence, uint64(1))
		is.Equal(k.lastReport.Versions, weights)
		is.Equal(k.phase, beechrollout.Serving)
	}
	is.Equal(k.metrics.staleAnswers.Value(), int64(2))
}

// An engine restarts and tells the lifetime of before, or none. It must not be taken for stale forever.
func TestEngineThatStaysAtALowerSequenceHasRestarted(t *testing.T) {
	for _, born := range []uint64{0, 5} {
		is := is.New(t)
		reports := make(chan Report, 8)
		k := newKeeper(t, engine{reports: reports})
		reports <- reportOf(5, 3, nil)
		k.pollEngine(t.Context())
		for range maxStaleAnswers + 1 {
			reports <- reportOf(born, 0, nil)
			k.pollEngine(t.Context())
		}
		is.Equal(k.metrics.restarts.Value(), int64(1))
		is.Equal(k.lastReport.Sequence, uint64(0))
	}
}

// The copy of earlier changes of the cache takes a part away that was prefilled again since, and has the keeper
// list the cache, which blocks the engine.
func TestCopyOfEarlierEvictionsIsIgnored(t *testing.T) {
	is := is.New(t)
	e := evictingEngine{evictions: make(chan CacheEvictions, 8)}
	k := newKeeper(t, e)
	k.addPart(1, false)
	position := cachePosition{since: 10, epoch: 7, listed: true}
	for _, stale := range []CacheEvictions{
		{Epoch: 7, Next: 8, Parts: []Part{{Key: 1}}},
		{Epoch: 7, Next: 9, Lost: true},
		{Epoch: 7, Next: 10, Parts: []Part{{Key: 1}}},
	} {
		e.evictions <- stale
		k.followCacheOnce(t.Context(), &position)
		is.Equal(position.since, uint64(10))
		is.True(position.listed)
		is.True(k.cachedParts.Contains(1))
	}
	e.evictions <- CacheEvictions{Epoch: 7, Next: 12, Parts: []Part{{Key: 1}}}
	k.followCacheOnce(t.Context(), &position)
	is.Equal(position.since, uint64(12))
	is.True(!k.cachedParts.Contains(1))
}

// A cache counts its changes from the beginning again without a new epoch. The keeper must follow it again.
func TestCacheThatCountsAnewIsListed(t *testing.T) {
	is := is.New(t)
	e := evictingEngine{evictions: make(chan CacheEvictions, 8)}
	k := newKeeper(t, e)
	position := cachePosition{since: 10, epoch: 7, listed: true}
	for range maxStaleAnswers + 1 {
		e.evictions <- CacheEvictions{Epoch: 7, Next: 2}
		k.followCacheOnce(t.Context(), &position)
	}
	is.True(!position.listed)
}
