package beechrecord

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// shard handles the claims and outcomes of one shard, a batch at a time.
	shard struct {
		chain    chain
		clock    clockwork.Clock
		settings Settings
		arrivals chan *operation

		// After some failures nothing is tried until downUntil, see holdBack.
		down      error
		downUntil time.Time

		wrote time.Time // when the last batch began

		// fresh names the segments read for this batch. The budget may allow
		// one call at a time: a try that read them anew after each wait would
		// spend every call on the first read, and no claim would be made again.
		fresh map[string]bool
	}

	// operation is a claim or an outcome that waits for its batch. Withdraws
	// names the request of a claim whose token is not known: it is looked up.
	operation struct {
		ctx       context.Context
		key       string
		token     string
		claim     *claim
		granted   func(token string) // called before a claim of the same batch is answered
		outcome   *outcome
		withdraws string
		result    chan result // holds one
		done      bool        // result was given; the shard's goroutine only
	}

	claim struct {
		body      string
		requestID string
	}

	// beforeWrite is an error from before any claim of the batch was written.
	beforeWrite struct{ error }

	// result is the answer to a claim or the error of an outcome.
	result struct {
		answer Answer
		err    error
		token  string // of the entry that the answer speaks of
	}

	// verdict is what an operation gets if the batch's write is made. A
	// settled one needs no write; an outcome that is not inOpen is for a
	// closed segment.
	verdict struct {
		operation *operation
		result    result
		settled   bool
		inOpen    bool
	}
)

const (
	settlePause = 20 * time.Millisecond
	holdOff     = 250 * time.Millisecond
	// budgetWait is how long a batch waits for the process's budget of calls.
	// It grows meanwhile, so that claims share the calls there are; refused,
	// they would come again and cost more.
	budgetWait   = 100 * time.Millisecond
	budgetSpread = 60 * time.Millisecond
)

var (
	errTokenUnknown = errors.New("the token is in no segment that is kept")
	errBusy         = errors.New("too many claims wait in this shard")
	errClosed       = errors.New("the records are closed")
	errFull         = errors.New("the open segment is full and cannot be closed now")
	errTooSlow      = errors.New("the batch took longer than a batch may take")
)

func (s *shard) run(ctx context.Context) {
	for {
		batch := s.collect(ctx)
		if ctx.Err() != nil {
			deliverAll(batch, result{answer: Refused{Err: errClosed}, err: errClosed})
			return
		}
		s.wrote = s.clock.Now()
		s.process(ctx, batch)
	}
}

// collect waits for a first operation and then for those of the window.
func (s *shard) collect(ctx context.Context) []*operation {
	var batch []*operation
	select {
	case <-ctx.Done():
		return nil
	case first := <-s.arrivals:
		batch = append(batch, first)
	}
	if s.heldOff() {
		return s.drain(batch) // a refusal need not wait for company
	}
	paced := s.settings.Pace - s.clock.Since(s.wrote)
	window := s.clock.NewTimer(max(s.settings.Window, paced))
	defer window.Stop()
	for len(batch) < s.settings.MaxBatch {
		select {
		case <-ctx.Done():
			return batch
		case <-window.Chan():
			return s.drain(batch)
		case next := <-s.arrivals:
			batch = append(batch, next)
		}
	}
	return batch
}

// holdBack keeps the next batches from being tried. A service that does not
// answer would have each of them wait as long, and their callers with them; a
// bad value would be read again for each. A service that refuses at once costs
// nothing, and is tried again at once.
func (s *shard) holdBack(err error, took time.Duration) {
	var refused beechstore.Refused
	var over beechstore.OverBudget
	s.down, s.downUntil = err, time.Time{}
	switch {
	case errors.As(err, &over):
	case !errors.As(err, &refused):
		s.downUntil = s.clock.Now().Add(holdOff)
	case took > holdOff:
		s.downUntil = s.clock.Now().Add(took)
	}
}

func (s *shard) heldOff() bool { return s.clock.Now().Before(s.downUntil) }

