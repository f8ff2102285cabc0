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

	// Word is another process's word on its copy.
	Word struct {
		Digest    uint64
		Following bool          // it watches the store
		Proof     bool          // the store confirmed it at or after Asked
		Asked     time.Duration // by this process's clock
	}

	// sharing is what a mirror knows of others that hold the same copy. The
	// mirror's lock guards it.
	sharing struct {
		digest    uint64        // of the keys and revisions held
		leads     bool          // others rely on this copy: it follows the store whatever they say
		following bool          // by watches, the last of which has not failed
		elsewhere time.Time     // when a process that follows the store vouched for the same copy last
		news      chan struct{} // one that follows the store holds another copy
	}
)

// elsewhereLasts is how long a process's word that it follows the store counts:
// two questions may go unanswered.
const elsewhereLasts = 700 * time.Millisecond

// SetInterval changes the age at which the prefix is read whole. Leads tells
// that others rely on this copy.
func (m *Mirror) SetInterval(d time.Duration, leads bool) {
	m.mu.Lock()
	m.interval, m.leads = d, leads
	m.mu.Unlock()
}

// Vouch gives this process's word on its copy, and the copy's age. It is false
// before the first read.
func (m *Mirror) Vouch() (w Word, age time.Duration, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Word{Digest: m.digest, Following: m.following && !m.failing}, m.belief.Age(), m.known
}

// Vouched takes in another process's word, and tells whether its copy is the
// same. With a proof this copy is as young as the other one.
func (m *Mirror) Vouched(w Word) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.known {
		return false
	}
	if w.Digest != m.digest {
		if w.Following {
			m.elsewhere = time.Time{}
			select {
			case m.news <- struct{}{}:
			default:
			}
		}
		return false
	}
	if w.Proof {
		m.belief.Confirm(w.Asked)
	}
	if w.Proof && w.Following {
		m.elsewhere = m.clock.Now()
	}
	return true
}

// Told takes in what another process's watch has told. Where changes before that
// are missing it is passed over: the copies differ then, and a watch of this
// process's own brings all of them. That process reaches the store and forwards
// nothing while entries may have lapsed with it, so what it says is gone is gone,
// also where this one has lost the store.
func (m *Mirror) Told(c Changes) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.known || c.After > m.revision || c.Revision <= m.revision {
		return false
	}
	m.take(c.Page, false)
	return true
}

// followedElsewhere tells whether a process that follows the store holds the
// same copy, so that a watch of this one's would bring nothing else.
func (m *Mirror) followedElsewhere() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leads || m.clock.Since(m.elsewhere) >= elsewhereLasts {
		return false
	}
	m.following = false
	return true
}

// waitForNews waits until a watch of this process's own may be wanted.
func (m *Mirror) waitForNews(ctx context.Context) {
	select {
	case <-m.clock.After(elsewhereLasts):
	case <-m.news:
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
