package beechrecord

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// unrecorded is an outcome that this process knows but could not record. The
// service may be down for a long time; without the retries, every request that
// ended during that time would stay unknown to its caller for good.
type unrecorded struct {
	key     Key
	token   string
	outcome *outcome
	since   time.Time
}

const (
	maxUnrecorded        = 1 << 16
	initialRetryInterval = 100 * time.Millisecond
	maxRetryInterval     = 2 * time.Second
	// lateWriteTimeout is how long a claim whose token is not in the service
	// may still appear there through a delayed write.
	lateWriteTimeout = time.Minute
)

func (r *Records) addUnrecorded(key Key, token string, o *outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unrecorded) >= maxUnrecorded {
		return
	}
	r.unrecorded[token] = &unrecorded{key: key, token: token, outcome: o, since: r.clock.Now()}
	select {
	case r.unrecordedAdded <- struct{}{}:
	default:
	}
}

// answerFromUnrecorded answers a repeat with an outcome that is not yet in the
// service.
func (r *Records) answerFromUnrecorded(token, requestID string) (Answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, ok := r.unrecorded[token]
	if !ok || u.outcome.NotRun {
		return nil, false
	}
	return u.outcome.toDone(requestID), true
}

// Unrecorded returns the number of outcomes that are not yet in the service. A
// process should wait for 0, for a limited time, before it exits.
func (r *Records) Unrecorded() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unrecorded)
}

// retryUnrecorded retries the unrecorded outcomes, with backoff, until ctx
// ends.
func (r *Records) retryUnrecorded(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = initialRetryInterval
	pause.MaxInterval = maxRetryInterval
	for {
		wait := r.unrecordedAdded
		var timer <-chan time.Time
		if r.Unrecorded() > 0 {
			wait, timer = nil, r.clock.After(pause.NextBackOff())
		} else {
			pause.Reset()
		}
		select {
		case <-ctx.Done():
			return
		case <-wait:
		case <-timer:
			r.submitUnrecorded(ctx)
		}
	}
}

// submitUnrecorded submits all unrecorded outcomes before it waits for any
// result, so that they share writes.
func (r *Records) submitUnrecorded(ctx context.Context) {
	r.mu.Lock()
	var operations []*operation
	for _, u := range r.unrecorded {
		operations = append(operations, &operation{
			ctx: ctx, key: u.key.id().String(), token: u.token, outcome: u.outcome, result: make(chan result, 1),
		})
		r.enqueue(u.key, operations[len(operations)-1])
	}
	r.mu.Unlock()
	for _, o := range operations {
		select {
		case <-ctx.Done():
			return
		case got := <-o.result:
			r.handleRetryResult(o.token, got.err)
		}
	}
}

func (r *Records) handleRetryResult(token string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, ok := r.unrecorded[token]
	if !ok {
		return
	}
	gone := errors.Is(err, errTokenUnknown) && r.clock.Since(u.since) > lateWriteTimeout
	if err == nil || gone {
		delete(r.unrecorded, token)
	}
}
