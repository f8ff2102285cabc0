package beechmirror

import (
	"context"
	"encoding/binary"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/state/beechera"
)

type (
	// Changes are all changes after a revision, up to the revision of the page.
	Changes struct {
		After uint64
		Page
		Peer netip.AddrPort // that sent them; invalid: the store did
	}

	// Copy is a copy as it is handed to a peer.
	Copy struct {
		Page
		Kept    []Item        // that the store does not hold any more and the sender keeps
		KeptFor time.Duration // how much longer the sender keeps what is missing; 0: it keeps nothing
		LostFor time.Duration // how long ago the sender lost the store; 0: it keeps for another reason
		Failed  time.Duration // how long ago it sent the last call that failed
		AskedAt time.Time     // before the sender was asked for the copy, by the clock of the receiver
		Peer    netip.AddrPort
	}

	// Held describes a copy, with its ordered revision, to decide whether it should be fetched.
	Held struct {
		Digest   uint64
		Revision uint64
	}

	// CopyStatus is the status of the copy in another process or, as returned by
	// Status, in this one.
	CopyStatus struct {
		Digest      uint64
		Watching    bool          // the process watches the store
		Confirmed   bool          // the age of the copy is proved, so ConfirmedAt is valid
		ConfirmedAt time.Duration // the copy was confirmed at or after this time of this process's clock
		Peer        netip.AddrPort
	}

	// sharing is the state of a mirror that concerns its peers. It is guarded by the
	// lock of the mirror.
	sharing struct {
		digest      uint64        // of the keys and revisions of what the store holds
		patience    time.Duration // without a watching peer, until this process watches
		proofLimit  time.Duration // longest use of an item on a peer's word after the last proof that the store holds it; 0: not limited
		contactTime time.Duration // longest use of a missing item after the last call of an outage that failed; 0: not limited
		alwaysWatch bool          // peers rely on this copy, so it watches the store whatever their status is
		watching    bool          // this process watches the store, and the last watch has not failed
		peerWatchAt time.Time     // when a watching peer last proved that it has the same copy
		peerDiffers chan struct{} // signals that a watching peer has a different copy
	}
)

// watchClaimMargin is how much older than its maximum age the copy of a process may be that claims to watch: a watch that
// waits does not notice that the store is silent, and a read that is due does.
const watchClaimMargin = 200 * time.Millisecond

// peerWatchTTL is how long the status of a peer that watches the store is valid. Within
// this time two inquiries may remain unanswered.
const peerWatchTTL = 700 * time.Millisecond

// SetMaxAge changes the age of the copy at which a full read is due. AlwaysWatch means that
// peers rely on this copy, so that this process watches even if a peer does.
func (m *Mirror) SetMaxAge(d time.Duration, alwaysWatch bool) {
	m.mu.Lock()
	m.maxAge, m.alwaysWatch = d, alwaysWatch
	m.mu.Unlock()
}

// SetLimits changes how long missing items are kept at the most: on a peer's word since the last proof that the store holds
// them, and after an outage of this process's own since the last call that failed. 0 is no limit.
func (m *Mirror) SetLimits(sinceProof, sinceFailure time.Duration) {
	m.mu.Lock()
	m.proofLimit, m.contactTime = sinceProof, sinceFailure
	m.mu.Unlock()
}

// SetStartAge changes Settings.StartAge.
func (m *Mirror) SetStartAge(d time.Duration) {
	m.mu.Lock()
	m.settings.StartAge = d
	m.mu.Unlock()
}

// SetWatchPatience changes how long this process waits for a peer that watches the store before it
// watches itself. A change would reach it later meanwhile, by a full read or from a peer.
func (m *Mirror) SetWatchPatience(d time.Duration) {
	m.mu.Lock()
	m.patience = d
	m.mu.Unlock()
}

