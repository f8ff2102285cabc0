package beechentry

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechroute"
	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechlog"
	"github.com/beechring/beechring/internal/process/beechshare"
	"github.com/beechring/beechring/internal/state/beechmember"
	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// fleet is what the entry knows of the agents: its links, their last word,
	// and the router over them. All of it may be stale; agents correct it.
	fleet struct {
		entry   *Entry
		dialer  *beechlink.Dialer
		members *beechmember.Members
		router  *beechroute.Router

		mu      sync.Mutex
		links   map[netip.AddrPort]*agentLink
		models  map[string][]string // weights offered of a model, by name
		targets map[string]bool     // that the health tracker knows
	}

	// agentLink is the link to one agent and what it said last.
	agentLink struct {
		client      *beechlink.Client
		zone        string
		incarnation uint64
		up          bool
		entries     int
		offers      []string
		known       uint64 // version of the engine's cache that the router has
		told        uint64 // newest version that the agent spoke of
	}
)

const (
	// maxRemoteLinks bounds links to other zones' agents, which serve only to
	// spill: with thousands of engines an entry must not link to all.
	maxRemoteLinks = 32

	callTimeout = time.Second
)

func newFleet(e *Entry, linkTLS *tls.Config) *fleet {
	f := &fleet{
		entry:   e,
		members: beechmember.New(e.clock, beechmember.Settings{}),
		links:   map[netip.AddrPort]*agentLink{},
		models:  map[string][]string{},
	}
	f.router = beechroute.New(beechroute.Settings{Zone: e.settings.Zone}, e.clock,
		rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), e.health)
	f.dialer = beechlink.NewDialer(beechlink.Settings{Key: e.settings.Secret}, e.hello, f, e, f, linkTLS, e.clock)
	return f
}

func (f *fleet) close() { f.dialer.Close() }

// linkSeeds dials the agents named in the settings.
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

// setHosts takes the platform's list, which lags, and links to the agents that
// this entry should know. A link that is up stays, whatever the list says.
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

// dropUnwanted closes links that are down and no longer asked for.
func (f *fleet) dropUnwanted(wanted []beechstore.Host) {
	var closing []*beechlink.Client
	f.mu.Lock()
	for address, l := range f.links {
		listed := slices.ContainsFunc(wanted, func(h beechstore.Host) bool { return h.Address == address })
		if !listed && !l.up && !slices.Contains(f.entry.settings.Seeds, address) {
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
	l.offers = nil
	l.known = 0
	l.told = 0
	old := l.incarnation
	l.incarnation = p.Incarnation
	f.mu.Unlock()
	if restarted {
		f.router.ForgetCache(p.Address, old)
	}
	f.members.HandshakeDone(p.Address, p.Incarnation)
	f.entry.log.Info("agent linked", beechlog.Peer(p.Address), zap.Uint64("incarnation", p.Incarnation))
	f.entry.pullIfNewer(p.Address, p.Generation)
	f.rebuild()
}

// Down implements beechlink.Events.
func (f *fleet) Down(p beechlink.Peer, err error) {
	f.mu.Lock()
	if l := f.links[p.Address]; l != nil && l.incarnation == p.Incarnation {
		l.up = false
	}
	f.mu.Unlock()
	f.members.LinkDown(p.Address, p.Incarnation)
	f.entry.log.Info("agent lost", beechlog.Peer(p.Address), zap.Error(err))
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
	l.entries = h.Entries
	changed := !slices.Equal(l.offers, h.Models)
	l.offers = h.Models
	f.mu.Unlock()
	f.members.UpdateLeaving(p.Address, h.Incarnation, h.Leaving)
	f.report(p.Address, h.Load)
	f.entry.suspects.Merge(beechshare.SuspectRecords(h.Suspects))
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
		Leaving:     f.entry.leaving.Load(),
		Ready:       f.entry.ready(),
		Suspects:    beechshare.WireSuspects(f.entry.suspects.RecentChanges()),
	}
}

// report takes in an agent's word on its load, and that its engine's cache may
// have changed.
func (f *fleet) report(agent netip.AddrPort, load beechwire.Load) {
	f.router.UpdateLoad(agent, routeLoad(load))
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.links[agent]; l != nil {
		l.told = load.Cache
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

// weights gives the version of a model to serve: the wanted one, or while no
// server has loaded it yet the one that is being replaced, so that the model
// keeps serving.
func (f *fleet) weights(model, wanted string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	offered := f.models[model]
	if len(offered) == 0 || slices.Contains(offered, wanted) {
		return wanted
	}
	return slices.Max(offered)
}

func (f *fleet) client(address netip.AddrPort) *beechlink.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.links[address]; l != nil {
		return l.client
	}
	return nil
}

// linked counts the agents that can be reached now.
func (f *fleet) linked() int {
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

// known counts the agents that there are links to, up or not.
func (f *fleet) known() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.links)
}

// serving counts the agents that offer something now.
func (f *fleet) serving() int {
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

// reachable lists the agents that can be reached now, sorted.
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

// call asks one agent one question.
func (f *fleet) call(ctx context.Context, address netip.AddrPort, method string, ask marshaler, reply unmarshaler) error {
	client := f.client(address)
	if client == nil {
		return &beechlink.OpenError{Peer: address, Err: beechlink.ErrDown}
	}
	payload, err := ask.MarshalMsg(nil)
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

// incarnation is that of the agent linked now, or 0.
func (f *fleet) incarnation(address netip.AddrPort) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l := f.links[address]; l != nil {
		return l.incarnation
	}
	return 0
}
