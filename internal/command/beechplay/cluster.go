package beechplay

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/standin/beechhome"
)

type (
	// World is the users' platform in small: a store, engines with their
	// keepers, plain services, and gates in front of them, each on a loopback
	// address of its own. It is not safe for concurrent use.
	Cluster struct {
		Store   *beechhome.Store
		Engines map[string]*beechhome.Engine
		Places  map[string]netip.AddrPort // of the store, engines, gates, and NAME-ready

		launcher  Launcher
		zone      string
		beats     uint16
		servers   []*http.Server
		processes map[string]Process
		gates     map[string]*beechsettings.Gate
		keepers   map[string]*beechsettings.Keeper
	}

	// Document is a document in the store.
	Document = beechhome.Document
)

// What a world's configuration names.
const (
	Model         = "advisor"
	Host          = "advice.example"
	Key           = "key-of-mill"
	IsolateKey    = "key-of-barn" // of an isolated workspace
	EngineService = "llm"         // the service of engines
	PlainService  = "app"         // the plain service
)

const (
	headTime   = 8 * time.Second
	firstBeats = 20000
	firstNet   = 16 // 127.16.0.0 and up
	nets       = 200
	hostsInNet = 250
)

var nextHost atomic.Int32

// NewWorld returns a world with a store only.
func NewCluster(launcher Launcher) (*Cluster, error) {
	w := &Cluster{
		Store: beechhome.NewStore(), Engines: make(map[string]*beechhome.Engine), Places: make(map[string]netip.AddrPort),
		launcher: launcher, zone: "mill", beats: uint16(firstBeats + nextHost.Add(1)), processes: make(map[string]Process),
		gates: make(map[string]*beechsettings.Gate), keepers: make(map[string]*beechsettings.Keeper),
	}
	var err error
	w.Places["store"], err = w.listen(loopback(), w.Store)
	return w, err
}

// loopback gives an address that no other host has, of this process or of
// another one that plays at the same time: the middle of it is the process's.
// With addresses counted from one in each process, two that played side by side
// bound the same ports for datagrams.
func loopback() netip.Addr {
	n := nextHost.Add(1) - 1
	process := os.Getpid()
	second := firstNet + (process>>8+int(n)/hostsInNet)%nets
	return netip.AddrFrom4([4]byte{127, byte(second), byte(process), byte(1 + int(n)%hostsInNet)})
}

func (w *Cluster) listen(address netip.Addr, h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp4", netip.AddrPortFrom(address, 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headTime}
	go func() { _ = server.Serve(l) }() // until Close
	w.servers = append(w.servers, server)
	return netip.ParseAddrPort(l.Addr().String())
}

// AddEngine starts a backend server and lists it; with a model it gets a keeper.
func (w *Cluster) AddEngine(name string, s beechhome.EngineSettings) (*beechhome.Engine, error) {
	s.ID = name
	e := beechhome.NewEngine(s)
	address := loopback()
	place, err := w.listen(address, e)
	if err != nil {
		return nil, err
	}
	w.Engines[name], w.Places[name] = e, place
	w.ListServer(name, "ready")
	if s.Model == "" {
		return e, nil
	}
	keeper := "keeper-" + name
	w.keepers[keeper] = &beechsettings.Keeper{Name: keeper, Zone: w.zone, Engine: place, Beats: netip.AddrPortFrom(address, w.beats)}
	return e, w.Start(keeper)
}

// ListServer writes a server's entry, as the server itself would, with its state.
func (w *Cluster) ListServer(name, state string) {
	e := w.Engines[name]
	service := PlainService
	if e.HasModel() {
		service = EngineService
	}
	w.Store.PutServer(e, service, w.Places[name].String(), w.zone, state)
}

// SetZone has what is added from now on stand in an availability zone.
func (w *Cluster) SetZone(zone string) { w.zone = zone }

// Configure writes a configuration; edit may change it before.
func (w *Cluster) Configure(version int, edit func(c Document)) {
	c := beechhome.Configuration(version, Host, Model, EngineService, PlainService, Key, IsolateKey)
	if edit != nil {
		edit(c)
	}
	w.Store.Put(beechhome.ConfigurationKey, c)
}

// SetWeights names a version of the model's weights.
func (w *Cluster) SetWeights(version int) { w.Store.SetWeightsVersion(Model, version) }

// AddGate starts a gate; its front door and its readiness stand in Places.
func (w *Cluster) AddGate(name string, bounds beechsettings.GateBounds) error {
	address := loopback()
	front, ready, err := freePorts(address)
	if err != nil {
		return err
	}
	w.gates[name] = &beechsettings.Gate{
		Name: name, Zone: w.zone, Listen: front, Ready: ready, Beats: netip.AddrPortFrom(address, w.beats), Store: w.Places["store"], Bounds: bounds,
	}
	w.Places[name], w.Places[name+"-ready"] = front, ready
	return w.Start(name)
}

// Start starts a gate or a keeper that the world knows, also again after it has
// stopped, at the same addresses.
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

// freePorts gives two ports that nobody listens on now. Both are held until both
// are known: chosen one after the other they may be the same one, and then a
// gate could not open its second door.
func freePorts(address netip.Addr) (front, ready netip.AddrPort, err error) {
	places := make([]netip.AddrPort, 0, 2)
	for range cap(places) {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(address, 0).String())
		if err != nil {
			return front, ready, err
		}
		defer l.Close()
		place, err := netip.ParseAddrPort(l.Addr().String())
		if err != nil {
			return front, ready, err
		}
		places = append(places, place)
	}
	return places[0], places[1], nil
}

// Process gives a process that was started.
func (w *Cluster) Process(name string) Process { return w.processes[name] }

// Signal asks a process to stop, without waiting for it.
func (w *Cluster) Signal(name string) { w.processes[name].Signal() }

// Stop asks a process to stop and waits until it has.
func (w *Cluster) Stop(name string) error {
	w.processes[name].Signal()
	return w.processes[name].Wait()
}

// Close stops everything, processes side by side.
func (w *Cluster) Close() error {
	var errs []error
	for _, p := range w.processes {
		p.Signal()
	}
	for _, p := range w.processes {
		errs = append(errs, p.Wait())
	}
	for _, s := range w.servers {
		_ = s.Close() // only stand-ins that nobody calls any more
	}
	return errors.Join(errs...)
}

// Runs counts how often a request ran, over all servers.
func (w *Cluster) Runs(id string) int {
	total := 0
	for _, e := range w.Engines {
		total += e.Runs(id)
	}
	return total
}
