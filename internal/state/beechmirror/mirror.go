// Package beechmirror keeps a local copy of the items under a key prefix of a store that
// other processes write, and tracks the age of the copy.
//
// A Mirror watches the prefix and applies changes at once. Receiving no changes from a
// watch does not prove that there are none: the store may have dropped its history, or the
// connection may hang. The mirror therefore also reads the whole prefix when the copy
// reaches a maximum age. These full reads are linearizable and confirm the copy, which means
// that its age starts again from the time at which the read was sent. A linearizable read of
// anything else confirms it too if it shows a revision up to which the copy has every change
// (ConfirmRevision). A watch that waits confirms nothing, however long it has waited.
//
// Replies that are older than the copy are ignored.
//
// # Restores of the store
//
// The store may come back from a copy that lacks its latest writes. It then gives out their
// revisions again, and its era rises by one with each restore. Revisions are therefore
// ordered by era first (package beechera): a reply of a higher era is newer than the copy, and
// one of a lower era is a late one. A watch cannot go on over a restore, since the changes
// between the store's copy and the watch's revision would be missing; a full read replaces
// it. What the restored store lacks is kept for RemovalDelay, as after an outage.
//
// # Sharing with peers
//
// Processes with the same prefix exchange the status of their copies, through Status and
// ApplyPeerStatus. Copies are compared by a digest of all keys and revisions. If a peer has
// the same copy and read it later, this copy becomes as young as that read, and this
// process does not read by itself. It also does not watch while a peer that watches has
// the same copy, since the peer forwards the changes that it receives (ApplyPeerChanges).
// If the digests differ, this process watches by itself. That a peer watches only makes
// changes arrive sooner: how late they may be depends on the age of the copy alone.
//
// # History
//
// A copy shows what there is, not what there was: an item may have been written and removed since the copy before. A
// mirror therefore also knows from which time on, and up to which revision, it has observed every change (HistoryAge). Only
// changes extend this history, however close two copies are. After a cut, a suspension or a copy that skipped changes,
// CatchUp reads the changes that are missing, with one call that also proves that there are no others as of now.
// Processes that live on the copies of peers extend it by revisions between which a peer has observed no change (Quiet).
//
// # Outages of the store
//
// Items with a lease expire during an outage, as their owners cannot renew it, and are created
// again soon after it recovers. If the mirror removed them at once, a gate would have no
// servers although all of them work. Missing items are therefore kept for RemovalDelay
// after the store has recovered.
//
// What is kept is an assumption of this process, which may have been the only one that lost the store. It is passed to
// changed beside the items that the store holds, and never counts as one of them: digests and copies have the items that
// the store has named, and a copy names separately what its sender keeps, and for how much longer. A peer that takes
// such a copy keeps what it holds itself for that long, unless the store has answered it during the outage of the
// sender (Answers), and no longer than SetLimits allows since its own last proof that the store holds the item: the
// sender may have been the only one to lose the store. One that sees a removal by a change or by the copy of a peer that
// keeps nothing drops the item.
//
// # Usage
//
//	m := beechmirror.New(settings, source, freshness, clock, log, func(items []beechmirror.Item) { ... })
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
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/state/beechera"
)

