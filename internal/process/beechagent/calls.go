package beechagent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechshare"
	"github.com/beechring/beechring/internal/state/beechrecord"
	"github.com/beechring/beechring/internal/state/beechstore"
)

const (
	// claimWait is how long a repeat waits for the first run's outcome. It is
	// less than entry hosts wait for the answer: a caller that is told too late
	// that the outcome is unknown would be told that nobody could be asked.
	claimWait = 3 * time.Second

	// budgetWait is how long a claim waits for the budget of calls. Beyond it
	// the process is overloaded, and the caller is refused and told when to
	// come back.
	budgetWait = 500 * time.Millisecond
)

var errMethod = errors.New("no such method")

// Answer implements beechlink.CallHandler for the calls of entry hosts.
func (a *Agent) Answer(ctx context.Context, p beechlink.Peer, method string, payload []byte) ([]byte, error) {
	switch method {
	case beechwire.MethodConfiguration:
		var ask beechwire.ConfigurationAsk
		return answer(payload, &ask, func() (msgp.Marshaler, error) { return a.configurationFor(ask), nil })
	case beechwire.MethodChanges:
		var ask beechwire.ChangesAsk
		return answer(payload, &ask, func() (msgp.Marshaler, error) { return a.changesSince(ask.After), nil })
	case beechwire.MethodSnapshot:
		snapshot := a.fleet.snapshot(a.entryCount(), a.wireSuspects())
		return snapshot.MarshalMsg(nil)
	case beechwire.MethodShare:
		var shared beechwire.Snapshot
		if _, err := shared.UnmarshalMsg(payload); err != nil {
			return nil, fmt.Errorf("read share from %s: %w", p.Address, err)
		}
		a.fleet.take(shared)
		return nil, nil
	case beechwire.MethodClaim:
		var ask beechwire.ClaimAsk
		return answer(payload, &ask, func() (msgp.Marshaler, error) { return a.claim(ctx, ask) })
	case beechwire.MethodFinish:
		var ask beechwire.FinishAsk
		return answer(payload, &ask, func() (msgp.Marshaler, error) { return a.finish(ctx, ask) })
	default:
		return nil, fmt.Errorf("%w: %s", errMethod, method)
	}
}

// answer decodes a question, asks respond and encodes what it says.
func answer(payload []byte, ask msgp.Unmarshaler, respond func() (msgp.Marshaler, error)) ([]byte, error) {
	if _, err := ask.UnmarshalMsg(payload); err != nil {
		return nil, fmt.Errorf("read question: %w", err)
	}
	message, err := respond()
	if err != nil {
		return nil, err
	}
	return message.MarshalMsg(nil)
}

func (a *Agent) configurationFor(ask beechwire.ConfigurationAsk) *beechwire.Configuration {
	generation, data := a.holder.Encoded()
	if generation <= ask.Have {
		return &beechwire.Configuration{Generation: generation}
	}
	return &beechwire.Configuration{Generation: generation, Manifest: data}
}

// changesSince tells an entry host what has come into the engine's cache, and
// gone, since the version it knows.
func (a *Agent) changesSince(after uint64) *beechwire.Changes {
	changes, next := a.index.Changes(after)
	reply := &beechwire.Changes{Incarnation: a.incarnation, Next: next, All: changes.Snapshot, List: make([]beechwire.Change, 0, len(changes.List))}
	for _, c := range changes.List {
		reply.List = append(reply.List, beechwire.Change{Key: c.Key[:], Tokens: c.Tokens, Held: c.Held})
	}
	return reply
}

func (a *Agent) claim(ctx context.Context, ask beechwire.ClaimAsk) (msgp.Marshaler, error) {
	if ask.Repeatable {
		reply := a.placements.claim(ask)
		return &reply, nil
	}
	if len(ask.BodyHash) != len(beechrecord.BodySum{}) {
		return nil, fmt.Errorf("claim: body hash of %d bytes", len(ask.BodyHash))
	}
	key := beechrecord.Key{Name: ask.RecordKey}
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	got := a.claimWithinBudget(ctx, key, beechrecord.BodySum(ask.BodyHash), ask.RequestID)
	if refused, ok := got.(beechrecord.Refused); ok {
		a.log.Warn("claim refused", beechlog.RequestID(ask.RequestID), beechlog.Step("claim"), zap.Error(refused.Err))
	}
	reply := claimAnswer(got)
	a.log.Debug("claim answered", beechlog.RequestID(ask.RequestID), beechlog.Step("claim"), zap.String("record", key.String()), zap.String("state", reply.State))
	return &reply, nil
}

