package beechmirror

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

type (
	// source is a store whose replies are set by tests.
	source struct {
		mu      sync.Mutex
		page    Page
		err     error
		reads   int
		watches int
		hung    bool // watches receive no reply until they are canceled
	}

	// fakeFreshness measures its age from the last call of Confirm, and records asked plus one.
	fakeFreshness struct {
		asked     time.Duration
		confirmed time.Time
	}
)

var errDown = errors.New("down")

// overtakenSource is a store at revision 5 of which a change arrives during each read.
type overtakenSource struct {
	source
	during func()
}

func (s *overtakenSource) Range(context.Context, string) (Page, error) {
	s.during()
	return Page{Revision: 5}, nil
}

func (s *source) Range(context.Context, string) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.page, s.err
}

func (s *source) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (Page, error) {
	s.mu.Lock()
	s.watches++
	err, silent := s.err, s.hung
	s.mu.Unlock()
	switch {
	case err != nil:
		return Page{}, err
	case silent:
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	return Page{}, ErrCompacted
}

// refuse makes all later calls fail.
func (s *source) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = errDown
}

func (s *source) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads + s.watches
}

func (b *fakeFreshness) Now() time.Duration          { return b.asked }
func (b *fakeFreshness) Confirm(asked time.Duration) { b.asked, b.confirmed = asked+1, time.Now() }
func (b *fakeFreshness) Age() time.Duration          { return time.Since(b.confirmed) }

func newMirror(s *source, c clockwork.Clock, changed func([]Item)) *Mirror {
	return New(Settings{Prefix: "servers/", MaxAge: time.Second, ReadTimeout: time.Second, WatchTimeout: time.Second, RemovalDelay: 2 * time.Second}, s, &fakeFreshness{}, c, zap.NewNop(), changed)
}

func keys(items []Item) []string {
	var names []string
	for _, it := range items {
		names = append(names, it.Key)
	}
	return names
}

// The reply to a slow read arrives after a later change. A gate that applied it would serve
// a removed route or key.
func TestOutdatedRepliesAreIgnored(t *testing.T) {
	is := is.New(t)
	var got []Item
	m := newMirror(&source{}, clockwork.NewFakeClock(), func(items []Item) { got = items })
	m.applyFullRead(Page{Revision: 5, Items: []Item{{Key: "servers/a", Revision: 5, Value: []byte("new")}}})
	m.applyFullRead(Page{Revision: 4, Items: []Item{{Key: "servers/a", Revision: 3, Value: []byte("old")}, {Key: "servers/b", Revision: 2}}})
	is.Equal(keys(got), []string{"servers/a"})
	is.Equal(string(got[0].Value), "new")
	m.applyWatch(Page{Revision: 4, Items: []Item{{Key: "servers/a", Revision: 4, Removed: true}}})
	is.Equal(keys(got), []string{"servers/a"})
	m.applyWatch(Page{Revision: 7, Items: []Item{{Key: "servers/a", Revision: 7, Removed: true}}})
	is.Equal(len(got), 0)
}

// A kept connection delivers an earlier reply again. A copy that is confirmed by it would count as fresh
// while a key is revoked.
func TestReplyOlderThanTheCopyWhenAskedConfirmsNothing(t *testing.T) {
	is := is.New(t)
	clock, s, freshness := clockwork.NewFakeClock(), &source{page: Page{Revision: 5}}, &fakeFreshness{}
	m := New(Settings{Prefix: "servers/", MaxAge: time.Second, ReadTimeout: time.Second, WatchTimeout: time.Second}, s, freshness, clock, zap.NewNop(), func([]Item) {})
	is.True(m.readOnce(t.Context()))
	confirmed := freshness.asked
	m.applyWatch(Page{Revision: 7, Items: []Item{{Key: "servers/a", Revision: 7}}})
	is.True(!m.readOnce(t.Context())) // of revision 5
	is.Equal(freshness.asked, confirmed)
	s.page = Page{Revision: 7, Items: []Item{{Key: "servers/a", Revision: 7}}}
	is.True(m.readOnce(t.Context()))
	is.True(freshness.asked > confirmed)
}

