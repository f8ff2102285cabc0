// Package beechmirror keeps a copy of what lies under a prefix of a store that
// others write, with the age of the copy.
//
// A watch alone is not enough. Its silence proves nothing: it hears nothing
// while the store drops its history, and a connection may have gone silent. So
// the mirror also reads the whole prefix at intervals, by reads that see every
// write before them, and only these confirm the copy. What the watch tells is
// taken in at once.
//
// The copy never goes back: a reply that is older than what is held, as slow
// replies are, changes nothing.
//
// A whole read is due when the copy's age reaches an interval. Another process
// whose copy is the same may have read later: its word makes this copy as young as
// that read, and no read of its own is due then. Vouch and Vouched carry that
// word; what is compared is a digest of all keys with their revisions. Nor is a
// watch begun while a process that watches holds the same copy: what that one is
// told it forwards, and where a digest differs all the same, this process watches.
//
// Entries that are renewed by their owners lapse while the store is away, and
// are back a moment after it. Taken for gone they would leave a gate without
// servers, though all are well; so for a moment after the store's return what
// is missing is kept.
//
// # Usage
//
//	m := beechmirror.New(settings, source, belief, clock, log, func(items []beechmirror.Item) { ... })
//	supervisor.Add(beechtask.Task{Name: "watch", Run: m.Watch})
//	supervisor.Add(beechtask.Task{Name: "read", Run: m.Read})
package beechmirror

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

type (
	// Item is a key with its value.
	Item struct {
		Key      string
		Value    []byte
		Revision uint64 // of its last change
		Created  uint64 // revision of its creation
		Removed  bool
	}

	// Page is what a store says at a revision.
	Page struct {
		Items    []Item
		Revision uint64
	}

	// Source is the store. Errors may be ErrCompacted.
	Source interface {
		// Range reads all items under a prefix; it sees every write that was
		// acknowledged before.
		Range(ctx context.Context, prefix string) (Page, error)
		// Watch gives changes after a revision, or none when wait is over.
		Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error)
	}

	// Freshness is confirmed by each whole read; *beechfresh.Freshness is one.
	Freshness interface {
		Now() time.Duration
		Confirm(asked time.Duration)
		Age() time.Duration
	}

	// Settings of a mirror.
	Settings struct {
		Prefix       string
		MaxAge       time.Duration // age at which the prefix is read whole; SetInterval changes it
		ReadTimeout  time.Duration // for a read
		WatchTimeout time.Duration // of a watch
		WatchPause   time.Duration // between watches, so that changes in a row come together
		RemovalDelay time.Duration // what is missing when a lost store answers again is kept for so long
		Forward      func(Changes) // called with what a watch has told, for others that hold the same; may be nil
		OnStoreLost  func()        // called when a whole read fails after one that did not; may be nil
	}

	// Mirror is the copy. It is safe for concurrent use.
	Mirror struct {
		settings  Settings
		source    Source
		freshness Freshness
		clock     clockwork.Clock
		log       *zap.Logger
		changed   func([]Item)

		mu               sync.Mutex
		items            map[string]Item
		removed          map[string]uint64 // revision at which a key was seen removed
		revision         uint64
		fullReadRevision uint64 // revision of the last whole read: no change up to it is news
		loaded           bool
		failing          bool
		recoveredAt      time.Time          // when a lost store answered again
		maxAge           time.Duration      // age at which a whole read is due
		lastFullRead     time.Time          // when the last whole read was taken in
		keptMissing      bool               // it left what may be gone
		readNow          chan struct{}      // asks for a whole read now
		cancelWatch      context.CancelFunc // of the watch that waits now
		sharing
	}
)

// ErrCompacted says that the store has dropped the history after a revision.
var ErrCompacted = errors.New("the store has dropped this history")

const (
	// missingReadInterval is between whole reads while entries are kept that may be gone:
	// the first one after that time drops them.
	missingReadInterval = 500 * time.Millisecond
	// minRetryPause and retryMost bound the pause after a call that failed; it
	// doubles between them. A store that turns some hosts away still counts, and
	// bills, each of their calls: tried each 150 ms by five hosts for 9 s they
	// were more than half of a day's calls. The longest pause is a seventh of
	// the time that a key may be served without the store's word.
	minRetryPause      = 150 * time.Millisecond
	maxRetryPause      = 600 * time.Millisecond
	watchTimeoutMargin = time.Second
	maxRemovedKeys     = 4096
	firstReadPoll      = 50 * time.Millisecond
)

