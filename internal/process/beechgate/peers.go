package beechgate

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechbeat"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/state/beechmirror"
	"github.com/beechring/beechring/internal/state/beechvouch"
)

// inquiryInterval is the time between questions to the gates that read the store for
// this zone: one that is lost makes copies older by as much, and they still stay
// younger than the age at which this gate would read.
const inquiryInterval = 300 * time.Millisecond

const (
	// maxEntriesPerDatagram go into one datagram: a server's entry is some 400 bytes.
	maxEntriesPerDatagram = 16
	// maxForwardedEntry is the bytes of an entry that is passed on: a whole datagram of
	// such entries is far below what one may hold.
	maxForwardedEntry = 768
	// nominalRevoke is the operators' bound for keys that operatorReadAges are stated for.
	nominalRevoke = 5 * time.Second
)

var (
	// operatorReadAges are ages at which what operators wrote is read whole. A gate
	// asks for no new callers from 2.75 s on (0.55 of the usual bound of 5 s for
	// keys), and says 401 and 404 up to 2.6 s: the last to read does so before.
	// The second reads when the first has missed two questions, the others when
	// both have. Under a shorter bound all are as much shorter.
	operatorReadAges = beechvouch.Schedule{First: 1300 * time.Millisecond, Second: 2 * time.Second, Others: 2400 * time.Millisecond}
	// serverReadAges are those for servers' entries. Keepers tell of most changes
	// sooner; these reads make a silent watch good.
	serverReadAges = beechvouch.Schedule{First: 4 * time.Second, Second: 4800 * time.Millisecond, Others: 5200 * time.Millisecond}
)

// askPeers asks the gates that read for this zone how old their copies are.
// If each gate read and watched the same two prefixes, that would be most calls to the
// store, and each is paid for.
func (g *Gate) inquirePeers(ctx context.Context) error {
	return beechtask.Every(ctx, g.clock, inquiryInterval, func() {
		now := g.clock.Now()
		rank := g.peers.Rank(now)
		revoke := time.Duration(g.bounds.Load().Revoke)
		g.operatorMirror.SetInterval(operatorReadAges.Scaled(min(float64(revoke)/float64(nominalRevoke), 1)).Of(rank), rank == 0)
		g.serverMirror.SetInterval(serverReadAges.Of(rank), rank == 0)
		readers := g.peers.Readers(now)
		if len(readers) == 0 || g.Draining() {
			return
		}
		inquiry := g.peers.Ask(g.deps.Age.Now())
		g.sendToPeers(readers, beechbeat.Inquiry{Inquiry: &beechwire.Inquiry{Number: inquiry}})
	})
}

func (g *Gate) sendToPeers(peers []netip.AddrPort, m beechbeat.Message) {
	if err := g.socket.SendAll(peers, beechbeat.Near, m); err != nil {
		g.log.Debug("gate not told", zap.Error(err))
	}
}

func (g *Gate) receivePeers(p beechbeat.Peers) {
	peers := make([]netip.AddrPort, 0, len(p.Gates))
	for _, text := range p.Gates {
		if peer, err := netip.ParseAddrPort(text); err == nil {
			peers = append(peers, peer)
		}
	}
	now := g.clock.Now()
	alone := len(g.peers.Peers(now)) == 0
	g.peers.Named(peers, now)
	if alone {
		g.gatesDiscovered("zone", len(g.peers.Peers(now)))
	}
}

// met has the other gates told at once what this one knows, where it has just learned of
// them: until it is heard, and hears them, it keeps to its own share of what they use
// together.
func (g *Gate) gatesDiscovered(scope string, gates int) {
	if gates == 0 {
		return
	}
	g.log.Info("gates known", zap.String("where", scope), zap.Int("gates", gates), zap.Duration("after", g.quotas.Age()))
	beechtask.Wake(g.usageDue)
}