// A read that was sent before a change came is no copy of an earlier one: it confirms as of then.
func TestReadThatAChangeOvertakesConfirms(t *testing.T) {
	is := is.New(t)
	s, freshness := &overtakenSource{}, &fakeFreshness{}
	m := New(Settings{Prefix: "servers/", MaxAge: time.Second, ReadTimeout: time.Second, WatchTimeout: time.Second}, s, freshness, clockwork.NewFakeClock(), zap.NewNop(), func([]Item) {})
	s.during = func() {}
	is.True(m.readOnce(t.Context()))
	s.during = func() { m.applyWatch(Page{Revision: 7, Items: []Item{{Key: "servers/a", Revision: 7}}}) }
	confirmed := freshness.asked
	is.True(m.readOnce(t.Context()))
	is.True(freshness.asked > confirmed)
}

// A watch's reply arrives again after a later one. A server that has left would get requests again.
func TestRepeatedChangeDoesNotRestoreARemovedItem(t *testing.T) {
	is := is.New(t)
	var got []Item
	m := newMirror(&source{}, clockwork.NewFakeClock(), func(items []Item) { got = items })
	m.applyFullRead(Page{Revision: 5})
	added := Page{Revision: 6, Items: []Item{{Key: "servers/a", Revision: 6}}}
	m.applyWatch(added)
	is.Equal(keys(got), []string{"servers/a"})
	m.applyWatch(Page{Revision: 7, Items: []Item{{Key: "servers/a", Revision: 7, Removed: true}}})
	is.Equal(len(got), 0)
	m.applyWatch(added)
	is.Equal(len(got), 0)
}

// Replies arrive in any order. The mirror must end with the items of the store, and the
// revision of a key must never decrease.
func TestAnyOrderOfReplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]Item{}
		var revision uint64
		var pages, watches []Page
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			revision++
			key := "servers/" + rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			it := Item{Key: key, Revision: revision}
			if _, there := store[key]; there && rapid.Bool().Draw(t, "removed") {
				delete(store, key)
				it.Removed = true
			} else {
				store[key] = it
			}
			watches = append(watches, Page{Revision: revision, Items: []Item{it}})
			page := Page{Revision: revision}
			for _, held := range store {
				page.Items = append(page.Items, held)
			}
			pages = append(pages, page)
		}
		highest := map[string]uint64{}
		var got []Item
		m := newMirror(&source{}, clockwork.NewFakeClock(), func(items []Item) {
			got = items
			for _, it := range items {
				if it.Revision < highest[it.Key] {
					t.Fatalf("the revision of %s decreased from %d to %d", it.Key, highest[it.Key], it.Revision)
				}
				highest[it.Key] = it.Revision
			}
		})
		m.applyFullRead(pages[0])
		for range rapid.IntRange(0, 30).Draw(t, "replies") {
			if i := rapid.IntRange(0, len(pages)-1).Draw(t, "which"); rapid.Bool().Draw(t, "whole") {
				m.applyFullRead(pages[i])
			} else if i == 0 || m.revision >= uint64(i) {
				m.applyWatch(watches[i]) // a watch only returns changes after the mirror's revision
			}
		}
		m.applyFullRead(pages[len(pages)-1])
		if len(got) != len(store) {
			t.Fatalf("the mirror has %v, the store has %v", keys(got), store)
		}
		for _, it := range got {
			if store[it.Key].Revision != it.Revision {
				t.Fatalf("%s has revision %d, in the store %d", it.Key, it.Revision, store[it.Key].Revision)
			}
		}
	})
}

// The entries of servers expire during an outage of the store and are created again within
// two seconds after it. If they were removed at once, a gate would have no servers although
// all of them work.
func TestMissingItemsAreKeptAfterOutage(t *testing.T) {
	is := is.New(t)
	c := clockwork.NewFakeClock()
	s := &source{page: Page{Revision: 3, Items: []Item{{Key: "servers/a", Revision: 2}, {Key: "servers/b", Revision: 3}}}}
	var got []Item
	m := newMirror(s, c, func(items []Item) { got = items })
	is.True(m.readOnce(t.Context()))
	s.err = errDown
	is.True(!m.readOnce(t.Context()))
	m.applyWatch(Page{Revision: 4, Items: []Item{{Key: "servers/a", Revision: 4, Removed: true}}})
	is.Equal(len(got), 2)
	s.err, s.page = nil, Page{Revision: 6, Items: []Item{{Key: "servers/b", Revision: 3}}}
	is.True(m.readOnce(t.Context()))
	is.Equal(len(got), 2)
	c.Advance(2100 * time.Millisecond)
	is.True(m.readOnce(t.Context()))
	is.Equal(keys(got), []string{"servers/b"})
}

