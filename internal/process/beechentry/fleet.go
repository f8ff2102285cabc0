package beechentry

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/decision/beechroute"
	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechconvert"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/state/beechmember"
	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// fleet is the entry's view of the agents: its links, their latest reports,
	// and the router over them. It may be stale; agents correct it in their
	// replies.
	fleet struct {
		entry   *Entry
		dialer  *beechlink.Dialer
		members *beechmember.Members
		router  *beechroute.Router

		mu             sync.Mutex
		links          map[netip.AddrPort]*agentLink
		weightsByModel map[string][]string // versions of the weights that are offered, by model
		targets        map[string]bool     // registered with the health tracker
	}

	// agentLink is the link to one agent and the agent's latest report.
	agentLink struct {
		client               *beechlink.Client
		zone                 string
		incarnation          uint64
		up                   bool
		lostAt               time.Time // when the link was last lost
		entryHosts           int
		offers               []string
		formerOffers         []string // before the link was lost, until the same process reports again
		cacheVersion         uint64   // version of the engine's cache that the router knows
		reportedCacheVersion uint64   // latest version that the agent reported
	}
)

const (
	// maxRemoteLinks bounds the links to agents of other zones, which are used
	// only for overflow: with thousands of engines an entry must not connect to
	// all.
	maxRemoteLinks = 32

	callTimeout = time.Second

	// lostLinkTime is longer than answers under way are joined again after their link was lost.
	lostLinkTime = 5 * time.Second
)

func newFleet(e *Entry, linkTLS *tls.Config) *fleet {
	f := &fleet{
		entry:          e,
		members:        beechmember.New(e.clock, beechmember.Settings{}),
		links:          map[netip.AddrPort]*agentLink{},
		weightsByModel: map[string][]string{},
	}
	f.router = beechroute.New(beechroute.Settings{Zone: e.settings.Zone}, e.clock,
		rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), e.health)
	f.dialer = beechlink.NewDialer(beechlink.Settings{Key: e.settings.Secret}, e.hello, f, e, f, linkTLS, e.clock)
	return f
}

func (f *fleet) close() { f.dialer.Close() }

// linkSeeds connects to the agents named in the settings.
func (f *fleet) linkSeeds() {
	for _, seed := range f.entry.settings.Seeds {
		f.link(seed, "")
	}
}

func (f *fleet) link(address netip.AddrPort, zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l, there := f.links[address]; there {
		if zone != "" {
			l.zone = zone
		}
		return
	}
	f.links[address] = &agentLink{client: f.dialer.Dial(address), zone: zone}
}

// setHosts applies the platform's host list, which lags behind, and connects to
// the agents that this entry should know. A link that is up is kept, whatever
// the list says.
func (f *fleet) setHosts(hosts []beechstore.Host) {
	f.members.UpdateHosts(hosts)
	wanted := f.wantedAgents(hosts)
	for _, h := range wanted {
		f.link(h.Address, h.Zone)
	}
	f.dropUnwanted(wanted)
	f.rebuild()
}

func (f *fleet) wantedAgents(hosts []beechstore.Host) []beechstore.Host {
	var wanted []beechstore.Host
	var remote []netip.AddrPort
	zones := map[netip.AddrPort]beechstore.Host{}
	for _, h := range hosts {
		if h.Role != beechwire.RoleAgent {
			continue
		}
		if h.Zone == f.entry.settings.Zone {
			wanted = append(wanted, h)
			continue
		}
		remote = append(remote, h.Address)
		zones[h.Address] = h
	}
	for _, address := range beechmember.Rank(f.entry.settings.Name, remote, maxRemoteLinks) {
		wanted = append(wanted, zones[address])
	}
	return wanted
}

