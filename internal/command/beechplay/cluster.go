package beechplay

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beechring/beechring/internal/decision/beechbackup"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

type (
	// Cluster is a small deployment: a store, engines with their keepers, plain
	// services, and gates in front of them, each on its own loopback address. It
	// is not safe for concurrent use.
	Cluster struct {
		Store   *beechsimulator.Store
		Engines map[string]*beechsimulator.Engine
		Places  map[string]netip.AddrPort // addresses of the store, engines and gates by name, and of a gate's readiness check by NAME-ready
		Backups beechbackup.Mode          // of gates that are added later; empty: the default
		Models  []string                  // served beside Model by engines that are added later

		Memory      int // MB, of gates that are added later; 0: not told
		Descriptors int // likewise

		launcher      Launcher
		zone          string
		heartbeatPort uint16
		endpoints     []*endpoint
		processes     map[string]Process
		gates         map[string]*beechsettings.Gate
		seeds         []netip.AddrPort // of gates that are added later
		keepers       map[string]*beechsettings.Keeper
		peers         sync.Map               // engines by address
		links         map[string]serverLinks // of servers
		zones         map[string]string      // of servers
	}

	// serverLinks are the listeners of a server.
	serverLinks struct {
		gates  *endpoint
		keeper *endpoint // the same port of an address of its own
	}

	// endpoint is a listener that can be down for a time. It is safe for concurrent use.
	endpoint struct {
		handler http.Handler

		mu      sync.Mutex
		address netip.AddrPort
		server  *http.Server // nil while it is down
		accept  net.Listener // of server
		closed  bool
	}

	// Document is a JSON document in the store.
	Document = beechsimulator.Document
)

// Names in a cluster's configuration.
const (
	Model         = "advisor"
	OtherModel    = "drafter" // that engines may serve beside Model
	ThirdModel    = "sorter"  // likewise
	Host          = "advice.example"
	Key           = "key-of-mill"
	IsolateKey    = "key-of-barn" // key of an isolated workspace
	EngineService = "llm"         // service of the engines
	PlainService  = "app"         // service of the plain servers
)

const (
	headerTimeout     = 8 * time.Second
	baseHeartbeatPort = 20000
	firstSubnet       = 16 // 127.16.0.0 and above
	subnets           = 200
	hostsPerSubnet    = 250
)

var nextHost atomic.Int32

// NewCluster returns a cluster that has a store only.
func NewCluster(launcher Launcher) (*Cluster, error) {
	w := &Cluster{
		Store: beechsimulator.NewStore(), Engines: make(map[string]*beechsimulator.Engine), Places: make(map[string]netip.AddrPort),
		launcher: launcher, zone: "mill", heartbeatPort: uint16(baseHeartbeatPort + nextHost.Add(1)), processes: make(map[string]Process),
		gates: make(map[string]*beechsettings.Gate), keepers: make(map[string]*beechsettings.Keeper), zones: make(map[string]string), links: make(map[string]serverLinks),
	}
	e, err := w.listen(nextLoopbackAddress(), w.Store)
	if err != nil {
		return nil, err
	}
	w.Places["store"] = e.address
	return w, nil
}

// nextLoopbackAddress returns an address that no other host of this process uses,
// nor any of another process that runs at the same time: the two middle bytes
// derive from the process ID. When each process counted addresses from 1, two
// concurrent processes bound the same UDP ports.
func nextLoopbackAddress() netip.Addr {
	n := nextHost.Add(1) - 1
	process := os.Getpid()
	second := firstSubnet + (process>>8+int(n)/hostsPerSubnet)%subnets
	return netip.AddrFrom4([4]byte{127, byte(second), byte(process), byte(1 + int(n)%hostsPerSubnet)})
}

// ServeStore has gates that are added later use another view of the store.
func (w *Cluster) ServeStore(view http.Handler) error {
	e, err := w.listen(nextLoopbackAddress(), view)
	if err == nil {
		w.Places["store"] = e.address
	}
	return err
}

func (w *Cluster) listen(address netip.Addr, h http.Handler) (*endpoint, error) {
	return w.listenAt(netip.AddrPortFrom(address, 0), h)
}

