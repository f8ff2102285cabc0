package beechmirror

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

type (
	// Answers are the latest calls that a store has answered, for the mirrors of one process. It is safe for concurrent use.
	Answers struct {
		mu   sync.Mutex
		list []answer
	}

	answer struct{ asked, received time.Time }
)

// maxAnswers bounds the calls that are remembered: several a second while servers change, for some ten seconds.
const maxAnswers = 64

// add records a call that was answered.
func (a *Answers) add(asked, received time.Time) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, answer{asked, received})
	if extra := len(a.list) - maxAnswers; extra > 0 {
		a.list = slices.Delete(a.list, 0, extra)
	}
}

// Within reports whether a call was sent and answered between two moments.
func (a *Answers) Within(from, until time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.ContainsFunc(a.list, func(x answer) bool { return !x.asked.Before(from) && !x.received.After(until) })
}

// OutageMargin after the first call that failed, and before the last one, answers to others prove nothing: the store may have
// answered them just before or after its outage.
const OutageMargin = 200 * time.Millisecond

// Outage returns when this process, or the peer by whose copy it keeps items, sent the first and the last call that failed.
// Keeps is false if it keeps nothing for that reason.
func (m *Mirror) Outage() (lost, failed time.Time, keeps bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lostAt, m.failedAt, m.keepsMissing() && !m.failing && !m.lostAt.IsZero()
}

// EndKeeping drops what is kept for the outage that began at a time, since the store has answered others during it: what is
// missing was removed and did not expire in an outage of the store.
func (m *Mirror) EndKeeping(lost time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing || !m.lostAt.Equal(lost) || !m.keepsMissing() {
		return
	}
	m.log.Info("missing items dropped, others reached the store", zap.Duration("lostFor", m.clock.Since(lost)), zap.Int("kept", len(m.kept)))
	m.keepUntil, m.adoptedUntil, m.lostAt = time.Time{}, time.Time{}, time.Time{}
	if len(m.kept) > 0 {
		clear(m.kept)
		m.notifyChanged(Evidence{Means: ByExpiry})
	}
}
