package beechattempt

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechplace"
)

// wholeRequestRank is above those of prompt parts, of which deeper ones are more specific.
const wholeRequestRank = 1 << 10

// poisonTraits returns what the call may have in common with others: the shared parts of its prompt,
// which are apart for workspaces that share no cache, and the call itself.
func (r *execution) poisonTraits() beechpoison.Request {
	if r.traits == nil {
		traits := requestOf(r.call)
		r.traits = &traits
	}
	return *r.traits
}

func requestOf(call *beechcall.Call) beechpoison.Request {
	return beechpoison.Request{Workspace: uint32(xxhash.Sum64String(call.Workspace.Name)), Traits: traitsOf(call)}
}

func traitsOf(call *beechcall.Call) []beechpoison.Trait {
	shared := call.SharedParts()
	traits := make([]beechpoison.Trait, 0, len(shared)+1)
	for i, part := range shared {
		traits = append(traits, beechpoison.Trait{Key: poisonKey(call, part), Rank: i})
	}
	return append(traits, beechpoison.Trait{Key: call.Fingerprint(), Rank: wholeRequestRank})
}

func poisonKey(call *beechcall.Call, part beechcall.Part) uint64 {
	scope := ""
	if call.Workspace.Isolated {
		scope = call.Workspace.Name
	}
	return beechplace.PartKey(scope, part.ID)
}

// refusedAsPoison reports whether servers crash on something that the call has. If it may run as a
// trial, it is one from then on.
func (r *execution) refusedAsPoison() (beechpoison.Refuse, bool) {
	poison := r.dispatcher.poison
	if r.onTrial || poison.Idle() {
		return beechpoison.Refuse{}, false
	}
	verdict := poison.Check(r.poisonTraits())
	if trial, ok := verdict.(beechpoison.Trial); ok {
		if r.onTrial = poison.BeginTrial(trial); r.onTrial {
			r.dispatcher.log.Warn("trial of what servers crashed on", zap.String("request", r.call.ID))
			return beechpoison.Refuse{}, false
		}
		verdict = poison.Check(r.poisonTraits())
	}
	refuse, refused := verdict.(beechpoison.Refuse)
	return refuse, refused
}

// poisonFields tell an operator what a refusal rests on.
func (r *execution) poisonFields(refuse beechpoison.Refuse) []zap.Field {
	part := "" // the request itself
	for _, shared := range r.call.SharedParts() {
		if poisonKey(r.call, shared) == refuse.Key {
			part = shared.ID
		}
	}
	blame, _ := r.dispatcher.poison.Blamed(refuse.Key)
	return []zap.Field{
		zap.String("part", part), zap.String("trait", strconv.FormatUint(refuse.Key, 16)), zap.Int("servers", blame.Servers), zap.Int("moments", blame.Moments),
		zap.Int("workspaces", blame.Workspaces), zap.Duration("first", blame.First), zap.Duration("last", blame.Last),
	}
}

// recordStart records that the server has survived the beginning of its answer.
func (r *execution) recordStart() {
	if r.startRecorded || r.dispatcher.poison.Idle() {
		return
	}
	r.startRecorded = true
	r.dispatcher.poison.RecordStart(r.poisonTraits())
}

// checkSuspect returns how a call may run that was running when servers crashed.
func (d *Dispatcher) checkSuspect(call *beechcall.Call) beechsuspect.Verdict {
	fingerprint := call.Fingerprint()
	return d.suspects.Check(fingerprint, d.poison.Explained(fingerprint))
}
