package beechmirror

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/state/beechera"
)

type (
	// history is what a mirror knows of the changes that led to its copy.
	//
	// It begins at a confirmed copy. Every later change with a revision up to complete was passed to Settings.Observe. Only
	// changes extend it: those that a watch returns, those that a peer forwards, and a peer's word that there were none. A
	// full read and a peer's copy move the copy ahead of the history, as they do not show what was written and removed in
	// between.
	//
	// It is guarded by the lock of the mirror.
	history struct {
		begun      bool
		complete   uint64        // revision up to which every change was observed
		lastChange uint64        // no change has a revision above this one, up to complete
		since      time.Duration // from which time on changes were observed
		currentAt  time.Time     // when the copy was last not ahead of the history
	}

	// Quiet states that no key under the prefix changed after one revision, up to another. Both are ordered; the zero
	// value states nothing.
	Quiet struct {
		After uint64
		Until uint64
	}
)

// maxCatchUpCalls bounds the calls of one CatchUp. A second one is needed if the first returned changes.
const maxCatchUpCalls = 4

var (
	errNoHistory   = errors.New("there is no confirmed copy yet")
	errStoreLost   = errors.New("the store is lost")
	errManyChanges = errors.New("the store changes faster than it can be read")
)

// CatchUp reads all changes up to now, so that the copy, and what Settings.Observe was told, are complete as of a
// moment after the call began. If the store has dropped the changes, or was restored, the error is ErrCompacted or
// another one, and the history begins anew.
func (m *Mirror) CatchUp(ctx context.Context) error {
	for range maxCatchUpCalls {
		m.mu.Lock()
		begun, failing, after := m.history.begun, m.failing, m.history.complete
		m.mu.Unlock()
		switch {
		case !begun:
			return errNoHistory
		case failing:
			return errStoreLost // until a full read succeeds
		}
		_, plain := beechera.Split(after)
		page, err := m.source.Watch(ctx, m.settings.Prefix, plain, 0)
		if err != nil {
			if errors.Is(err, ErrCompacted) {
				m.restartHistory()
			}
			m.ReadNow()
			return err
		}
		page = page.ordered()
		if !beechera.Same(page.Revision, after) {
			m.observeEra(page.Revision)
			m.restartHistory()
			m.ReadNow()
			return errOtherEra
		}
		m.applyWatch(page)
		m.observed(Changes{After: after, Page: page})
		if len(page.Items) == 0 {
			return nil
		}
	}
	return errManyChanges
}

// HistoryAge returns for how long this process has observed every change, up to a revision, and whether the copy is ahead
// of that revision, so that there may be changes that were not observed. CatchUp reads those.
func (m *Mirror) HistoryAge() (age time.Duration, gap bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.history.begun {
		return 0, false
	}
	return m.freshness.Now() - m.history.since, m.revision > m.history.complete
}

// Quiet returns the last revisions between which no key changed, for peers that observed all changes before them.
func (m *Mirror) Quiet() Quiet {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.history.begun {
		return Quiet{}
	}
	return Quiet{After: m.history.lastChange, Until: m.history.complete}
}

// ApplyPeerQuiet extends the history by revisions between which a peer has observed that no key changed.
func (m *Mirror) ApplyPeerQuiet(q Quiet) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if q.Until > 0 {
		m.extendHistory(Changes{After: q.After, Page: Page{Revision: q.Until}})
	}
}

// confirm records that the copy was complete at or after a time. The caller must hold the lock.
func (m *Mirror) confirm(at time.Duration, by Evidence) {
	before := m.freshness.Age()
	m.freshness.Confirm(at)
	if m.freshness.Age() < before {
		m.lastProof.Store(&by)
	}
	if h := &m.history; !h.begun || !beechera.Same(h.complete, m.revision) {
		*h = history{begun: true, complete: m.revision, lastChange: m.revision, since: at, currentAt: m.clock.Now()}
	}
}

// observed extends the history by changes that were passed to Settings.Observe.
func (m *Mirror) observed(c Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.extendHistory(c)
}

// extendHistory adds all changes after a revision, up to another, which were observed. Changes that do not continue the
// history are ignored. The caller must hold the lock.
func (m *Mirror) extendHistory(c Changes) {
	h := &m.history
	if !h.begun || c.After > h.complete || !beechera.Same(c.Revision, h.complete) {
		return
	}
	for _, item := range c.Items {
		h.lastChange = max(h.lastChange, item.Revision)
	}
	h.complete = max(h.complete, c.Revision)
	if h.complete >= m.revision {
		h.currentAt = m.clock.Now()
	}
}

// closeGap reads the changes that are missing between the history and the copy before the store drops them.
func (m *Mirror) closeGap(ctx context.Context) {
	m.mu.Lock()
	h := m.history
	due := m.settings.MaxGap > 0 && h.begun && !m.failing && m.revision > h.complete && m.clock.Since(h.currentAt) >= m.settings.MaxGap
	if due {
		m.history.currentAt = m.clock.Now() // a failure is not repeated at once
	}
	m.mu.Unlock()
	if !due {
		return
	}
	limited, cancel := clockwork.WithTimeout(ctx, m.clock, m.settings.ReadTimeout)
	defer cancel()
	_ = m.CatchUp(limited) // it requests a full read, which reports the store's failures
}

// watchFrom returns the revision after which a watch continues the history if anybody observes it, or otherwise the copy. The
// caller must hold the lock.
func (m *Mirror) watchFrom() uint64 {
	if m.settings.Observe != nil && m.history.begun && beechera.Same(m.history.complete, m.revision) {
		return m.history.complete
	}
	return m.revision
}

// restartHistory forgets the history, which begins anew when the copy is next confirmed.
func (m *Mirror) restartHistory() {
	m.mu.Lock()
	m.history = history{}
	m.mu.Unlock()
}