// A failed read and a watch must not confirm the copy, so that its age keeps increasing.
func TestOnlyFullReadsConfirm(t *testing.T) {
	is := is.New(t)
	s := &source{err: errDown}
	b := &fakeFreshness{asked: 7}
	m := New(Settings{Prefix: "op/", MaxAge: time.Second, ReadTimeout: time.Second}, s, b, clockwork.NewFakeClock(), zap.NewNop(), func([]Item) {})
	m.readOnce(t.Context())
	m.applyWatch(Page{Revision: 4})
	is.Equal(b.asked, time.Duration(7))
	s.err = nil
	m.readOnce(t.Context())
	is.Equal(b.asked, time.Duration(8))
}

// The store has dropped its history. A full read must follow at once, not when the copy
// reaches its maximum age.
func TestDroppedHistoryCausesFullRead(t *testing.T) {
	is := is.New(t)
	s := &source{page: Page{Revision: 1}}
	m := newMirror(s, clockwork.NewRealClock(), func([]Item) {})
	m.settings.MaxAge = time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = m.Read(ctx) }()
	go func() { _ = m.Watch(ctx) }()
	for range 300 {
		s.mu.Lock()
		reads := s.reads
		s.mu.Unlock()
		if reads > 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Fail()
}

func TestListIsSorted(t *testing.T) {
	is := is.New(t)
	var got []Item
	m := newMirror(&source{}, clockwork.NewFakeClock(), func(items []Item) { got = items })
	m.applyFullRead(Page{Revision: 3, Items: []Item{{Key: "servers/c", Revision: 1}, {Key: "servers/a", Revision: 2}, {Key: "servers/b", Revision: 3}}})
	is.True(slices.IsSorted(keys(got)))
}

// The store refuses the calls of a host for nine seconds and bills each of them. Retries
// must be limited, as they use up calls that other hosts need.
func TestCallsToRefusingStoreAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{page: Page{Revision: 1}}
		m := newMirror(s, clockwork.NewRealClock(), func([]Item) {})
		is.True(m.readOnce(t.Context()))
		s.refuse()
		ctx, cancel := context.WithTimeout(t.Context(), 9*time.Second)
		defer cancel()
		var loops sync.WaitGroup
		loops.Go(func() { _ = m.Read(ctx) })
		loops.Go(func() { _ = m.Watch(ctx) })
		loops.Wait()
		calls := s.calls()
		t.Logf("%d calls in 9 s", calls)
		is.True(calls >= 18) // at least two per second, so that a recovery is detected within a second
		is.True(calls <= 50)
	})
}

// The connection of a watch hangs without being closed. A full read that finds a change
// must restart the watch. Otherwise gates would apply each change only with the next full
// read, seconds late, until the watch times out.
func TestHungWatchIsRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{page: Page{Revision: 1}, hung: true}
		m := newMirror(s, clockwork.NewRealClock(), func([]Item) {})
		m.settings.WatchTimeout = time.Hour
		is.True(m.readOnce(t.Context()))
		ctx, cancel := context.WithCancel(t.Context())
		var loop sync.WaitGroup
		loop.Go(func() { _ = m.Watch(ctx) })
		synctest.Wait()
		is.Equal(s.calls(), 2) // the full read and the watch
		is.True(m.readOnce(ctx))
		synctest.Wait()
		is.Equal(s.calls(), 3) // a full read without changes does not restart the watch

		s.page = Page{Revision: 2, Items: []Item{{Key: "servers/a", Revision: 2}}}
		is.True(m.readOnce(ctx))
		synctest.Wait()
		is.Equal(s.calls(), 5) // the full read and a new watch
		cancel()
		loop.Wait()
	})
}

