//go:build review

// Package rig starts gates and keepers as separate processes on loopback addresses, with the commands
// of the deploy file and settings like those of its templates, and stands in for the platform's store.
package rig

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Ports are the same on all hosts of a run.
const (
	FrontPort  = 8782
	ReadyPort  = 8789
	BeatPort   = 7340
	AdminPort  = 9464
	EnginePort = 8785
	StorePort  = 8784
)

// Rig is one run of a case.
type Rig struct {
	Trouble bool // false: the same without the disruption
	Store   *Store

	root   string
	dir    string
	subnet string
	began  time.Time
	record *os.File

	mu    sync.Mutex
	procs []*Proc
	ended bool
}

// Proc is a process of the project.
type Proc struct {
	Name string
	IP   string
	cmd  *exec.Cmd
	done chan struct{}
}

// Settings are the figures of a small site that the settings of gates and keepers carry.
type Settings struct {
	GateMemory int // MB
}

// Run runs a case and exits with its code. The case returns the breaks of the rule that it has seen.
func Run(limit time.Duration, test func(r *Rig) (breaks int, err error)) {
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file that gets what was sent, answered and run")
	flag.Parse()
	r, err := newRig(*root, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		os.Exit(NotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		r.Logf("not run: stopped or out of time")
		r.close()
		os.Exit(NotRun)
	}()
	breaks, err := test(r)
	code := Held
	switch {
	case err != nil:
		r.Logf("not run: %v", err)
		code = NotRun
	case breaks > 0:
		r.Logf("RULE BROKEN %d times", breaks)
		code = Broken
	default:
		r.Logf("rule held")
	}
	r.close()
	os.Exit(code)
}

func newRig(root, record string) (*Rig, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &Rig{Trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir, began: time.Now(), record: file}
	for try := range 50 {
		pid := os.Getpid() + 7919*try
		r.subnet = fmt.Sprintf("127.%d.%d.", 16+pid>>8%200, pid%250)
		if r.free() {
			break
		}
	}
	if !r.free() {
		return nil, fmt.Errorf("no free loopback addresses")
	}
	r.Store, err = newStore(r.IP(1) + fmt.Sprint(":", StorePort))
	r.Logf("trouble: %v", r.Trouble)
	return r, err
}

func (r *Rig) free() bool {
	for _, port := range []int{StorePort, BeatPort, FrontPort, EnginePort} {
		l, err := net.Listen("tcp4", fmt.Sprint(r.subnet, 1, ":", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// IP returns the address of a host; 1 is the store's.
func (r *Rig) IP(n int) string { return fmt.Sprint(r.subnet, n) }

// Logf adds a line to the record, with the seconds since the begin. Hosts are named by their numbers.
func (r *Rig) Logf(format string, args ...any) {
	line := strings.ReplaceAll(fmt.Sprintf(format, args...), r.subnet, "host ")
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), line)
}

// Gate starts an entry host's process as the deploy file does.
func (r *Rig) Gate(n int, zone string, s Settings) (*Proc, error) {
	ip := r.IP(n)
	if s.GateMemory == 0 {
		s.GateMemory = 134
	}
	seeds := []string{fmt.Sprint(r.IP(10), ":8783"), fmt.Sprint(r.IP(11), ":8783")}
	settings := map[string]any{
		"name": fmt.Sprint("edge-", n), "zone": zone, "listen": fmt.Sprint(ip, ":", FrontPort), "ready": fmt.Sprint(ip, ":", ReadyPort),
		"beats": fmt.Sprint(ip, ":", BeatPort), "admin": fmt.Sprint(ip, ":", AdminPort), "store": r.Store.Address, "seeds": seeds,
		"cores": 0.304, "memory": s.GateMemory, "log": "info",
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
		"bounds":    map[string]any{"revoke": "5000ms", "grace": "8s", "weights": "8000ms", "retries": 0.2, "spare": 54, "window": "10s"},
	}
	return r.start("gate", fmt.Sprint("edge-", n), ip, settings)
}

// Keeper starts the process beside the engine on a host as the deploy file does.
func (r *Rig) Keeper(n int, zone string) (*Proc, error) {
	ip := r.IP(n)
	settings := map[string]any{
		"name": fmt.Sprint("side-", n), "zone": zone, "engine": fmt.Sprint(ip, ":", EnginePort), "beats": fmt.Sprint(ip, ":", BeatPort),
		"admin": fmt.Sprint(ip, ":", AdminPort), "memory": 216, "log": "info",
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
	}
	return r.start("keeper", fmt.Sprint("side-", n), ip, settings)
}

func (r *Rig) start(role, name, ip string, settings map[string]any) (*Proc, error) {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(r.dir, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	binary, err := filepath.Abs(filepath.Join(r.root, "target", "beechring"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(binary, role)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.root, out, out
	cmd.Env = []string{"BEECHRING_NODE_FILE=" + file}
	for _, key := range []string{"PATH", "HOME", "LANG"} {
		cmd.Env = append(cmd.Env, key+"="+os.Getenv(key))
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Proc{Name: name, IP: ip, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
		r.mu.Lock()
		ended := r.ended
		r.mu.Unlock()
		if !ended {
			r.Logf("process of %s ended: %s", name, cmd.ProcessState)
		}
	}()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.Logf("started target/beechring %s as %s on %s", role, name, ip)
	return p, nil
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Ended reports whether the process has ended.
func (p *Proc) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PID returns the id of the process.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// WaitReady waits until the gates say that they are ready.
func (r *Rig) WaitReady(gates ...*Proc) error {
	client := &http.Client{Timeout: time.Second}
	for _, g := range gates {
		for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			response, err := client.Get(fmt.Sprint("http://", g.IP, ":", ReadyPort, "/beechring/ready"))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", g.Name)
			}
		}
	}
	r.Logf("all gates ready")
	return nil
}

// close ends all processes that were started.
func (r *Rig) close() {
	r.mu.Lock()
	r.ended = true
	procs := r.procs
	r.procs = nil
	r.mu.Unlock()
	for _, p := range procs {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Signal(syscall.SIGKILL)
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs kept in", r.dir)
	}
	_ = r.record.Close()
}
