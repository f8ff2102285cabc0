package beechmirror

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/beechring/beechring/internal/state/beechera"
)

// changingStore is a store that keeps its history from a revision on.
type changingStore struct {
	revision uint64
	dropped  uint64
	items    map[string]Item
	events   []Item
}

func (s *changingStore) write(key string, removed bool) {
	s.revision++
	item := Item{Key: "servers/" + key, Revision: s.revision, Created: s.revision, Removed: removed}
	delete(s.items, item.Key)
	if !removed {
		s.items[item.Key] = item
	}
	s.events = append(s.events, item)
}

func (s *changingStore) Range(context.Context, string) (Page, error) {
	page := Page{Revision: s.revision}
	for _, item := range s.items {
		page.Items = append(page.Items, item)
	}
	return page, nil
}

func (s *changingStore) Watch(_ context.Context, _ string, after uint64, _ time.Duration) (Page, error) {
	if after < s.dropped {
		return Page{}, ErrCompacted
	}
	page := Page{Revision: s.revision}
	for _, item := range s.events {
		if item.Revision > after {
			page.Items = append(page.Items, item)
		}
	}
	return page, nil
}

// observedMirror is a mirror of a store, and the revisions of the changes that it has observed.
type observedMirror struct {
	*Mirror
	observed map[uint64]bool
}

func newObservedMirror(store Source, clock clockwork.Clock, freshness Freshness) observedMirror {
	o := observedMirror{observed: map[uint64]bool{}}
	o.Mirror = New(Settings{Prefix: "servers/", MaxAge: time.Second, ReadTimeout: time.Second, WatchTimeout: time.Second, MaxGap: 8 * time.Second, Observe: func(items []Item) {
		for _, item := range items {
			o.observed[item.Revision] = true
		}
	}}, store, freshness, clock, zap.NewNop(), func([]Item) {})
	return o
}

// Guards against a history that counts as complete over a server that came and went between two copies, however close
// these are, whether the steady clock stood still meanwhile or not.
func TestCopiesDoNotExtendTheHistory(t *testing.T) {
	for name, copied := range map[string]func(m *Mirror, store *changingStore, asked time.Duration){
		"full read": func(m *Mirror, _ *changingStore, _ time.Duration) { m.readOnce(context.Background()) },
		"peer's copy": func(m *Mirror, store *changingStore, _ time.Duration) {
			page, _ := store.Range(context.Background(), "")
			m.ApplyPeerCopy(Copy{Page: page.ordered()})
		},
		"peer's copy and its confirmation": func(m *Mirror, store *changingStore, asked time.Duration) {
			page, _ := store.Range(context.Background(), "")
			m.ApplyPeerCopy(Copy{Page: page.ordered()})
			m.ApplyPeerStatus(CopyStatus{Digest: m.digest, Watching: true, Confirmed: true, ConfirmedAt: asked})
		},
	} {
		for _, steady := range []time.Duration{0, 10 * time.Millisecond, 4800 * time.Millisecond} {
			t.Run(name+" after "+steady.String(), func(t *testing.T) {
				is := is.New(t)
				store := &changingStore{revision: 9, items: map[string]Item{}}
				store.write("a", false)
				clock, freshness := clockwork.NewFakeClock(), &fakeFreshness{}
				m := newObservedMirror(store, clock, freshness)
				is.True(m.readOnce(t.Context()))
				store.write("b", false)
				store.write("b", true)
				clock.Advance(steady)
				freshness.asked += 4800 * time.Millisecond // a clock that includes suspensions
				copied(m.Mirror, store, freshness.asked)
				is.NoErr(m.CatchUp(t.Context()))
				is.True(m.observed[11])
				is.True(m.observed[12])
				age, gap := m.HistoryAge()
				is.True(!gap)
				is.True(age >= 4800*time.Millisecond)
			})
		}
	}
}

