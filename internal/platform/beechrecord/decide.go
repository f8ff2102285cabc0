package beechrecord

import (
	"context"
	"errors"

	"github.com/beechring/beechring/internal/platform/beechstore"
)

// decide gives each operation its verdict and puts into draft, a copy of the
// open segment, what has to be written for it.
func (s *shard) decide(draft *stored, batch []*operation) (verdicts []verdict, changed bool) {
	for _, o := range batch {
		v, wrote := s.decideOne(draft, o)
		verdicts = append(verdicts, v)
		changed = changed || wrote
	}
	return verdicts, changed
}

func (s *shard) decideOne(draft *stored, o *operation) (verdict, bool) {
	if o.claim == nil {
		return s.decideOutcome(draft, o)
	}
	e, ok, written := s.find(draft, o.key)
	if ok && e.Token == o.token {
		return verdict{operation: o, result: result{answer: Granted{Token: o.token}, token: o.token}, settled: written}, false
	}
	if ok {
		answer, free := e.answerTo(o.claim.body)
		if !free {
			return verdict{operation: o, result: result{answer: answer, token: e.Token}, settled: written}, false
		}
	}
	draft.add(entry{Key: o.key, Body: o.claim.body, Token: o.token, Request: o.claim.requestID})
	return verdict{operation: o, result: result{answer: Granted{Token: o.token}, token: o.token}}, true
}

func (s *shard) decideOutcome(draft *stored, o *operation) (verdict, bool) {
	found, changed := draft.finish(o.token, *o.outcome)
	switch {
	case changed:
		return verdict{operation: o, inOpen: true}, true
	case found:
		return verdict{operation: o, inOpen: true, settled: s.finishedInCurrent(o.token)}, false
	case s.closedWith(o.token) < 0:
		return verdict{operation: o, result: result{err: errTokenUnknown}, settled: true}, false
	}
	return verdict{operation: o}, false // finishClosed writes it
}

// find gives the newest entry of a key; written says that it is in the
// service, not only in the draft.
func (s *shard) find(draft *stored, key string) (e entry, ok, written bool) {
	if e, ok := draft.find(key); ok {
		w, there := s.chain.current().find(key)
		return e, true, there && w.Token == e.Token && (w.Outcome == nil) == (e.Outcome == nil)
	}
	_, e, ok = s.holder(key)
	return e, ok, ok
}

func (s *shard) inCurrent(token string) bool {
	for _, e := range s.chain.current().segment.Entries {
		if e.Token == token {
			return true
		}
	}
	return false
}

func (s *shard) finishedInCurrent(token string) bool {
	for _, e := range s.chain.current().segment.Entries {
		if e.Token == token {
			return e.Outcome != nil
		}
	}
	return false
}

// closedWith gives the closed segment that has a token, -1 for none.
func (s *shard) closedWith(token string) int {
	for i := len(s.chain.segments) - 2; i >= 0; i-- {
		for _, e := range s.chain.segments[i].segment.Entries {
			if e.Token == token {
				return i
			}
		}
	}
	return -1
}

// refresh reads those segments again that hold a claim of the batch without an
// outcome: another agent may have added it since, as the one that ran the
// request does when its entry host is lost. An outcome whose token is not
// known here may be for a claim that another owner has written since.
func (s *shard) refresh(ctx context.Context, batch []*operation) error {
	stale := map[string]bool{}
	for _, o := range batch {
		if o.claim == nil {
			if s.closedWith(o.token) < 0 && !s.inCurrent(o.token) {
				stale[s.chain.current().id] = true
			}
			continue
		}
		if x, e, ok := s.holder(o.key); ok && e.Outcome == nil {
			stale[x.id] = true
		}
	}
	for id := range stale {
		at := s.position(id)
		if at < 0 {
			continue
		}
		if err := s.chain.refresh(ctx, at); err != nil {
			return err
		}
	}
	return nil
}

// holder gives the segment with the newest entry of a key.
func (s *shard) holder(key string) (*stored, entry, bool) {
	for i := len(s.chain.segments) - 1; i >= 0; i-- {
		if e, ok := s.chain.segments[i].find(key); ok {
			return s.chain.segments[i], e, true
		}
	}
	return nil, entry{}, false
}

// finishClosed writes the outcomes of claims in closed segments, one write a
// segment. It gives the operations that are not answered yet.
func (s *shard) finishClosed(ctx context.Context, rest []*operation) ([]*operation, error) {
	groups := map[string][]*operation{}
	var order []string
	for _, o := range rest {
		i := s.closedWith(o.token)
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
		if err := s.finishIn(ctx, id, groups[id]); err != nil {
			return unanswered(rest), err
		}
	}
	return unanswered(rest), nil
}

func (s *shard) finishIn(ctx context.Context, id string, operations []*operation) error {
	at := s.position(id)
	if at < 0 {
		return nil
	}
	draft := s.chain.segments[at].draft()
	wrote := false
	for _, o := range operations {
		_, changed := draft.finish(o.token, *o.outcome)
		wrote = wrote || changed
	}
	if wrote {
		if err := s.chain.write(ctx, at, draft); err != nil {
			s.rereadClosed(ctx, at, err)
			return err
		}
	}
	for _, o := range operations {
		o.deliver(result{})
	}
	return nil
}

func (s *shard) rereadClosed(ctx context.Context, at int, err error) {
	var conflict beechstore.Conflict
	var unknown beechstore.UnknownOutcome
	if errors.As(err, &conflict) || errors.As(err, &unknown) {
		if s.chain.refresh(ctx, at) != nil {
			s.chain.segments = nil
		}
	}
}

func (s *shard) position(id string) int {
	for i, x := range s.chain.segments {
		if x.id == id {
			return i
		}
	}
	return -1
}