type (
	// Item is the current value of a key, or its removal.
	Item struct {
		Key      string
		Value    []byte
		Revision uint64 // of the last change; ordered, unless the item comes from a Source
		Created  uint64 // revision of the creation; ordered likewise
		Removed  bool
	}

	// Page is a reply of the store: the items or changes up to a revision.
	Page struct {
		Items    []Item
		Revision uint64 // plain from a Source, where Era is set; otherwise ordered
		Era      uint64 // rises each time that the store is restored from a copy; 0: not reported
	}

	// Source is the store.
	Source interface {
		// Range reads all items under a prefix. The read is linearizable: it returns
		// every write that was acknowledged before.
		Range(ctx context.Context, prefix string) (Page, error)
		// Watch waits for changes after a plain revision and returns them, or none after
		// wait. The error is ErrCompacted if that history was dropped.
		Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error)
	}

	// Freshness tracks the age of the copy, which each full read confirms. It is
	// implemented by *beechfresh.Tracker.
	Freshness interface {
		Now() time.Duration
		Confirm(asked time.Duration)
		Age() time.Duration
	}

	// Settings configures a Mirror.
	Settings struct {
		Prefix       string
		MaxAge       time.Duration                              // age of the copy at which a full read is due; SetMaxAge changes it
		ReadTimeout  time.Duration                              // of a full read
		WatchTimeout time.Duration                              // of a watch
		WatchPause   time.Duration                              // between watches, so that successive changes arrive together
		StartAge     time.Duration                              // age that an empty copy counts as having at the start, so that a peer's copy may come before the first full read; 0: the read is due at once
		RemovalDelay time.Duration                              // how long missing items are kept after the store has recovered; 0: not at all
		MaxGap       time.Duration                              // how long the copy may be ahead of the history until the changes in between are read; 0: until CatchUp is called
		Answers      *Answers                                   // shared by the mirrors of a process; nil: a peer's outage counts as one of the store
		OnRead       func(asked time.Duration, revision uint64) // called after a full read, with the time before it and the store's revision, for ConfirmRevision of other mirrors; may be nil
		Observe      func([]Item)                               // called with all changes, also with those that later ones have undone, after they are applied; may be nil
		Forward      func(Changes)                              // called with the changes from a watch, to send them to peers; may be nil
		OnStoreLost  func()                                     // called when a full read fails and the previous one did not; may be nil
		OnRestored   func()                                     // called when a reply shows that the store was restored; may be nil
	}

	// Mirror is a local copy of the items under a prefix. It is safe for concurrent use.
	Mirror struct {
		settings  Settings
		source    Source
		freshness Freshness
		clock     clockwork.Clock
		log       *zap.Logger
		changed   func([]Item)

		mu               sync.Mutex
		items            map[string]Item   // what the store holds, as far as this process knows
		kept             map[string]Item   // what it does not hold any more and this process keeps
		removed          map[string]uint64 // revisions of the removals that a watch has returned, by key
		revision         uint64
		fullReadRevision uint64 // revision of the last full read, which includes all changes up to it
		complete         uint64 // revision up to which the copy surely has every change; 0: not known
		loaded           bool
		failing          bool
		keepUntil        time.Time // until when missing items are kept after an outage of this process's own, while the store answers
		adoptedUntil     time.Time // until when they are kept because a peer keeps them
		lostAt           time.Time // when this process, or the peer by whose copy items are kept, sent the first call that failed
		failedAt         time.Time // when it sent the last call that failed
		startedAt        time.Time
		maxAge           time.Duration      // age of the copy at which a full read is due
		lastFullRead     time.Time          // when the last full read was applied
		comparedAt       time.Time          // when the copy was last the same as the store's, or as a peer's
		keptMissing      bool               // the last full read may have kept missing items
		readNow          chan struct{}      // requests an immediate full read
		cancelWatch      context.CancelFunc // cancels the watch in progress; nil if there is none
		history          history
		watchKnown       bool // watches is valid
		watches          bool // as last logged
		sharing

		lastChange atomic.Pointer[Evidence]
		lastProof  atomic.Pointer[Evidence]
	}
)

// ErrCompacted is the error of a watch if the store has dropped the history after the
// requested revision.
var ErrCompacted = errors.New("the store has dropped the history after this revision")

var errOtherEra = errors.New("the watch began in another era of the store")

const (
	// missingReadInterval is the time between full reads while missing items are kept.
	// The first full read after RemovalDelay removes them.
	missingReadInterval = 500 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed call, which doubles
	// with each failure. A store that refuses the calls of some hosts still counts and
	// bills them: calls every 150 ms by five hosts for 9 s were more than half of all
	// calls in a simulated day. maxRetryPause is a seventh of the time for which a key
	// may be served without confirmation by the store.
	minRetryPause = 150 * time.Millisecond
	maxRetryPause = 600 * time.Millisecond
	// confirmedRetryPause is the pause after a failed read while a peer that reaches the store
	// confirms the copy.
	confirmedRetryPause = 800 * time.Millisecond
	// watchTimeoutMargin is added to WatchTimeout before a watch is canceled locally.
	watchTimeoutMargin = time.Second
	// maxRemovedKeys bounds the remembered removals; all are forgotten when it is reached.
	maxRemovedKeys = 4096
	// firstReadPoll is how often Watch checks for the end of the first full read.
	firstReadPoll = 50 * time.Millisecond
)

// New returns an empty mirror. Changed is called with all items, sorted by key, after the
// first full read and after each change; calls do not overlap.
func New(s Settings, source Source, freshness Freshness, clock clockwork.Clock, log *zap.Logger, changed func([]Item)) *Mirror {
	return &Mirror{
		settings: s, source: source, freshness: freshness, clock: clock, changed: changed,
		log:   log.With(zap.String("prefix", s.Prefix)),
		items: make(map[string]Item), kept: make(map[string]Item), removed: make(map[string]uint64), maxAge: s.MaxAge, startedAt: clock.Now(), readNow: make(chan struct{}, 1),
		sharing: sharing{patience: peerWatchTTL, alwaysWatch: true, peerDiffers: make(chan struct{}, 1)},
	}
}

