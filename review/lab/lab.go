//go:build review

package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type (
	// lab is one play of a case: its store, processes and record.
	lab struct {
		trouble bool // false: the same without the disruption
		dir     string
		program string // target/beechring
		self    string // this program
		temp    string
		start   time.Time
		store   *store

		mu        sync.Mutex
		record    *os.File
		processes []*process
	}

	// process is a process that the lab has started.
	process struct {
		name    string
		command *exec.Cmd
		ended   chan struct{}
	}

	// gate is a gate's process and its addresses.
	gate struct {
		*process
		name, ip             string
		front, ready, beats  string
		control, admin, file string
		store                string // address of the store; empty: that for all
		zone                 string // empty: mill-a
		oneCore              bool   // the processor list has one core
	}
)

var (
	errNotReady  = errors.New("not ready in time")
	errNoAddress = errors.New("no free address")
)

func newLab(dir string) (*lab, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/beechring")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", dir: dir, program: program, self: self, temp: temp, start: time.Now(), record: record}
	l.store, err = newStore(l)
	return l, err
}

// note writes a line to the record and to the standard output.
func (l *lab) note(format string, values ...any) {
	line := fmt.Sprintf("%7.3f s  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, values...))
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.record.WriteString(line)
	fmt.Print(line)
}

// close ends all processes of the lab.
func (l *lab) close() {
	l.mu.Lock()
	processes := l.processes
	l.mu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	for _, p := range processes {
		<-p.ended
	}
	_ = os.RemoveAll(l.temp)
	_ = l.record.Close()
}

// launch starts a program; its output goes to a file of the temporary folder.
func (l *lab) launch(name string, environment []string, program string, arguments ...string) (*process, error) {
	output, err := os.OpenFile(filepath.Join(l.temp, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	command := exec.Command(program, arguments...)
	command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.temp}, environment...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.ended)
	}()
	l.mu.Lock()
	l.processes = append(l.processes, p)
	l.mu.Unlock()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) isRunning() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// freeAddress returns a free loopback address of a host. The port lies below those that the kernel gives to
// connections, so that none of these takes it before it is used.
func freeAddress(ip string) (string, error) {
	const first, count, tries = 20000, 12000, 100
	for range tries {
		address := net.JoinHostPort(ip, strconv.Itoa(first+rand.IntN(count)))
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		socket, err := net.ListenPacket("udp4", address)
		_ = listener.Close()
		if err != nil {
			continue
		}
		_ = socket.Close()
		return address, nil
	}
	return "", errNoAddress
}

// contracts are those of the small deployments.
var contracts = []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"}

// newGate prepares a gate with the settings that deploy/gate.json makes of the small deployment's fields.
func (l *lab) newGate(number int) (*gate, error) {
	g := &gate{name: fmt.Sprintf("edge-%d", number), ip: fmt.Sprintf("127.0.1.%d", number)}
	for _, address := range []*string{&g.front, &g.ready, &g.beats, &g.control, &g.admin} {
		free, err := freeAddress(g.ip)
		if err != nil {
			return nil, err
		}
		*address = free
	}
	g.file = filepath.Join(l.temp, g.name+".json")
	return g, nil
}

func (l *lab) startGates(gates ...*gate) error {
	var seeds []string
	for _, g := range gates[:min(len(gates), 3)] {
		seeds = append(seeds, g.control)
	}
	beats := gates[0].beats
	_, port, _ := net.SplitHostPort(beats) // ports are the same on all machines
	for _, g := range gates {
		g.beats = net.JoinHostPort(g.ip, port)
		settings, err := json.MarshalIndent(map[string]any{
			"name": g.name, "zone": cmp.Or(g.zone, "mill-a"), "listen": g.front, "ready": g.ready, "beats": g.beats, "admin": g.admin,
			"store": cmp.Or(g.store, l.store.address), "seeds": seeds, "cores": 0.304, "memory": 134, "descriptors": 4200, "log": "info", "contracts": contracts,
			"bounds": map[string]any{"revoke": "5000ms", "grace": "8s", "weights": "8000ms", "retries": 0.2, "spare": 54, "window": "10s"},
		}, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(g.file, settings, 0o600); err != nil {
			return err
		}
		if err := l.startGate(g); err != nil {
			return err
		}
	}
	for _, g := range gates {
		if err := waitReady(g.ready, 20*time.Second); err != nil {
			return fmt.Errorf("%s: %w", g.name, err)
		}
	}
	return nil
}

func (l *lab) startGate(g *gate) error {
	environment := []string{"BEECHRING_NODE_FILE=" + g.file}
	if g.oneCore {
		environment = append(environment, "GOMAXPROCS=1")
	}
	p, err := l.launch(g.name, environment, l.program, "gate")
	g.process = p
	return err
}

// startKeeper starts the keeper beside an engine.
func (l *lab) startKeeper(name, ip, engine, beatsPort string) (*process, error) {
	return l.startKeeperIn("mill-a", name, ip, engine, beatsPort)
}

func (l *lab) startKeeperIn(zone, name, ip, engine, beatsPort string) (*process, error) {
	admin, err := freeAddress(ip)
	if err != nil {
		return nil, err
	}
	settings, err := json.MarshalIndent(map[string]any{
		"name": name, "zone": zone, "engine": engine, "beats": net.JoinHostPort(ip, beatsPort), "admin": admin,
		"memory": 216, "log": "info", "contracts": contracts,
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(l.temp, name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return nil, err
	}
	return l.launch(name, []string{"BEECHRING_NODE_FILE=" + file}, l.program, "keeper")
}

// waitReady waits until a gate's readiness probe is answered 200.
func waitReady(address string, atMost time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(atMost); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + address + "/beechring/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}

// logLines returns the lines of a process's log that contain a text.
func (l *lab) logLines(name, text string) []string {
	data, _ := os.ReadFile(filepath.Join(l.temp, name+".log"))
	var lines []string
	for _, line := range bytes.Split(data, []byte("\n")) {
		if bytes.Contains(line, []byte(text)) {
			lines = append(lines, string(line))
		}
	}
	return lines
}

// lines collects the lines that are written to it.
type lines struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lines) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(data)
}

func (b *lines) all() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.data.String()), "\n")
}