// Guards against a watch that begins behind changes that only a full read has passed over.
func TestWatchGoesOnFromTheHistory(t *testing.T) {
	is := is.New(t)
	store := &changingStore{revision: 9, items: map[string]Item{}}
	m := newObservedMirror(store, clockwork.NewFakeClock(), &fakeFreshness{})
	is.True(m.readOnce(t.Context()))
	store.write("b", false)
	store.write("b", true)
	is.True(m.readOnce(t.Context()))
	is.Equal(m.revision, beechera.Order(0, 11))
	is.NoErr(m.watchOnce(t.Context(), m.watchFrom()))
	is.True(m.observed[10])
	store.write("c", false)
	is.True(m.readOnce(t.Context()))
	store.dropped = store.revision
	m.handleWatchError(t.Context(), m.watchOnce(t.Context(), m.watchFrom()), m.watchFrom())
	is.True(!m.history.begun) // it cannot be continued
}

// Guards against a gap in the history that stays until the store has dropped the changes.
func TestGapInTheHistoryIsClosed(t *testing.T) {
	is := is.New(t)
	store := &changingStore{revision: 9, items: map[string]Item{}}
	clock := clockwork.NewFakeClock()
	m := newObservedMirror(store, clock, &fakeFreshness{})
	is.True(m.readOnce(t.Context()))
	store.write("b", false)
	store.write("b", true)
	is.True(m.readOnce(t.Context()))
	clock.Advance(7 * time.Second)
	m.closeGap(t.Context())
	is.True(!m.observed[10])
	clock.Advance(time.Second)
	m.closeGap(t.Context())
	is.True(m.observed[10])
}

// Guards against a history that misses a change, whatever a mirror reads, watches, is sent by peers or told by them, and
// in whatever order.
func TestHistoryMissesNoChange(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		store := &changingStore{revision: 9, items: map[string]Item{}}
		clock := clockwork.NewFakeClock()
		var mirrors []observedMirror
		for range 3 {
			m := newObservedMirror(store, clock, &fakeFreshness{})
			m.readOnce(context.Background())
			mirrors = append(mirrors, m)
		}
		began := map[*Mirror]uint64{}
		for step := range rapid.IntRange(1, 60).Draw(r, "steps") {
			m, peer := mirrors[rapid.IntRange(0, 2).Draw(r, "mirror")], mirrors[rapid.IntRange(0, 2).Draw(r, "peer")]
			switch rapid.SampledFrom([]string{"write", "write", "other", "remove", "read", "watch", "catch up", "copy", "quiet", "forward", "drop"}).Draw(r, "what") {
			case "write":
				store.write(rapid.SampledFrom([]string{"a", "b"}).Draw(r, "key"), false)
			case "other":
				store.revision++ // a write under another prefix
			case "remove":
				store.write(rapid.SampledFrom([]string{"a", "b"}).Draw(r, "key"), true)
			case "read":
				m.readOnce(context.Background())
			case "watch":
				if err := m.watchOnce(context.Background(), m.watchFrom()); err != nil {
					m.handleWatchError(context.Background(), err, m.watchFrom())
				}
			case "catch up":
				_ = m.CatchUp(context.Background())
			case "copy":
				page, _ := peer.Copy()
				m.ApplyPeerCopy(page)
			case "quiet":
				m.ApplyPeerQuiet(peer.Quiet())
			case "forward":
				after := rapid.Uint64Range(9, store.revision).Draw(r, "after")
				page, _ := store.Watch(context.Background(), "", after, 0)
				m.ApplyPeerChanges(Changes{After: beechera.Order(0, after), Page: page.ordered()})
			case "drop":
				store.dropped = store.revision
			}
			for _, m := range mirrors {
				if !m.history.begun {
					delete(began, m.Mirror)
					continue
				}
				if _, ok := began[m.Mirror]; !ok {
					began[m.Mirror] = m.history.complete
				}
				missed := slices.IndexFunc(store.events, func(item Item) bool {
					return item.Revision > began[m.Mirror] && item.Revision <= m.history.complete && !m.observed[item.Revision]
				})
				if missed >= 0 {
					r.Fatalf("step %d: change %d is part of the history and was not observed", step, store.events[missed].Revision)
				}
			}
		}
	})
}
