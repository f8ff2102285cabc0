package beechgate

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechanswer"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/state/beechera"
	"github.com/beechring/beechring/internal/state/beechmirror"
	"github.com/beechring/beechring/internal/state/beechreader"
)

const (
	// quietInterval is the number of inquiries after which a gate is told again between which revisions no server changed.
	quietInterval = 3
	// startInterval is that of a gate that has no configuration yet.
	startInterval = 40 * time.Millisecond
	// startWait is the time from the start of all gates at once until the first reads the
	// store: by then those that have found a seed know one another.
	startWait = 60 * time.Millisecond

	// maxEntriesPerDatagram is chosen for some 400 bytes per server entry.
	maxEntriesPerDatagram = 16
	// maxForwardedEntry is the size in bytes up to which entries are forwarded; a full
	// datagram of such entries is far below the maximum size.
	maxForwardedEntry = 768
	// maxKeyAge is the share of the operators' bound for keys up to which 401 and 404 are said: all gates read the
	// operators' documents before.
	maxKeyAge = 0.52
	// operatorLead is the time by which the operators' documents are read before the list of servers, which the answer
	// proves too if nothing was written meanwhile.
	operatorLead = beechreader.CallTime

	copyPath       = "/copy"
	copyTimeout    = 700 * time.Millisecond
	maxFetchTries  = 8
	fetchPause     = 20 * time.Millisecond // between tries, and up to twice that
	maxCopyReaders = 6                     // gates that fetch copies from this one at a time
	startInquiries = 3                     // neighbors that a gate without a configuration asks besides the readers
	maxCopyBytes   = 16 << 20
	copyIdleTime   = 10 * time.Second
	headerReadTime = 2 * time.Second
)

var (
	// startDelays are the times from its start until a gate without a copy reads the store. By then those that have found
	// a seed know one another, and copies of those that read before have come.
	startDelays = beechreader.Schedule{
		First: startWait, Second: startWait + 700*time.Millisecond, ZoneFirst: startWait + time.Second, ZoneSecond: startWait + 1200*time.Millisecond, Others: startWait + 1400*time.Millisecond,
	}

	// watchPatience is how long a gate waits for a reader that watches the store before it watches
	// itself, by role. The readers of the fleet always watch.
	watchPatience = map[beechreader.Role]time.Duration{
		beechreader.First: 0, beechreader.Second: 0, beechreader.ZoneFirst: 1500 * time.Millisecond,
		beechreader.ZoneSecond: 2 * time.Second, beechreader.Follower: 3 * time.Second,
	}

	errCopyStatus = errors.New("unexpected status")
)

// copies fetches whole copies of the store's prefixes from other gates, and hands them out.
type copies struct {
	client *http.Client

	mu       sync.Mutex
	fetching map[string]bool       // by prefix
	readers  int                   // gates that fetch a copy now
	packed   map[string]packedCopy // by prefix
}

// packedCopy is a copy as it is handed out.
type packedCopy struct {
	held beechmirror.Held
	data []byte
}

func newCopies(self netip.AddrPort) *copies {
	// From the address by which other gates know this one.
	dialer := &net.Dialer{Timeout: copyTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(self.Addr(), 0))}
	return &copies{
		client:   &http.Client{Timeout: copyTimeout, Transport: beechanswer.Transport(&http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: copyIdleTime, MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxHeaderBytes})},
		fetching: make(map[string]bool), packed: make(map[string]packedCopy),
	}
}