// New returns an empty mirror. Changed is called with all items, sorted by key,
// after each change and after the first read; calls do not overlap.
func New(s Settings, source Source, belief Freshness, clock clockwork.Clock, log *zap.Logger, changed func([]Item)) *Mirror {
	return &Mirror{
		settings: s, source: source, freshness: belief, clock: clock, changed: changed,
		log:   log.With(zap.String("prefix", s.Prefix)),
		items: make(map[string]Item), removed: make(map[string]uint64), maxAge: s.MaxAge, readNow: make(chan struct{}, 1),
		sharing: sharing{alwaysWatch: true, peerDiffers: make(chan struct{}, 1)},
	}
}

// Read reads the whole prefix whenever the copy's age has reached the interval,
// until the context ends.
func (m *Mirror) Read(ctx context.Context) error {
	retry := newBackoff()
	for ctx.Err() == nil {
		pause := time.Duration(0)
		if m.readOnce(ctx) {
			retry.Reset()
		} else {
			pause = retry.NextBackOff()
		}
		m.waitUntilReadDue(ctx, pause)
	}
	return ctx.Err()
}

// waitUntilReadDue waits for the pause, and on until a whole read is due or asked for.
// While the store is lost a read is due after each pause, however young others' word
// makes the copy: what is missing is kept until the store is found back, and a
// server that has left would go on getting requests for as long.
func (m *Mirror) waitUntilReadDue(ctx context.Context, pause time.Duration) {
	for {
		select {
		case <-m.clock.After(max(pause, m.timeUntilRead())):
		case <-m.readNow:
			return
		case <-ctx.Done():
			return
		}
		if m.timeUntilRead() <= 0 {
			return
		}
		pause = 0
	}
}

// timeUntilRead is the time until a whole read is timeUntilRead.
func (m *Mirror) timeUntilRead() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.failing:
		return 0
	case m.keptMissing:
		return missingReadInterval - m.clock.Since(m.lastFullRead)
	}
	return m.maxAge - m.freshness.Age()
}

func (m *Mirror) readOnce(ctx context.Context) bool {
	asked := m.freshness.Now()
	limited, cancel := clockwork.WithTimeout(ctx, m.clock, m.settings.ReadTimeout)
	defer cancel()
	page, err := m.source.Range(limited, m.settings.Prefix)
	if ctx.Err() != nil {
		return false
	}
	m.recordReadResult(err)
	if err != nil {
		return false
	}
	if m.applyFullRead(page) {
		m.restartWatch()
	}
	m.freshness.Confirm(asked)
	return true
}

// restartWatch ends a watch that has not told what a whole read found: its
// connection may have gone silent, and it would wait there to its end while
// changes come only with the next whole reads.
func (m *Mirror) restartWatch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancelWatch != nil {
		m.cancelWatch()
	}
}

// recordReadResult logs a dependency that is lost or regained, once each.
func (m *Mirror) recordReadResult(err error) {
	m.mu.Lock()
	was := m.failing
	m.failing = err != nil
	if was && err == nil {
		m.recoveredAt = m.clock.Now()
	}
	m.mu.Unlock()
	switch {
	case err != nil && !was:
		m.log.Warn("store lost", zap.Error(err))
		if m.settings.OnStoreLost != nil {
			m.settings.OnStoreLost()
		}
	case err == nil && was:
		m.log.Info("store regained")
	}
}

// Watch follows changes until the context ends.
func (m *Mirror) Watch(ctx context.Context) error {
	retry := newBackoff()
	for ctx.Err() == nil {
		m.mu.Lock()
		known, after := m.loaded, m.revision
		m.mu.Unlock()
		pause := m.settings.WatchPause
		if !known {
			pause = firstReadPoll
		} else if m.watchedByPeer() {
			m.waitForPeer(ctx)
			continue
		} else if err := m.watchOnce(ctx, after); err != nil {
			pause = retry.NextBackOff()
			m.handleWatchError(ctx, err, after)
		} else {
			retry.Reset()
		}
		select {
		case <-m.clock.After(pause):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// newBackoff gives the pauses between calls that fail.
func newBackoff() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval, retry.Multiplier = minRetryPause, maxRetryPause, 2
	return retry
}

// handleWatchError has the whole prefix read at once: its history is gone, or the
// store is lost, which the next whole read would find out late. The failure
// alone says nothing of the store, since waiting watches may be cut. While reads
// fail too, they are repeated anyway.
func (m *Mirror) handleWatchError(ctx context.Context, err error, after uint64) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrCompacted) {
		m.log.Info("history dropped, reading all", zap.Uint64("after", after))
	} else {
		m.log.Debug("watch failed, reading all", zap.Error(err))
	}
	m.mu.Lock()
	m.watching = false
	failing := m.failing
	m.mu.Unlock()
	if !failing {
		m.ReadNow()
	}
}

