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
	// deployment is the set of processes of one test, with the calls that were
	// sent to them. Each process has its own loopback address, as each host has
	// its own address in production.
	deployment struct {
		t       testing.TB
		dir     string
		network int
		level   string // log level of the processes
		// adjust may change the settings of a role before it starts: a *beechsettings.Entry or a
		// *beechsettings.Agent; nil changes none.
		adjust func(settings any)

		mu              sync.Mutex
		processes       map[string]*process
		proxies         map[string]*faultProxy
		drawnKeys       map[string]string // idempotency keys, by the name that the script uses
		hosts           []beechstore.Host
		lastAddressByte byte
		calls           map[string]*call
		order           []*call // all calls in the order they were started
		loads           []*load
		seeds           []netip.AddrPort
		hitsCounted     int                // number of ended calls that earlier hits commands counted
		hits            map[string]float64 // hit rates by name, in percent
		markTime        time.Time
	}

	// process is a child process of the test.
	process struct {
		name      string
		kind      string
		arguments []string
		address   netip.AddrPort // where it serves callers, links or the stand-in's API
		admin     netip.AddrPort
		journal   string
		log       string
		command   *exec.Cmd
		ended     chan struct{}
		err       error
	}
)

const (
	secret           = "scenario-secret-0123456789"
	adminKey         = "scenario-admin-key-0123456789"
	conditionTimeout = 20 * time.Second // limit for conditions, which normally hold within milliseconds
	pollInterval     = 10 * time.Millisecond

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

func newDeployment(t testing.TB, dir string) *deployment {
	return &deployment{
		t: t, dir: dir, network: int(networks.Add(1)), level: "info",
		processes: map[string]*process{}, proxies: map[string]*faultProxy{}, calls: map[string]*call{}, drawnKeys: map[string]string{},
	}
}

// address allocates the next loopback address of the deployment.
func (d *deployment) address(port uint16) netip.AddrPort {
	d.lastAddressByte++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, ownNetwork, byte(d.network), d.lastAddressByte}), port)
}