// The entries of servers have a large maximum age and expire while the store is down. The
// mirror that reads more often detects the outage first and must make the other one read.
// Otherwise that one would remove the entries once the store has recovered, and requests
// would be refused for two seconds.
func TestStoreLossNotifiesOtherMirror(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s := &source{page: Page{Revision: 1, Items: []Item{{Key: "servers/a", Revision: 1}}}}
	var got []Item
	servers := newMirror(s, clock, func(items []Item) { got = items })
	operators := newMirror(s, clock, func([]Item) {})
	operators.settings.OnStoreLost = servers.ReadNow
	is.True(servers.readOnce(t.Context()))
	is.True(operators.readOnce(t.Context()))
	s.refuse()
	is.True(!operators.readOnce(t.Context()))
	select {
	case <-servers.readNow:
	default:
		t.Fatal("no full read of the other mirror was requested")
	}
	is.True(!servers.readOnce(t.Context()))
	servers.applyWatch(Page{Revision: 3, Items: []Item{{Key: "servers/a", Revision: 3, Removed: true}}})
	is.Equal(keys(got), []string{"servers/a"})
}

// Sixty gates read the same prefix every two seconds, and each read is billed. A gate must
// not read while a peer proves that the same copy was just confirmed. When the peer stops,
// the gate must read by itself at the usual age.
func TestCopyConfirmedByPeerIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{page: Page{Revision: 2, Items: []Item{{Key: "servers/a", Revision: 2}}}}
		m := newMirror(s, clockwork.NewRealClock(), func([]Item) {})
		ctx, cancel := context.WithCancel(t.Context())
		var loop sync.WaitGroup
		loop.Go(func() { _ = m.Read(ctx) })
		synctest.Wait()
		is.Equal(s.calls(), 1)
		status, _, known := m.Status()
		is.True(known)
		status.Confirmed = true
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			is.True(m.ApplyPeerStatus(status))
		}
		is.Equal(s.calls(), 1)
		time.Sleep(1100 * time.Millisecond) // without confirmations by a peer
		is.Equal(s.calls(), 2)
		cancel()
		loop.Wait()
	})
}

// A peer has a different copy, so one of the two lacks a change. Its status must not confirm
// this copy, or a removed key would be served longer.
func TestDifferentCopyConfirmsNothing(t *testing.T) {
	is := is.New(t)
	s := &source{page: Page{Revision: 2, Items: []Item{{Key: "op/config", Revision: 2}}}}
	b := &fakeFreshness{}
	m := New(Settings{Prefix: "op/", MaxAge: time.Second, ReadTimeout: time.Second}, s, b, clockwork.NewFakeClock(), zap.NewNop(), func([]Item) {})
	is.True(!m.ApplyPeerStatus(CopyStatus{Confirmed: true})) // before the first full read
	is.True(m.readOnce(t.Context()))
	old, _, _ := m.Status()
	old.Confirmed = true
	m.applyWatch(Page{Revision: 5, Items: []Item{{Key: "op/config", Revision: 5}}})
	was := b.asked
	is.True(!m.ApplyPeerStatus(old))
	is.Equal(b.asked, was)
	m.applyWatch(Page{Revision: 6, Items: []Item{{Key: "op/config", Revision: 6, Removed: true}}})
	is.True(!m.ApplyPeerStatus(old))
}

// mirrorWithWatchingPeer returns a mirror after one full read and after the status of a watching peer
// with the same copy.
func mirrorWithWatchingPeer(t *testing.T) (*Mirror, *source, CopyStatus) {
	t.Helper()
	s := &source{page: Page{Revision: 2, Items: []Item{{Key: "servers/a", Revision: 2}}}, hung: true}
	m := newMirror(s, clockwork.NewRealClock(), func([]Item) {})
	m.settings.WatchTimeout = time.Hour
	m.SetMaxAge(time.Hour, false)
	if !m.readOnce(t.Context()) {
		t.Fatal("the full read failed")
	}
	status, _, _ := m.Status()
	status.Confirmed, status.Watching = true, true
	m.ApplyPeerStatus(status)
	return m, s, status
}

