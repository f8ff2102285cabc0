package beechrecord

import (
	"context"
	"errors"

	"github.com/beechring/beechring/internal/state/beechstore"
)

// create writes the first segment and then the index that lists it.
func (c *chain) create(ctx context.Context) error {
	s, err := c.createSegment(ctx)
	if err != nil {
		return err
	}
	data, err := beechstore.EncodeValue(formatVersion, index{Segments: []segmentRef{s.ref()}})
	if err != nil {
		return err
	}
	_, err = c.store.CompareAndSwap(ctx, indexKey(c.shard), 0, data, "", beechstore.ImportanceClaim)
	var conflict beechstore.Conflict
	var unknown beechstore.UnknownOutcome
	if errors.As(err, &conflict) || errors.As(err, &unknown) {
		return nil // the next attempt reads the index
	}
	return err
}

// createSegment writes an empty segment under a new random ID. IDs are never
// reused: a process that was suspended for this segment's whole lifetime must
// not be able to create it again and grant claims from it. If the reply is
// lost, the segment stays unused and another ID is chosen.
func (c *chain) createSegment(ctx context.Context) (*cachedSegment, error) {
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
	return newCachedSegment(id, v.Version, s, len(data)), nil
}

// write replaces segment i with draft, and updates the chain if the write
// succeeded.
func (c *chain) write(ctx context.Context, i int, draft *cachedSegment) error {
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

// rotate closes the open segment if it is old or large, and deletes segments
// past their retention. After an error the chain is still usable.
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

// publishIndex writes this chain's segments to the index, unless another owner
// has added newer ones, and deletes segments past their retention.
func (c *chain) publishIndex(ctx context.Context) error {
	v, err := c.store.Get(ctx, indexKey(c.shard), beechstore.ImportanceClaim)
	if err != nil {
		return err
	}
	var x index
	if err := beechstore.DecodeValue(v.Key, v.Data, formatVersion, &x); err != nil {
		return err
	}
	if len(x.Segments) == 0 || !c.hasSegment(x.Segments[len(x.Segments)-1].ID) {
		return nil
	}
	var refs []segmentRef
	for _, s := range c.segments {
		refs = append(refs, s.ref())
	}
	kept := c.retained(refs)
	data, err := beechstore.EncodeValue(formatVersion, index{Segments: kept})
	if err != nil {
		return err
	}
	if _, err := c.store.CompareAndSwap(ctx, v.Key, v.Version, data, "", beechstore.ImportanceClaim); err != nil {
		return err
	}
	dropped := c.segments[:len(refs)-len(kept)]
	c.segments = c.segments[len(dropped):]
	for _, s := range dropped {
		delete(c.closed, s.id)
		// If the deletion fails, the segment only takes up space.
		_ = c.store.Delete(ctx, segmentKey(c.shard, s.id), s.version, beechstore.ImportanceOther)
	}
	return nil
}

func (c *chain) hasSegment(id string) bool {
	for _, s := range c.segments {
		if s.id == id {
			return true
		}
	}
	return false
}
