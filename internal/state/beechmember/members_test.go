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

// truth is what one process has done, which Members hears of late and in any
// order.
type truth struct {
	left map[uint64]bool // incarnations whose leaving was heard
	lost bool            // there is no link to the newest
}

var agent = netip.MustParseAddrPort("10.0.0.1:7000")

func hostList(leaving bool) []beechstore.Host {
	return []beechstore.Host{{Address: agent, Zone: "a", Role: "agent", Leaving: leaving}}
}

// Heartbeats, links and lists of a process that restarts and leaves arrive
// late and in any order. If an old one were believed, a server that is leaving
// or dead would get new work and its callers would wait for nothing.
func TestMembersNeverUseWhatIsLeavingOrLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		m := New(clock, Settings{Retention: 24 * time.Hour}) // longer than any run here
		w := truth{left: map[uint64]bool{}, lost: true}
		heard := uint64(0) // the newest incarnation that was heard of
		incarnation := func(t *rapid.T) uint64 { return rapid.Uint64Range(1, 4).Draw(t, "incarnation") }
		hear := func(n uint64) bool {
			if n < heard {
				return false
			}
			w.lost = w.lost || n > heard
			heard = n
			return true
		}
		t.Repeat(map[string]func(*rapid.T){
			"linked": func(t *rapid.T) {
				n := incarnation(t)
				if hear(n) {
					w.lost = false
				}
				m.LinkUp(agent, n)
			},
			"lost": func(t *rapid.T) {
				n := incarnation(t)
				if n >= heard {
					w.lost = true
				}
				m.LinkDown(agent, n)
			},
			"said": func(t *rapid.T) {
				n, leaving := incarnation(t), rapid.Bool().Draw(t, "leaving")
				if hear(n) && leaving {
					w.left[n] = true
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
				if m.Usable(agent) && (w.lost || w.left[heard]) {
					t.Fatalf("used incarnation %d: lost %v, leaving %v", heard, w.lost, w.left[heard])
				}
			},
		})
	})
}

// The platform's list shows a server as live for half a minute after it began
// to leave, and as leaving long after it was replaced.
func TestLateListDoesNotDecide(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m := New(clock, Settings{})
	m.UpdateHosts(hostList(false))
	is.True(!m.Usable(agent)) // only a candidate
	m.LinkUp(agent, 1)
	is.True(m.Usable(agent))
	m.UpdateLeaving(agent, 1, true)
	is.True(!m.Usable(agent)) // at once, not after the list's lag
	m.UpdateHosts(hostList(false))
	m.UpdateLeaving(agent, 1, false)
	is.True(!m.Usable(agent)) // final
	m.LinkDown(agent, 1)
	m.UpdateHosts(nil)
	m.LinkUp(agent, 1)
	is.True(!m.Usable(agent)) // also after it was gone from the list
	m.LinkDown(agent, 1)
	m.LinkUp(agent, 2)
	m.UpdateHosts(hostList(true))
	m.LinkUp(agent, 3)
	m.UpdateLeaving(agent, 3, false)
	clock.Advance(time.Minute)
	m.UpdateHosts(hostList(true))
	is.True(m.Usable(agent)) // the list still speaks of the one before
	is.Equal(len(m.Members()), 1)
}

// The list says of an address that its process leaves, and later that it does not: the
// process was replaced before this one started.
func TestListTakesItsWordBack(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	m := New(clock, Settings{})
	m.UpdateHosts(hostList(true))
	m.LinkUp(agent, 2)
	m.UpdateLeaving(agent, 2, false)
	is.True(!m.Usable(agent)) // the list may know more than the process itself
	m.UpdateHosts(hostList(false))
	is.True(m.Usable(agent))
	m.UpdateHosts(hostList(true))
	is.True(!m.Usable(agent))
	m.UpdateLeaving(agent, 2, true)
	m.UpdateHosts(hostList(false))
	is.True(!m.Usable(agent)) // its own word is final
}

// A server's link comes and goes every second, as with a bad cable. Work that
// follows it each time is cut each time; over a minute it may be offered only
// now and then.
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
	is.True(usable <= 20) // of 1,200 looks: the first two times it is believed
	is.True(changes <= 4)
	m.LinkUp(agent, 1)
	clock.Advance(30 * time.Second)
	is.True(m.Usable(agent)) // a link that holds is used again
	clock.Advance(time.Minute)
	m.LinkDown(agent, 1)
	m.LinkUp(agent, 1)
	is.True(m.Usable(agent)) // and an ordinary restart after that at once
}

// A host is replaced under the same address, and the new one's clock is behind.
// Its agent's incarnation is then smaller than the one before. It must get work
// at once, and late news of the one before must not count.
func TestReplacedHostWithAClockBehindIsUsed(t *testing.T) {
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
	is.True(m.Usable(address)) // late news of the one before
	m.UpdateLeaving(address, 400, true)
	is.True(!m.Usable(address))
}