// The first gate of a zone watches for all. The others must not watch while its status
// proves this, and must watch as soon as its copy differs or its status expires. Otherwise
// they would send requests to a server that has left.
func TestWatchIsLeftToWatchingPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, s, status := mirrorWithWatchingPeer(t)
		ctx, cancel := context.WithCancel(t.Context())
		var loop sync.WaitGroup
		loop.Go(func() { _ = m.Watch(ctx) })
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			is.True(m.ApplyPeerStatus(status))
		}
		is.Equal(s.calls(), 1) // the full read
		other := status
		other.Digest++
		is.True(!m.ApplyPeerStatus(other))
		synctest.Wait()
		is.Equal(s.calls(), 2)
		cancel()
		loop.Wait()
	})
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, s, _ := mirrorWithWatchingPeer(t)
		ctx, cancel := context.WithCancel(t.Context())
		var loop sync.WaitGroup
		loop.Go(func() { _ = m.Watch(ctx) })
		time.Sleep(2 * peerWatchTTL)
		synctest.Wait()
		is.Equal(s.calls(), 2) // the status of the peer has expired, so this mirror watches
		cancel()
		loop.Wait()
	})
}

// The first gate forwards changes from its watch in datagrams, and some are lost. A gate that
// lacks earlier changes must not apply later ones, or its revision would cover changes that
// it has never received.
func TestForwardedChangesAfterGapAreIgnored(t *testing.T) {
	is := is.New(t)
	var got []Item
	m := newMirror(&source{}, clockwork.NewFakeClock(), func(items []Item) { got = items })
	is.True(!m.ApplyPeerChanges(Changes{After: 0, Page: Page{Revision: 3}})) // before the first full read
	m.applyFullRead(Page{Revision: 5, Items: []Item{{Key: "servers/a", Revision: 5}}})
	is.True(m.ApplyPeerChanges(Changes{After: 5, Page: Page{Revision: 7, Items: []Item{{Key: "servers/b", Revision: 7}}}}))
	is.Equal(keys(got), []string{"servers/a", "servers/b"})
	is.True(!m.ApplyPeerChanges(Changes{After: 9, Page: Page{Revision: 10, Items: []Item{{Key: "servers/c", Revision: 10}}}}))
	is.True(!m.ApplyPeerChanges(Changes{After: 5, Page: Page{Revision: 6, Items: []Item{{Key: "servers/a", Revision: 6, Removed: true}}}})) // outdated
	is.Equal(keys(got), []string{"servers/a", "servers/b"})
	is.True(m.ApplyPeerChanges(Changes{After: 6, Page: Page{Revision: 10, Items: []Item{{Key: "servers/a", Revision: 9, Removed: true}}}}))
	is.Equal(keys(got), []string{"servers/b"})
}

// A gate briefly cannot reach the store, while a peer keeps confirming the same copy. The
// gate must still read by itself to detect the recovery. Until then it keeps missing servers:
// without such reads it sent requests to servers for three seconds after they had left.
func TestRecoveryIsDetectedDespitePeerConfirmations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{page: Page{Revision: 2, Items: []Item{{Key: "servers/a", Revision: 2}}}}
		m := newMirror(s, clockwork.NewRealClock(), func([]Item) {})
		m.SetMaxAge(time.Hour, false)
		ctx, cancel := context.WithCancel(t.Context())
		var loop sync.WaitGroup
		loop.Go(func() { _ = m.Read(ctx) })
		synctest.Wait()
		status, _, _ := m.Status()
		status.Confirmed = true
		s.refuse()
		m.ReadNow()
		for range 10 {
			time.Sleep(300 * time.Millisecond)
			is.True(m.ApplyPeerStatus(status))
		}
		s.mu.Lock()
		s.err = nil
		s.mu.Unlock()
		time.Sleep(time.Second)
		m.mu.Lock()
		is.True(!m.failing)
		m.mu.Unlock()
		cancel()
		loop.Wait()
	})
}

// A gate cannot reach the store, and a peer that can forwards the removal of a server. The
// gate must apply the removal at once.
func TestForwardedRemovalsApplyDuringOutage(t *testing.T) {
	is := is.New(t)
	s := &source{page: Page{Revision: 3, Items: []Item{{Key: "servers/a", Revision: 2}, {Key: "servers/b", Revision: 3}}}}
	var got []Item
	m := newMirror(s, clockwork.NewFakeClock(), func(items []Item) { got = items })
	is.True(m.readOnce(t.Context()))
	s.refuse()
	is.True(!m.readOnce(t.Context()))
	is.True(m.ApplyPeerChanges(Changes{After: 3, Page: Page{Revision: 4, Items: []Item{{Key: "servers/a", Revision: 4, Removed: true}}}}))
	is.Equal(keys(got), []string{"servers/b"})
}

