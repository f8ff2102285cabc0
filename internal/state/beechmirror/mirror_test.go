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
	// source is a store of which tests say what each call gives.
	source struct {
		mu      sync.Mutex
		page    Page
		err     error
		reads   int
		watches int
		silent  bool // watches wait and hear nothing
	}

	// belief takes each confirmation for one of now.
	belief struct {
		asked     time.Duration
		confirmed time.Time
	}
)

var errDown = errors.New("down")

func (s *source) Range(context.Context, string) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.page, s.err
}

func (s *source) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (Page, error) {
	s.mu.Lock()
	s.watches++
	err, silent := s.err, s.silent
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

// refuse turns all later calls away.
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

func (b *belief) Now() time.Duration          { return b.asked }
func (b *belief) Confirm(asked time.Duration) { b.asked, b.confirmed = asked+1, time.Now() }
func (b *belief) Age() time.Duration          { return time.Since(b.confirmed) }

func newMirror(s *source, c clockwork.Clock, changed func([]Item)) *Mirror {
	return New(Settings{Prefix: "servers/", MaxAge: time.Second, ReadTimeout: time.Second, WatchTimeout: time.Second, RemovalDelay: 2 * time.Second}, s, &belief{}, c, zap.NewNop(), changed)
}

func keys(items []Item) []string {
	var names []string
	for _, it := range items {
		names = append(names, it.Key)
	}
	return names
}

// A read that was on its way for long comes after a later change. A gate that
// took it would serve a route, or a key, that was taken away.
func TestNeverGoesBack(t *testing.T) {
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

// Whatever order replies come in, the mirror ends where the store is, and no
// key's revision ever falls.
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
					t.Fatalf("%s fell from %d to %d", it.Key, highest[it.Key], it.Revision)
				}
				highest[it.Key] = it.Revision
			}
		})
		m.applyFullRead(pages[0])
		for range rapid.IntRange(0, 30).Draw(t, "replies") {
			if i := rapid.IntRange(0, len(pages)-1).Draw(t, "which"); rapid.Bool().Draw(t, "whole") {
				m.applyFullRead(pages[i])
			} else if i == 0 || m.revision >= uint64(i) {
				m.applyWatch(watches[i]) // a watch gives what follows what is known
			}
		}
		m.applyFullRead(pages[len(pages)-1])
		if len(got) != len(store) {
			t.Fatalf("mirror has %v, the store %v", keys(got), store)
		}
		for _, it := range got {
			if store[it.Key].Revision != it.Revision {
				t.Fatalf("%s at %d, in the store at %d", it.Key, it.Revision, store[it.Key].Revision)
			}
		}
	})
}

// The servers' entries lapse while the store is away, and are back two seconds
// after it. Taken for gone at once, a gate would have no servers though all are
// well.
func TestWhatLapsedWithTheStoreIsKeptForAMoment(t *testing.T) {
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

// A failed read confirms nothing: the age of the copy goes on growing.
func TestOnlyReadsConfirm(t *testing.T) {
	is := is.New(t)
	s := &source{err: errDown}
	b := &belief{asked: 7}
	m := New(Settings{Prefix: "op/", MaxAge: time.Second, ReadTimeout: time.Second}, s, b, clockwork.NewFakeClock(), zap.NewNop(), func([]Item) {})
	m.readOnce(t.Context())
	m.applyWatch(Page{Revision: 4})
	is.Equal(b.asked, time.Duration(7))
	s.err = nil
	m.readOnce(t.Context())
	is.Equal(b.asked, time.Duration(8))
}

// The store has dropped its history. The whole prefix is read at once, not at
// the next interval.
func TestDroppedHistoryIsReadAnew(t *testing.T) {
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

// The store turns this host away for nine seconds and bills each call. A host
// that asks several times a second all the while takes calls from those that
// are served, and has nothing for it.
func TestCallsToAStoreThatTurnsAway(t *testing.T) {
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
		is.True(calls >= 18) // it finds the store back within a second
		is.True(calls <= 50)
	})
}

