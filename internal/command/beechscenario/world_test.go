package beechscenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/state/beechstore"
)

type (
	// world is one scenario's deployment. Every process has a loopback
	// address of its own, as hosts have.
	world struct {
		t       testing.TB
		dir     string
		network int
		level   string // of the processes' logs

		mu        sync.Mutex
		processes map[string]*process
		cutters   map[string]*cutter
		hosts     []beechstore.Host
		lastByte  byte
		calls     map[string]*call
		order     []*call // all calls, as they began
		loads     []*load
		seeds     []netip.AddrPort
		counted   int                // calls that hits has looked at
		hits      map[string]float64 // by name, in percent
		markedAt  time.Time
	}

	// process is one child of the test.
	process struct {
		name      string
		kind      string
		arguments []string
		address   netip.AddrPort // of its work: callers, links or the stand-in
		admin     netip.AddrPort
		journal   string
		log       string
		command   *exec.Cmd
		ended     chan struct{}
		err       error
	}
)

const (
	secret    = "scenario-secret-0123456789"
	adminKey  = "scenario-admin-key-0123456789"
	patience  = 20 * time.Second // for conditions; a run that is well takes milliseconds
	pollPause = 10 * time.Millisecond

	firstNetwork byte   = 64
	lastNetwork  byte   = 250
	lockPort     uint16 = 7999
)

var (
	binary   string
	networks atomic.Int32

	ownNetwork  byte
	networkLock net.Listener
)

func newWorld(t testing.TB, dir string) *world {
	return &world{
		t: t, dir: dir, network: int(networks.Add(1)), level: "info",
		processes: map[string]*process{}, cutters: map[string]*cutter{}, calls: map[string]*call{},
	}
}

// address gives the next loopback address of this world.
func (w *world) address(port uint16) netip.AddrPort {
	w.lastByte++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, ownNetwork, byte(w.network), w.lastByte}), port)
}

// takeNetwork finds a loopback network that no other test run on this machine
// uses, and keeps it by a listener for as long as this process lives. Two runs
// on the same addresses would fail by chance.
func takeNetwork() error {
	for second := firstNetwork; second <= lastNetwork; second++ {
		lock := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, second, 0, 1}), lockPort)
		listener, err := net.Listen("tcp", lock.String())
		if err == nil {
			ownNetwork, networkLock = second, listener
			return nil
		}
	}
	return errors.New("every loopback network is in use by another test run")
}

func (w *world) start(p *process) error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.command = exec.Command(binary, p.arguments...)
	p.command.Stdout = log
	p.command.Stderr = log
	p.ended = make(chan struct{})
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	go func() {
		p.err = p.command.Wait()
		log.Close()
		close(p.ended)
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes[p.name] = p
	return nil
}

// startStandin starts a stand-in and waits until it accepts connections.
func (w *world) startStandin(kind, name string, flags []string) (*process, error) {
	p := &process{
		name: name, kind: kind, address: w.address(7000),
		log: filepath.Join(w.dir, name+".log"), journal: filepath.Join(w.dir, name+".journal"),
	}
	p.arguments = append([]string{"standin", kind, "--listen", p.address.String()}, flags...)
	if kind != "platform" {
		p.arguments = append(p.arguments, "--journal", p.journal)
	}
	if err := w.start(p); err != nil {
		return nil, err
	}
	return p, w.awaitListening(p)
}

func (w *world) awaitListening(p *process) error {
	return w.until(p.name+" listens", func() bool {
		response, err := http.Get("http://" + p.address.String() + "/")
		if err != nil {
			return false
		}
		response.Body.Close()
		return true
	})
}

// startAgent starts the agent beside a backend server, reached by entries
// through a cutter.
func (w *world) startAgent(name, zone, pool string, backend netip.AddrPort) error {
	listen := w.address(7100)
	admin := netip.AddrPortFrom(listen.Addr(), 7101)
	public := netip.AddrPortFrom(listen.Addr(), 7200)
	cut, err := newCutter(public, listen)
	if err != nil {
		return err
	}
	w.cutters[name] = cut
	settings := beechsettings.Agent{
		Common: w.common(name, zone, admin), Listen: listen, Pool: pool, Backend: backend,
		Limits: beechsettings.AgentLimits{
			Grace: beechsettings.Duration(2 * time.Second), Keep: beechsettings.Duration(20 * time.Second), AnswerBytes: 1 << 20, Waiting: 64,
		},
	}
	w.addHost(beechstore.Host{Name: name, Address: public, Zone: zone, Role: "agent"})
	return w.startRole("agent", name, listen, admin, settings)
}