// dropUnwanted closes links that have been down for a while and whose agent is neither
// wanted nor a seed.
func (f *fleet) dropUnwanted(wanted []beechstore.Host) {
	var closing []*beechlink.Client
	f.mu.Lock()
	for address, l := range f.links {
		listed := slices.ContainsFunc(wanted, func(h beechstore.Host) bool { return h.Address == address })
		joining := f.entry.clock.Since(l.lostAt) < lostLinkTime
		if !listed && !l.up && !joining && !slices.Contains(f.entry.settings.Seeds, address) {
			closing = append(closing, l.client)
			delete(f.links, address)
		}
	}
	f.mu.Unlock()
	for _, c := range closing {
		go c.Close()
	}
}

// Up implements beechlink.Events.
func (f *fleet) Up(p beechlink.Peer) {
	f.mu.Lock()
	l := f.links[p.Address]
	if l == nil {
		f.mu.Unlock()
		return
	}
	restarted := l.incarnation != 0 && l.incarnation != p.Incarnation
	l.up = true
	l.zone = p.Zone
	switch {
	case l.incarnation != p.Incarnation:
		l.formerOffers = nil
	case l.offers != nil:
		l.formerOffers = l.offers
	}
	l.offers = nil
	l.cacheVersion = 0
	l.reportedCacheVersion = 0
	old := l.incarnation
	l.incarnation = p.Incarnation
	f.mu.Unlock()
	if restarted {
		f.router.ForgetCache(p.Address, old)
	}
	f.members.HandshakeDone(p.Address, p.Incarnation)
	f.entry.log.Info("link to agent up", beechlog.Peer(p.Address), zap.Uint64("incarnation", p.Incarnation))
	f.entry.pullIfNewer(p.Address, p.Generation)
	f.rebuild()
}

// Down implements beechlink.Events.
func (f *fleet) Down(p beechlink.Peer, err error) {
	f.mu.Lock()
	if l := f.links[p.Address]; l != nil && l.incarnation == p.Incarnation {
		l.up = false
		l.lostAt = f.entry.clock.Now()
	}
	f.mu.Unlock()
	f.members.LinkDown(p.Address, p.Incarnation)
	f.entry.log.Info("link to agent down", beechlog.Peer(p.Address), zap.Error(err))
	f.rebuild()
}

// Heartbeat implements beechlink.Events.
func (f *fleet) Heartbeat(p beechlink.Peer, h beechwire.Heartbeat) {
	f.mu.Lock()
	l := f.links[p.Address]
	if l == nil {
		f.mu.Unlock()
		return
	}
	l.entryHosts = h.Entries
	changed := !slices.Equal(l.offers, h.Models)
	l.offers, l.formerOffers = h.Models, nil
	f.mu.Unlock()
	f.members.UpdateLeaving(p.Address, h.Incarnation, h.Leaving)
	f.recordLoad(p.Address, h.Load)
	f.entry.suspects.Merge(beechconvert.SuspectRecords(h.Suspects))
	f.entry.poison.Apply(beechconvert.Poison(&h.Poison), beechpoison.Zone)
	f.entry.pullIfNewer(p.Address, h.Generation)
	if changed || h.Leaving {
		f.rebuild()
	}
}

// CurrentHeartbeat implements beechlink.HeartbeatSource.
func (f *fleet) CurrentHeartbeat() beechwire.Heartbeat {
	return beechwire.Heartbeat{
		Incarnation: f.entry.incarnation,
		Generation:  f.entry.holder.Generation(),
		Leaving:     f.entry.draining.Load(),
		Ready:       f.entry.ready(),
		Suspects:    beechconvert.WireSuspects(f.entry.suspects.RecentChanges()),
		Poison:      *beechconvert.WirePoison(f.entry.poison.Recent(), false),
	}
}

// recordLoad applies an agent's load report, which also tells whether its
// engine's cache has changed.
func (f *fleet) recordLoad(agent netip.AddrPort, load beechwire.Load) {
	f.router.UpdateLoad(agent, routeLoad(load))
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.links[agent]; l != nil {
		l.reportedCacheVersion = load.Cache
	}
}