// The connection of a watch goes silent: nothing is closed, and nothing comes.
// Whole reads show what changes, but late, each time, for as long as the watch
// waits; callers meet routes and keys that were changed seconds ago.
func TestSilentWatchIsBegunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{page: Page{Revision: 1}, silent: true}
		m := newMirror(s, clockwork.NewRealClock(), func([]Item) {})
		m.settings.WatchTimeout = time.Hour
		is.True(m.readOnce(t.Context()))
		ctx, cancel := context.WithCancel(t.Context())
		var loop sync.WaitGroup
		loop.Go(func() { _ = m.Watch(ctx) })
		synctest.Wait()
		is.Equal(s.calls(), 2) // the read and the watch
		is.True(m.readOnce(ctx))
		synctest.Wait()
		is.Equal(s.calls(), 3) // a read without news says nothing of the watch

		s.page = Page{Revision: 2, Items: []Item{{Key: "servers/a", Revision: 2}}}
		is.True(m.readOnce(ctx))
		synctest.Wait()
		is.Equal(s.calls(), 5) // the read, and another watch
		cancel()
		loop.Wait()
	})
}

// Servers' entries are read seldom and lapse while the store is down. The mirror
// that reads often finds the store lost; if it keeps that to itself, the other
// one takes the entries for gone when the store is back, and callers are refused
// for two seconds.
func TestLossIsTold(t *testing.T) {
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
		t.Fatal("the other mirror is not asked to read")
	}
	is.True(!servers.readOnce(t.Context()))
	servers.applyWatch(Page{Revision: 3, Items: []Item{{Key: "servers/a", Revision: 3, Removed: true}}})
	is.Equal(keys(got), []string{"servers/a"})
}

// Sixty gates read the same prefix each two seconds, and each read is paid for.
// One that hears from another that the same copy was confirmed a moment ago reads
// nothing; when that one falls silent it reads by itself, no later than before.
func TestVouchedCopyIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{page: Page{Revision: 2, Items: []Item{{Key: "servers/a", Revision: 2}}}}
		m := newMirror(s, clockwork.NewRealClock(), func([]Item) {})
		ctx, cancel := context.WithCancel(t.Context())
		var loop sync.WaitGroup
		loop.Go(func() { _ = m.Read(ctx) })
		synctest.Wait()
		is.Equal(s.calls(), 1)
		word, _, known := m.Status()
		is.True(known)
		word.Confirmed = true
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			is.True(m.ApplyPeerStatus(word))
		}
		is.Equal(s.calls(), 1)
		time.Sleep(1100 * time.Millisecond) // nobody vouches any more
		is.Equal(s.calls(), 2)
		cancel()
		loop.Wait()
	})
}

