package beechrecord

import (
	"errors"
	"time"

	"github.com/beechring/beechring/internal/state/beechstore"
)

const defaultRetryAfter = time.Second

// failureResult returns the result for the remaining operations of a batch
// that failed. After a write with an unknown outcome the claims may be in the
// service, now or later, so they are Unknown. Without such a write they are
// certainly not there, so they are Refused.
func failureResult(mayBeWritten bool, err error) result {
	if mayBeWritten {
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

// deliverSettled sends the results that need no write. It returns the other
// operations.
func deliverSettled(decisions []decision) []*operation {
	var rest []*operation
	for _, v := range decisions {
		if v.noWrite {
			v.operation.deliver(v.result)
			continue
		}
		rest = append(rest, v.operation)
	}
	return rest
}

// deliverWritten sends the results that the written segment settles. It
// returns the outcomes that belong to closed segments.
func deliverWritten(decisions []decision) []*operation {
	var rest []*operation
	for _, v := range decisions {
		if v.operation.answered() {
			continue
		}
		if v.operation.claim == nil && !v.inOpenSegment {
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
	if o.delivered {
		return
	}
	o.delivered = true
	if g, ok := r.answer.(Granted); ok {
		o.onGranted(g.Token)
	}
	o.result <- r
}

func (o *operation) answered() bool { return o.delivered }