// startEntry starts an entry host.
func (w *world) startEntry(name, zone string) error {
	listen := w.address(7300)
	admin := netip.AddrPortFrom(listen.Addr(), 7301)
	settings := beechsettings.Entry{
		Common: w.common(name, zone, admin), Listen: listen,
		Limits: beechsettings.EntryLimits{
			HeaderBytes: 16 << 10, BodyBytes: 1 << 20, BodyTime: beechsettings.Duration(2 * time.Second),
			WriteTime: beechsettings.Duration(5 * time.Second), Streams: 6000,
		},
	}
	settings.Seeds = w.seeds
	w.addHost(beechstore.Host{Name: name, Address: listen, Zone: zone, Role: "entry"})
	return w.startRole("entry", name, listen, admin, settings)
}

func (w *world) common(name, zone string, admin netip.AddrPort) beechsettings.Common {
	common := beechsettings.Common{Name: name, Zone: zone, Admin: admin, AdminKey: adminKey, Secret: secret, Log: w.level}
	common.Platform = []netip.AddrPort{}
	if p := w.processes["platform"]; p != nil {
		common.Platform = append(common.Platform, p.address)
	}
	return common
}

func (w *world) startRole(kind, name string, listen, admin netip.AddrPort, settings any) error {
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return err
	}
	return w.start(&process{
		name: name, kind: kind, address: listen, admin: admin, log: filepath.Join(w.dir, name+".log"),
		arguments: []string{kind, "--settings", file},
	})
}

func (w *world) addHost(h beechstore.Host) {
	w.hosts = append(w.hosts, h)
	w.publishHosts()
}

// publishHosts gives the platform's stand-in the list of hosts.
func (w *world) publishHosts() {
	lines := make([]beechstore.WireHost, 0, len(w.hosts))
	for _, h := range w.hosts {
		lines = append(lines, h.Wire())
	}
	if p := w.processes["platform"]; p != nil {
		_ = postJSON(p.address, "/standin/hosts", lines)
	}
}

func postJSON(address netip.AddrPort, path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 5 * time.Second}
	response, err := client.Post("http://"+address.String()+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("post %s to %s: %s", path, address, response.Status)
	}
	return nil
}

func (w *world) process(name string) (*process, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.processes[name]
	if p == nil {
		return nil, fmt.Errorf("no process %q", name)
	}
	return p, nil
}

// signal sends a signal to a process.
func (w *world) signal(name string, s syscall.Signal) error {
	p, err := w.process(name)
	if err != nil {
		return err
	}
	return p.command.Process.Signal(s)
}

// kill ends a process at once and waits until it is gone.
func (w *world) kill(name string) error {
	if err := w.signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	<-w.processes[name].ended
	return nil
}

// stop ends a process gracefully; it must exit with 0.
func (w *world) stop(name string) error {
	p, err := w.process(name)
	if err != nil {
		return err
	}
	if err := w.signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
		return p.err
	case <-time.After(patience):
		return fmt.Errorf("%s did not end within %s of SIGTERM", name, patience)
	}
}

// restart starts a process again with the arguments it had.
func (w *world) restart(name string) error {
	p, err := w.process(name)
	if err != nil {
		return err
	}
	again := &process{
		name: p.name, kind: p.kind, arguments: p.arguments, address: p.address, admin: p.admin, journal: p.journal, log: p.log,
	}
	if err := w.start(again); err != nil {
		return err
	}
	if p.kind == "platform" {
		if err := w.awaitListening(again); err != nil {
			return err
		}
		w.publishHosts()
	}
	return nil
}

// until waits for a condition, never for a fixed time.
func (w *world) until(what string, condition func() bool) error {
	limit := time.Now().Add(patience)
	for time.Now().Before(limit) {
		if condition() {
			return nil
		}
		time.Sleep(pollPause)
	}
	return fmt.Errorf("not seen within %s: %s", patience, what)
}

// close ends everything and fails the test if a process panicked.
func (w *world) close() {
	for _, l := range w.loads {
		l.stop()
	}
	w.mu.Lock()
	processes := make([]*process, 0, len(w.processes))
	for _, p := range w.processes {
		processes = append(processes, p)
	}
	w.mu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.ended
	}
	for _, c := range w.cutters {
		c.close()
	}
	for _, l := range w.loads {
		_ = l.halt()
	}
	for _, p := range processes {
		data, _ := os.ReadFile(p.log)
		if bytes.Contains(data, []byte("panic")) {
			w.t.Errorf("%s panicked:\n%s", p.name, tail(data, 4000))
		}
	}
}

func tail(data []byte, most int) []byte { return data[max(0, len(data)-most):] }

// status reads a page of a process's admin listener.
func (w *world) status(name string, into any) error {
	p, err := w.process(name)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+p.admin.String()+"/status", nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+adminKey)
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

func (w *world) names(kind string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for name, p := range w.processes {
		if p.kind == kind {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