// reserveNetwork finds a loopback network that no other test run on this
// machine uses, and reserves it with a listener that stays open until this
// process exits. Two runs that share addresses fail at random.
func reserveNetwork() error {
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

func (d *deployment) start(p *process) error {
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
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes[p.name] = p
	return nil
}

// startStandin starts a stand-in and waits until it accepts connections.
func (d *deployment) startStandin(kind, name string, flags []string) (*process, error) {
	p := &process{
		name: name, kind: kind, address: d.address(7000),
		log: filepath.Join(d.dir, name+".log"), journal: filepath.Join(d.dir, name+".journal"),
	}
	p.arguments = append([]string{"standin", kind, "--listen", p.address.String()}, flags...)
	if kind != "platform" {
		p.arguments = append(p.arguments, "--journal", p.journal)
	}
	if err := d.start(p); err != nil {
		return nil, err
	}
	return p, d.awaitListening(p)
}

func (d *deployment) awaitListening(p *process) error {
	client := http.Client{Timeout: 2 * time.Second} // another process may hold the address and answer nothing
	return d.until(p.name+" listens", func() bool {
		response, err := client.Get("http://" + p.address.String() + "/")
		if err != nil {
			return false
		}
		response.Body.Close()
		return true
	})
}

// startAgent starts the agent of a backend server. Entry hosts connect to it
// through a fault proxy.
func (d *deployment) startAgent(name, zone, pool string, backend netip.AddrPort) error {
	listen := d.address(7100)
	admin := netip.AddrPortFrom(listen.Addr(), 7101)
	public := netip.AddrPortFrom(listen.Addr(), 7200)
	cut, err := newFaultProxy(public, listen)
	if err != nil {
		return err
	}
	d.proxies[name] = cut
	settings := &beechsettings.Agent{
		Common: d.common(name, zone, admin), Listen: listen, Pool: pool, Backend: backend,
		Limits: beechsettings.AgentLimits{
			Grace: beechsettings.Duration(2 * time.Second), Keep: beechsettings.Duration(20 * time.Second), AnswerBytes: 1 << 20, Waiting: 64,
		},
	}
	d.addHost(beechstore.Host{Name: name, Address: public, Zone: zone, Role: "agent"})
	return d.startRole("agent", name, listen, admin, settings)
}

// startEntry starts an entry host.
func (d *deployment) startEntry(name, zone string) error {
	listen := d.address(7300)
	admin := netip.AddrPortFrom(listen.Addr(), 7301)
	settings := &beechsettings.Entry{
		Common: d.common(name, zone, admin), Listen: listen,
		Limits: beechsettings.EntryLimits{
			HeaderBytes: 16 << 10, BodyBytes: 1 << 20, BodyTime: beechsettings.Duration(2 * time.Second),
			WriteTime: beechsettings.Duration(5 * time.Second), Streams: 6000,
		},
	}
	settings.Seeds = d.seeds
	d.addHost(beechstore.Host{Name: name, Address: listen, Zone: zone, Role: "entry"})
	return d.startRole("entry", name, listen, admin, settings)
}

func (d *deployment) common(name, zone string, admin netip.AddrPort) beechsettings.Common {
	common := beechsettings.Common{Name: name, Zone: zone, Admin: admin, AdminKey: adminKey, Secret: secret, Log: d.level}
	common.Platform = []netip.AddrPort{}
	if p := d.processes["platform"]; p != nil {
		common.Platform = append(common.Platform, p.address)
	}
	return common
}

func (d *deployment) startRole(kind, name string, listen, admin netip.AddrPort, settings any) error {
	if d.adjust != nil {
		d.adjust(settings)
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return err
	}
	return d.start(&process{
		name: name, kind: kind, address: listen, admin: admin, log: filepath.Join(d.dir, name+".log"),
		arguments: []string{kind, "--settings", file},
	})
}

func (d *deployment) addHost(h beechstore.Host) {
	d.hosts = append(d.hosts, h)
	d.publishHosts()
}

// publishHosts sends the list of hosts to the platform's stand-in.
func (d *deployment) publishHosts() {
	lines := make([]beechstore.WireHost, 0, len(d.hosts))
	for _, h := range d.hosts {
		lines = append(lines, h.Wire())
	}
	if p := d.processes["platform"]; p != nil {
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

func (d *deployment) process(name string) (*process, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.processes[name]
	if p == nil {
		return nil, fmt.Errorf("no process %q", name)
	}
	return p, nil
}

// signal sends a signal to a process.
func (d *deployment) signal(name string, s syscall.Signal) error {
	p, err := d.process(name)
	if err != nil {
		return err
	}
	return p.command.Process.Signal(s)
}

// freeze stops a process and waits until all its threads stand still. A process that was
// only sent SIGSTOP runs on until the kernel gets to it, and may serve requests meanwhile.
func (d *deployment) freeze(name string) error {
	p, err := d.process(name)
	if err != nil {
		return err
	}
	if err := p.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return d.until(name+" stands still", func() bool { return isStopped(p.command.Process.Pid) })
}

// isStopped reports whether all threads of a process are stopped.
func isStopped(pid int) bool {
	threads := sampleThreads(pid)
	for _, thread := range threads {
		if thread.state != 'T' {
			return false
		}
	}
	return len(threads) > 0
}

// kill sends SIGKILL to a process and waits until it has exited.
func (d *deployment) kill(name string) error {
	if err := d.signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	<-d.processes[name].ended
	return nil
}

// stop sends SIGTERM to a process and waits until it exits, with status 0.
func (d *deployment) stop(name string) error {
	p, err := d.process(name)
	if err != nil {
		return err
	}
	if err := d.signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
		return p.err
	case <-time.After(conditionTimeout):
		return fmt.Errorf("%s did not end within %s of SIGTERM", name, conditionTimeout)
	}
}

// restart starts a process again with its previous arguments.
func (d *deployment) restart(name string) error {
	p, err := d.process(name)
	if err != nil {
		return err
	}
	again := &process{
		name: p.name, kind: p.kind, arguments: p.arguments, address: p.address, admin: p.admin, journal: p.journal, log: p.log,
	}
	if err := d.start(again); err != nil {
		return err
	}
	if p.kind == "platform" {
		if err := d.awaitListening(again); err != nil {
			return err
		}
		d.publishHosts()
	}
	return nil
}

// until polls a condition until it holds, for at most conditionTimeout. If it does not
// hold by then, what the processes know is kept.
func (d *deployment) until(what string, condition func() bool) error {
	limit := time.Now().Add(conditionTimeout)
	for time.Now().Before(limit) {
		if condition() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("not seen within %s: %s (%s)", conditionTimeout, what, d.keepEvidence(what))
}

// close stops all loads and processes, and fails the test if a process panicked.
func (d *deployment) close() {
	for _, l := range d.loads {
		l.stop()
	}
	d.mu.Lock()
	processes := make([]*process, 0, len(d.processes))
	for _, p := range d.processes {
		processes = append(processes, p)
	}
	d.mu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.ended
	}
	for _, c := range d.proxies {
		c.close()
	}
	for _, l := range d.loads {
		_ = l.halt()
	}
	for _, p := range processes {
		data, _ := os.ReadFile(p.log)
		if bytes.Contains(data, []byte("panic")) {
			d.t.Errorf("%s panicked:\n%s", p.name, lastBytes(data, 4000))
		}
	}
}

func lastBytes(data []byte, most int) []byte { return data[max(0, len(data)-most):] }

// status reads the status page of a process's admin listener.
func (d *deployment) status(name string, into any) error {
	p, err := d.process(name)
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

func (d *deployment) names(kind string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for name, p := range d.processes {
		if p.kind == kind {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
