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
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/state/beechrecord"
	"github.com/beechring/beechring/internal/state/beechstore"
)

const (
	// claimTimeout is how long a repeated request waits for the outcome of the
	// first one. It is shorter than the entry host's timeout for the call, since
	// the entry host would otherwise report that no agent could be reached rather
	// than that the outcome is unknown.
	claimTimeout = 3 * time.Second

	// budgetTimeout is how long a claim waits for the rate limit of calls to the
	// platform's service. If that is not enough, the process is overloaded, and
	// the caller is refused and told when to retry.
	budgetTimeout = 500 * time.Millisecond
)

var errUnknownMethod = errors.New("no such method")

// Answer implements beechlink.CallHandler. It handles calls from entry hosts.
func (a *Agent) Answer(ctx context.Context, p beechlink.Peer, method string, payload []byte) ([]byte, error) {
	switch method {
	case beechwire.MethodConfiguration:
		var ask beechwire.ConfigurationAsk
		return handleCall(payload, &ask, func() (msgp.Marshaler, error) { return a.configurationFor(ask), nil })
	case beechwire.MethodChanges:
		var ask beechwire.ChangesAsk
		return handleCall(payload, &ask, func() (msgp.Marshaler, error) { return a.cacheChanges(ask.After), nil })
	case beechwire.MethodSnapshot:
		snapshot := a.entryHosts.snapshot(a.entryCount(), a.wireSuspects(), a.poison.Active())
		return snapshot.MarshalMsg(nil)
	case beechwire.MethodShare:
		var shared beechwire.Snapshot
		if _, err := shared.UnmarshalMsg(payload); err != nil {
			return nil, fmt.Errorf("read share from %s: %w", p.Address, err)
		}
		a.entryHosts.storeShared(shared)
		return nil, nil
	case beechwire.MethodClaim:
		var ask beechwire.ClaimAsk
		return handleCall(payload, &ask, func() (msgp.Marshaler, error) { return a.claim(ctx, ask) })
	case beechwire.MethodFinish:
		var ask beechwire.FinishAsk
		return handleCall(payload, &ask, func() (msgp.Marshaler, error) { return a.finish(ctx, ask) })
	default:
		return nil, fmt.Errorf("%w: %s", errUnknownMethod, method)
	}
}

// handleCall decodes the payload into ask, calls respond and encodes its result.
func handleCall(payload []byte, ask msgp.Unmarshaler, respond func() (msgp.Marshaler, error)) ([]byte, error) {
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

// cacheChanges returns the entries added to and removed from the engine's cache
// since the given version.
func (a *Agent) cacheChanges(after uint64) *beechwire.Changes {
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
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	got := a.claimWithinBudget(ctx, key, beechrecord.BodySum(ask.BodyHash), ask.RequestID)
	if refused, ok := got.(beechrecord.Refused); ok {
		a.log.Warn("claim refused", beechlog.RequestID(ask.RequestID), beechlog.Step("claim"), zap.Error(refused.Err))
	}
	reply := claimAnswer(got)
	a.log.Debug("claim answered", beechlog.RequestID(ask.RequestID), beechlog.Step("claim"), zap.String("record", key.String()), zap.String("state", reply.State))
	return &reply, nil
}

// claimWithinBudget claims a record, and retries if the claim failed only because
// this process reached its rate limit of calls to the platform's service. Claims
// that arrive during the wait are combined into one write, so that a burst needs
// only a few writes instead of being refused.
func (a *Agent) claimWithinBudget(ctx context.Context, key beechrecord.Key, body beechrecord.BodySum, requestID string) beechrecord.Answer {
	deadline := a.clock.Now().Add(budgetTimeout)
	for {
		answer := a.records.Claim(ctx, key, body, requestID)
		refused, isRefused := answer.(beechrecord.Refused)
		if !isRefused || !a.waitForBudget(ctx, refused.Err, deadline) {
			return answer
		}
	}
}

// finishWithinBudget records an outcome, and retries as claimWithinBudget does. If
// the outcome were dropped because of a wait of a few milliseconds, all repeated
// requests would get "unknown" for as long as records are kept.
func (a *Agent) finishWithinBudget(ctx context.Context, key beechrecord.Key, token string, outcome beechrecord.Outcome) error {
	deadline := a.clock.Now().Add(recordTimeout)
	for {
		err := a.records.Finish(ctx, key, token, outcome)
		if err == nil || !a.waitForBudget(ctx, err, deadline) {
			return err
		}
	}
}

// waitForBudget waits until the rate limit allows another call. It returns false
// if err is of another kind, if the wait would go past deadline or if ctx ends.
func (a *Agent) waitForBudget(ctx context.Context, err error, deadline time.Time) bool {
	var over beechstore.OverBudget
	if !errors.As(err, &over) || !a.clock.Now().Add(over.After).Before(deadline) {
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
	if ask.Agent != "" || ask.NotRun && a.placements.contains(ask) {
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
	return beechconvert.WireSuspects(a.suspects.List())
}