func (w *Cluster) listenAt(address netip.AddrPort, h http.Handler) (*endpoint, error) {
	e := &endpoint{handler: h, address: address}
	if err := e.open(); err != nil {
		return nil, err
	}
	w.endpoints = append(w.endpoints, e)
	return e, nil
}

// open accepts connections, at the same address as before if there was one.
func (e *endpoint) open() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.server != nil {
		return nil
	}
	l, err := net.Listen("tcp4", e.address.String())
	if err != nil {
		return err
	}
	e.address = l.Addr().(*net.TCPAddr).AddrPort()
	e.server, e.accept = &http.Server{Handler: e.handler, ReadHeaderTimeout: headerTimeout, ConnContext: beechsimulator.ConnContext}, l
	go func(s *http.Server) { _ = s.Serve(beechsimulator.NewListener(l)) }(e.server) // until it is closed
	return nil
}

// crash closes all connections and accepts none for a time.
func (e *endpoint) crash(down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return
	}
	_ = e.server.Close()
	e.server = nil
	time.AfterFunc(down, func() { _ = e.open() })
}

// refuse accepts no connections for a time. Those that are open go on.
func (e *endpoint) refuse(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return
	}
	_ = e.accept.Close()
	e.server = nil
	time.AfterFunc(d, func() { _ = e.open() })
}

func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.server != nil {
		_ = e.server.Close() // only simulated servers, which have no clients left
	}
}

// AddEngine starts a backend server and lists it in the store. If the server has
// a model, a keeper is started for it.
func (w *Cluster) AddEngine(name string, s beechsimulator.EngineSettings) (*beechsimulator.Engine, error) {
	s.ID = name
	if s.Model != "" {
		s.Models = append(s.Models, w.Models...)
	}
	e := beechsimulator.NewEngine(s)
	address := nextLoopbackAddress()
	listener, err := w.listen(address, e)
	if err != nil {
		return nil, err
	}
	endpoint := listener.address
	local, err := w.listenAt(netip.AddrPortFrom(nextLoopbackAddress(), endpoint.Port()), e)
	if err != nil {
		return nil, err
	}
	e.OnCrash(func(down time.Duration) {
		listener.crash(down)
		local.crash(down)
	})
	w.Engines[name], w.Places[name], w.zones[name], w.links[name] = e, endpoint, w.zone, serverLinks{gates: listener, keeper: local}
	w.peers.Store(endpoint.String(), e)
	e.SetPeers(func(address string) *beechsimulator.Engine {
		peer, ok := w.peers.Load(address)
		if !ok {
			return nil
		}
		return peer.(*beechsimulator.Engine)
	})
	w.ListServer(name, "ready")
	if s.Model == "" {
		return e, nil
	}
	keeper := "keeper-" + name
	w.keepers[keeper] = &beechsettings.Keeper{Name: keeper, Zone: w.zone, Engine: local.address, Beats: netip.AddrPortFrom(address, w.heartbeatPort)}
	return e, w.Start(keeper)
}

// CutOff breaks the connections to a server and has new ones refused for a time, as a partition may. The server runs
// on, and its keeper reaches it.
func (w *Cluster) CutOff(name string, d time.Duration) {
	w.Engines[name].CutOff(d)
	w.links[name].gates.crash(d)
}

// Refuse has a server accept no connections for a time, of gates or of its keeper. It finishes what it runs, as before it
// exits.
func (w *Cluster) Refuse(name string, d time.Duration) {
	w.links[name].gates.refuse(d)
	w.links[name].keeper.refuse(d)
}

// ListServer writes the store entry of a server with the given state, as the
// server itself would.
func (w *Cluster) ListServer(name, state string) {
	e := w.Engines[name]
	service := PlainService
	if e.HasModel() {
		service = EngineService
	}
	w.Store.PutServer(e, service, w.Places[name].String(), w.zones[name], state)
}

// SetZone sets the availability zone of servers and gates that are added later.
func (w *Cluster) SetZone(zone string) { w.zone = zone }