// Status returns the status and the age of the copy. Known is false before the first full
// read.
func (m *Mirror) Status() (status CopyStatus, age time.Duration, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	age = m.freshness.Age()
	return CopyStatus{Digest: m.digest, Watching: m.watching && !m.failing && age <= m.maxAge+watchClaimMargin}, age, m.loaded
}

// Held describes the copy. Known is false before there is one.
func (m *Mirror) Held() (held Held, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Held{Digest: m.digest, Revision: m.revision}, m.loaded
}

// Copy returns all items that the store holds, and those that this process keeps, for a peer that lacks some of them.
func (m *Mirror) Copy() (c Copy, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c = Copy{Page: Page{Items: sortedItems(m.items), Revision: m.revision}}
	if m.keepsMissing() && (len(m.kept) > 0 || !m.failing) { // what was missing before the outage was removed
		c.Kept, c.KeptFor = sortedItems(m.kept), m.settings.RemovalDelay
		if !m.failing {
			c.KeptFor = max(m.keepUntil.Sub(m.clock.Now()), m.adoptedUntil.Sub(m.clock.Now()))
		}
		if !m.lostAt.IsZero() {
			c.LostFor, c.Failed = m.clock.Since(m.lostAt), m.clock.Since(m.failedAt)
		}
	}
	return c, m.loaded
}

// ApplyPeerCopy applies a whole copy that was fetched from a peer, and reports whether it is
// not older than this one. It confirms nothing: only a status with a proof does.
func (m *Mirror) ApplyPeerCopy(c Copy) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loaded && c.Revision < m.revision {
		return false
	}
	next := make(map[string]Item, len(c.Items))
	changed := !m.loaded
	for _, item := range c.Items {
		held, ok := m.items[item.Key]
		if !strings.HasPrefix(item.Key, m.settings.Prefix) {
			return false
		}
		if ok && held.Revision >= item.Revision {
			next[item.Key] = held
			continue
		}
		next[item.Key] = item
		changed = true
	}
	restored := m.loaded && !beechera.Same(c.Revision, m.revision)
	if restored {
		m.keepMissing(m.settings.RemovalDelay) // what the restored store lacks is written again
		m.lostAt = time.Time{}
	}
	left := m.keptFor(c)
	if !m.loaded && left > 0 {
		for _, item := range c.Kept {
			if strings.HasPrefix(item.Key, m.settings.Prefix) {
				m.kept[item.Key] = item
			}
		}
	}
	if left > 0 && !restored {
		m.adoptKeeping(c, left)
	}
	keep := left > 0 && m.keepsMissing() || restored && m.settings.RemovalDelay > 0
	changed = m.replaceItems(next, keep) || changed
	if c.KeptFor > 0 {
		m.log.Info("copy of a peer that keeps missing items", zap.Duration("keptFor", c.KeptFor), zap.Duration("lostFor", c.LostFor), zap.Bool("keeps", left > 0), zap.Int("kept", len(m.kept)))
	}
	m.revision, m.fullReadRevision, m.loaded = c.Revision, max(m.fullReadRevision, c.Revision), true
	m.complete = 0 // the peer's revision may be that of a watch without changes
	m.digest = digestOf(sortedItems(m.items))
	if changed {
		m.notifyChanged(Evidence{Means: ByCopy, Peer: c.Peer})
	}
	return true
}

// keptFor returns for how long the sender of a copy keeps what it lacks, or 0 if it has no reason to.
func (m *Mirror) keptFor(c Copy) time.Duration {
	if m.servedDuringOutage(c) {
		return 0
	}
	return min(c.KeptFor, m.settings.RemovalDelay)
}