// All processes of a fleet start at once. If each read the store, these reads would be most of
// the calls of a day; a copy of a peer must be enough, and the age is proved by the peer.
func TestPeerCopyReplacesFirstRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{page: Page{Revision: 9}}
		m := newMirror(s, clockwork.NewRealClock(), func([]Item) {})
		m.settings.StartAge = 600 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer cancel()
		done := make(chan struct{})
		go func() {
			_ = m.Read(ctx)
			close(done)
		}()
		time.Sleep(300 * time.Millisecond)
		is.True(m.ApplyPeerCopy(Copy{Page: Page{Revision: 7, Items: []Item{{Key: "servers/a", Revision: 4}}}}))
		held, known := m.Held()
		is.True(known)
		is.Equal(held.Revision, uint64(7))
		is.True(m.ApplyPeerStatus(CopyStatus{Digest: held.Digest, Confirmed: true, ConfirmedAt: 1}))
		<-done
		is.Equal(s.calls(), 0)
	})
}

// A peer's copy is there and its confirmation on the way. The copy must not count as out of date meanwhile.
func TestPeerCopyWaitsForItsConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{page: Page{Revision: 9}}
		m := newMirror(s, clockwork.NewRealClock(), func([]Item) {})
		m.settings.StartAge = 200 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer cancel()
		go func() { _ = m.Read(ctx) }()
		time.Sleep(300 * time.Millisecond)
		is.True(m.ApplyPeerCopy(Copy{Page: Page{Revision: 7, Items: []Item{{Key: "servers/a", Revision: 4}}}}))
		held, _ := m.Held()
		time.Sleep(250 * time.Millisecond)
		is.True(m.ApplyPeerStatus(CopyStatus{Digest: held.Digest, Confirmed: true, ConfirmedAt: 1}))
		<-ctx.Done()
		synctest.Wait()
		is.Equal(s.calls(), 0)
	})
}

// No peer answers. The first read must come when the start age has grown to the age for the
// role.
func TestFirstReadWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{page: Page{Revision: 9}}
		m := newMirror(s, clockwork.NewRealClock(), func([]Item) {})
		m.settings.StartAge = 600 * time.Millisecond
		m.SetMaxAge(2400*time.Millisecond, false)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		go func() { _ = m.Read(ctx) }()
		time.Sleep(100 * time.Millisecond)
		m.SetMaxAge(time.Second, true) // it turns out to be the reader
		time.Sleep(290 * time.Millisecond)
		is.Equal(s.calls(), 0)
		time.Sleep(120 * time.Millisecond)
		is.Equal(s.calls(), 1)
		<-ctx.Done()
	})
}

// A copy is fetched from a peer that lags behind, or that holds other keys. It must not undo
// newer changes.
func TestOlderPeerCopyIsIgnored(t *testing.T) {
	is := is.New(t)
	var got []Item
	m := newMirror(&source{}, clockwork.NewFakeClock(), func(items []Item) { got = items })
	m.applyFullRead(Page{Revision: 5, Items: []Item{{Key: "servers/a", Revision: 5}}})
	is.True(!m.ApplyPeerCopy(Copy{Page: Page{Revision: 4, Items: []Item{{Key: "servers/b", Revision: 3}}}}))
	is.True(!m.ApplyPeerCopy(Copy{Page: Page{Revision: 8, Items: []Item{{Key: "op/config", Revision: 8}}}}))
	is.Equal(keys(got), []string{"servers/a"})
	is.True(m.ApplyPeerCopy(Copy{Page: Page{Revision: 9, Items: []Item{{Key: "servers/b", Revision: 7}}}}))
	is.Equal(keys(got), []string{"servers/b"}) // the other one was removed
	m.applyWatch(Page{Revision: 8, Items: []Item{{Key: "servers/a", Revision: 8}}})
	is.Equal(keys(got), []string{"servers/b"}) // older than the copy
}
