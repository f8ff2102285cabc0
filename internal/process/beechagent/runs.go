package beechagent

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"

	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/process/beechconvert"
)

type (
	// activeRuns holds the requests that are running on the backend server. It
	// tells which requests were running when the server crashed, which ones make no
	// progress, and whether a model is in use.
	activeRuns struct {
		mu        sync.Mutex
		runs      map[uint64]run
		lastEnded uint64 // the incarnation last passed to endIncarnation
	}

	run struct {
		fingerprint uint64
		model       string
		incarnation uint64
		attempt     *attempt
		// traits are taken at the start: an interrupted run may end, and free its prompt, while
		// another one records the crash.
		traits beechpoison.Request
	}

	// usedClaims remembers the claim tokens that were used here. An entry host may
	// send a token twice after a lost link, and the request must not run twice.
	usedClaims struct {
		mu   sync.Mutex
		used *expirable.LRU[string, struct{}]
	}
)

const (
	// claimRetention is longer than any entry host keeps a request open.
	claimRetention = 30 * time.Minute
	maxClaims      = 1 << 17
)

func newRun(t *attempt) run {
	r := &t.generation.request
	return run{
		fingerprint: r.Fingerprint, model: modelKey(r.Model, r.Weights), incarnation: t.incarnation, attempt: t, traits: beechconvert.PoisonRequest(r),
	}
}

func newActiveRuns() *activeRuns { return &activeRuns{runs: map[uint64]run{}} }

func (s *activeRuns) add(id uint64, r run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id] = r
}

func (s *activeRuns) remove(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, id)
}

func (s *activeRuns) uses(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.model == model {
			return true
		}
	}
	return false
}

// stalledSince returns the attempts that have received no data from the server since
// the given time.
func (s *activeRuns) stalledSince(since time.Time) []*attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*attempt
	for _, r := range s.runs {
		if r.attempt.lastProgressAt().Before(since) {
			out = append(out, r.attempt)
		}
	}
	return out
}

// endIncarnation returns the requests that were running on the ended incarnation, and
// whether this is the first call for it. It is called for each interrupted answer. If a crash were counted more than once, requests that
// did not cause it would be taken for its cause.
func (s *activeRuns) endIncarnation(ended uint64) (lost []run, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastEnded == ended {
		return nil, false
	}
	s.lastEnded = ended
	for _, r := range s.runs {
		if r.incarnation == ended && r.fingerprint != 0 {
			lost = append(lost, r)
		}
	}
	return lost, true
}

func newUsedClaims() *usedClaims {
	return &usedClaims{used: expirable.NewLRU[string, struct{}](maxClaims, nil, claimRetention)}
}

// markUsed marks the token as used, and reports whether it was unused before.
func (u *usedClaims) markUsed(token string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.used.Contains(token) {
		return false
	}
	u.used.Add(token, struct{}{})
	return true
}

// release makes a token usable again. It is called when the request is known not to
// have been run.
func (u *usedClaims) release(token string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.used.Remove(token)
}
