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

	// Belief is confirmed by each whole read; *beechfresh.Belief is one.
	Belief interface {
		Now() time.Duration
		Confirm(asked time.Duration)
		Age() time.Duration
	}

	// Settings of a mirror.
	Settings struct {
		Prefix   string
		Interval time.Duration // age at which the prefix is read whole; SetInterval changes it
		Patience time.Duration // for a read
		Wait     time.Duration // of a watch
		Space    time.Duration // between watches, so that changes in a row come together
		Linger   time.Duration // what is missing when a lost store answers again is kept for so long
		Forward  func(Changes) // called with what a watch has told, for others that hold the same; may be nil
		Lost     func()        // called when a whole read fails after one that did not; may be nil
	}

	// Mirror is the copy. It is safe for concurrent use.
	Mirror struct {
		settings Settings
		source   Source
		belief   Belief
		clock    clockwork.Clock
		log      *zap.Logger
		changed  func([]Item)

		mu       sync.Mutex
		items    map[string]Item
		gone     map[string]uint64 // revision at which a key was seen removed
		revision uint64
		whole    uint64 // revision of the last whole read: no change up to it is news
		known    bool
		failing  bool
		regained time.Time          // when a lost store answered again
		interval time.Duration      // age at which a whole read is due
		replaced time.Time          // when the last whole read was taken in
		lingered bool               // it left what may be gone
		again    chan struct{}      // asks for a whole read now
		endWatch context.CancelFunc // of the watch that waits now
		sharing
	}
)

// ErrCompacted says that the store has dropped the history after a revision.
var ErrCompacted = errors.New("the store has dropped this history")

const (
	// lingerRead is between whole reads while entries are kept that may be gone:
	// the first one after that time drops them.
	lingerRead = 500 * time.Millisecond
	// retryFirst and retryMost bound the pause after a call that failed; it
	// doubles between them. A store that turns some hosts away still counts, and
	// bills, each of their calls: tried each 150 ms by five hosts for 9 s they
	// were more than half of a day's calls. The longest pause is a seventh of
	// the time that a key may be served without the store's word.
	retryFirst  = 150 * time.Millisecond
	retryMost   = 600 * time.Millisecond
	watchSlack  = time.Second
	goneKept    = 4096
	waitForRead = 50 * time.Millisecond
)

// New returns an empty mirror. Changed is called with all items, sorted by key,
// after each change and after the first read; calls do not overlap.
func New(s Settings, source Source, belief Belief, clock clockwork.Clock, log *zap.Logger, changed func([]Item)) *Mirror {
	return &Mirror{
		settings: s, source: source, belief: belief, clock: clock, changed: changed,
		log:   log.With(zap.String("prefix", s.Prefix)),
		items: make(map[string]Item), gone: make(map[string]uint64), interval: s.Interval, again: make(chan struct{}, 1),
		sharing: sharing{leads: true, news: make(chan struct{}, 1)},
	}
}

// Read reads the whole prefix whenever the copy's age has reached the interval,
// until the context ends.
func (m *Mirror) Read(ctx context.Context) error {
	retry := newRetry()
	for ctx.Err() == nil {
		pause := time.Duration(0)
		if m.readOnce(ctx) {
			retry.Reset()
		} else {
			pause = retry.NextBackOff()
		}
		m.waitUntilDue(ctx, pause)
	}
	return ctx.Err()
}

// waitUntilDue waits for the pause, and on until a whole read is due or asked for.
// While the store is lost a read is due after each pause, however young others' word
// makes the copy: what is missing is kept until the store is found back, and a
// server that has left would go on getting requests for as long.
func (m *Mirror) waitUntilDue(ctx context.Context, pause time.Duration) {
	for {
		select {
		case <-m.clock.After(max(pause, m.due())):
		case <-m.again:
			return
		case <-ctx.Done():
			return
		}
		if m.due() <= 0 {
			return
		}
		pause = 0
	}
}

// due is the time until a whole read is due.
func (m *Mirror) due() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.failing:
		return 0
	case m.lingered:
		return lingerRead - m.clock.Since(m.replaced)
	}
	return m.interval - m.belief.Age()
}

func (m *Mirror) readOnce(ctx context.Context) bool {
	asked := m.belief.Now()
	limited, cancel := clockwork.WithTimeout(ctx, m.clock, m.settings.Patience)
	defer cancel()
	page, err := m.source.Range(limited, m.settings.Prefix)
	if ctx.Err() != nil {
		return false
	}
	m.told(err)
	if err != nil {
		return false
	}
	if m.replace(page) {
		m.cutWatch()
	}
	m.belief.Confirm(asked)
	return true
}

// cutWatch ends a watch that has not told what a whole read found: its
// connection may have gone silent, and it would wait there to its end while
// changes come only with the next whole reads.
func (m *Mirror) cutWatch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.endWatch != nil {
		m.endWatch()
	}
}

