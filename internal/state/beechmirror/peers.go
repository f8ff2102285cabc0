package beechmirror

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// Changes is all that has changed after a revision, up to the page's.
	Changes struct {
		After uint64
		Page
	}

	// CopyStatus is another process's word on its copy.
	CopyStatus struct {
		Digest      uint64
		Watching    bool          // it watches the store
		Confirmed   bool          // the store confirmed it at or after Asked
		ConfirmedAt time.Duration // by this process's clock
	}

	// sharing is what a mirror knows of others that hold the same copy. The
	// mirror's lock guards it.
	sharing struct {
		digest      uint64        // of the keys and revisions held
		alwaysWatch bool          // others rely on this copy: it follows the store whatever they say
		watching    bool          // by watches, the last of which has not failed
		peerWatchAt time.Time     // when a process that follows the store vouched for the same copy last
		peerDiffers chan struct{} // one that follows the store holds another copy
	}
)

// peerWatchTTL is how long a process's word that it follows the store counts:
// two questions may go unanswered.
const peerWatchTTL = 700 * time.Millisecond

// SetMaxAge changes the age at which the prefix is read whole. Leads tells
// that others rely on this copy.
func (m *Mirror) SetMaxAge(d time.Duration, leads bool) {
	m.mu.Lock()
	m.maxAge, m.alwaysWatch = d, leads
	m.mu.Unlock()
}

// Status gives this process's word on its copy, and the copy's age. It is false
// before the first read.
func (m *Mirror) Status() (w CopyStatus, age time.Duration, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return CopyStatus{Digest: m.digest, Watching: m.watching && !m.failing}, m.freshness.Age(), m.loaded
}

// ApplyPeerStatus takes in another process's word, and tells whether its copy is the
// same. With a proof this copy is as young as the other one.
func (m *Mirror) ApplyPeerStatus(w CopyStatus) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded {
		return false
	}
	if w.Digest != m.digest {
		if w.Watching {
			m.peerWatchAt = time.Time{}
			select {
			case m.peerDiffers <- struct{}{}:
			default:
			}
		}
		return false
	}
	if w.Confirmed {
		m.freshness.Confirm(w.ConfirmedAt)
	}
	if w.Confirmed && w.Watching {
		m.peerWatchAt = m.clock.Now()
	}
	return true
}

// ApplyPeerChanges takes in what another process's watch has told. Where changes before that
// are missing it is passed over: the copies differ then, and a watch of this
// process's own brings all of them. That process reaches the store and forwards
// nothing while entries may have lapsed with it, so what it says is gone is gone,
// also where this one has lost the store.
func (m *Mirror) ApplyPeerChanges(c Changes) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded || c.After > m.revision || c.Revision <= m.revision {
		return false
	}
	m.applyChanges(c.Page, false)
	return true
}

// watchedByPeer tells whether a process that follows the store holds the
// same copy, so that a watch of this one's would bring nothing else.
func (m *Mirror) watchedByPeer() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.alwaysWatch || m.clock.Since(m.peerWatchAt) >= peerWatchTTL {
		return false
	}
	m.watching = false
	return true
}

// waitForPeer waits until a watch of this process's own may be wanted.
func (m *Mirror) waitForPeer(ctx context.Context) {
	select {
	case <-m.clock.After(peerWatchTTL):
	case <-m.peerDiffers:
	case <-ctx.Done():
	}
}

// digestOf sums up keys and revisions: two copies with one digest hold the same.
func digestOf(list []Item) uint64 {
	d := xxhash.New()
	var revision [8]byte
	for _, item := range list {
		_, _ = d.WriteString(item.Key) // a digest takes all
		binary.BigEndian.PutUint64(revision[:], item.Revision)
		_, _ = d.Write(revision[:])
	}
	return d.Sum64()
}