// Read reads the whole prefix whenever the copy reaches its maximum age, until the context
// ends.
func (m *Mirror) Read(ctx context.Context) error {
	retry := newBackoff()
	m.waitUntilReadDue(ctx, 0)
	for ctx.Err() == nil {
		pause := time.Duration(0)
		if m.readOnce(ctx) {
			retry.Reset()
		} else {
			pause = retry.NextBackOff()
			if m.confirmedByPeer() {
				pause = max(pause, confirmedRetryPause)
			}
		}
		m.waitUntilReadDue(ctx, pause)
	}
	return ctx.Err()
}

// waitUntilReadDue waits for the pause and then until a full read is due. ReadNow ends the
// wait at once. During an outage of the store a read is due after each pause, even if peers
// confirm the copy: missing items are kept until this process has reached the store again,
// and a server that has left would get requests until then.
func (m *Mirror) waitUntilReadDue(ctx context.Context, pause time.Duration) {
	for {
		select {
		case <-m.clock.After(max(pause, min(m.timeUntilRead(), m.pollInterval()))):
		case <-m.readNow:
			return
		case <-ctx.Done():
			return
		}
		m.closeGap(ctx)
		if m.timeUntilRead() <= 0 {
			return
		}
		pause = 0
	}
}

// pollInterval bounds the wait for a read, since the maximum age may become less meanwhile.
func (m *Mirror) pollInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loaded {
		return m.maxAge
	}
	return firstReadPoll
}

// timeUntilRead returns the time until a full read is due.
func (m *Mirror) timeUntilRead() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.failing:
		return 0
	case m.keptMissing:
		return missingReadInterval - m.clock.Since(m.lastFullRead)
	case m.settings.StartAge == 0:
		return m.maxAge - m.freshness.Age()
	}
	// A copy of a peer may be there before it is confirmed. Until then it is as old as none.
	first := m.maxAge - m.settings.StartAge - m.clock.Since(m.startedAt)
	if !m.loaded {
		return first
	}
	return max(first, m.maxAge-m.freshness.Age())
}

// confirmedByPeer reports whether the copy is young although this process cannot read.
func (m *Mirror) confirmedByPeer() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded && m.freshness.Age() < m.maxAge
}

func (m *Mirror) readOnce(ctx context.Context) bool {
	asked := m.freshness.Now()
	m.mu.Lock()
	held, loaded := m.revision, m.loaded
	m.mu.Unlock()
	limited, cancel := clockwork.WithTimeout(ctx, m.clock, m.settings.ReadTimeout)
	defer cancel()
	sent := m.clock.Now()
	page, err := m.source.Range(limited, m.settings.Prefix)
	if ctx.Err() != nil {
		return false
	}
	if err == nil {
		m.settings.Answers.add(sent, m.clock.Now())
	}
	m.recordReadResult(sent, err)
	if err != nil {
		return false
	}
	page = page.ordered()
	if !m.observeEra(page.Revision) {
		return false
	}
	if loaded && page.Revision < held {
		// Not the reply to this read, which sees what was known when it was sent.
		_, revision := beechera.Split(page.Revision)
		_, heldNumber := beechera.Split(held)
		m.log.Info("reply of an earlier read ignored", zap.Uint64("revision", revision), zap.Uint64("held", heldNumber))
		return false
	}
	if m.applyFullRead(page) {
		m.restartWatch()
	}
	m.mu.Lock()
	m.confirm(asked, Evidence{Means: ByRead})
	m.mu.Unlock()
	if m.settings.OnRead != nil {
		m.settings.OnRead(asked, page.Revision)
	}
	return true
}

// observeEra notices that the store was restored. It returns false if a reply is of an earlier
// era than the copy, so that it proves nothing.
func (m *Mirror) observeEra(revision uint64) (current bool) {
	m.mu.Lock()
	held, loaded := m.revision, m.loaded
	restored := loaded && !beechera.Same(revision, held) && revision > held
	if restored {
		m.keepMissing(m.settings.RemovalDelay) // what the store lacks is written again
		m.lostAt = time.Time{}
	}
	m.mu.Unlock()
	era, number := beechera.Split(revision)
	if !loaded {
		m.log.Info("store read", zap.Uint64("era", era), zap.Uint64("revision", number))
		return true
	}
	if beechera.Same(revision, held) {
		return true
	}
	was, heldNumber := beechera.Split(held)
	fields := []zap.Field{zap.Uint64("era", era), zap.Uint64("was", was), zap.Uint64("revision", number), zap.Uint64("held", heldNumber)}
	if !restored {
		m.log.Info("reply of an earlier era ignored", fields...)
		return false
	}
	m.log.Warn("store restored", fields...)
	if m.settings.OnRestored != nil {
		m.settings.OnRestored()
	}
	return true
}

