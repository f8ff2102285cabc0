package beechmirror

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a list whose changes and proofs cannot be told apart afterwards.
func TestEvidenceOfChangesAndProofs(t *testing.T) {
	is := is.New(t)
	peer := netip.MustParseAddrPort("10.0.0.1:7000")
	s := &source{page: Page{Revision: 5, Items: []Item{{Key: "servers/a", Revision: 5}}}}
	var m *Mirror
	var changes []Evidence
	m = newMirror(s, clockwork.NewFakeClock(), func([]Item) { changes = append(changes, m.LastChange()) })
	is.True(m.readOnce(t.Context()))
	is.Equal(m.LastProof(), Evidence{Means: ByRead})
	m.applyWatch(Page{Revision: 6, Items: []Item{{Key: "servers/b", Revision: 6}}})
	is.True(m.ApplyPeerChanges(Changes{After: 6, Page: Page{Revision: 7, Items: []Item{{Key: "servers/c", Revision: 7}}}, Peer: peer}))
	is.True(m.ApplyPeerCopy(Copy{Page: Page{Revision: 8, Items: []Item{{Key: "servers/d", Revision: 8}}}, Peer: peer}))
	is.Equal(changes, []Evidence{{Means: ByRead}, {Means: ByWatch}, {Means: ByChanges, Peer: peer}, {Means: ByCopy, Peer: peer}})
	held, _ := m.Held()
	is.True(m.ApplyPeerStatus(CopyStatus{Digest: held.Digest, Confirmed: true, Peer: peer}))
	is.Equal(m.LastProof(), Evidence{Means: ByProof, Peer: peer})
}

// Guards against a list that nobody watches, with no line of who took over or when.
func TestTakeOverOfTheWatchIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core, logs := observer.New(zap.InfoLevel)
		s := &source{page: Page{Revision: 5}, hung: true}
		m := New(Settings{Prefix: "servers/", MaxAge: time.Minute, ReadTimeout: time.Second, WatchTimeout: 25 * time.Second}, s, &fakeFreshness{}, clockwork.NewRealClock(), zap.New(core), func([]Item) {})
		m.SetMaxAge(time.Minute, false)
		is.True(m.readOnce(t.Context()))
		held, _ := m.Held()
		is.True(m.ApplyPeerStatus(CopyStatus{Digest: held.Digest, Watching: true, Confirmed: true}))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = m.Watch(ctx) }()
		time.Sleep(3 * peerWatchTTL)
		cancel()
		synctest.Wait()
		is.Equal(logs.FilterMessage("store watched by a peer").Len(), 1)
		taken := logs.FilterMessage("watches the store").All()
		is.Equal(len(taken), 1)
		is.Equal(taken[0].ContextMap()["reason"], watchUnattended)
		is.Equal(taken[0].ContextMap()["sincePeer"], peerWatchTTL)
	})
}
