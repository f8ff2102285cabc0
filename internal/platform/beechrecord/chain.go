package beechrecord

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/platform/beechstore"
)

type (
	// chain is a shard's segments as this process last saw them, the oldest
	// first, the open one last. Claims in closed segments never change, so a
	// chain that is behind can only miss what is in the open segment or after
	// it, and a write to the open segment then meets a conflict.
	chain struct {
		store    beechstore.Store
		clock    clockwork.Clock
		settings Settings
		shard    int

		segments []*stored          // empty: not loaded
		known    map[string]*stored // closed segments once read, compact, by id
	}

	// MissingSegment says that a segment that a shard needs is not in the
	// service. Without it a claim could be granted a second time.
	MissingSegment struct {
		Shard int
		ID    string
	}
)

const (
	loadTries    = 4
	closedInFull = 2
)

var errMoving = errors.New("the segments changed at each try to read them")

// Error gives the shard and the segment.
func (e MissingSegment) Error() string {
	return fmt.Sprintf("record shard %d: segment %s is missing in the platform's service", e.Shard, e.ID)
}

// load reads what is not known yet and leaves the open segment last.
func (c *chain) load(ctx context.Context) error {
	for range loadTries {
		done, err := c.tryLoad(ctx)
		if err != nil || done {
			return err
		}
	}
	return fmt.Errorf("record shard %d: %w", c.shard, errMoving)
}

func (c *chain) tryLoad(ctx context.Context) (bool, error) {
	v, err := c.store.Get(ctx, indexKey(c.shard), beechstore.ImportanceClaim)
	if err != nil {
		return false, err
	}
	if v.Version == 0 {
		return false, c.create(ctx)
	}
	var x index
	if err := beechstore.Unseal(v.Key, v.Data, format, &x); err != nil {
		return false, err
	}
	refs := c.retained(x.Segments)
	if len(refs) == 0 {
		return false, beechstore.CorruptValue{Key: v.Key, Err: errors.New("it lists no segment")}
	}
	var segments []*stored
	for _, r := range refs {
		s, err := c.fetchOrKnown(ctx, r.ID)
		var missing MissingSegment
		if errors.As(err, &missing) && c.indexMoved(ctx, v.Version) {
			return false, nil
		}
		if err != nil {
			return false, err
		}
		segments = append(segments, s)
	}
	c.segments = segments
	return true, c.walk(ctx)
}

// retained passes over segments that were closed longer ago than the
// retention; a segment was closed when the next one was opened.
func (c *chain) retained(refs []segmentRef) []segmentRef {
	for len(refs) > 1 && c.expired(refs[1].Opened) {
		refs = refs[1:]
	}
	return refs
}

func (c *chain) expired(closed time.Time) bool {
	return c.clock.Since(closed) > c.settings.Retention
}

func (c *chain) indexMoved(ctx context.Context, version uint64) bool {
	v, err := c.store.Get(ctx, indexKey(c.shard), beechstore.ImportanceClaim)
	return err == nil && v.Version != version
}

func (c *chain) fetch(ctx context.Context, id string) (*stored, error) {
	v, err := c.store.Get(ctx, segmentKey(c.shard, id), beechstore.ImportanceClaim)
	if err != nil {
		return nil, err
	}
	if v.Version == 0 {
		return nil, MissingSegment{Shard: c.shard, ID: id}
	}
	return decodeSegment(id, v)
}

// fetchOrKnown reads a segment unless it was read before and is closed. So a
// shard that has more segments than the budget of calls allows at once is
// loaded by several tries, each going on where the last one ended.
func (c *chain) fetchOrKnown(ctx context.Context, id string) (*stored, error) {
	if s, ok := c.known[id]; ok {
		return s, nil
	}
	s, err := c.fetch(ctx, id)
	if err == nil && !s.open() {
		s = s.compacted()
		c.remember(s)
	}
	return s, err
}

func (c *chain) remember(s *stored) {
	if c.known == nil {
		c.known = map[string]*stored{}
	}
	c.known[s.id] = s
}

// compact gives up the entries of closed segments but the newest: most
// repeats and outcomes come soon after their claim.
func (c *chain) compact() {
	for i, s := range c.segments {
		if s.compact() || i >= len(c.segments)-1-closedInFull {
			continue
		}
		c.segments[i] = s.compacted()
		c.remember(c.segments[i])
	}
}