// Another gate holds another copy: one of the two lacks a change. Its word proves
// nothing of this copy, and a key that was taken away would be served on.
func TestAnotherCopyDoesNotVouch(t *testing.T) {
	is := is.New(t)
	s := &source{page: Page{Revision: 2, Items: []Item{{Key: "op/config", Revision: 2}}}}
	b := &belief{}
	m := New(Settings{Prefix: "op/", MaxAge: time.Second, ReadTimeout: time.Second}, s, b, clockwork.NewFakeClock(), zap.NewNop(), func([]Item) {})
	is.True(!m.ApplyPeerStatus(CopyStatus{Confirmed: true})) // nothing was read yet
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

// vouchedMirror has read once, and another process that follows the store has
// vouched for the same copy.
func vouchedMirror(t *testing.T) (*Mirror, *source, CopyStatus) {
	t.Helper()
	s := &source{page: Page{Revision: 2, Items: []Item{{Key: "servers/a", Revision: 2}}}, silent: true}
	m := newMirror(s, clockwork.NewRealClock(), func([]Item) {})
	m.settings.WatchTimeout = time.Hour
	m.SetMaxAge(time.Hour, false)
	if !m.readOnce(t.Context()) {
		t.Fatal("the store is not read")
	}
	word, _, _ := m.Status()
	word.Confirmed, word.Watching = true, true
	m.ApplyPeerStatus(word)
	return m, s, word
}

// A zone's first gate watches for all. The others watch nothing while it says so,
// and watch at once when it holds another copy, or says nothing any more: a server
// that leaves would get their requests otherwise.
func TestWatchIsLeftToOneThatFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, s, word := vouchedMirror(t)
		ctx, cancel := context.WithCancel(t.Context())
		var loop sync.WaitGroup
		loop.Go(func() { _ = m.Watch(ctx) })
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			is.True(m.ApplyPeerStatus(word))
		}
		is.Equal(s.calls(), 1) // the whole read
		other := word
		other.Digest++
		is.True(!m.ApplyPeerStatus(other))
		synctest.Wait()
		is.Equal(s.calls(), 2)
		cancel()
		loop.Wait()
	})
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, s, _ := vouchedMirror(t)
		ctx, cancel := context.WithCancel(t.Context())
		var loop sync.WaitGroup
		loop.Go(func() { _ = m.Watch(ctx) })
		time.Sleep(2 * peerWatchTTL)
		synctest.Wait()
		is.Equal(s.calls(), 2) // nobody vouches: it watches by itself
		cancel()
		loop.Wait()
	})
}

// What the first gate's watch was told reaches the others in datagrams, of which
// some are lost. One that lacks changes in between must not take later ones: it
// would believe to know what it does not.
func TestForwardedChangesLeaveNoGap(t *testing.T) {
	is := is.New(t)
	var got []Item
	m := newMirror(&source{}, clockwork.NewFakeClock(), func(items []Item) { got = items })
	is.True(!m.ApplyPeerChanges(Changes{After: 0, Page: Page{Revision: 3}})) // nothing was read yet
	m.applyFullRead(Page{Revision: 5, Items: []Item{{Key: "servers/a", Revision: 5}}})
	is.True(m.ApplyPeerChanges(Changes{After: 5, Page: Page{Revision: 7, Items: []Item{{Key: "servers/b", Revision: 7}}}}))
	is.Equal(keys(got), []string{"servers/a", "servers/b"})
	is.True(!m.ApplyPeerChanges(Changes{After: 9, Page: Page{Revision: 10, Items: []Item{{Key: "servers/c", Revision: 10}}}}))
	is.True(!m.ApplyPeerChanges(Changes{After: 5, Page: Page{Revision: 6, Items: []Item{{Key: "servers/a", Revision: 6, Removed: true}}}})) // late
	is.Equal(keys(got), []string{"servers/a", "servers/b"})
	is.True(m.ApplyPeerChanges(Changes{After: 6, Page: Page{Revision: 10, Items: []Item{{Key: "servers/a", Revision: 9, Removed: true}}}}))
	is.Equal(keys(got), []string{"servers/b"})
}

// A gate loses the store for a moment, and another gate of its zone goes on vouching
// for the same copy. The gate must find the store back by itself all the same: while
// it takes the store for lost it keeps servers that are gone, and sent them requests
// for three seconds after they had left.
func TestStoreIsFoundBackThoughTheCopyIsVouchedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &source{page: Page{Revision: 2, Items: []Item{{Key: "servers/a", Revision: 2}}}}
		m := newMirror(s, clockwork.NewRealClock(), func([]Item) {})
		m.SetMaxAge(time.Hour, false)
		ctx, cancel := context.WithCancel(t.Context())
		var loop sync.WaitGroup
		loop.Go(func() { _ = m.Read(ctx) })
		synctest.Wait()
		word, _, _ := m.Status()
		word.Confirmed = true
		s.refuse()
		m.ReadNow()
		for range 10 {
			time.Sleep(300 * time.Millisecond)
			is.True(m.ApplyPeerStatus(word))
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

// A gate has lost the store, and one that reaches it tells of a server that is gone.
func TestWhatIsToldAsGoneIsGone(t *testing.T) {
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
