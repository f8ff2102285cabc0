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
	// shard processes the claims and outcomes of one shard in batches.
	shard struct {
		chain    chain
		clock    clockwork.Clock
		settings Settings
		queue    chan *operation

		// After some errors batches fail with backoffErr until backoffUntil,
		// see backOff.
		backoffErr   error
		backoffUntil time.Time

		lastBatch time.Time // start of the last batch

		// refreshed holds the IDs of the segments already read again for this
		// batch. The call budget may allow a single call at a time: if each
		// attempt read them again after waiting, every call would be spent on
		// the first read and no claim would be written.
		refreshed map[string]bool
	}

	// operation is a claim or an outcome that waits for its batch. withdrawID
	// is the request ID of a claim to withdraw; its token is unknown and is
	// looked up.
	operation struct {
		ctx        context.Context
		key        string
		token      string
		claim      *claim
		onGranted  func(token string) // called before Granted is sent, so that a repeat in the same batch finds the run
		outcome    *outcome
		withdrawID string
		result     chan result // capacity 1
		delivered  bool        // result was sent; used only by the shard's goroutine
	}

	claim struct {
		body      string
		requestID string
	}

	// preWriteError wraps an error that occurred before any claim of the batch
	// was written.
	preWriteError struct{ error }

	// result is the answer to a claim, or the error of recording an outcome.
	result struct {
		answer Answer
		err    error
		token  string // of the entry that the answer refers to
	}

	// decision is the result that an operation gets once the batch is written.
	// With noWrite the result does not depend on the write. An outcome without
	// inOpenSegment belongs to a closed segment.
	decision struct {
		operation     *operation
		result        result
		noWrite       bool
		inOpenSegment bool
	}
)

const (
	unknownWriteDelay = 20 * time.Millisecond
	minBackoff        = 250 * time.Millisecond
	// maxBudgetWait is how long a batch waits for the process's call budget.
	// The batch collects more claims meanwhile, so that they share the
	// available calls; refused claims would be sent again and cost more.
	maxBudgetWait = 100 * time.Millisecond
	budgetJitter  = 60 * time.Millisecond
)

// The errors of Finish and Withdraw reach entry hosts as the error of a call,
// so their texts are part of the protocol between hosts.
var (
	errTokenUnknown = errors.New("the token is in no segment that is kept")
	errQueueFull    = errors.New("too many claims wait in this shard")
	errClosed       = errors.New("the records are closed")
	errSegmentFull  = errors.New("the open segment is full and cannot be closed now")
	errBatchTimeout = errors.New("the batch took longer than a batch may take")
)

func (s *shard) run(ctx context.Context) {
	for {
		batch := s.collect(ctx)
		if ctx.Err() != nil {
			deliverAll(batch, result{answer: Refused{Err: errClosed}, err: errClosed})
			return
		}
		s.lastBatch = s.clock.Now()
		s.processBatch(ctx, batch)
	}
}

// collect waits for a first operation and then collects more until the window
// ends or the batch is full.
func (s *shard) collect(ctx context.Context) []*operation {
	var batch []*operation
	select {
	case <-ctx.Done():
		return nil
	case first := <-s.queue:
		batch = append(batch, first)
	}
	if s.backingOff() {
		return s.drainQueue(batch) // the batch will be refused, so there is no need to collect more
	}
	paced := s.settings.Pace - s.clock.Since(s.lastBatch)
	window := s.clock.NewTimer(max(s.settings.Window, paced))
	defer window.Stop()
	for len(batch) < s.settings.MaxBatch {
		select {
		case <-ctx.Done():
			return batch
		case <-window.Chan():
			return s.drainQueue(batch)
		case next := <-s.queue:
			batch = append(batch, next)
		}
	}
	return batch
}

// backOff delays further attempts after an error. If the service does not
// answer, each batch, with its callers, would wait for the full time limit; a
// corrupt value would be read again for each batch. A service that refuses
// immediately costs nothing and is tried again immediately.
func (s *shard) backOff(err error, took time.Duration) {
	var refused beechstore.Refused
	var over beechstore.OverBudget
	s.backoffErr, s.backoffUntil = err, time.Time{}
	switch {
	case errors.As(err, &over):
	case !errors.As(err, &refused):
		s.backoffUntil = s.clock.Now().Add(minBackoff)
	case took > minBackoff:
		s.backoffUntil = s.clock.Now().Add(took)
	}
}

func (s *shard) backingOff() bool { return s.clock.Now().Before(s.backoffUntil) }