// Silence has the servers of an availability zone, or all if zone is empty, write nothing for a time
// and then go on.
func (w *Cluster) Silence(zone string, d time.Duration) {
	for name, e := range w.Engines {
		if zone == "" || w.zones[name] == zone {
			e.FallSilent(d)
		}
	}
}

// Configure writes a version of the configuration to the store. If edit is not
// nil, it may change the document first.
func (w *Cluster) Configure(version int, edit func(c Document)) {
	c := beechsimulator.Configuration(version, Host, Model, EngineService, PlainService, Key, IsolateKey)
	for _, service := range c["services"].([]Document) {
		if engine, ok := service["engine"].(Document); ok {
			for _, model := range w.Models {
				engine["models"] = append(engine["models"].([]Document), Document{"name": model})
			}
		}
	}
	if edit != nil {
		edit(c)
	}
	w.Store.Put(beechsimulator.ConfigurationKey, c)
}

// SetWeights publishes a version of the model's weights in the store.
func (w *Cluster) SetWeights(version int) { w.SetWeightsOf(Model, version) }

// SetWeightsOf publishes a version of the weights of one of the models in the store.
func (w *Cluster) SetWeightsOf(model string, version int) { w.Store.SetWeightsVersion(model, version) }

// AddGate starts a gate. Places gets the addresses of its listener and of its
// readiness check.
func (w *Cluster) AddGate(name string, bounds beechsettings.GateBounds) error {
	address := nextLoopbackAddress()
	listen, ready, err := freePorts(address)
	if err != nil {
		return err
	}
	w.gates[name] = &beechsettings.Gate{
		Name: name, Zone: w.zone, Listen: listen, Ready: ready, Beats: netip.AddrPortFrom(address, w.heartbeatPort), Store: w.Places["store"], Bounds: bounds, Seeds: w.seeds, Backups: w.Backups,
		Memory: w.Memory, Descriptors: w.Descriptors,
	}
	w.seeds = append(w.seeds, w.gates[name].Beats)
	w.Places[name], w.Places[name+"-ready"] = listen, ready
	return w.Start(name)
}

// Start starts a gate or keeper that was added before, for example after it has
// stopped. It keeps its addresses.
func (w *Cluster) Start(name string) error {
	var p Process
	var err error
	if s, ok := w.gates[name]; ok {
		p, err = w.launcher.Gate(s)
	} else {
		p, err = w.launcher.Keeper(w.keepers[name])
	}
	if err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	w.processes[name] = p
	return nil
}

// CutDatagrams has the gates that are added later exchange no datagrams with those of now and with the keepers of now.
func (w *Cluster) CutDatagrams() {
	w.heartbeatPort, w.seeds = uint16(baseHeartbeatPort+nextHost.Add(1)), nil
}

// freePorts returns two addresses with unused ports. Both ports are held until
// both are known: chosen one after the other they may be equal, and then a gate
// cannot open its second listener.
func freePorts(address netip.Addr) (listen, ready netip.AddrPort, err error) {
	endpoints := make([]netip.AddrPort, 0, 2)
	for range cap(endpoints) {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(address, 0).String())
		if err != nil {
			return listen, ready, err
		}
		defer l.Close()
		endpoint, err := netip.ParseAddrPort(l.Addr().String())
		if err != nil {
			return listen, ready, err
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints[0], endpoints[1], nil
}

// Process returns a process that was started.
func (w *Cluster) Process(name string) Process { return w.processes[name] }

// Signal requests a process to stop and does not wait for it.
func (w *Cluster) Signal(name string) { w.processes[name].Signal() }

// Stop requests a process to stop and waits for it.
func (w *Cluster) Stop(name string) error {
	w.processes[name].Signal()
	return w.processes[name].Wait()
}

// Close stops all processes, concurrently, and then the servers.
func (w *Cluster) Close() error {
	var errs []error
	for _, p := range w.processes {
		p.Signal()
	}
	for _, p := range w.processes {
		errs = append(errs, p.Wait())
	}
	for _, e := range w.endpoints {
		e.close()
	}
	return errors.Join(errs...)
}

// Runs returns how often a request ran on all servers together.
func (w *Cluster) Runs(id string) int {
	total := 0
	for _, e := range w.Engines {
		total += e.Runs(id)
	}
	return total
}
