package beechscenario

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/state/beechstore"
)

const (
	idleAgents  = 400
	idleSettle  = 10 * time.Second
	idleSpan    = 20 * time.Second
	clockTicks  = 100 // clock ticks per second of the times in /proc
	processTime = 11  // index of the user time among the fields after the name in /proc/PID/stat
)

// idleAgent simulates the agent protocol that an idle entry host uses. Its load
// changes with each heartbeat, its cache does not.
type idleAgent struct {
	address     netip.AddrPort
	incarnation uint64
	beats       atomic.Int64
}

func (a *idleAgent) CurrentHeartbeat() beechwire.Heartbeat {
	n := int(a.beats.Add(1))
	return beechwire.Heartbeat{
		Incarnation: a.incarnation, Generation: 1, Ready: true, Entries: 1, Models: []string{"fit-advisor@1"},
		Load: beechwire.Load{Running: n % 9, WaitingTokens: int64(n) * 100, Slots: 8, PrefillRate: 8000, DecodeMicros: 20_000},
	}
}

func (a *idleAgent) hello() beechwire.Hello {
	return beechwire.Hello{
		Version: beechwire.Version, Role: beechwire.RoleAgent, Zone: "zone-a", Address: a.address.String(),
		Incarnation: a.incarnation, Generation: 1, Key: secret,
	}
}

func (a *idleAgent) Answer(_ context.Context, _ beechlink.Peer, method string, _ []byte) ([]byte, error) {
	switch method {
	case beechwire.MethodSnapshot:
		return (&beechwire.Snapshot{}).MarshalMsg(nil)
	case beechwire.MethodChanges:
		return (&beechwire.Changes{Incarnation: a.incarnation}).MarshalMsg(nil)
	default:
		return nil, nil
	}
}

func (a *idleAgent) Open(_ context.Context, s beechlink.ServerStream, _ *beechwire.Request, _ []byte) {
	_ = s.Send(context.Background(), beechlink.RefusedReply{})
}

func (a *idleAgent) Reattach(_ context.Context, s beechlink.ServerStream, _ beechwire.Reattach) {
	_ = s.Send(context.Background(), beechlink.RefusedReply{})
}

func (a *idleAgent) Up(beechlink.Peer)                             {}
func (a *idleAgent) Down(beechlink.Peer, error)                    {}
func (a *idleAgent) Heartbeat(beechlink.Peer, beechwire.Heartbeat) {}

// startIdleAgents serves simulated agents in this process and adds them to the
// list of hosts.
func startIdleAgents(b *testing.B, d *deployment, count int) {
	b.Helper()
	for i := range count {
		listener, err := beechlink.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		if err != nil {
			b.Fatal(err)
		}
		a := &idleAgent{address: netip.MustParseAddrPort(listener.Addr().String()), incarnation: uint64(i + 1)}
		server := beechlink.NewServer(beechlink.Settings{Key: secret}, a.hello, a, a, a, a, nil, clockwork.NewRealClock())
		go func() { _ = server.Serve(context.Background(), listener) }()
		b.Cleanup(server.Close)
		d.hosts = append(d.hosts, beechstore.Host{Name: fmt.Sprint("quiet-", i), Address: a.address, Zone: "zone-a", Role: beechwire.RoleAgent})
	}
	d.publishHosts()
}

// idleStatus holds the fields of an entry host's status that the benchmark reads.
type idleStatus struct {
	Serving int                `json:"servingAgents"`
	Links   beechlink.Counters `json:"links"`
}

// BenchmarkIdleEntry reports the processor time, memory and link traffic of an
// entry host that is linked to 400 agents and serves no requests. The traffic
// excludes reads from the platform's service.
func BenchmarkIdleEntry(b *testing.B) {
	d := newDeployment(b, b.TempDir())
	defer d.close()
	if err := commandPlatform(d, nil); err != nil {
		b.Fatal(err)
	}
	startIdleAgents(b, d, idleAgents)
	if err := commandEntry(d, []string{"n1", "zone-a"}); err != nil {
		b.Fatal(err)
	}
	var status idleStatus
	serving := func() bool { return d.status("n1", &status) == nil && status.Serving == idleAgents }
	if err := d.until("all agents serve", serving); err != nil {
		b.Fatal(err, status.Serving)
	}
	time.Sleep(idleSettle)
	for b.Loop() {
		var from, to idleStatus
		if err := d.status("n1", &from); err != nil {
			b.Fatal(err)
		}
		used := processorTime(b, d, "n1")
		time.Sleep(idleSpan)
		used = processorTime(b, d, "n1") - used
		if err := d.status("n1", &to); err != nil {
			b.Fatal(err)
		}
		moved := to.Links.BytesIn + to.Links.BytesOut - from.Links.BytesIn - from.Links.BytesOut
		b.ReportMetric(100*used.Seconds()/idleSpan.Seconds(), "%core")
		b.ReportMetric(float64(moved)/idleSpan.Seconds(), "B/s")
		b.ReportMetric(float64(residentBytes(b, d, "n1"))/(1<<20), "MB")
	}
}

// processorTime returns the user and system time that a process has used.
func processorTime(b *testing.B, d *deployment, name string) time.Duration {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.processes[name].command.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	ticks := 0
	for _, field := range fields[processTime : processTime+2] {
		count, err := strconv.Atoi(field)
		if err != nil {
			b.Fatal(err)
		}
		ticks += count
	}
	return time.Duration(ticks) * time.Second / clockTicks
}