// told logs a dependency that is lost or regained, once each.
func (m *Mirror) told(err error) {
	m.mu.Lock()
	was := m.failing
	m.failing = err != nil
	if was && err == nil {
		m.regained = m.clock.Now()
	}
	m.mu.Unlock()
	switch {
	case err != nil && !was:
		m.log.Warn("store lost", zap.Error(err))
		if m.settings.Lost != nil {
			m.settings.Lost()
		}
	case err == nil && was:
		m.log.Info("store regained")
	}
}

// Watch follows changes until the context ends.
func (m *Mirror) Watch(ctx context.Context) error {
	retry := newRetry()
	for ctx.Err() == nil {
		m.mu.Lock()
		known, after := m.known, m.revision
		m.mu.Unlock()
		pause := m.settings.Space
		if !known {
			pause = waitForRead
		} else if m.followedElsewhere() {
			m.waitForNews(ctx)
			continue
		} else if err := m.watchOnce(ctx, after); err != nil {
			pause = retry.NextBackOff()
			m.watchFailed(ctx, err, after)
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

// newRetry gives the pauses between calls that fail.
func newRetry() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval, retry.Multiplier = retryFirst, retryMost, 2
	return retry
}

// watchFailed has the whole prefix read at once: its history is gone, or the
// store is lost, which the next whole read would find out late. The failure
// alone says nothing of the store, since waiting watches may be cut. While reads
// fail too, they are repeated anyway.
func (m *Mirror) watchFailed(ctx context.Context, err error, after uint64) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrCompacted) {
		m.log.Info("history dropped, reading all", zap.Uint64("after", after))
	} else {
		m.log.Debug("watch failed, reading all", zap.Error(err))
	}
	m.mu.Lock()
	m.following = false
	failing := m.failing
	m.mu.Unlock()
	if !failing {
		m.Ask()
	}
}

func (m *Mirror) watchOnce(ctx context.Context, after uint64) error {
	limited, cancel := clockwork.WithTimeout(ctx, m.clock, m.settings.Wait+watchSlack)
	defer cancel()
	untold, end := context.WithCancel(limited)
	m.mu.Lock()
	m.endWatch, m.following = end, true
	m.mu.Unlock()
	page, err := m.source.Watch(untold, m.settings.Prefix, after, m.settings.Wait)
	m.mu.Lock()
	m.endWatch = nil
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
	lingers := m.merge(page)
	if len(page.Items) > 0 && m.settings.Forward != nil && !lingers {
		m.settings.Forward(Changes{After: after, Page: page})
	}
	return nil
}

// Ask has the whole prefix read at once. A mirror that is read seldom learns
// that way that the store is lost, as another one found: what lapses with the
// store would be taken for gone otherwise.
func (m *Mirror) Ask() {
	select {
	case m.again <- struct{}{}:
	default:
	}
}

// replace takes in a whole read, and tells whether anything changed.
func (m *Mirror) replace(p Page) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replaced, m.lingered = m.clock.Now(), m.lingers()
	if m.known && p.Revision < m.whole {
		return false
	}
	changed = !m.known
	next := make(map[string]Item, len(p.Items))
	for _, item := range p.Items {
		held, ok := m.items[item.Key]
		switch {
		case ok && held.Revision >= item.Revision:
			next[item.Key] = held
		case m.gone[item.Key] >= item.Revision:
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
		if held.Revision > p.Revision || m.lingers() {
			next[key] = held
			continue
		}
		changed = true
	}
	m.items, m.revision, m.whole, m.known = next, max(m.revision, p.Revision), p.Revision, true
	if changed {
		m.tell()
	}
	return changed
}

// merge takes in what a watch has told, and tells whether what is gone lingers.
func (m *Mirror) merge(p Page) (lingers bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lingers = m.lingers()
	m.take(p, lingers)
	return lingers
}

// take takes in changes. The caller holds the lock.
func (m *Mirror) take(p Page, lingers bool) {
	changed := false
	for _, item := range p.Items {
		if !strings.HasPrefix(item.Key, m.settings.Prefix) || m.items[item.Key].Revision >= item.Revision {
			continue
		}
		if item.Revision <= m.whole {
			continue // told late: the key may have been removed since, and the whole read knows
		}
		if item.Removed && lingers {
			continue // the next whole read decides
		}
		changed = true
		if item.Removed {
			delete(m.items, item.Key)
			m.remember(item)
			continue
		}
		m.items[item.Key] = item
	}
	m.revision = max(m.revision, p.Revision)
	if changed {
		m.tell()
	}
}

// tell hands on what is held now. The caller holds the lock.
func (m *Mirror) tell() {
	list := m.list()
	m.digest = digestOf(list)
	m.changed(list)
}

// lingers tells whether the store was lost until a moment ago, or still is.
func (m *Mirror) lingers() bool {
	if m.settings.Linger == 0 {
		return false
	}
	return m.failing || (!m.regained.IsZero() && m.clock.Since(m.regained) < m.settings.Linger)
}

func (m *Mirror) remember(item Item) {
	if len(m.gone) >= goneKept {
		clear(m.gone)
	}
	m.gone[item.Key] = item.Revision
}

func (m *Mirror) list() []Item {
	return slices.SortedFunc(maps.Values(m.items), func(x, y Item) int { return strings.Compare(x.Key, y.Key) })
}
