package beechmanifest

import (
	"context"
	"errors"
	"time"

	"github.com/beechring/beechring/internal/state/beechstore"
)

const (
	maxSwapAttempts = 8
	swapRetryPause  = 50 * time.Millisecond
)

var errOutcomeUnresolved = errors.New("no changed head could be read back after the last attempt")

// swapHead replaces the head by compare-and-swap and determines the outcome. After a lost
// reply it repeats the write, which is safe: the writes have the same version and content,
// so at most one of them takes effect. Once a reply was lost, an error of a later attempt
// does not prove that nothing was written, as the earlier write may still arrive.
func (p *publication) swapHead(ctx context.Context) Outcome {
	data, err := beechstore.EncodeValue(headFormat, p.next)
	if err != nil {
		return Refused{Err: err}
	}
	lost := false
	for range maxSwapAttempts {
		err = p.retryOverBudget(ctx, func() error {
			_, err := p.store.CompareAndSwap(ctx, HeadKey, p.value.Version, data, "", beechstore.ImportanceConfiguration)
			return err
		})
		var conflict beechstore.Conflict
		var unknown beechstore.UnknownOutcome
		switch {
		case err == nil:
			return Accepted{Generation: p.next.Generation}
		case errors.As(err, &unknown):
			lost = true
		case !errors.As(err, &conflict) && !lost:
			return Refused{Err: err}
		}
		if o, ok := p.resolveOutcome(ctx); ok {
			return o
		}
		if !p.pause(ctx) {
			break
		}
	}
	if !lost {
		// All attempts were conflicts, and the conflicting head could not be read, so
		// nothing was written.
		return Refused{Err: errors.Join(err, errOutcomeUnresolved)}
	}
	return Unknown{Change: p.next.Change, Err: errors.Join(err, errOutcomeUnresolved)}
}

// resolveOutcome reads the head back. Once the head has changed, the outcome is certain:
// either this change is in the history at its generation, or it never will be. It returns
// false if the outcome is still unknown.
func (p *publication) resolveOutcome(ctx context.Context) (Outcome, bool) {
	v, err := p.store.Get(ctx, HeadKey, beechstore.ImportanceConfiguration)
	if err != nil || v.Version == p.value.Version {
		return nil, false
	}
	h, err := decodeHead(v)
	if err != nil {
		return nil, false
	}
	for _, c := range h.History {
		switch {
		case c.Generation != p.next.Generation:
		case c.ID == p.next.Change:
			return Accepted{Generation: c.Generation}, true
		default:
			return Conflict{Current: h.Generation}, true
		}
	}
	return nil, false
}

func (p *publication) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.clock.After(swapRetryPause):
		return true
	}
}