// inquireReaders asks the gates that read the store how old their mirrors are. If each gate
// read and watched both prefixes itself, that would account for most calls to the store, and
// each call is paid for.
func (g *Gate) inquireReaders(ctx context.Context) error {
	for ctx.Err() == nil {
		g.inquire()
		interval := g.nextInquiry()
		select {
		case <-g.clock.After(interval):
		case <-g.inquiryDue:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// nextInquiry returns the time until the next inquiry.
func (g *Gate) nextInquiry() time.Duration {
	if g.configuration.Load() == nil {
		return startInterval
	}
	operators, servers := readSchedules(g.bounds.Load())
	return min(operators.NextInquiry(g.freshness.Age()), servers.NextInquiry(g.serverFreshness.Age()))
}

// readSchedules returns the ages at which gates read the operators' documents and the list of servers themselves, so that the
// operators' bounds for both hold whatever other gates do.
func readSchedules(b *beechsettings.GateBounds) (operators, servers beechreader.Schedule) {
	apply, drain := cmp.Or(time.Duration(b.Apply), beechsettings.DefaultApply), cmp.Or(time.Duration(b.Drain), beechsettings.DefaultDrain)
	if b.Revoke > 0 {
		apply = min(apply, time.Duration(maxKeyAge*float64(b.Revoke)))
	}
	return beechreader.ForBound(apply).Earlier(operatorLead), beechreader.ForBound(drain)
}

func (g *Gate) inquire() {
	role := beechreader.Follower
	if g.topology.Load().joined {
		role = g.readers.Role()
	}
	operators, servers := readSchedules(g.bounds.Load())
	setRole(g.operatorMirror, role, operators)
	setRole(g.serverMirror, role, servers)
	g.serverMirror.SetLimits(servers.Others, cmp.Or(time.Duration(g.bounds.Load().Contact), beechsettings.DefaultContact))
	g.askWhoWasServed()
	targets := g.readers.Targets()
	if len(targets) == 0 || g.Draining() {
		return
	}
	if g.configuration.Load() == nil {
		targets = append(targets, g.someNeighbors(startInquiries)...)
	}
	number := g.readers.StartInquiry(g.deps.Age.Now())
	for _, to := range targets {
		if err := g.socket.Send(to, g.scopeToGate(to), beechdatagram.Inquiry{Inquiry: &beechwire.Inquiry{Number: number}}); err != nil {
			g.log.Debug("send to gate failed", zap.Error(err))
		}
	}
}

// setRole has a mirror read and watch as a gate of a role does.
func setRole(m *beechmirror.Mirror, role beechreader.Role, ages beechreader.Schedule) {
	watches := role == beechreader.First || role == beechreader.Second // so that a change is not missed with one of them
	age := ages.ForRole(role)
	m.SetMaxAge(age, watches)
	m.SetStartAge(age - startDelays.ForRole(role))
	m.SetWatchPatience(watchPatience[role])
}

// someNeighbors returns up to n other gates of this zone, drawn at random.
func (g *Gate) someNeighbors(n int) []netip.AddrPort {
	neighbors := g.topology.Load().Neighbors
	var some []netip.AddrPort
	for _, i := range rand.Perm(len(neighbors))[:min(n, len(neighbors))] {
		some = append(some, neighbors[i])
	}
	return some
}

// sendProof tells other gates about this gate's mirrors. With the number of an inquiry it proves
// their age; with 0 it only tells their contents.
func (g *Gate) sendProof(to []netip.AddrPort, number uint64) {
	proof := beechdatagram.Proof{Proof: &beechwire.Proof{Number: number, Operators: g.heldCopy(g.operatorMirror), Servers: g.heldCopy(g.serverMirror)}}
	for _, peer := range to {
		if err := g.socket.Send(peer, g.scopeToGate(peer), proof); err != nil {
			g.log.Debug("send to gate failed", zap.Error(err))
		}
	}
}

// heldCopy describes a mirror. Its age is rounded up, so that peers never take it for younger
// than it is. A reader of a zone also counts as watching while a reader of the fleet does;
// these count only their own watch, since they ask each other.
func (g *Gate) heldCopy(m *beechmirror.Mirror) beechwire.Held {
	status, age, known := m.Status()
	if !known {
		return beechwire.Held{Age: -1}
	}
	held, _ := m.Held()
	watched := status.Watching
	if role := g.readers.Role(); role == beechreader.ZoneFirst || role == beechreader.ZoneSecond {
		watched = watched || m.WatchedByPeer()
	}
	era, revision := beechera.Split(held.Revision)
	return beechwire.Held{Digest: held.Digest, Revision: revision, Era: era, Age: (age + time.Millisecond - 1).Milliseconds(), Watched: watched}
}

func (g *Gate) receiveInquiry(from netip.AddrPort, number uint64) {
	g.sendProof([]netip.AddrPort{from}, number)
	if number%quietInterval == 0 {
		g.sendQuiet(from)
	}
}

// sendQuiet tells another gate between which revisions no server changed, so that its history goes on without a read.
func (g *Gate) sendQuiet(to netip.AddrPort) {
	q := g.serverMirror.Quiet()
	if q.Until == 0 {
		return
	}
	era, after := beechera.Split(q.After)
	_, until := beechera.Split(q.Until)
	g.sendTo(to, beechdatagram.Quiet{Quiet: &beechwire.Quiet{Era: era, After: after, Until: until}})
}

func (g *Gate) receiveQuiet(from netip.AddrPort, q beechdatagram.Quiet) {
	if !g.isKnownGate(from) || q.Until == 0 {
		return
	}
	g.serverMirror.ApplyPeerQuiet(beechmirror.Quiet{After: beechera.Order(q.Era, q.After), Until: beechera.Order(q.Era, q.Until)})
}

func (g *Gate) receiveProof(from netip.AddrPort, p beechdatagram.Proof) {
	if !g.isKnownGate(from) {
		return
	}
	g.applyProof(from, g.operatorMirror, g.deps.OperatorPrefix, p.Number, p.Operators)
	g.applyProof(from, g.serverMirror, g.deps.ServerPrefix, p.Number, p.Servers)
}

func (g *Gate) applyProof(from netip.AddrPort, m *beechmirror.Mirror, prefix string, number uint64, h beechwire.Held) {
	if h.Age < 0 {
		return
	}
	confirmed, proof := g.readers.ConfirmedAt(number, time.Duration(h.Age)*time.Millisecond)
	status := beechmirror.CopyStatus{Digest: h.Digest, Watching: h.Watched, Confirmed: proof, ConfirmedAt: confirmed, Peer: from}
	held, known := m.Held()
	revision := beechera.Order(h.Era, h.Revision)
	switch {
	case known && held.Digest == h.Digest:
		m.ApplyPeerStatus(status)
		if proof {
			g.metrics.proofs.Add("same copy", 1)
		} else {
			g.metrics.proofs.Add("no proof", 1)
		}
	case known && revision < held.Revision:
		g.metrics.proofs.Add("older copy", 1)
	default:
		g.metrics.proofs.Add("another copy", 1)
		g.fetchCopy(from, m, prefix, revision, status)
	}
}

// fetchCopy fetches a whole copy from another gate in the background, one at a time for each
// prefix. If that fails this gate watches the store itself.
func (g *Gate) fetchCopy(from netip.AddrPort, m *beechmirror.Mirror, prefix string, wanted uint64, status beechmirror.CopyStatus) {
	c := g.copies
	c.mu.Lock()
	busy := c.fetching[prefix]
	c.fetching[prefix] = true
	c.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer func() {
			c.mu.Lock()
			delete(c.fetching, prefix)
			c.mu.Unlock()
		}()
		if !g.tryFetches(from, m, prefix, wanted) {
			m.ApplyPeerStatus(status)
			return
		}
		g.metrics.copiesFetched.Add(1)
		g.announceCopy()
		beechtask.Notify(g.inquiryDue)
	}()
}

// tryFetches fetches a copy of at least the wanted revision from the gate that has told of it, or
// from another one of this zone: if all gates of a zone fetched from the same one, its link would
// be full for a second. It reports whether the copy was taken.
func (g *Gate) tryFetches(from netip.AddrPort, m *beechmirror.Mirror, prefix string, wanted uint64) bool {
	for try := range maxFetchTries {
		source := from
		neighbors := g.topology.Load().Neighbors
		if try%2 == 1 && len(neighbors) > 0 {
			source = neighbors[rand.IntN(len(neighbors))]
		}
		asked := g.clock.Now()
		copied, err := g.copies.fetch(context.Background(), source, prefix)
		copied.AskedAt, copied.Peer = asked, source
		if err == nil && m.ApplyPeerCopy(copied) && copied.Revision >= wanted {
			return true
		}
		if held, known := m.Held(); known && held.Revision >= wanted {
			return true // it came another way
		}
		g.log.Debug("copy not taken from gate", zap.Stringer("peer", source), zap.String("prefix", prefix), zap.Error(err))
		g.clock.Sleep(fetchPause + rand.N(fetchPause))
	}
	return false
}

// fetch returns the items under a prefix as another gate holds them. Errors name the step and
// the peer.
func (c *copies) fetch(ctx context.Context, from netip.AddrPort, prefix string) (beechmirror.Copy, error) {
	address := url.URL{Scheme: "http", Host: from.String(), Path: copyPath, RawQuery: url.Values{"prefix": {prefix}}.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return beechmirror.Copy{}, fmt.Errorf("fetch %s from %s: %w", prefix, from, err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return beechmirror.Copy{}, fmt.Errorf("fetch %s from %s: %w", prefix, from, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxCopyBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%w %d", errCopyStatus, response.StatusCode)
	}
	var entries beechwire.Entries
	var kept beechwire.Kept
	if err == nil {
		data, err = entries.UnmarshalMsg(data)
	}
	if err == nil && len(data) > 0 { // gates of the release before send the entries alone
		_, err = kept.UnmarshalMsg(data)
	}
	if err != nil {
		return beechmirror.Copy{}, fmt.Errorf("fetch %s from %s: %w", prefix, from, err)
	}
	return beechmirror.Copy{
		Page: entriesPage(&entries), Kept: entriesPage(&beechwire.Entries{List: kept.List}).Items,
		KeptFor: time.Duration(kept.Millis) * time.Millisecond, LostFor: time.Duration(kept.Lost) * time.Millisecond, Failed: time.Duration(kept.Failed) * time.Millisecond,
	}, nil
}

// serveCopy hands out a copy. It has the keys of all workspaces, so only other gates get it.
func (g *Gate) serveCopy(w http.ResponseWriter, r *http.Request) {
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || !g.isGateHost(remote.Addr().Unmap()) {
		g.metrics.unknownSenders.Add(1)
		http.Error(w, "not a gate of this fleet", http.StatusForbidden)
		return
	}
	if !g.copies.begin() {
		http.Error(w, "too many gates fetch copies here", http.StatusServiceUnavailable)
		return
	}
	defer g.copies.end()
	var m *beechmirror.Mirror
	switch r.URL.Query().Get("prefix") {
	case g.deps.OperatorPrefix:
		m = g.operatorMirror
	case g.deps.ServerPrefix:
		m = g.serverMirror
	default:
		http.NotFound(w, r)
		return
	}
	data, kept, known, err := g.copies.pack(r.URL.Query().Get("prefix"), m)
	if err != nil || !known {
		http.Error(w, "no copy", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = w.Write(data) // the other gate notices a short answer
	_, _ = w.Write(kept)
}

func (g *Gate) isGateHost(host netip.Addr) bool {
	for gate := range g.topology.Load().ZoneOf {
		if gate.Addr() == host {
			return true
		}
	}
	return host == g.members.Self().Addr()
}

// begin reports whether another gate may fetch a copy now, which ends with end.
func (c *copies) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readers >= maxCopyReaders {
		return false
	}
	c.readers++
	return true
}

func (c *copies) end() {
	c.mu.Lock()
	c.readers--
	c.mu.Unlock()
}

// pack returns a mirror's copy, encoded and compressed once for all gates that fetch it, and what follows it.
func (c *copies) pack(prefix string, m *beechmirror.Mirror) (data, kept []byte, known bool, err error) {
	held, known := m.Held()
	if !known {
		return nil, nil, false, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	copied, _ := m.Copy()
	keeps := beechwire.Kept{Millis: (copied.KeptFor + time.Millisecond - 1).Milliseconds(), Lost: copied.LostFor.Milliseconds(), Failed: (copied.Failed + time.Millisecond - 1).Milliseconds(), List: wireEntries(copied.Kept)}
	if kept, err = compress(&keeps); err != nil {
		return nil, nil, true, err
	}
	if p, ok := c.packed[prefix]; ok && p.held == held {
		return p.data, kept, true, nil
	}
	era, revision := beechera.Split(copied.Revision)
	if data, err = compress(&beechwire.Entries{Revision: revision, Era: era, List: wireEntries(copied.Items)}); err != nil {
		return nil, nil, true, err
	}
	c.packed[prefix] = packedCopy{held: held, data: data}
	return data, kept, true, nil
}

// compress encodes a message as a gzip member of its own; several one after the other decompress to all of them.
func compress(message msgp.Marshaler) ([]byte, error) {
	encoded, err := message.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	var buffer bytes.Buffer
	zipped, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	_, err = zipped.Write(encoded)
	if err = errors.Join(err, zipped.Close()); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// copyServer returns the server from which other gates fetch copies.
func (g *Gate) copyServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(copyPath, g.serveCopy)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerReadTime, IdleTimeout: copyIdleTime, ErrorLog: zap.NewStdLog(g.log)}
}

// announceCopy tells the gates that rely on this one that its copy has changed.
func (g *Gate) announceCopy() {
	if to := g.topology.Load().Dependents(); len(to) > 0 {
		g.sendProof(to, 0)
	}
}

// forwardChanges sends changes from the store's watch to the gates that rely on this one. A
// whole configuration is too large for a datagram: then they are only told that the mirror has
// changed, and fetch the copy.
func (g *Gate) forwardChanges(c beechmirror.Changes) {
	to := g.topology.Load().Dependents()
	if len(to) == 0 {
		return
	}
	if slices.ContainsFunc(c.Items, func(item beechmirror.Item) bool { return len(item.Value) > maxForwardedEntry }) {
		g.sendProof(to, 0)
		return
	}
	for _, entries := range packEntries(c) {
		for _, peer := range to {
			if err := g.socket.Send(peer, g.scopeToGate(peer), beechdatagram.Entries{Entries: entries}); err != nil {
				g.log.Debug("send to gate failed", zap.Error(err))
			}
		}
	}
}

// packEntries splits changes into messages that fit into a datagram each.
func packEntries(c beechmirror.Changes) []*beechwire.Entries {
	slices.SortFunc(c.Items, func(x, y beechmirror.Item) int { return cmp.Compare(x.Revision, y.Revision) })
	var messages []*beechwire.Entries
	era, after := beechera.Split(c.After)
	for list := range slices.Chunk(c.Items, maxEntriesPerDatagram) {
		_, last := beechera.Split(list[len(list)-1].Revision)
		message := &beechwire.Entries{After: after, Revision: last, Era: era, List: wireEntries(list)}
		after = last
		messages = append(messages, message)
	}
	if len(messages) > 0 {
		_, messages[len(messages)-1].Revision = beechera.Split(c.Revision)
	}
	return messages
}

func wireEntries(items []beechmirror.Item) []beechwire.Entry {
	list := make([]beechwire.Entry, 0, len(items))
	for _, item := range items {
		era, revision := beechera.Split(item.Revision)
		_, created := beechera.Split(item.Created)
		list = append(list, beechwire.Entry{Key: item.Key, Value: item.Value, Revision: revision, Created: created, Era: era, Removed: item.Removed})
	}
	return list
}

func entriesPage(e *beechwire.Entries) beechmirror.Page {
	page := beechmirror.Page{Revision: beechera.Order(e.Era, e.Revision)}
	for _, entry := range e.List {
		page.Items = append(page.Items, beechmirror.Item{
			Key: entry.Key, Revision: beechera.Order(entry.Era, entry.Revision), Created: beechera.Order(entry.Era, entry.Created),
			Value: entry.Value, Removed: entry.Removed,
		})
	}
	return page
}

// receiveEntries applies changes that a reader has forwarded, and forwards them if others rely
// on this gate.
func (g *Gate) receiveEntries(from netip.AddrPort, e beechdatagram.Entries) {
	if !g.isKnownGate(from) || len(e.List) == 0 {
		return
	}
	changes := beechmirror.Changes{After: beechera.Order(e.Era, e.After), Page: entriesPage(e.Entries), Peer: from}
	m := g.serverMirror
	if strings.HasPrefix(e.List[0].Key, g.deps.OperatorPrefix) {
		m = g.operatorMirror
	}
	if m.ApplyPeerChanges(changes) {
		g.forwardChanges(changes)
	}
}