func (m *Mirror) watchOnce(ctx context.Context, after uint64) error {
	limited, cancel := clockwork.WithTimeout(ctx, m.clock, m.settings.WatchTimeout+watchTimeoutMargin)
	defer cancel()
	untold, end := context.WithCancel(limited)
	m.mu.Lock()
	m.cancelWatch, m.watching = end, true
	m.mu.Unlock()
	page, err := m.source.Watch(untold, m.settings.Prefix, after, m.settings.WatchTimeout)
	m.mu.Lock()
	m.cancelWatch = nil
	m.mu.Unlock()
	cut := untold.Err() != nil && limited.Err() == nil
	end()
	if cut {
		m.log.Info("watch did not tell what a whole read found", zap.Uint64("after", after))
		return nil
	}
	if err != nil {
		return err
	}
	lingers := m.applyWatch(page)
	if len(page.Items) > 0 && m.settings.Forward != nil && !lingers {
		m.settings.Forward(Changes{After: after, Page: page})
	}
	return nil
}

// ReadNow has the whole prefix read at once. A mirror that is read seldom learns
// that way that the store is lost, as another one found: what lapses with the
// store would be taken for gone otherwise.
func (m *Mirror) ReadNow() {
	select {
	case m.readNow <- struct{}{}:
	default:
	}
}

// applyFullRead takes in a whole read, and tells whether anything changed.
func (m *Mirror) applyFullRead(p Page) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastFullRead, m.keptMissing = m.clock.Now(), m.keepsMissing()
	if m.loaded && p.Revision < m.fullReadRevision {
		return false
	}
	changed = !m.loaded
	next := make(map[string]Item, len(p.Items))
	for _, item := range p.Items {
		held, ok := m.items[item.Key]
		switch {
		case ok && held.Revision >= item.Revision:
			next[item.Key] = held
		case m.removed[item.Key] >= item.Revision:
			continue
		default:
			next[item.Key] = item
			changed = true
		}
	}
	for key, held := range m.items {
		if _, ok := next[key]; ok {
			continue
		}
		if held.Revision > p.Revision || m.keepsMissing() {
			next[key] = held
			continue
		}
		changed = true
	}
	m.items, m.revision, m.fullReadRevision, m.loaded = next, max(m.revision, p.Revision), p.Revision, true
	if changed {
		m.notifyChanged()
	}
	return changed
}

// applyWatch takes in what a watch has told, and tells whether what is gone lingers.
func (m *Mirror) applyWatch(p Page) (lingers bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lingers = m.keepsMissing()
	m.applyChanges(p, lingers)
	return lingers
}

// applyChanges takes in changes. The caller holds the lock.
func (m *Mirror) applyChanges(p Page, lingers bool) {
	changed := false
	for _, item := range p.Items {
		if !strings.HasPrefix(item.Key, m.settings.Prefix) || m.items[item.Key].Revision >= item.Revision {
			continue
		}
		if item.Revision <= m.fullReadRevision {
			continue // told late: the key may have been removed since, and the whole read knows
		}
		if item.Removed && lingers {
			continue // the next whole read decides
		}
		changed = true
		if item.Removed {
			delete(m.items, item.Key)
			m.rememberRemoval(item)
			continue
		}
		m.items[item.Key] = item
	}
	m.revision = max(m.revision, p.Revision)
	if changed {
		m.notifyChanged()
	}
}

// notifyChanged hands on what is held now. The caller holds the lock.
func (m *Mirror) notifyChanged() {
	list := m.sortedItems()
	m.digest = digestOf(list)
	m.changed(list)
}

// keepsMissing tells whether the store was lost until a moment ago, or still is.
func (m *Mirror) keepsMissing() bool {
	if m.settings.RemovalDelay == 0 {
		return false
	}
	return m.failing || (!m.recoveredAt.IsZero() && m.clock.Since(m.recoveredAt) < m.settings.RemovalDelay)
}

func (m *Mirror) rememberRemoval(item Item) {
	if len(m.removed) >= maxRemovedKeys {
		clear(m.removed)
	}
	m.removed[item.Key] = item.Revision
}

func (m *Mirror) sortedItems() []Item {
	return slices.SortedFunc(maps.Values(m.items), func(x, y Item) int { return strings.Compare(x.Key, y.Key) })
}
