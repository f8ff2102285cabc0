package beechmirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/beechring/beechring/internal/state/beechera"
)

// eraPage returns a read of one key with a value, in an era of the store.
func eraPage(era, revision, itemRevision uint64, value string) Page {
	return Page{Era: era, Revision: revision, Items: []Item{{Key: "servers/a", Revision: itemRevision, Created: 1, Value: []byte(value)}}}
}

// The store comes back from a copy and gives out revisions again. A gate that compared the
// numbers alone would drop what it reads until the store has passed the old number.
func TestReplyOfAHigherEraReplacesTheCopy(t *testing.T) {
	is := is.New(t)
	var got []Item
	m := newMirror(&source{}, clockwork.NewFakeClock(), func(items []Item) { got = items })
	is.True(m.applyFullRead(eraPage(1, 100, 90, "ready").ordered()))
	is.True(m.applyFullRead(eraPage(2, 80, 79, "restored").ordered()))
	is.Equal(string(got[0].Value), "restored")
	m.applyWatch(eraPage(2, 85, 85, "draining").ordered())
	is.Equal(string(got[0].Value), "draining")
	era, revision := beechera.Split(got[0].Revision)
	is.Equal(era, uint64(2))
	is.Equal(revision, uint64(85))
}

// A reply that left the store before the restore arrives late. It must neither replace the copy
// nor confirm it.
func TestReplyOfAnEarlierEraProvesNothing(t *testing.T) {
	is := is.New(t)
	var got []Item
	s := &source{page: eraPage(2, 80, 79, "restored")}
	m := newMirror(s, clockwork.NewRealClock(), func(items []Item) { got = items })
	is.True(m.readOnce(context.Background()))
	asked := m.freshness.Now()
	s.page = eraPage(1, 100, 90, "ready")
	is.True(!m.readOnce(context.Background()))
	is.Equal(string(got[0].Value), "restored")
	is.Equal(m.freshness.Now(), asked)
	m.applyWatch(eraPage(1, 101, 101, "ready").ordered())
	is.Equal(string(got[0].Value), "restored")
}

// eraWatch is a store whose watch returns changes of another era than it began in.
type eraWatch struct {
	source
	changes Page
	after   uint64
}

func (s *eraWatch) Watch(_ context.Context, _ string, after uint64, _ time.Duration) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.after = after
	return s.changes, nil
}

// A watch goes on after the store was restored, from a revision that was given out again. The
// changes before it are missing, so everything has to be read.
func TestWatchDoesNotGoOnOverARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		restored := 0
		var got []Item
		s := &eraWatch{changes: eraPage(2, 95, 92, "later")}
		s.page = eraPage(1, 90, 90, "ready")
		m := New(Settings{Prefix: "servers/", MaxAge: time.Minute, ReadTimeout: time.Second, WatchTimeout: time.Second, WatchPause: 100 * time.Millisecond, OnRestored: func() { restored++ }},
			s, &fakeFreshness{}, clockwork.NewRealClock(), zap.NewNop(), func(items []Item) { got = items })
		is.True(m.readOnce(t.Context()))
		s.page = eraPage(2, 91, 83, "draining")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go func() { _ = m.Watch(ctx) }()
		_ = m.Read(ctx)
		is.Equal(s.after, uint64(95)) // the watch that began after the read, with a plain revision
		is.Equal(string(got[0].Value), "later")
		is.True(restored > 0)
		m.mu.Lock()
		defer m.mu.Unlock()
		is.Equal(m.fullReadRevision, beechera.Order(2, 91))
	})
}

// Servers that registered in the lost seconds are missing until they register again. They must
// stay listed meanwhile, also if nobody noticed an outage.
func TestMissingItemsAreKeptAfterARestore(t *testing.T) {
	for _, byPeer := range []bool{false, true} {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		var got []Item
		s := &source{page: Page{Era: 1, Revision: 90, Items: []Item{{Key: "servers/a", Revision: 5}, {Key: "servers/b", Revision: 90}}}}
		m := newMirror(s, clock, func(items []Item) { got = items })
		is.True(m.readOnce(context.Background()))
		s.page = Page{Era: 2, Revision: 80, Items: []Item{{Key: "servers/a", Revision: 5}}}
		if byPeer {
			peer := newMirror(s, clock, func([]Item) {})
			is.True(peer.readOnce(context.Background()))
			copied, _ := peer.Copy()
			copied.Kept, copied.KeptFor = got[1:], m.settings.RemovalDelay
			is.True(m.ApplyPeerCopy(copied))
		}
		is.True(m.readOnce(context.Background()))
		is.Equal(keys(got), []string{"servers/a", "servers/b"})
		clock.Advance(m.settings.RemovalDelay + time.Millisecond)
		is.True(m.readOnce(context.Background()))
		is.Equal(keys(got), []string{"servers/a"})
	}
}

// Two copies have the same keys and revisions, from before and after a restore, and different
// values. The one must not confirm the other in a process.
func TestCopiesOfTwoErasDiffer(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	before, after := newMirror(&source{}, clock, func([]Item) {}), newMirror(&source{}, clock, func([]Item) {})
	before.applyFullRead(eraPage(1, 90, 90, "ready").ordered())
	after.applyFullRead(eraPage(2, 90, 90, "draining").ordered())
	status, _, _ := before.Status()
	is.True(!after.ApplyPeerStatus(status))
	old, _ := before.Copy()
	is.True(!after.ApplyPeerCopy(old))
	is.True(!after.ApplyPeerChanges(Changes{After: beechera.Order(1, 90), Page: eraPage(1, 95, 95, "ready").ordered()}))
	is.True(!before.ApplyPeerChanges(Changes{After: beechera.Order(2, 80), Page: eraPage(2, 95, 95, "draining").ordered()})) // it lacks the changes before
	newer, _ := after.Copy()
	is.True(before.ApplyPeerCopy(newer))
	status, _, _ = before.Status()
	is.True(after.ApplyPeerStatus(status))
}

// Full reads of several eras arrive in any order and late. The copy must end as the newest era's
// last read, and never fall back to an earlier era.
func TestAnyOrderOfErasEndsWithTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pages []Page
		revision := uint64(10)
		for era := uint64(1); era <= 3; era++ {
			for range rapid.IntRange(1, 4).Draw(t, "reads") {
				revision += uint64(rapid.IntRange(0, 5).Draw(t, "writes"))
				pages = append(pages, eraPage(era, revision, revision, "x"))
			}
			revision = uint64(rapid.IntRange(1, int(revision)).Draw(t, "restored"))
		}
		last := pages[len(pages)-1].ordered()
		m := newMirror(&source{}, clockwork.NewFakeClock(), func([]Item) {})
		highest := uint64(0)
		for _, i := range rapid.Permutation(indices(len(pages))).Draw(t, "order") {
			m.applyFullRead(pages[i].ordered())
			era, _ := beechera.Split(m.items["servers/a"].Revision)
			if era < highest {
				t.Fatalf("era %d after %d", era, highest)
			}
			highest = era
		}
		if m.items["servers/a"].Revision != last.Items[0].Revision {
			t.Fatalf("ends at %d instead of %d", m.items["servers/a"].Revision, last.Items[0].Revision)
		}
	})
}

func indices(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}