func (s *shard) drainQueue(batch []*operation) []*operation {
	for len(batch) < s.settings.MaxBatch {
		select {
		case next := <-s.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// processBatch processes a batch until every operation has its result. Once
// mayBeWritten is set, a write of this batch may have taken effect, so a
// failure is no longer reported as a refusal.
func (s *shard) processBatch(ctx context.Context, batch []*operation) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.clock, s.settings.CallTimeout)
	defer cancel()
	defer s.chain.compact()
	batch = dropExpired(batch)
	if s.backingOff() {
		deliverAll(batch, failureResult(false, s.backoffErr))
		return
	}
	mayBeWritten, began, attempts := false, s.clock.Now(), 0
	s.refreshed = map[string]bool{}
	for {
		rest, err := s.attempt(ctx, batch)
		attempts++
		if err == nil && len(rest) == 0 {
			return
		}
		batch = rest
		var conflict beechstore.Conflict
		var unknown beechstore.UnknownOutcome
		var before preWriteError
		var over beechstore.OverBudget
		switch {
		case errors.As(err, &over) && over.After <= maxBudgetWait:
			// The shards of a process wait for the same budget. Without jitter
			// they would wake up together and the same shard could always be
			// first.
			s.sleep(ctx, over.After+rand.N(budgetJitter))
			if !mayBeWritten {
				batch = s.drainQueue(batch)
			}
		case err == nil, errors.As(err, &conflict) && !errors.As(err, &before):
		case errors.As(err, &unknown) && !errors.As(err, &before):
			mayBeWritten = true
		case mayBeWritten && ctx.Err() == nil:
		default:
			s.backOff(err, s.clock.Since(began))
			deliverAll(batch, failureResult(mayBeWritten, err))
			return
		}
		if mayBeWritten {
			s.sleep(ctx, unknownWriteDelay)
		}
		if ctx.Err() != nil {
			deliverAll(batch, failureResult(mayBeWritten, batchTimeout(attempts, len(batch), err)))
			return
		}
	}
}

// batchTimeout returns an error that tells why the batch did not finish in
// time.
func batchTimeout(attempts, left int, last error) error {
	if last == nil {
		return fmt.Errorf("%w: %d left after %d tries", errBatchTimeout, left, attempts)
	}
	return fmt.Errorf("%w: %d left after %d tries, the last: %w", errBatchTimeout, left, attempts, last)
}

// dropExpired refuses claims whose callers no longer wait. Such a claim would
// be granted to nobody and stay unknown permanently.
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

func (s *shard) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.clock.After(d):
	}
}

// attempt reads what is needed, decides the batch and writes it once. It
// returns the operations that have no result yet.
func (s *shard) attempt(ctx context.Context, batch []*operation) ([]*operation, error) {
	if err := s.prepare(ctx); err != nil {
		return batch, preWriteError{err}
	}
	if err := s.refresh(ctx, batch); err != nil {
		return batch, preWriteError{err}
	}
	last := len(s.chain.segments) - 1
	draft := s.chain.current().draft()
	decisions, changed := s.decide(draft, batch)
	rest := deliverSettled(decisions)
	if !changed {
		return s.finishClosed(ctx, rest)
	}
	if err := s.chain.write(ctx, last, draft); err != nil {
		s.refreshAfterWrite(ctx, err)
		return rest, err
	}
	return s.finishClosed(ctx, deliverWritten(decisions))
}

// prepare loads the chain on first use and rotates it when due.
func (s *shard) prepare(ctx context.Context) error {
	if len(s.chain.segments) == 0 {
		if err := s.chain.load(ctx); err != nil {
			return err
		}
	}
	if err := s.chain.rotate(ctx); err == nil {
		return nil
	}
	// A failed rotation can be retried later, provided that the open segment
	// is known and has room.
	if len(s.chain.segments) == 0 {
		return s.chain.load(ctx)
	}
	if err := s.chain.refresh(ctx, len(s.chain.segments)-1); err != nil {
		return err
	}
	if s.chain.current().bytes > maxSegmentBytes {
		return errSegmentFull
	}
	return nil
}

// Unwrap returns the wrapped error.
func (e preWriteError) Unwrap() error { return e.error }

// refreshAfterWrite reads the open segment again after a write that conflicted
// or whose outcome is unknown.
func (s *shard) refreshAfterWrite(ctx context.Context, err error) {
	var conflict beechstore.Conflict
	var unknown beechstore.UnknownOutcome
	if errors.As(err, &conflict) || errors.As(err, &unknown) {
		s.refreshed = map[string]bool{}
		if s.chain.refresh(ctx, len(s.chain.segments)-1) != nil {
			s.chain.segments = nil
		}
	}
}