func routeLoad(l beechwire.Load) beechroute.Load {
	return beechroute.Load{
		Running:       l.Running,
		Waiting:       l.Waiting,
		WaitingTokens: l.WaitingTokens,
		Slots:         l.Slots,
		PrefillRate:   l.PrefillRate,
		TokenTime:     time.Duration(l.DecodeMicros) * time.Microsecond,
	}
}

// servedWeights returns the version of a model's weights to use: the configured
// one, or, while no server has loaded it yet, one that is being replaced, so
// that the model remains available.
func (f *fleet) servedWeights(model, configured string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	offered := f.weightsByModel[model]
	if len(offered) == 0 {
		offered = f.lostWeights(model)
	}
	if len(offered) == 0 || slices.Contains(offered, configured) {
		return configured
	}
	return slices.Max(offered)
}

// lostWeights returns the versions of a model that are offered by agents whose link was lost a moment
// ago. The caller holds f.mu.
func (f *fleet) lostWeights(model string) []string {
	var versions []string
	for _, l := range f.links {
		if l.client.Refused() || f.entry.clock.Since(l.lostAt) >= reattachTimeout {
			continue
		}
		for _, target := range slices.Concat(l.offers, l.formerOffers) {
			if name, version, found := strings.Cut(target, "@"); found && name == model {
				versions = append(versions, version)
			}
		}
	}
	return versions
}

func (f *fleet) client(address netip.AddrPort) *beechlink.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.links[address]; l != nil {
		return l.client
	}
	return nil
}

// countUp returns the number of agents whose link is up.
func (f *fleet) countUp() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, l := range f.links {
		if l.up {
			count++
		}
	}
	return count
}

// countLinks returns the number of links, up or not.
func (f *fleet) countLinks() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.links)
}

// countServing returns the number of linked agents that offer at least one
// model or service.
func (f *fleet) countServing() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, l := range f.links {
		if l.up && len(l.offers) > 0 {
			count++
		}
	}
	return count
}

// reachable returns the addresses of the agents whose link is up, sorted.
func (f *fleet) reachable() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []netip.AddrPort
	for address, l := range f.links {
		if l.up {
			out = append(out, address)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// call sends one call to an agent and decodes its reply, if reply is not nil.
func (f *fleet) call(ctx context.Context, address netip.AddrPort, method string, request marshaler, reply unmarshaler) error {
	client := f.client(address)
	if client == nil {
		return &beechlink.OpenError{Peer: address, Err: beechlink.ErrDown}
	}
	payload, err := request.MarshalMsg(nil)
	if err != nil {
		return err
	}
	data, err := client.Call(ctx, method, payload)
	if err != nil || reply == nil {
		return err
	}
	_, err = reply.UnmarshalMsg(data)
	return err
}

// incarnation returns the incarnation of the agent at address as of its last
// link, or 0.
func (f *fleet) incarnation(address netip.AddrPort) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.links[address]; l != nil {
		return l.incarnation
	}
	return 0
}

// rejoinTimeLeft returns for how long a server that offers a target may still come back, whose link was
// lost a moment ago; 0 if there is none. One whose host refuses connections does not. A link that is up
// again counts too: the router may not know of it yet.
func (f *fleet) rejoinTimeLeft(target string) time.Duration {
	left := make(map[netip.AddrPort]time.Duration)
	f.mu.Lock()
	for address, l := range f.links {
		switch {
		case !slices.Contains(l.offers, target) && !slices.Contains(l.formerOffers, target), l.client.Refused():
		case l.up && !l.client.Ready():
			left[address] = reattachTimeout // its loss has just been noticed
		case !l.lostAt.IsZero():
			left[address] = reattachTimeout - f.entry.clock.Since(l.lostAt)
		}
	}
	f.mu.Unlock()
	longest := time.Duration(0)
	for address, d := range left {
		if d > longest && !f.members.Leaving(address) {
			longest = d
		}
	}
	return longest
}
