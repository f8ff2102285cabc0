package beechrecord

import (
	"errors"
	"time"

	"github.com/beechring/beechring/internal/state/beechstore"
)

const defaultRetryAfter = time.Second

// failure is what is left of a batch that cannot be finished. After a lost
// write the claims may be in the service, now or later, so they are Unknown;
// before one they surely are not.
func failure(lost bool, err error) result {
	if lost {
		return result{answer: Unknown{Err: err}, err: err}
	}
	return result{answer: Refused{After: retryAfter(err), Err: err}, err: err}
}

func retryAfter(err error) time.Duration {
	var over beechstore.OverBudget
	if errors.As(err, &over) {
		return over.After
	}
	return defaultRetryAfter
}

func deliverAll(batch []*operation, r result) {
	for _, o := range batch {
		o.deliver(r)
	}
}

func deliverSettled(verdicts []verdict) []*operation {
	var rest []*operation
	for _, v := range verdicts {
		if v.settled {
			v.operation.deliver(v.result)
			continue
		}
		rest = append(rest, v.operation)
	}
	return rest
}

// deliverWritten answers what the written segment settles; outcomes for
// closed segments are left.
func deliverWritten(verdicts []verdict) []*operation {
	var rest []*operation
	for _, v := range verdicts {
		if v.operation.answered() {
			continue
		}
		if v.operation.claim == nil && !v.inOpen {
			rest = append(rest, v.operation)
			continue
		}
		v.operation.deliver(v.result)
	}
	return rest
}

func unanswered(batch []*operation) []*operation {
	var rest []*operation
	for _, o := range batch {
		if !o.answered() {
			rest = append(rest, o)
		}
	}
	return rest
}

func (o *operation) deliver(r result) {
	if o.done {
		return
	}
	o.done = true
	if g, ok := r.answer.(Granted); ok {
		o.granted(g.Token)
	}
	o.result <- r
}

func (o *operation) answered() bool { return o.done }
