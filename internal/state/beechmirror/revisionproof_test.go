package beechmirror

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/beechring/beechring/internal/state/beechera"
)

// revisionedStore holds items under the prefix of a mirror and counts all writes, those of other prefixes included.
type revisionedStore struct {
	revision uint64
	items    map[string]Item
	log      []Item
}

func (s *revisionedStore) write(key string, removed bool) {
	s.revision++
	item := Item{Key: key, Revision: s.revision, Created: s.revision, Removed: removed}
	s.log = append(s.log, item)
	if removed {
		delete(s.items, key)
		return
	}
	s.items[key] = item
}

func (s *revisionedStore) page() Page {
	return Page{Items: sortedItems(s.items), Revision: s.revision}
}

// since returns a watch's answer, which is without changes while the store is deaf.
func (s *revisionedStore) since(after uint64, deaf bool) Page {
	p := Page{Revision: s.revision}
	for _, item := range s.log {
		if item.Revision > after && !deaf {
			p.Items = append(p.Items, item)
		}
	}
	return p
}

// Guards against a list that counts as complete by a revision whose changes it has not seen.
func TestRevisionProvesCompleteCopiesOnly(t *testing.T) {
	proofs := 0
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		s := &revisionedStore{items: make(map[string]Item)}
		mirrors := make([]*Mirror, 2)
		for i := range mirrors {
			mirrors[i] = newMirror(&source{}, clockwork.NewFakeClock(), func([]Item) {})
		}
		late := s.page()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "mirror")
			m, peer := mirrors[i], mirrors[1-i]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				s.write(fmt.Sprintf("servers/%d", rapid.IntRange(0, 3).Draw(t, "key")), rapid.Bool().Draw(t, "removed"))
			case 2:
				s.revision++ // another prefix
			case 3:
				m.applyFullRead(s.page().ordered())
			case 4:
				late = s.page()
			case 5:
				m.applyFullRead(late.ordered())
			case 6:
				if !m.loaded {
					continue
				}
				after := m.watchFrom()
				_, plain := beechera.Split(after)
				c := Changes{After: after, Page: s.since(plain, rapid.Bool().Draw(t, "deaf")).ordered()}
				m.applyWatch(c.Page)
				m.completeBy(c)
				if rapid.Bool().Draw(t, "forwarded") {
					peer.ApplyPeerChanges(c)
				}
			case 7:
				if copied, known := peer.Copy(); known {
					m.ApplyPeerCopy(copied)
				}
			default:
				if m.ConfirmRevision(time.Second, beechera.Order(0, s.revision)) {
					proofs++
					is.Equal(sortedItems(m.items), sortedItems(maps.Clone(s.items)))
				}
			}
		}
	})
	is.New(t).True(proofs > 0)
}

// Guards against a list that a silent watch leaves behind, and against full reads of it that an unchanged revision spares.
func TestRevisionOfAnotherReadConfirmsTheCopy(t *testing.T) {
	is := is.New(t)
	s, freshness, clock := &source{page: Page{Revision: 5}}, &fakeFreshness{}, clockwork.NewFakeClock()
	m := New(Settings{Prefix: "servers/", MaxAge: time.Second, ReadTimeout: time.Second}, s, freshness, clock, zap.NewNop(), func([]Item) {})
	is.True(!m.ConfirmRevision(time.Minute, 5)) // there is no copy
	is.True(m.readOnce(t.Context()))
	is.True(m.ConfirmRevision(time.Minute, 5))
	is.Equal(freshness.asked, time.Minute+1)
	is.Equal(m.LastProof(), Evidence{Means: ByRevision})
	is.True(!m.ConfirmRevision(2*time.Minute, 6)) // something was written
	is.Equal(freshness.asked, time.Minute+1)
	m.completeBy(Changes{After: 5, Page: Page{Revision: 9, Items: []Item{{Key: "servers/a", Revision: 7}}}})
	is.True(m.ConfirmRevision(3*time.Minute, 7))
	is.True(!m.ConfirmRevision(4*time.Minute, 9)) // a watch does not show what it does not return
	clock.Advance(maxRevisionProofs)
	is.True(!m.ConfirmRevision(5*time.Minute, 7)) // it is read as a whole from time to time
	s.page.Revision = 9
	is.True(m.readOnce(t.Context()))
	is.True(m.ConfirmRevision(6*time.Minute, 9))
	s.refuse()
	is.True(!m.readOnce(t.Context()))
	is.True(!m.ConfirmRevision(7*time.Minute, 9)) // what is missing is kept until a read of its own succeeds
}
