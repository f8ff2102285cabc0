package beechgate

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/state/beechmirror"
	"github.com/beechring/beechring/internal/state/beechreader"
)

// inquiryInterval is the interval of inquiries to the gates that read the store for this zone.
// A lost inquiry makes the mirrors older by one interval, which leaves them younger than the
// age at which this gate reads itself.
const inquiryInterval = 300 * time.Millisecond

const (
	// maxEntriesPerDatagram is chosen for some 400 bytes per server entry.
	maxEntriesPerDatagram = 16
	// maxForwardedEntry is the size in bytes up to which entries are forwarded; a full
	// datagram of such entries is far below the maximum size.
	maxForwardedEntry = 768
	// nominalRevoke is the operators' bound for keys on which operatorReadAges are based.
	nominalRevoke = 5 * time.Second
)

var (
	// operatorReadAges are the ages at which a gate reads the operators' documents itself. At
	// 2.75 s (0.55 of the nominal bound of 5 s for keys) a gate stops asking for new
	// connections, and up to 2.6 s it answers 401 and 404, so the last gate must have read
	// before. The second gate reads after the first has missed two inquiries, the others after
	// both have. Under a shorter bound the ages shrink in proportion.
	operatorReadAges = beechreader.Schedule{First: 1300 * time.Millisecond, Second: 2 * time.Second, Others: 2400 * time.Millisecond}
	// serverReadAges are the corresponding ages for servers' entries. Keepers report most
	// changes sooner; these reads compensate for a watch that has stopped delivering.
	serverReadAges = beechreader.Schedule{First: 4 * time.Second, Second: 4800 * time.Millisecond, Others: 5200 * time.Millisecond}
)

// inquirePeers asks the gates that read the store for this zone how old their mirrors are. If
// each gate read and watched both prefixes itself, that would account for most calls to the
// store, and each call is paid for.
func (g *Gate) inquirePeers(ctx context.Context) error {
	return beechtask.Every(ctx, g.clock, inquiryInterval, func() {
		now := g.clock.Now()
		rank := g.peers.Rank(now)
		revoke := time.Duration(g.bounds.Load().Revoke)
		g.operatorMirror.SetMaxAge(operatorReadAges.Scaled(min(float64(revoke)/float64(nominalRevoke), 1)).ForRank(rank), rank == 0)
		g.serverMirror.SetMaxAge(serverReadAges.ForRank(rank), rank == 0)
		readers := g.peers.Readers(now)
		if len(readers) == 0 || g.Draining() {
			return
		}
		inquiry := g.peers.StartInquiry(g.deps.Age.Now())
		g.sendToPeers(readers, beechdatagram.Inquiry{Inquiry: &beechwire.Inquiry{Number: inquiry}})
	})
}

func (g *Gate) sendToPeers(peers []netip.AddrPort, m beechdatagram.Message) {
	if err := g.socket.SendAll(peers, beechdatagram.SameZone, m); err != nil {
		g.log.Debug("send to gate failed", zap.Error(err))
	}
}

func (g *Gate) receivePeers(p beechdatagram.Peers) {
	peers := make([]netip.AddrPort, 0, len(p.Gates))
	for _, text := range p.Gates {
		if peer, err := netip.ParseAddrPort(text); err == nil {
			peers = append(peers, peer)
		}
	}
	now := g.clock.Now()
	first := len(g.peers.Peers(now)) == 0
	g.peers.UpdatePeers(peers, now)
	if first {
		g.gatesDiscovered("zone", len(g.peers.Peers(now)))
	}
}

// gatesDiscovered logs the first contact with other gates and sends them this gate's usage at
// once. Until the gates have exchanged their usage, this one is confined to its own share of
// the quotas.
func (g *Gate) gatesDiscovered(scope string, gates int) {
	if gates == 0 {
		return
	}
	g.log.Info("gates known", zap.String("where", scope), zap.Int("gates", gates), zap.Duration("after", g.quotas.Age()))
	beechtask.Wake(g.usageDue)
}

// mirrorStatus returns the state of this gate's mirrors. With the number of an inquiry it
// proves their age; with 0 it only tells their contents.
func (g *Gate) mirrorStatus(number uint64) beechdatagram.Vouch {
	return beechdatagram.Vouch{Vouch: &beechwire.Vouch{Number: number, Operators: mirrorCopy(g.operatorMirror), Servers: mirrorCopy(g.serverMirror)}}
}

// mirrorCopy returns the state of a mirror. Its age is rounded up, so that peers never take it
// for younger than it is.
func mirrorCopy(m *beechmirror.Mirror) beechwire.Copy {
	status, age, known := m.Status()
	if !known {
		return beechwire.Copy{Age: -1}
	}
	return beechwire.Copy{Digest: status.Digest, Age: (age + time.Millisecond - 1).Milliseconds(), Watched: status.Watching}
}

func (g *Gate) receiveVouch(vouch beechdatagram.Vouch) {
	g.applyVouch(g.operatorMirror, vouch.Number, vouch.Operators)
	g.applyVouch(g.serverMirror, vouch.Number, vouch.Servers)
}

func (g *Gate) applyVouch(m *beechmirror.Mirror, number uint64, c beechwire.Copy) {
	if c.Age < 0 {
		return
	}
	confirmed, proof := g.peers.ConfirmedAt(number, time.Duration(c.Age)*time.Millisecond)
	same := m.ApplyPeerStatus(beechmirror.CopyStatus{Digest: c.Digest, Watching: c.Watched, Confirmed: proof, ConfirmedAt: confirmed})
	switch {
	case !same:
		g.metrics.vouches.Add("another copy", 1)
	case proof:
		g.metrics.vouches.Add("same copy", 1)
	default:
		g.metrics.vouches.Add("no proof", 1)
	}
}

// forwardChanges sends changes from the store's watch to the other gates of this zone, if this
// gate reads the store for them. A whole configuration is too large for a datagram: then the
// others are only told that the mirror has changed, and read the store themselves.
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
		g.sendToPeers(peers, beechdatagram.Entries{Entries: entries})
	}
}

// packEntries splits changes into messages that fit into a datagram each.
func packEntries(c beechmirror.Changes) []*beechwire.Entries {
	slices.SortFunc(c.Items, func(x, y beechmirror.Item) int { return cmp.Compare(x.Revision, y.Revision) })
	var messages []*beechwire.Entries
	after := c.After
	for list := range slices.Chunk(c.Items, maxEntriesPerDatagram) {
		message := &beechwire.Entries{After: after, Revision: list[len(list)-1].Revision}
		for _, item := range list {
			message.List = append(message.List, beechwire.Entry{Key: item.Key, Value: item.Value, Revision: item.Revision, Created: item.Created, Removed: item.Removed})
		}
		after = message.Revision
		messages = append(messages, message)
	}
	if len(messages) > 0 {
		messages[len(messages)-1].Revision = c.Revision
	}
	return messages
}

func (g *Gate) receiveEntries(from netip.AddrPort, e beechdatagram.Entries) {
	if !g.peers.HasPeer(from) {
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
		g.operatorMirror.ApplyPeerChanges(changes)
		return
	}
	g.serverMirror.ApplyPeerChanges(changes)
}