// claimWithinBudget claims again after a moment where only this process's
// budget of calls to the platform's service was spent. Claims that come
// meanwhile share the next write, so that a burst is carried by a few writes
// instead of being refused.
func (a *Agent) claimWithinBudget(ctx context.Context, key beechrecord.Key, body beechrecord.BodySum, requestID string) beechrecord.Answer {
	limit := a.clock.Now().Add(budgetWait)
	for {
		answer := a.records.Claim(ctx, key, body, requestID)
		refused, isRefused := answer.(beechrecord.Refused)
		if !isRefused || !a.awaitBudget(ctx, refused.Err, limit) {
			return answer
		}
	}
}

// finishWithinBudget records an outcome likewise. An outcome that is lost for
// want of a few milliseconds would leave every repeat with "unknown" for as
// long as records are kept.
func (a *Agent) finishWithinBudget(ctx context.Context, key beechrecord.Key, token string, outcome beechrecord.Outcome) error {
	limit := a.clock.Now().Add(recordTimeout)
	for {
		err := a.records.Finish(ctx, key, token, outcome)
		if err == nil || !a.awaitBudget(ctx, err, limit) {
			return err
		}
	}
}

// awaitBudget waits until the budget allows another call; false is an error of
// another kind or too long a wait.
func (a *Agent) awaitBudget(ctx context.Context, err error, limit time.Time) bool {
	var over beechstore.OverBudget
	if !errors.As(err, &over) || !a.clock.Now().Add(over.After).Before(limit) {
		return false
	}
	select {
	case <-a.clock.After(over.After):
		return true
	case <-ctx.Done():
		return false
	}
}

func claimAnswer(answer beechrecord.Answer) beechwire.ClaimAnswer {
	switch r := answer.(type) {
	case beechrecord.Granted:
		return beechwire.ClaimAnswer{State: beechwire.StateGranted, Token: r.Token}
	case beechrecord.Done:
		state := beechwire.StateDone
		if !r.Complete {
			state = beechwire.StateUnknown
		}
		return beechwire.ClaimAnswer{State: state, RequestID: r.RequestID, Status: r.Status, ContentType: r.ContentType, Answer: r.Body}
	case beechrecord.Mismatch:
		return beechwire.ClaimAnswer{State: beechwire.StateMismatch, RequestID: r.RequestID}
	case beechrecord.Refused:
		return beechwire.ClaimAnswer{State: beechwire.StateRefused, AfterMillis: r.After.Milliseconds()}
	case beechrecord.Unknown:
		return beechwire.ClaimAnswer{State: beechwire.StateUnknown, RequestID: r.RequestID}
	default:
		return beechwire.ClaimAnswer{State: beechwire.StateUnknown}
	}
}

func (a *Agent) finish(ctx context.Context, ask beechwire.FinishAsk) (msgp.Marshaler, error) {
	if ask.NotRun && ask.Token == "" {
		if err := a.records.Withdraw(ctx, beechrecord.Key{Name: ask.RecordKey}, ask.RequestID); err != nil {
			return nil, err
		}
		a.log.Info("claim withdrawn", beechlog.RequestID(ask.RequestID), beechlog.Step("claim"))
		return &beechwire.ClaimAnswer{State: beechwire.StateDone}, nil
	}
	if ask.Agent != "" || ask.NotRun && a.placements.holds(ask) {
		a.placements.finish(ask)
		return &beechwire.ClaimAnswer{State: beechwire.StateDone}, nil
	}
	if !ask.NotRun && ask.Status == 0 {
		a.records.Abandon(ask.Token)
		return &beechwire.ClaimAnswer{State: beechwire.StateUnknown}, nil
	}
	var outcome beechrecord.Outcome = beechrecord.Ran{Status: ask.Status, ContentType: ask.ContentType, Body: ask.Answer}
	if ask.NotRun {
		outcome = beechrecord.NotRun{}
	}
	if err := a.finishWithinBudget(ctx, beechrecord.Key{Name: ask.RecordKey}, ask.Token, outcome); err != nil {
		return nil, err
	}
	return &beechwire.ClaimAnswer{State: beechwire.StateDone}, nil
}

func (a *Agent) wireSuspects() []beechwire.Suspect {
	return beechshare.WireSuspects(a.suspects.List())
}
