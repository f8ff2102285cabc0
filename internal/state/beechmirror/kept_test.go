package beechmirror

import (
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// keptPair is a mirror that has lost the store while a server left, and a peer that the store has served.
func keptPair(t *testing.T, clock *clockwork.FakeClock) (turnedAway, served *Mirror, visible func(m *Mirror) []string, s *source) {
	t.Helper()
	is := is.New(t)
	shown := map[*Mirror][]string{}
	var mu sync.Mutex // kept items end by timers
	s = &source{page: Page{Revision: 3, Items: []Item{{Key: "servers/a", Revision: 2}, {Key: "servers/b", Revision: 3}}}}
	show := func(m **Mirror) func([]Item) {
		return func(items []Item) {
			mu.Lock()
			defer mu.Unlock()
			shown[*m] = keys(items)
		}
	}
	turnedAway = newMirror(s, clock, show(&turnedAway))
	served = newMirror(s, clock, show(&served))
	is.True(turnedAway.readOnce(t.Context()))
	is.True(served.readOnce(t.Context()))
	s.err = errDown
	is.True(!turnedAway.readOnce(t.Context()))
	s.err, s.page = nil, Page{Revision: 4, Items: []Item{{Key: "servers/b", Revision: 3}}}
	return turnedAway, served, func(m *Mirror) []string {
		mu.Lock()
		defer mu.Unlock()
		return shown[m]
	}, s
}

// Guards against a server that has left and comes back to gates in touch by the copy of a gate that keeps it, as that one
// had lost the store.
func TestKeptItemsDoNotReachPeersThatSawTheRemoval(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	turnedAway, served, visible, s := keptPair(t, clock)
	is.True(served.readOnce(t.Context()))
	s.page.Revision = 7 // writes under other prefixes
	is.True(turnedAway.readOnce(t.Context()))
	is.Equal(visible(turnedAway), []string{"servers/a", "servers/b"})
	status, _, _ := turnedAway.Status()
	is.Equal(status.Digest, served.digest) // the store holds the same
	copied, _ := turnedAway.Copy()
	is.True(served.ApplyPeerCopy(copied))
	is.Equal(visible(served), []string{"servers/b"})
	started := newMirror(s, clock, func([]Item) {})
	is.True(started.ApplyPeerCopy(copied))
	is.Equal(len(started.kept), 1) // a process that starts keeps what its peer keeps
	clock.Advance(turnedAway.settings.RemovalDelay)
	is.True(turnedAway.readOnce(t.Context()))
	is.Equal(visible(turnedAway), []string{"servers/b"})
}

// Guards against keeping a server that a gate saw leave before it lost the store.
func TestCopyOfAGateThatHasLostTheStoreKeepsNothingSoFar(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	turnedAway, other, visible, s := keptPair(t, clock)
	s.page = Page{Revision: 5, Items: []Item{{Key: "servers/b", Revision: 3}}}
	is.True(turnedAway.ApplyPeerChanges(Changes{After: 3, Page: Page{Revision: 5, Items: []Item{{Key: "servers/a", Revision: 5, Removed: true}}}}))
	copied, _ := turnedAway.Copy()
	is.Equal(copied.KeptFor, time.Duration(0))
	is.True(other.ApplyPeerCopy(copied))
	is.Equal(visible(other), []string{"servers/b"})
}

// Guards against a gate without servers after an outage that it has not noticed itself: the gate whose copy it takes has.
func TestMissingItemsOfAPeersCopyAreKeptAfterItsOutage(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	turnedAway, other, visible, _ := keptPair(t, clock)
	is.True(turnedAway.readOnce(t.Context()))
	clock.Advance(time.Second)
	copied, _ := turnedAway.Copy()
	is.Equal(copied.KeptFor, turnedAway.settings.RemovalDelay-time.Second)
	is.True(other.ApplyPeerCopy(copied))
	is.Equal(visible(other), []string{"servers/a", "servers/b"})
	is.Equal(other.digest, turnedAway.digest)
	clock.Advance(copied.KeptFor + time.Millisecond)
	waitForKept(other, 0)
	is.Equal(visible(other), []string{"servers/b"})
}

// Guards against a server that gets requests beyond the operators' bound since a gate in touch keeps it on the word of one
// that had lost the store, for a time that begins anew with each copy.
func TestKeepingOnAPeersWordEndsWithTheBound(t *testing.T) {
	is := is.New(t)
	const limit = 1800 * time.Millisecond
	clock := clockwork.NewFakeClock()
	turnedAway, other, visible, _ := keptPair(t, clock)
	other.SetLimits(limit, 0)
	is.True(turnedAway.readOnce(t.Context()))
	for range 2 {
		copied, _ := turnedAway.Copy()
		is.True(copied.KeptFor > time.Second)
		is.True(other.ApplyPeerCopy(copied))
		is.Equal(visible(other), []string{"servers/a", "servers/b"})
		clock.Advance(limit / 2)
	}
	waitForKept(other, 0)
	is.Equal(visible(other), []string{"servers/b"})
}

// Guards against a server that gets requests beyond the operators' bound from a gate that has been back in touch for the time
// after which it must keep all bounds.
func TestKeepingAfterAnOutageEndsBeforeAGateIsBoundAgain(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	turnedAway, _, visible, _ := keptPair(t, clock)
	turnedAway.SetLimits(0, 3*time.Second)
	clock.Advance(1600 * time.Millisecond) // the call that failed took a second
	is.True(turnedAway.readOnce(t.Context()))
	is.Equal(visible(turnedAway), []string{"servers/a", "servers/b"})
	clock.Advance(1400 * time.Millisecond)
	waitForKept(turnedAway, 0)
	is.Equal(visible(turnedAway), []string{"servers/b"})
}

// waitForKept waits for up to a second until a mirror keeps a number of items: the clock's functions run on their own.
func waitForKept(m *Mirror, count int) {
	for range 1000 {
		m.mu.Lock()
		kept := len(m.kept)
		m.mu.Unlock()
		if kept == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against keeping a server, by the copy of a gate that had lost the store, at a gate that the store has served
// meanwhile.
func TestCopyOfAGateThatLostTheStoreAlone(t *testing.T) {
	for name, c := range map[string]struct {
		answeredAt time.Duration // after the sender lost the store for three seconds
		dropped    bool
	}{
		"answered before":        {answeredAt: -time.Second},
		"answered meanwhile":     {answeredAt: time.Second, dropped: true},
		"answered once regained": {answeredAt: 2500 * time.Millisecond}, // the store may have been back by then
		"answered since":         {answeredAt: 3500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			turnedAway, served, visible, s := keptPair(t, clock)
			served.settings.Answers = &Answers{}
			answered := clock.Now().Add(c.answeredAt)
			served.settings.Answers.add(answered, answered)
			clock.Advance(2 * time.Second)
			s.err = errDown
			is.True(!turnedAway.readOnce(t.Context()))
			s.err = nil
			clock.Advance(time.Second)
			is.True(turnedAway.readOnce(t.Context()))
			clock.Advance(time.Second)
			copied, _ := turnedAway.Copy()
			is.Equal(copied.LostFor, 4*time.Second)
			copied.AskedAt = clock.Now()
			is.True(served.ApplyPeerCopy(copied))
			is.Equal(len(visible(served)) == 1, c.dropped)
		})
	}
}

// Guards against keeping a server beyond a removal that a peer in touch has seen.
func TestRemovalSeenByAPeerEndsKeeping(t *testing.T) {
	for name, tell := range map[string]func(m, peer *Mirror) bool{
		"forwarded": func(m, _ *Mirror) bool {
			return m.ApplyPeerChanges(Changes{After: 3, Page: Page{Revision: 9, Items: []Item{{Key: "servers/a", Revision: 4, Removed: true}}}})
		},
		"copied": func(m, peer *Mirror) bool {
			copied, _ := peer.Copy()
			copied.Revision = 9
			return m.ApplyPeerCopy(copied)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			turnedAway, served, visible, _ := keptPair(t, clockwork.NewFakeClock())
			is.True(served.readOnce(t.Context()))
			is.True(turnedAway.readOnce(t.Context()))
			is.Equal(len(visible(turnedAway)), 2)
			is.True(tell(turnedAway, served))
			is.Equal(visible(turnedAway), []string{"servers/b"})
		})
	}
}

// Guards against keeping a removed server after an outage that others did not have.
func TestKeepingEndsIfOthersReachedTheStore(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	turnedAway, _, visible, s := keptPair(t, clock)
	_, _, keeps := turnedAway.Outage()
	is.True(!keeps) // the store is still away
	clock.Advance(2 * time.Second)
	s.err = errDown
	is.True(!turnedAway.readOnce(t.Context()))
	s.err = nil
	clock.Advance(time.Second)
	is.True(turnedAway.readOnce(t.Context()))
	clock.Advance(100 * time.Millisecond)
	lost, failed, keeps := turnedAway.Outage()
	is.True(keeps)
	is.Equal(failed.Sub(lost), 2*time.Second)
	is.Equal(len(visible(turnedAway)), 2)
	turnedAway.EndKeeping(lost.Add(-time.Second)) // another outage
	is.Equal(len(visible(turnedAway)), 2)
	turnedAway.EndKeeping(lost)
	is.Equal(visible(turnedAway), []string{"servers/b"})
	turnedAway.applyWatch(Page{Revision: 9, Items: []Item{{Key: "servers/b", Revision: 9, Removed: true}}})
	is.Equal(len(visible(turnedAway)), 0)
}

// Guards against copies of the same state that count as different, so that gates fetch them in a circle, and against any
// item that a copy names without the store having held it.
func TestCopiesHoldWhatTheStoreHeld(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		clock := clockwork.NewFakeClock()
		store := &changingStore{revision: 9, items: map[string]Item{}}
		states := map[uint64]uint64{} // digests of the store's states by revision
		var mirrors []*Mirror
		for range 3 {
			o := newObservedMirror(store, clock, &fakeFreshness{})
			o.settings.RemovalDelay = 2 * time.Second
			mirrors = append(mirrors, o.Mirror)
		}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			m, peer := mirrors[rapid.IntRange(0, 2).Draw(r, "mirror")], mirrors[rapid.IntRange(0, 2).Draw(r, "peer")]
			switch rapid.SampledFrom([]string{"write", "remove", "read", "fail", "watch", "copy", "pass"}).Draw(r, "what") {
			case "write":
				store.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "key"), false)
			case "remove":
				store.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "key"), true)
			case "read":
				m.readOnce(t.Context())
			case "fail":
				m.recordReadResult(clock.Now(), errDown)
			case "watch":
				if m.loaded {
					_ = m.watchOnce(t.Context(), m.watchFrom())
				}
			case "copy":
				if copied, known := peer.Copy(); known {
					m.ApplyPeerCopy(copied)
				}
			case "pass":
				clock.Advance(time.Second)
			}
			states[store.revision] = digestOf(sortedItems(store.items))
			for _, m := range mirrors {
				if held, known := m.Held(); known && held.Digest != states[held.Revision] {
					r.Fatalf("a copy of revision %d has %v, which the store never held", held.Revision, keys(sortedItems(m.items)))
				}
			}
		}
	})
}