// restartWatch cancels a watch that has missed a change found by a full read. Its
// connection may hang, and until its timeout changes would be noticed only by full reads.
func (m *Mirror) restartWatch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancelWatch != nil {
		m.cancelWatch()
	}
}

// recordReadResult records whether a full read succeeded, and logs the beginning and the
// end of an outage once each.
func (m *Mirror) recordReadResult(sent time.Time, err error) {
	m.mu.Lock()
	wasFailing := m.failing
	m.failing = err != nil
	if wasFailing && err == nil {
		longest := m.settings.RemovalDelay
		if m.contactTime > 0 {
			longest = min(longest, m.contactTime-m.clock.Since(m.failedAt))
		}
		m.keepMissing(longest)
	}
	if !wasFailing && err != nil {
		m.lostAt = sent
	}
	if err != nil {
		m.failedAt = sent
	}
	m.mu.Unlock()
	switch {
	case err != nil && !wasFailing:
		m.log.Warn("store lost", zap.Error(err))
		if m.settings.OnStoreLost != nil {
			m.settings.OnStoreLost()
		}
	case err == nil && wasFailing:
		m.log.Info("store regained")
	}
}

// Watch applies changes from the store until the context ends.
func (m *Mirror) Watch(ctx context.Context) error {
	retry := newBackoff()
	for ctx.Err() == nil {
		m.mu.Lock()
		loaded, after := m.loaded, m.watchFrom()
		m.mu.Unlock()
		pause := m.settings.WatchPause
		if !loaded {
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

// newBackoff returns the pauses between failed calls.
func newBackoff() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval, retry.Multiplier = minRetryPause, maxRetryPause, 2
	return retry
}

// handleWatchError requests an immediate full read. Either the history was dropped, or the
// store cannot be reached, which the next full read would detect late. The failure alone
// does not prove an outage, since connections of waiting watches may be cut. While full
// reads fail too, they are repeated anyway.
func (m *Mirror) handleWatchError(ctx context.Context, err error, after uint64) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrCompacted) {
		m.restartHistory()
		_, plain := beechera.Split(after)
		m.log.Info("history dropped, reading all", zap.Uint64("after", plain))
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
	cancelable, end := context.WithCancel(limited)
	m.mu.Lock()
	m.cancelWatch, m.watching = end, true
	m.mu.Unlock()
	_, plain := beechera.Split(after)
	sent := m.clock.Now()
	page, err := m.source.Watch(cancelable, m.settings.Prefix, plain, m.settings.WatchTimeout)
	if err == nil {
		m.settings.Answers.add(sent, m.clock.Now())
	}
	m.mu.Lock()
	m.cancelWatch = nil
	m.mu.Unlock()
	restarted := cancelable.Err() != nil && limited.Err() == nil
	end()
	if restarted {
		_, plain := beechera.Split(after)
		m.log.Info("watch missed a change that a full read found", zap.Uint64("after", plain))
		return nil
	}
	if err != nil {
		return err
	}
	page = page.ordered()
	if !beechera.Same(page.Revision, after) {
		m.observeEra(page.Revision)
		return errOtherEra
	}
	keepMissing := m.applyWatch(page)
	m.completeBy(Changes{After: after, Page: page})
	m.observed(Changes{After: after, Page: page})
	if len(page.Items) > 0 && m.settings.Forward != nil && !keepMissing {
		m.settings.Forward(Changes{After: after, Page: page})
	}
	return nil
}

// ReadNow requests an immediate full read. A mirror with a large maximum age thereby
// detects an outage that another mirror has found. Otherwise it would remove the items
// whose leases expire during the outage.
func (m *Mirror) ReadNow() {
	select {
	case m.readNow <- struct{}{}:
	default:
	}
}

// applyFullRead applies a full read and reports whether it changed the copy.
func (m *Mirror) applyFullRead(p Page) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastFullRead, m.keptMissing = m.clock.Now(), m.keepsMissing()
	if m.loaded && p.Revision < m.fullReadRevision {
		_, revision := beechera.Split(p.Revision)
		_, held := beechera.Split(m.fullReadRevision)
		m.log.Info("outdated read ignored", zap.Uint64("revision", revision), zap.Uint64("held", held))
		return false
	}
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
		if _, ok := next[key]; !ok && held.Revision > p.Revision {
			next[key] = held
		}
	}
	changed = m.replaceItems(next, m.keepsMissing()) || changed || !m.loaded
	m.revision, m.fullReadRevision, m.loaded = max(m.revision, p.Revision), p.Revision, true
	m.complete, m.comparedAt = max(m.complete, p.Revision), m.clock.Now()
	m.digest = digestOf(sortedItems(m.items))
	if changed {
		m.notifyChanged(Evidence{Means: ByRead})
	}
	return changed
}