func (s *shard) drain(batch []*operation) []*operation {
	for len(batch) < s.settings.MaxBatch {
		select {
		case next := <-s.arrivals:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// process brings a batch to its end. Lost says that a write of this batch may
// have taken effect: from then on a failure is no longer a refusal.
func (s *shard) process(ctx context.Context, batch []*operation) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.clock, s.settings.CallTimeout)
	defer cancel()
	defer s.chain.compact()
	batch = dropExpired(batch)
	if s.heldOff() {
		deliverAll(batch, failure(false, s.down))
		return
	}
	lost, began, tries := false, s.clock.Now(), 0
	s.fresh = map[string]bool{}
	for {
		rest, err := s.try(ctx, batch)
		tries++
		if err == nil && len(rest) == 0 {
			return
		}
		batch = rest
		var conflict beechstore.Conflict
		var unknown beechstore.UnknownOutcome
		var before beforeWrite
		var over beechstore.OverBudget
		switch {
		case errors.As(err, &over) && over.After <= budgetWait:
			// The shards of a process wait for the same budget. Woken together
			// each time, the same one could be first for ever.
			s.pause(ctx, over.After+rand.N(budgetSpread))
			if !lost {
				batch = s.drain(batch)
			}
		case err == nil, errors.As(err, &conflict) && !errors.As(err, &before):
		case errors.As(err, &unknown) && !errors.As(err, &before):
			lost = true
		case lost && ctx.Err() == nil:
		default:
			s.holdBack(err, s.clock.Since(began))
			deliverAll(batch, failure(lost, err))
			return
		}
		if lost {
			s.pause(ctx, settlePause)
		}
		if ctx.Err() != nil {
			deliverAll(batch, failure(lost, tooSlow(tries, len(batch), err)))
			return
		}
	}
}

// tooSlow says what kept the batch from its end.
func tooSlow(tries, left int, last error) error {
	if last == nil {
		return fmt.Errorf("%w: %d left after %d tries", errTooSlow, left, tries)
	}
	return fmt.Errorf("%w: %d left after %d tries, the last: %w", errTooSlow, left, tries, last)
}

// dropExpired leaves out what nobody waits for any more: a claim whose caller
// is gone would be granted to no one and stay unknown for ever.
func dropExpired(batch []*operation) []*operation {
	var live []*operation
	for _, o := range batch {
		if err := o.ctx.Err(); err != nil && o.claim != nil {
			o.deliver(result{answer: Refused{Err: err}, err: err})
			continue
		}
		live = append(live, o)
	}
	return live
}

func (s *shard) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.clock.After(d):
	}
}

// try reads what is needed, decides the batch and writes it. It gives the
// operations that are not answered yet.
func (s *shard) try(ctx context.Context, batch []*operation) ([]*operation, error) {
	if err := s.ready(ctx); err != nil {
		return batch, beforeWrite{err}
	}
	if err := s.refresh(ctx, batch); err != nil {
		return batch, beforeWrite{err}
	}
	last := len(s.chain.segments) - 1
	draft := s.chain.current().draft()
	verdicts, changed := s.decide(draft, batch)
	rest := deliverSettled(verdicts)
	if !changed {
		return s.finishClosed(ctx, rest)
	}
	if err := s.chain.write(ctx, last, draft); err != nil {
		s.reread(ctx, err)
		return rest, err
	}
	return s.finishClosed(ctx, deliverWritten(verdicts))
}

// ready loads the chain at first and rotates it when due.
func (s *shard) ready(ctx context.Context) error {
	if len(s.chain.segments) == 0 {
		if err := s.chain.load(ctx); err != nil {
			return err
		}
	}
	if err := s.chain.rotate(ctx); err == nil {
		return nil
	}
	// A failed rotation can wait, if what is there is known and has room.
	if len(s.chain.segments) == 0 {
		return s.chain.load(ctx)
	}
	if err := s.chain.refresh(ctx, len(s.chain.segments)-1); err != nil {
		return err
	}
	if s.chain.current().bytes > hardLimitBytes {
		return errFull
	}
	return nil
}

// Unwrap gives the cause.
func (e beforeWrite) Unwrap() error { return e.error }

// reread learns what is there after a write that failed or may have.
func (s *shard) reread(ctx context.Context, err error) {
	var conflict beechstore.Conflict
	var unknown beechstore.UnknownOutcome
	if errors.As(err, &conflict) || errors.As(err, &unknown) {
		s.fresh = map[string]bool{}
		if s.chain.refresh(ctx, len(s.chain.segments)-1) != nil {
			s.chain.segments = nil
		}
	}
}
