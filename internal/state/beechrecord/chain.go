package beechrecord

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// chain holds a shard's segments as this process last read or wrote them,
	// oldest first; the last one is the open segment. No claims are added to a
	// closed segment, so an outdated chain can only lack entries of the open
	// segment or of later ones, and a write to the open segment then fails
	// with a conflict.
	chain struct {
		store    beechstore.Store
		clock    clockwork.Clock
		settings Settings
		shard    int

		segments []*cachedSegment          // empty if not loaded
		closed   map[string]*cachedSegment // closed segments that were read, compacted, by ID
	}

	// MissingSegment reports that a segment of a shard is not in the service.
	// Without that segment a claim could be granted a second time.
	MissingSegment struct {
		Shard int
		ID    string
	}
)

const (
	maxLoadAttempts    = 4
	fullClosedSegments = 2 // newest closed segments that keep their entries in memory
)

var errSegmentsChanging = errors.New("the segments changed at each try to read them")

func (e MissingSegment) Error() string {
	return fmt.Sprintf("record shard %d: segment %s is missing in the platform's service", e.Shard, e.ID)
}

// load reads the segments that are not cached, up to and including the open
// one.
func (c *chain) load(ctx context.Context) error {
	for range maxLoadAttempts {
		done, err := c.loadOnce(ctx)
		if err != nil || done {
			return err
		}
	}
	return fmt.Errorf("record shard %d: %w", c.shard, errSegmentsChanging)
}

func (c *chain) loadOnce(ctx context.Context) (bool, error) {
	v, err := c.store.Get(ctx, indexKey(c.shard), beechstore.ImportanceClaim)
	if err != nil {
		return false, err
	}
	if v.Version == 0 {
		return false, c.create(ctx)
	}
	var x index
	if err := beechstore.DecodeValue(v.Key, v.Data, formatVersion, &x); err != nil {
		return false, err
	}
	refs := c.retained(x.Segments)
	if len(refs) == 0 {
		return false, beechstore.CorruptValue{Key: v.Key, Err: errors.New("it lists no segment")}
	}
	var segments []*cachedSegment
	for _, r := range refs {
		s, err := c.fetchCached(ctx, r.ID)
		var missing MissingSegment
		if errors.As(err, &missing) && c.indexChanged(ctx, v.Version) {
			return false, nil
		}
		if err != nil {
			return false, err
		}
		segments = append(segments, s)
	}
	c.segments = segments
	return true, c.followNext(ctx)
}

// retained omits segments that were closed longer ago than the retention. A
// segment counts as closed since the next one was opened.
func (c *chain) retained(refs []segmentRef) []segmentRef {
	for len(refs) > 1 && c.expired(refs[1].Opened) {
		refs = refs[1:]
	}
	return refs
}

func (c *chain) expired(closed time.Time) bool {
	return c.clock.Since(closed) > c.settings.Retention
}

func (c *chain) indexChanged(ctx context.Context, version uint64) bool {
	v, err := c.store.Get(ctx, indexKey(c.shard), beechstore.ImportanceClaim)
	return err == nil && v.Version != version
}

func (c *chain) fetch(ctx context.Context, id string) (*cachedSegment, error) {
	v, err := c.store.Get(ctx, segmentKey(c.shard, id), beechstore.ImportanceClaim)
	if err != nil {
		return nil, err
	}
	if v.Version == 0 {
		return nil, MissingSegment{Shard: c.shard, ID: id}
	}
	return decodeSegment(id, v)
}

// fetchCached reads a segment, unless it is closed and was read before. A
// shard that has more segments than the call budget allows at once is
// therefore loaded in several attempts, each of which continues where the last
// one ended.
func (c *chain) fetchCached(ctx context.Context, id string) (*cachedSegment, error) {
	if s, ok := c.closed[id]; ok {
		return s, nil
	}
	s, err := c.fetch(ctx, id)
	if err == nil && !s.open() {
		s = s.compacted()
		c.cacheClosed(s)
	}
	return s, err
}

func (c *chain) cacheClosed(s *cachedSegment) {
	if c.closed == nil {
		c.closed = map[string]*cachedSegment{}
	}
	c.closed[s.id] = s
}

// compact discards the entries of closed segments, except the newest closed
// ones: most repeats and outcomes arrive soon after their claim.
func (c *chain) compact() {
	for i, s := range c.segments {
		if s.compact() || i >= len(c.segments)-1-fullClosedSegments {
			continue
		}
		c.segments[i] = s.compacted()
		c.cacheClosed(c.segments[i])
	}
}

// followNext reads the segments after the last known one, up to the open
// segment.
func (c *chain) followNext(ctx context.Context) error {
	for !c.current().open() {
		s, err := c.fetch(ctx, c.current().segment.Next)
		if err != nil {
			c.segments = nil
			return err
		}
		c.segments = append(c.segments, s)
	}
	return nil
}

// refresh reads segment i again, and the segments that follow it if they are
// new.
func (c *chain) refresh(ctx context.Context, i int) error {
	s, err := c.fetch(ctx, c.segments[i].id)
	var missing MissingSegment
	if errors.As(err, &missing) {
		// Another owner deleted the segment after its retention while this
		// process was suspended. The whole cached chain may be outdated.
		c.segments = nil
		return c.load(ctx)
	}
	if err != nil {
		return err
	}
	c.segments[i] = s
	return c.followNext(ctx)
}

func (c *chain) current() *cachedSegment { return c.segments[len(c.segments)-1] }