// replaceItems replaces what the store holds. Items that are missing now are kept, or dropped beside those that were kept
// so far. It reports whether any was dropped. The caller must hold the lock.
func (m *Mirror) replaceItems(next map[string]Item, keep bool) (dropped bool) {
	for key, held := range m.items {
		if _, ok := next[key]; !ok {
			m.kept[key] = held
		}
	}
	for key := range m.kept {
		if _, ok := next[key]; ok {
			delete(m.kept, key)
		}
	}
	if !keep {
		dropped = len(m.kept) > 0
		clear(m.kept)
	}
	m.items = next
	return dropped
}

// applyWatch applies the changes from a watch, and reports whether missing items are kept.
func (m *Mirror) applyWatch(p Page) (keepMissing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	keepMissing = m.keepsMissing()
	m.applyChanges(p, keepMissing, Evidence{Means: ByWatch})
	return keepMissing
}

// applyChanges applies changes. Removed items are kept if keepMissing is set. The caller must hold the lock.
func (m *Mirror) applyChanges(p Page, keepMissing bool, by Evidence) {
	changed := false
	for _, item := range p.Items {
		if !strings.HasPrefix(item.Key, m.settings.Prefix) || m.items[item.Key].Revision >= item.Revision {
			continue
		}
		if item.Removed && !keepMissing && m.kept[item.Key].Revision > 0 && m.kept[item.Key].Revision < item.Revision {
			delete(m.kept, item.Key) // the last full read may include the removal
			changed = true
		}
		if item.Revision <= max(m.fullReadRevision, m.removed[item.Key]) {
			continue // outdated: the last full read includes this change and any later removal
		}
		changed = true
		held, ok := m.items[item.Key]
		if !item.Removed {
			m.items[item.Key] = item
			delete(m.kept, item.Key)
			continue
		}
		delete(m.items, item.Key)
		m.rememberRemoval(item)
		if ok && keepMissing {
			m.kept[item.Key] = held
		}
	}
	m.revision = max(m.revision, p.Revision)
	if changed {
		m.notifyChanged(by)
	}
	if m.settings.Observe != nil && len(p.Items) > 0 {
		m.settings.Observe(p.Items)
	}
}

// notifyChanged passes the current items, and those that are kept, to the callback of New. The caller must hold the lock.
func (m *Mirror) notifyChanged(by Evidence) {
	m.lastChange.Store(&by)
	list := sortedItems(m.items)
	m.digest = digestOf(list)
	if len(m.kept) > 0 {
		all := maps.Clone(m.items)
		maps.Copy(all, m.kept)
		list = sortedItems(all)
	}
	m.changed(list)
}

// keepsMissing reports whether missing items are kept, which is the case during an outage
// of the store and for RemovalDelay after it, and while a peer's copy says so.
func (m *Mirror) keepsMissing() bool {
	return m.keepsForItself() || m.clock.Now().Before(m.adoptedUntil)
}

// keepsForItself reports whether missing items are kept for an outage that this process has noticed itself.
func (m *Mirror) keepsForItself() bool {
	return m.settings.RemovalDelay > 0 && (m.failing || m.clock.Now().Before(m.keepUntil))
}

// keepMissing has missing items kept for a time from now on. The caller must hold the lock.
func (m *Mirror) keepMissing(d time.Duration) {
	m.keepUntil = m.clock.Now().Add(d)
	if m.settings.RemovalDelay > 0 {
		m.clock.AfterFunc(max(d, 0), m.dropKept)
	}
}

// dropKept drops the kept items once their time is over.
func (m *Mirror) dropKept() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.kept) > 0 && !m.keepsMissing() {
		clear(m.kept)
		m.notifyChanged(Evidence{Means: ByExpiry})
	}
}

func (m *Mirror) rememberRemoval(item Item) {
	if len(m.removed) >= maxRemovedKeys {
		clear(m.removed)
	}
	m.removed[item.Key] = item.Revision
}

func sortedItems(items map[string]Item) []Item {
	return slices.SortedFunc(maps.Values(items), func(x, y Item) int { return strings.Compare(x.Key, y.Key) })
}
