package beechmirror

import (
	"time"

	"github.com/beechring/beechring/internal/state/beechera"
)

// maxRevisionProofs is how long after a full read revisions confirm the copy, so that what a lost change leaves behind, for
// whatever reason, does not last. At a process on which no peers rely, their proofs of the same copy count as full reads.
const maxRevisionProofs = 5 * time.Second

// ConfirmRevision confirms the copy by the store's revision, which a linearizable read of anything else has shown: at or
// after the given time nothing was written that the copy lacks, if it has every change up to that revision. It reports
// whether it does.
//
// A watch without changes proves nothing of that kind, as it may have been told nothing while the store dropped its history.
// So only full reads and changes count, up to the last of these.
func (m *Mirror) ConfirmRevision(asked time.Duration, revision uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded || m.failing || m.complete < revision || !beechera.Same(m.complete, revision) || m.clock.Since(m.comparedAt) >= maxRevisionProofs {
		return false
	}
	m.confirm(asked, Evidence{Means: ByRevision})
	return true
}

// completeBy records changes that a watch has returned.
func (m *Mirror) completeBy(c Changes) {
	m.mu.Lock()
	m.extendComplete(c)
	m.mu.Unlock()
}

// extendComplete records all changes after a revision, up to the last of them. The caller must hold the lock.
func (m *Mirror) extendComplete(c Changes) {
	if c.After > m.complete || !beechera.Same(c.Revision, m.complete) {
		return
	}
	for _, item := range c.Items {
		m.complete = max(m.complete, item.Revision)
	}
}
