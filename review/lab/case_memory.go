//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

// usage is what the platform counts towards a process's limit of memory, in bytes.
type usage struct {
	resident int // anonymous pages only
	unread   int // received for its callers' channels and not read
	queued   int // the part of unread of channels that the process has not accepted
	channels int
}

// total leaves out channels that the process has not accepted.
func (u usage) total() int { return u.resident + u.unread - u.queued }

// memoryOf returns the usage of each gate. It reads the kernel's table of channels once.
func memoryOf(gates []*gate) []usage {
	list := make([]usage, len(gates))
	byAddress := make(map[string]*usage)
	for n, g := range gates {
		host, port, _ := net.SplitHostPort(g.front)
		ip := net.ParseIP(host).To4()
		number, _ := strconv.Atoi(port)
		byAddress[fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], number)] = &list[n]
		status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
		for _, line := range strings.Split(string(status), "\n") {
			if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
				kilobytes, _ := strconv.Atoi(fields[1])
				list[n].resident = kilobytes << 10
			}
		}
	}
	const local, state, queues, inode, established = 1, 3, 4, 9, "01"
	table, _ := os.ReadFile("/proc/net/tcp")
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) <= inode || fields[state] != established || byAddress[fields[local]] == nil {
			continue
		}
		u := byAddress[fields[local]]
		_, received, _ := strings.Cut(fields[queues], ":")
		size, _ := strconv.ParseInt(received, 16, 64)
		u.unread += int(size)
		u.channels++
		if fields[inode] == "0" {
			u.queued += int(size)
		}
	}
	return list
}

// playMemory is no case of the review: with one core, as machines have, it held (CORES=all gives the gates all of them).
// Many clients send chunked bodies to two gates, in very small chunks, and stay. The platform kills a process that
// exceeds its memory, and it is started again.
func playMemory(l *lab) (string, error) {
	const (
		limit   = 134 << 20 // memoryMb
		clients = 3800      // at each of the two gates; sockets share 4,000 descriptors
		body    = 32 << 10  // of which half is sent, in chunks of one byte; maxBodyBytes is 4,194,304
		lasts   = 60 * time.Second
		restart = time.Second
		look    = 50 * time.Millisecond
		ends    = 3 // times that break the rule, on two machines
	)
	desk := route{name: "r-scan", host: "desk.example", prefix: "/scan/", kind: "non_idempotent", service: "counter", timeoutMs: 2000, sloMs: 600, attempts: 1, priority: 2}
	l.store.put("op/config", configuration(7, []route{desk}, tenant{name: "desk", keys: []string{"key-desk"}}, tenant{name: "guests", keys: []string{"key-guests"}}))
	for n := range 4 {
		address, err := freeAddress(fmt.Sprintf("127.0.2.%d", n+1))
		if err != nil {
			return "", err
		}
		e, err := startEngine(engineSettings{address: address, id: fmt.Sprintf("i-counter%d", n+1)})
		if err != nil {
			return "", err
		}
		go func() { _ = e.serve() }()
		l.store.put("servers/"+e.id, e.entry("counter"))
	}
	var gates []*gate
	for n := range 4 {
		g, err := l.newGate(n + 1)
		if err != nil {
			return "", err
		}
		g.oneCore = os.Getenv("CORES") != "all"
		gates = append(gates, g)
	}
	if err := l.startGates(gates...); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	if l.trouble {
		for n, g := range gates[:2] {
			if _, err := l.launch(fmt.Sprintf("crowd-%d", n+1), nil, l.self, "crowd", "-target", g.front, "-form", "small-chunks", "-clients", strconv.Itoa(clients),
				"-body-bytes", strconv.Itoa(body), "-for", lasts.String(), "-path", "/scan/x", "-host", "desk.example", "-key", "key-guests"); err != nil {
				return "", err
			}
			l.note("%d clients come to %s", clients, g.name)
		}
	}
	var served, unserved atomic.Int64
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, g := range gates {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				group.Go(func() {
					r := send(request{gate: g.front, method: http.MethodPost, host: "desk.example", path: "/scan/short", key: "key-desk", body: "label", timeLeft: 2 * time.Second})
					if r.status == http.StatusOK {
						served.Add(1)
						return
					}
					unserved.Add(1)
					l.note("ordinary request %s to %s: status %d after %v, %v", r.id, g.name, r.status, r.took.Round(time.Millisecond), r.err)
				})
			}
		})
	}
	killed, most := make([]int, len(gates)), make([]usage, len(gates))
	enough := func() bool { return killed[0] >= ends && killed[1] >= ends }
	for begun := time.Now(); time.Since(begun) < lasts && !enough(); time.Sleep(look) {
		for n, u := range memoryOf(gates) {
			g := gates[n]
			if u.total() > most[n].total() {
				most[n] = u
			}
			if u.total() <= limit || !g.isRunning() {
				continue
			}
			killed[n]++
			l.note("%s exceeds its %d MB: %d MB resident, %d MB received and not read on channels that it has accepted (and %d MB on others), %d channels; it is killed", g.name, limit>>20, u.resident>>20, (u.unread-u.queued)>>20, u.queued>>20, u.channels)
			g.signal(syscall.SIGKILL)
			<-g.ended
			time.AfterFunc(restart, func() { _ = l.startGate(g) })
			time.Sleep(restart + look)
		}
	}
	close(stop)
	group.Wait()
	machines := 0
	for n, g := range gates {
		l.note("%s: killed %d times; at the most %d MB resident and %d MB received and not read on channels that it has accepted", g.name, killed[n], most[n].resident>>20, (most[n].unread-most[n].queued)>>20)
		if killed[n] >= ends {
			machines++
		}
	}
	l.note("ordinary requests: %d answered 200, %d not", served.Load(), unserved.Load())
	if !l.trouble && unserved.Load() > 0 {
		return "", fmt.Errorf("%d ordinary requests are not served in calm", unserved.Load())
	}
	if machines >= 2 {
		return fmt.Sprintf("Fault: processes of %d of %d machines of this kind exceeded their memory three times", machines, len(gates)), nil
	}
	return "", nil
}
