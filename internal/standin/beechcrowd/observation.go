package beechcrowd

import (
	"bufio"
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// Usage is the most that a process has used at once.
	Usage struct {
		Resident    int64 // bytes, since the process started
		Unread      int64 // bytes that the sockets of its address had received and it had not read
		Descriptors int
	}

	// Observation follows what a process uses.
	Observation struct {
		pid     int
		address netip.AddrPort
		stop    chan struct{}
		done    sync.WaitGroup

		mu    sync.Mutex
		usage Usage
		err   error
	}
)

const (
	observationInterval = 10 * time.Millisecond
	socketTable         = "/proc/net/tcp"
	queuesField         = 4 // of a line of the table: transmit and receive queue
	localField          = 1
	listening           = "0A" // state of a listener, whose queue counts connections
)

// Observe begins to follow a process that serves clients at an IPv4 address of this machine.
func Observe(pid int, address netip.AddrPort) *Observation {
	o := &Observation{pid: pid, address: address, stop: make(chan struct{})}
	o.done.Go(func() {
		ticker := time.NewTicker(observationInterval)
		defer ticker.Stop()
		for {
			o.sample()
			select {
			case <-ticker.C:
			case <-o.stop:
				return
			}
		}
	})
	return o
}

// Now returns the most that was used so far.
func (o *Observation) Now() Usage {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.usage
}

// End returns the most that the process has used, or an error if it cannot be read, as when the
// process has ended.
func (o *Observation) End() (Usage, error) {
	close(o.stop)
	o.done.Wait()
	o.sample()
	resident, err := peakResident(o.pid)
	o.usage.Resident = resident
	if err == nil {
		err = o.err
	}
	return o.usage, err
}

func (o *Observation) sample() {
	unread, err := unreadBytes(o.address)
	entries, fdErr := os.ReadDir(fmt.Sprintf("/proc/%d/fd", o.pid))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.usage.Unread = max(o.usage.Unread, unread)
	o.usage.Descriptors = max(o.usage.Descriptors, len(entries))
	if o.err == nil && err != nil {
		o.err = err
	}
	if o.err == nil && fdErr != nil {
		o.err = fdErr
	}
}

// peakResident returns the most memory that a process had resident, in bytes.
func peakResident(pid int) (int64, error) {
	name := fmt.Sprintf("/proc/%d/status", pid)
	status, err := os.ReadFile(name)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if size, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(size)[0], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("%s: no peak of resident memory", name)
}

// unreadBytes returns the sum of the receive queues of connections at a local address.
func unreadBytes(address netip.AddrPort) (int64, error) {
	table, err := os.ReadFile(socketTable)
	if err != nil {
		return 0, err
	}
	ip := address.Addr().As4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port())
	total := int64(0)
	lines := bufio.NewScanner(bytes.NewReader(table))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) <= queuesField || fields[localField] != local || fields[localField+2] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[queuesField], ":")
		size, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", socketTable, err)
		}
		total += size
	}
	return total, lines.Err()
}

// String returns the usage in a line.
func (u Usage) String() string {
	return fmt.Sprintf("%d MB resident, %d KB unread, %d descriptors", u.Resident>>20, u.Unread>>10, u.Descriptors)
}
