package beechgate

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/state/beechmirror"
)

// outages are the questions of this gate to others, whether the store has answered them while it had lost the store. If it
// has, the servers that are missing since were removed, and did not expire in an outage of the store.
type outages struct {
	mu     sync.Mutex
	number uint64
	lost   time.Time // when the outage that was asked for began
	sentAt time.Time
}

const (
	// servedAsked is the number of gates that are asked at a time, with each inquiry, besides those that read the store for
	// this one.
	servedAsked = 3
	// servedTime is the time within which answers to a question count.
	servedTime = 200 * time.Millisecond
)

// askWhoWasServed asks some gates whether the store has answered them, while this gate keeps servers that are missing.
func (g *Gate) askWhoWasServed() {
	lost, failed, keeps := g.serverMirror.Outage()
	from, until := lost.Add(beechmirror.OutageMargin), failed.Add(-beechmirror.OutageMargin)
	if !keeps || !until.After(from) {
		return
	}
	now := g.clock.Now()
	o := &g.outages
	o.mu.Lock()
	o.number, o.lost, o.sentAt = rand.Uint64(), lost, now
	question := &beechwire.Outage{Number: o.number, Lost: now.Sub(from).Milliseconds(), Failed: now.Sub(until).Milliseconds() + 1}
	o.mu.Unlock()
	asked := g.readers.Targets() // most others make no calls that the store could answer
	gates := g.otherGates()
	for _, n := range rand.Perm(len(gates))[:min(servedAsked, len(gates))] {
		asked = append(asked, gates[n].Address)
	}
	for _, to := range asked {
		g.sendTo(to, beechdatagram.Outage{Outage: question})
	}
}

func (g *Gate) receiveOutage(from netip.AddrPort, m beechdatagram.Outage) {
	now := g.clock.Now()
	if g.isKnownGate(from) && g.answers.Within(now.Add(-time.Duration(m.Lost)*time.Millisecond), now.Add(-time.Duration(m.Failed)*time.Millisecond)) {
		g.sendTo(from, beechdatagram.Served{Served: &beechwire.Served{Number: m.Number}})
	}
}

func (g *Gate) receiveServed(from netip.AddrPort, m beechdatagram.Served) {
	o := &g.outages
	o.mu.Lock()
	lost, matches := o.lost, o.number == m.Number && g.clock.Since(o.sentAt) <= servedTime
	o.mu.Unlock()
	if matches && g.isKnownGate(from) {
		g.serverMirror.EndKeeping(lost)
	}
}
