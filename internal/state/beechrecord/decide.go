package beechrecord

import (
	"context"
	"errors"

	"github.com/beechring/beechring/internal/state/beechstore"
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
	if at := s.newest(o.key); at >= 0 && s.chain.segments[at].compact() {
		// The segments were read anew while the batch was prepared. To take
		// the key for free because its entry is not at hand would grant the
		// claim twice.
		return verdict{operation: o, result: result{answer: Refused{After: defaultRetryAfter, Err: errMoving}}, settled: true}, false
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
	if o.withdraws != "" {
		o.token = s.tokenOf(draft, o)
	}
	found, changed := draft.finish(o.key, o.token, *o.outcome)
	switch {
	case changed:
		return verdict{operation: o, inOpen: true}, true
	case found:
		return verdict{operation: o, inOpen: true, settled: s.finishedInCurrent(o.key)}, false
	case s.closedWith(o) < 0:
		return verdict{operation: o, result: result{err: errTokenUnknown}, settled: true}, false
	}
	return verdict{operation: o}, false // finishClosed writes it
}

// tokenOf gives the token of the claim that an operation withdraws, or none.
func (s *shard) tokenOf(draft *stored, o *operation) string {
	if e, ok, _ := s.find(draft, o.key); ok && e.Request == o.withdraws {
		return e.Token
	}
	return ""
}

// find gives the newest entry of a key; written says that it is in the
// service, not only in the draft.
func (s *shard) find(draft *stored, key string) (e entry, ok, written bool) {
	if e, ok := draft.find(key); ok {
		w, there := s.chain.current().find(key)
		return e, true, there && w.Token == e.Token && (w.Outcome == nil) == (e.Outcome == nil)
	}
	at := s.newest(key)
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

// closedWith gives the closed segment that has the entry which an outcome is
// for, -1 for none.
func (s *shard) closedWith(o *operation) int {
	i := s.newest(o.key)
	if i < 0 || i == len(s.chain.segments)-1 {
		return -1
	}
	if e, ok := s.chain.segments[i].find(o.key); !ok || e.Token != o.token {
		return -1
	}
	return i
}

// refresh reads those segments again that an operation of the batch needs in
// full: a compact one that has its key; one with its claim but no outcome,
// which another agent may have added since, as the one that ran the request
// does when its entry host is lost; and the open one for an outcome whose
// token is not known here, which another owner may have written since.
func (s *shard) refresh(ctx context.Context, batch []*operation) error {
	for _, o := range batch {
		at := s.stale(o)
		if at < 0 || s.fresh[s.chain.segments[at].id] {
			continue
		}
		id := s.chain.segments[at].id
		if err := s.chain.refresh(ctx, at); err != nil {
			return err
		}
		s.fresh[id] = true
	}
	return nil
}

// stale gives the segment to read again for an operation, -1 for none.
func (s *shard) stale(o *operation) int {
	at := s.newest(o.key)
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

// newest gives the segment with the newest entry of a key, -1 for none.
func (s *shard) newest(key string) int {
	for i := len(s.chain.segments) - 1; i >= 0; i-- {
		if s.chain.segments[i].has(key) {
			return i
		}
	}
	return -1
}

// finishClosed writes the outcomes of claims in closed segments, one write a
// segment. It gives the operations that are not answered yet.
func (s *shard) finishClosed(ctx context.Context, rest []*operation) ([]*operation, error) {
	groups := map[string][]*operation{}
	var order []string
	for _, o := range rest {
		i := s.closedWith(o)
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
		_, changed := draft.finish(o.key, o.token, *o.outcome)
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
