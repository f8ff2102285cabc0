package beechrecord

import (
	"context"
	"errors"

	"github.com/beechring/beechring/internal/state/beechstore"
)

// decide returns a decision for each operation. It adds what has to be written
// to draft, a copy of the open segment.
func (s *shard) decide(draft *cachedSegment, batch []*operation) (decisions []decision, changed bool) {
	for _, o := range batch {
		v, wrote := s.decideOne(draft, o)
		decisions = append(decisions, v)
		changed = changed || wrote
	}
	return decisions, changed
}

func (s *shard) decideOne(draft *cachedSegment, o *operation) (decision, bool) {
	if o.claim == nil {
		return s.decideOutcome(draft, o)
	}
	if at := s.newestSegmentOf(o.key); at >= 0 && s.chain.segments[at].compact() {
		// The segments were read again while the batch was prepared. If the
		// key were taken as free because its entry is not loaded, the claim
		// would be granted twice.
		return decision{operation: o, result: result{answer: Refused{After: defaultRetryAfter, Err: errSegmentsChanging}}, noWrite: true}, false
	}
	e, ok, written := s.find(draft, o.key)
	if ok && e.Token == o.token {
		return decision{operation: o, result: result{answer: Granted{Token: o.token}, token: o.token}, noWrite: written}, false
	}
	if ok {
		answer, free := e.answerFor(o.claim.body)
		if !free {
			return decision{operation: o, result: result{answer: answer, token: e.Token}, noWrite: written}, false
		}
	}
	draft.add(entry{Key: o.key, Body: o.claim.body, Token: o.token, Request: o.claim.requestID})
	return decision{operation: o, result: result{answer: Granted{Token: o.token}, token: o.token}}, true
}

func (s *shard) decideOutcome(draft *cachedSegment, o *operation) (decision, bool) {
	if o.withdrawID != "" {
		o.token = s.withdrawnToken(draft, o)
	}
	found, changed := draft.finish(o.key, o.token, *o.outcome)
	switch {
	case changed:
		return decision{operation: o, inOpenSegment: true}, true
	case found:
		return decision{operation: o, inOpenSegment: true, noWrite: s.finishedInCurrent(o.key)}, false
	case s.closedSegmentOf(o) < 0:
		return decision{operation: o, result: result{err: errTokenUnknown}, noWrite: true}, false
	}
	return decision{operation: o}, false // written by finishClosed
}

// withdrawnToken returns the token of the claim that an operation withdraws,
// or "" if there is none.
func (s *shard) withdrawnToken(draft *cachedSegment, o *operation) string {
	if e, ok, _ := s.find(draft, o.key); ok && e.Request == o.withdrawID {
		return e.Token
	}
	return ""
}

// find returns the newest entry of a key. Written is true if the entry is in
// the service, not only in the draft.
func (s *shard) find(draft *cachedSegment, key string) (e entry, ok, written bool) {
	if e, ok := draft.find(key); ok {
		w, there := s.chain.current().find(key)
		return e, true, there && w.Token == e.Token && (w.Outcome == nil) == (e.Outcome == nil)
	}
	at := s.newestSegmentOf(key)
	if at < 0 {
		return entry{}, false, false
	}
	e, ok = s.chain.segments[at].find(key)
	return e, ok, ok
}

func (s *shard) finishedInCurrent(key string) bool {
	e, ok := s.chain.current().find(key)
	return ok && e.Outcome != nil
}

// closedSegmentOf returns the index of the closed segment that holds the claim
// of an outcome, or -1.
func (s *shard) closedSegmentOf(o *operation) int {
	i := s.newestSegmentOf(o.key)
	if i < 0 || i == len(s.chain.segments)-1 {
		return -1
	}
	if e, ok := s.chain.segments[i].find(o.key); !ok || e.Token != o.token {
		return -1
	}
	return i
}

// refresh reads the segments again that an operation of the batch needs in
// full or up to date:
//
// - a compacted segment that contains the operation's key - a segment with the
// claim but without its outcome, which another agent may have added since, for
// example the agent that ran the request after its entry host was lost - the
// open segment, for an outcome with an unknown token, whose claim another
// owner may have written since
func (s *shard) refresh(ctx context.Context, batch []*operation) error {
	for _, o := range batch {
		at := s.segmentToRefresh(o)
		if at < 0 || s.refreshed[s.chain.segments[at].id] {
			continue
		}
		id := s.chain.segments[at].id
		if err := s.chain.refresh(ctx, at); err != nil {
			return err
		}
		s.refreshed[id] = true
	}
	return nil
}

// segmentToRefresh returns the index of the segment to read again for an
// operation, or -1.
func (s *shard) segmentToRefresh(o *operation) int {
	at := s.newestSegmentOf(o.key)
	if at < 0 {
		if o.claim != nil {
			return -1
		}
		return len(s.chain.segments) - 1
	}
	x := s.chain.segments[at]
	if x.compact() {
		return at
	}
	e, _ := x.find(o.key)
	switch {
	case o.claim != nil && e.Outcome == nil:
		return at
	case o.claim == nil && e.Token != o.token:
		return len(s.chain.segments) - 1
	}
	return -1
}

// newestSegmentOf returns the index of the segment with the newest entry of a
// key, or -1.
func (s *shard) newestSegmentOf(key string) int {
	for i := len(s.chain.segments) - 1; i >= 0; i-- {
		if s.chain.segments[i].contains(key) {
			return i
		}
	}
	return -1
}

// finishClosed writes the outcomes of claims in closed segments, with one
// write per segment. It returns the operations that have no result yet.
func (s *shard) finishClosed(ctx context.Context, rest []*operation) ([]*operation, error) {
	groups := map[string][]*operation{}
	var order []string
	for _, o := range rest {
		i := s.closedSegmentOf(o)
		if i < 0 {
			continue
		}
		id := s.chain.segments[i].id
		if len(groups[id]) == 0 {
			order = append(order, id)
		}
		groups[id] = append(groups[id], o)
	}
	for _, id := range order {
		if err := s.finishInSegment(ctx, id, groups[id]); err != nil {
			return unanswered(rest), err
		}
	}
	return unanswered(rest), nil
}

func (s *shard) finishInSegment(ctx context.Context, id string, operations []*operation) error {
	at := s.segmentIndex(id)
	if at < 0 {
		return nil
	}
	draft := s.chain.segments[at].draft()
	wrote := false
	for _, o := range operations {
		_, changed := draft.finish(o.key, o.token, *o.outcome)
		wrote = wrote || changed
	}
	if wrote {
		if err := s.chain.write(ctx, at, draft); err != nil {
			s.refreshClosedAfterWrite(ctx, at, err)
			return err
		}
	}
	for _, o := range operations {
		o.deliver(result{})
	}
	return nil
}

func (s *shard) refreshClosedAfterWrite(ctx context.Context, at int, err error) {
	var conflict beechstore.Conflict
	var unknown beechstore.UnknownOutcome
	if errors.As(err, &conflict) || errors.As(err, &unknown) {
		if s.chain.refresh(ctx, at) != nil {
			s.chain.segments = nil
		}
	}
}

func (s *shard) segmentIndex(id string) int {
	for i, x := range s.chain.segments {
		if x.id == id {
			return i
		}
	}
	return -1
}
