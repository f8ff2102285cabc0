package beechmanifest

import (
	"context"
	"errors"
	"time"

	"github.com/beechring/beechring/internal/state/beechstore"
)

const (
	settleTries = 8
	settlePause = 50 * time.Millisecond
)

var errStillUnsettled = errors.New("the head was still unsettled after the last try")

// moveHead swaps the head and settles what becomes of it. Sending the same
// swap again after a lost reply is harmless: it has the same version and
// content, so at most one of them takes effect. Once a reply was lost a
// refusal is no longer an answer, since the lost one may still arrive.
func (p *publication) moveHead(ctx context.Context) Outcome {
	data, err := beechstore.EncodeValue(format, p.next)
	if err != nil {
		return Refused{Err: err}
	}
	lost := false
	for range settleTries {
		err = p.patient(ctx, func() error {
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
		if o, ok := p.settle(ctx); ok {
			return o
		}
		if !p.pause(ctx) {
			break
		}
	}
	if !lost {
		// Only conflicts whose winner could not be read: nothing was written.
		return Refused{Err: errors.Join(err, errStillUnsettled)}
	}
	return Unknown{Change: p.next.Change, Err: errors.Join(err, errStillUnsettled)}
}

// settle reads the head back. It is sure if the head has moved: then this
// change either is in the history at its generation or never will be.
func (p *publication) settle(ctx context.Context) (Outcome, bool) {
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
	case <-p.clock.After(settlePause):
		return true
	}
}