// adoptKeeping keeps what a copy lacks for a time, as its sender does, but no longer than this process may use an item after
// its own last proof. What is kept already stays so for no longer, as the copy proves nothing of it.
func (m *Mirror) adoptKeeping(c Copy, left time.Duration) {
	if m.loaded && m.proofLimit > 0 {
		left = min(left, m.proofLimit-m.freshness.Age())
	}
	if left <= 0 || m.failing || m.loaded && len(m.kept) > 0 {
		return
	}
	now := m.clock.Now()
	m.adoptedUntil = now.Add(left)
	if !m.keepsForItself() {
		m.lostAt = time.Time{}
		if c.LostFor > 0 {
			m.lostAt, m.failedAt = now.Add(-c.LostFor), c.AskedAt.Add(-c.Failed)
		}
	}
	m.clock.AfterFunc(left, m.dropKept)
}

// servedDuringOutage reports whether the store has answered this process while it did not answer the sender of a copy, so
// that what is missing was removed and did not expire in an outage of the store. After the sender's last call that failed
// the store may have been back without the sender's knowledge.
func (m *Mirror) servedDuringOutage(c Copy) bool {
	if c.KeptFor <= 0 || c.LostFor <= 0 || c.AskedAt.IsZero() || m.settings.Answers == nil || m.keepsMissing() {
		return false
	}
	return m.settings.Answers.Within(m.clock.Now().Add(OutageMargin-c.LostFor), c.AskedAt.Add(-c.Failed))
}

// WatchedByPeer reports whether a peer that watches the store has proved that it has the same
// copy.
func (m *Mirror) WatchedByPeer() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.Since(m.peerWatchAt) < peerWatchTTL
}

// ApplyPeerStatus applies the status of a peer's copy and reports whether this copy is the
// same. If it is, and the age of the peer's copy is proved, this copy is confirmed as of
// the same time.
func (m *Mirror) ApplyPeerStatus(status CopyStatus) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded {
		return false
	}
	if status.Digest != m.digest {
		if status.Watching {
			m.peerWatchAt = time.Time{}
			select {
			case m.peerDiffers <- struct{}{}:
			default:
			}
		}
		return false
	}
	if status.Confirmed && !m.alwaysWatch {
		m.comparedAt = m.clock.Now()
	}
	if status.Confirmed {
		m.confirm(status.ConfirmedAt, Evidence{Means: ByProof, Peer: status.Peer})
	}
	if status.Confirmed && status.Watching {
		m.peerWatchAt = m.clock.Now()
	}
	return true
}

// ApplyPeerChanges applies changes that a peer received from its watch, and reports whether
// it did. They are ignored if this copy lacks earlier changes: then the copies differ, and a
// watch of this process returns all changes. Removals are applied even if this process
// cannot reach the store: the peer can, and forwards nothing while it keeps missing items.
func (m *Mirror) ApplyPeerChanges(c Changes) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded || c.After > m.revision {
		return false
	}
	isNew := c.Revision > m.revision
	if !isNew && (c.After > m.history.complete || c.Revision <= m.history.complete) {
		return false
	}
	m.applyChanges(c.Page, false, Evidence{Means: ByChanges, Peer: c.Peer}) // also those that a copy has undone, for the history
	m.extendComplete(c)
	m.extendHistory(c)
	return isNew
}

// watchedByPeer reports whether a peer that watches the store has the same copy, so that
// this process need not watch.
func (m *Mirror) watchedByPeer() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.alwaysWatch || m.clock.Since(m.peerWatchAt) >= m.patience {
		m.logWatch(true)
		return false
	}
	m.watching = false
	m.logWatch(false)
	return true
}

// waitForPeer waits until the status of the watching peer may have expired or it has a
// different copy.
func (m *Mirror) waitForPeer(ctx context.Context) {
	select {
	case <-m.clock.After(peerWatchTTL):
	case <-m.peerDiffers:
	case <-ctx.Done():
	}
}

// digestOf returns a digest of all keys and revisions. Copies with the same digest are the
// same.
func digestOf(list []Item) uint64 {
	d := xxhash.New()
	var revision [8]byte
	for _, item := range list {
		_, _ = d.WriteString(item.Key) // never fails
		binary.BigEndian.PutUint64(revision[:], item.Revision)
		_, _ = d.Write(revision[:])
	}
	return d.Sum64()
}