// walk follows Next to the open segment.
func (c *chain) walk(ctx context.Context) error {
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

// refresh reads segment i again.
func (c *chain) refresh(ctx context.Context, i int) error {
	s, err := c.fetch(ctx, c.segments[i].id)
	var missing MissingSegment
	if errors.As(err, &missing) {
		// It was dropped after its retention, by another owner, while this
		// one slept. Nothing known here is good any more.
		c.segments = nil
		return c.load(ctx)
	}
	if err != nil {
		return err
	}
	c.segments[i] = s
	return c.walk(ctx)
}

func (c *chain) current() *stored { return c.segments[len(c.segments)-1] }

// create makes the first segment and then the index that names it.
func (c *chain) create(ctx context.Context) error {
	s, err := c.createSegment(ctx)
	if err != nil {
		return err
	}
	data, err := beechstore.Seal(format, index{Segments: []segmentRef{s.ref()}})
	if err != nil {
		return err
	}
	_, err = c.store.CompareAndSwap(ctx, indexKey(c.shard), 0, data, "", beechstore.ImportanceClaim)
	var conflict beechstore.Conflict
	var unknown beechstore.UnknownOutcome
	if errors.As(err, &conflict) || errors.As(err, &unknown) {
		return nil // the next try reads which index is there
	}
	return err
}

// createSegment writes an empty segment under a new id. The id is never used
// again: a process that slept through this segment's whole life must not be
// able to create it a second time and grant claims from it. If the reply is
// lost, the segment is left behind unused and another id is taken.
func (c *chain) createSegment(ctx context.Context) (*stored, error) {
	s := segment{Opened: c.clock.Now().UTC()}
	data, err := encodeSegment(s)
	if err != nil {
		return nil, err
	}
	id := newSegmentID()
	v, err := c.store.CompareAndSwap(ctx, segmentKey(c.shard, id), 0, data, "", beechstore.ImportanceClaim)
	if err != nil {
		return nil, err
	}
	return newStored(id, v.Version, s, len(data)), nil
}

// write puts a draft in place of segment i, and keeps it if that is certain.
func (c *chain) write(ctx context.Context, i int, draft *stored) error {
	data, err := encodeSegment(draft.segment)
	if err != nil {
		return err
	}
	v, err := c.store.CompareAndSwap(ctx, segmentKey(c.shard, draft.id), draft.version, data, "", beechstore.ImportanceClaim)
	if err != nil {
		return err
	}
	draft.version, draft.bytes = v.Version, len(data)
	c.segments[i] = draft
	return nil
}

// rotate closes the open segment if it is old or large, and drops what is
// past its retention. A failure leaves the chain usable as it is.
func (c *chain) rotate(ctx context.Context) error {
	x := c.current()
	old := len(x.segment.Entries) > 0 && c.clock.Since(x.segment.Opened) > c.settings.SegmentAge
	if !old && x.bytes < c.settings.SegmentBytes {
		return nil
	}
	next, err := c.createSegment(ctx)
	if err != nil {
		return err
	}
	draft := x.draft()
	draft.segment.Next = next.id
	if err := c.write(ctx, len(c.segments)-1, draft); err != nil {
		return err
	}
	c.segments = append(c.segments, next)
	return c.publishIndex(ctx)
}

// publishIndex writes the segments known here to the index, unless another
// owner has written newer ones, and deletes those past their retention.
func (c *chain) publishIndex(ctx context.Context) error {
	v, err := c.store.Get(ctx, indexKey(c.shard), beechstore.ImportanceClaim)
	if err != nil {
		return err
	}
	var x index
	if err := beechstore.Unseal(v.Key, v.Data, format, &x); err != nil {
		return err
	}
	if len(x.Segments) == 0 || !c.knows(x.Segments[len(x.Segments)-1].ID) {
		return nil
	}
	var refs []segmentRef
	for _, s := range c.segments {
		refs = append(refs, s.ref())
	}
	kept := c.retained(refs)
	data, err := beechstore.Seal(format, index{Segments: kept})
	if err != nil {
		return err
	}
	if _, err := c.store.CompareAndSwap(ctx, v.Key, v.Version, data, "", beechstore.ImportanceClaim); err != nil {
		return err
	}
	dropped := c.segments[:len(refs)-len(kept)]
	c.segments = c.segments[len(dropped):]
	for _, s := range dropped {
		delete(c.known, s.id)
		// What fails to be deleted only takes room.
		_ = c.store.Delete(ctx, segmentKey(c.shard, s.id), s.version, beechstore.ImportanceRest)
	}
	return nil
}

func (c *chain) knows(id string) bool {
	for _, s := range c.segments {
		if s.id == id {
			return true
		}
	}
	return false
}
