package beechmember

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/beechring/beechring/internal/state/beechstore"
)

// processModel is the state that Members should hold of one process. Messages
// arrive late and in any order.
type processModel struct {
	leaving  map[uint64]bool // incarnations reported as leaving
	linkLost bool            // there is no link to the newest incarnation
}

var agent = netip.MustParseAddrPort("10.0.0.1:7000")

func hostList(leaving bool) []beechstore.Host {
	return []beechstore.Host{{Address: agent, Zone: "a", Role: "agent", Leaving: leaving}}
}

// Heartbeats, link events and host lists of a process that restarts and leaves
// arrive late and in any order. If a stale one were believed, a leaving or
// dead server would get new work and its callers would wait for nothing.
func TestLeavingAndUnlinkedMembersAreNotUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		m := New(clock, Settings{Retention: 24 * time.Hour}) // longer than any run
		model := processModel{leaving: map[uint64]bool{}, linkLost: true}
		newest := uint64(0) // the newest incarnation seen in a message
		incarnation := func(t *rapid.T) uint64 { return rapid.Uint64Range(1, 4).Draw(t, "incarnation") }
		observe := func(n uint64) bool {
			if n < newest {
				return false
			}
			model.linkLost = model.linkLost || n > newest
			newest = n
			return true
		}
		t.Repeat(map[string]func(*rapid.T){
			"linked": func(t *rapid.T) {
				n := incarnation(t)
				if observe(n) {
					model.linkLost = false
				}
				m.LinkUp(agent, n)
			},
			"lost": func(t *rapid.T) {
				n := incarnation(t)
				if n >= newest {
					model.linkLost = true
				}
				m.LinkDown(agent, n)
			},
			"said": func(t *rapid.T) {
				n, leaving := incarnation(t), rapid.Bool().Draw(t, "leaving")
				if observe(n) && leaving {
					model.leaving[n] = true
				}
				m.UpdateLeaving(agent, n, leaving)
			},
			"listed": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "there") {
					m.UpdateHosts(hostList(rapid.Bool().Draw(t, "leaving")))
					return
				}
				m.UpdateHosts(nil)
			},
			"wait": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				if m.Usable(agent) && (model.linkLost || model.leaving[newest]) {
					t.Fatalf("incarnation %d is usable: link lost %v, leaving %v", newest, model.linkLost, model.leaving[newest])
				}
			},
		})
	})
}

// The platform's host list shows a server as live for half a minute after it
// began to leave, and as leaving long after it was replaced.
func TestStaleHostListIsOverridden(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m := New(clock, Settings{})
	m.UpdateHosts(hostList(false))
	is.True(!m.Usable(agent)) // the list only adds candidates
	m.LinkUp(agent, 1)
	is.True(m.Usable(agent))
	m.UpdateLeaving(agent, 1, true)
	is.True(!m.Usable(agent)) // immediately, not after the list's lag
	m.UpdateHosts(hostList(false))
	m.UpdateLeaving(agent, 1, false)
	is.True(!m.Usable(agent)) // leaving is final
	m.LinkDown(agent, 1)
	m.UpdateHosts(nil)
	m.LinkUp(agent, 1)
	is.True(!m.Usable(agent)) // even after it was removed from the list
	m.LinkDown(agent, 1)
	m.LinkUp(agent, 2)
	m.UpdateHosts(hostList(true))
	m.LinkUp(agent, 3)
	m.UpdateLeaving(agent, 3, false)
	clock.Advance(time.Minute)
	m.UpdateHosts(hostList(true))
	is.True(m.Usable(agent)) // the list still shows the previous incarnation
	is.Equal(len(m.Members()), 1)
}

// The host list shows a process as leaving and later no longer: the process
// was replaced before this one started.
func TestLeavingByListCanBeRetracted(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m := New(clock, Settings{})
	m.UpdateHosts(hostList(true))
	m.LinkUp(agent, 2)
	m.UpdateLeaving(agent, 2, false)
	is.True(!m.Usable(agent)) // the list may know more than the process
	m.UpdateHosts(hostList(false))
	is.True(m.Usable(agent))
	m.UpdateHosts(hostList(true))
	is.True(!m.Usable(agent))
	m.UpdateLeaving(agent, 2, true)
	m.UpdateHosts(hostList(false))
	is.True(!m.Usable(agent)) // the process's own report is final
}

// A server's link goes up and down every second, for example because of a bad
// cable. Requests that follow the link would be cut off each time, so the
// server may be usable only rarely.
func TestFlappingServerIsDamped(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m := New(clock, Settings{})
	usable, changes, before := 0, 0, false
	const seconds = 120
	for range seconds {
		m.LinkUp(agent, 1)
		for range 10 {
			clock.Advance(50 * time.Millisecond)
			now := m.Usable(agent)
			if now {
				usable++
			}
			if now != before {
				changes++
			}
			before = now
		}
		m.LinkDown(agent, 1)
		clock.Advance(500 * time.Millisecond)
	}
	is.True(usable <= 20) // of 1,200 samples: the first two links count at once
	is.True(changes <= 4)
	m.LinkUp(agent, 1)
	clock.Advance(30 * time.Second)
	is.True(m.Usable(agent)) // a link that holds is usable again
	clock.Advance(time.Minute)
	m.LinkDown(agent, 1)
	m.LinkUp(agent, 1)
	is.True(m.Usable(agent)) // the losses were reset, so an ordinary restart is not damped
}

// A host is replaced at the same address, and the clock of the new one is
// behind, so that its agent's incarnation is smaller. It must get work
// immediately, and stale messages about the earlier one must be ignored.
func TestReplacedHostWithClockBehindIsUsable(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m := New(clock, Settings{})
	address := netip.MustParseAddrPort("10.0.0.1:7100")
	m.HandshakeDone(address, 1000)
	m.UpdateLeaving(address, 1000, true)
	m.LinkDown(address, 1000)
	is.True(!m.Usable(address))

	m.HandshakeDone(address, 400)
	is.True(m.Usable(address))

	m.LinkDown(address, 1000)
	m.UpdateLeaving(address, 1000, false)
	m.LinkUp(address, 1000)
	is.True(m.Usable(address)) // stale messages about the earlier incarnation
	m.UpdateLeaving(address, 400, true)
	is.True(!m.Usable(address))
}