// vouch is this gate's word on its copies, as the answer to a question. Without
// one it proves nothing, and says only what is held.
func (g *Gate) mirrorStatus(number uint64) beechbeat.Vouch {
	return beechbeat.Vouch{Vouch: &beechwire.Vouch{Number: number, Operators: mirrorCopy(g.operatorMirror), Servers: mirrorCopy(g.serverMirror)}}
}

// mirrorCopy tells how a copy stands. The age is rounded up: a peer must not take it
// for younger than it is.
func mirrorCopy(m *beechmirror.Mirror) beechwire.Copy {
	status, age, known := m.Vouch()
	if !known {
		return beechwire.Copy{Age: -1}
	}
	return beechwire.Copy{Digest: status.Digest, Age: (age + time.Millisecond - 1).Milliseconds(), Watched: status.Following}
}

func (g *Gate) receiveVouch(vouch beechbeat.Vouch) {
	g.applyVouch(g.operatorMirror, vouch.Number, vouch.Operators)
	g.applyVouch(g.serverMirror, vouch.Number, vouch.Servers)
}

func (g *Gate) applyVouch(m *beechmirror.Mirror, number uint64, c beechwire.Copy) {
	if c.Age < 0 {
		return
	}
	confirmed, proof := g.peers.Answered(number, time.Duration(c.Age)*time.Millisecond)
	same := m.Vouched(beechmirror.Word{Digest: c.Digest, Following: c.Watched, Proof: proof, Asked: confirmed})
	switch {
	case !same:
		g.metrics.vouches.Add("another copy", 1)
	case proof:
		g.metrics.vouches.Add("same copy", 1)
	default:
		g.metrics.vouches.Add("no proof", 1)
	}
}

// forward tells the other gates of this zone what the store's watch has brought, if
// this one follows the store for them. A whole configuration is too long for that:
// they hear only that this copy is another one now, and look for themselves.
func (g *Gate) forwardChanges(c beechmirror.Changes) {
	now := g.clock.Now()
	if g.peers.Rank(now) != 0 {
		return
	}
	peers := g.peers.Peers(now)
	if slices.ContainsFunc(c.Items, func(item beechmirror.Item) bool { return len(item.Value) > maxForwardedEntry }) {
		g.sendToPeers(peers, g.mirrorStatus(0))
		return
	}
	for _, entries := range packEntries(c) {
		g.sendToPeers(peers, beechbeat.Entries{Entries: entries})
	}
}

// packEntries packs changes into messages that go into a datagram each.
func packEntries(c beechmirror.Changes) []*beechwire.Entries {
	slices.SortFunc(c.Items, func(x, y beechmirror.Item) int { return cmp.Compare(x.Revision, y.Revision) })
	var all []*beechwire.Entries
	after := c.After
	for list := range slices.Chunk(c.Items, maxEntriesPerDatagram) {
		e := &beechwire.Entries{After: after, Revision: list[len(list)-1].Revision}
		for _, item := range list {
			e.List = append(e.List, beechwire.Entry{Key: item.Key, Value: item.Value, Revision: item.Revision, Created: item.Created, Removed: item.Removed})
		}
		after = e.Revision
		all = append(all, e)
	}
	if len(all) > 0 {
		all[len(all)-1].Revision = c.Revision
	}
	return all
}

func (g *Gate) receiveEntries(from netip.AddrPort, e beechbeat.Entries) {
	if !g.peers.Knows(from) {
		return
	}
	page := beechmirror.Page{Revision: e.Revision}
	for _, entry := range e.List {
		page.Items = append(page.Items, beechmirror.Item{
			Key: entry.Key, Value: entry.Value, Revision: entry.Revision, Created: entry.Created, Removed: entry.Removed,
		})
	}
	changes := beechmirror.Changes{After: e.After, Page: page}
	if len(e.List) > 0 && strings.HasPrefix(e.List[0].Key, g.deps.OperatorPrefix) {
		g.operatorMirror.Told(changes)
		return
	}
	g.serverMirror.Told(changes)
}
