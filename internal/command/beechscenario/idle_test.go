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
	clockTicks  = 100 // a second, of the times in /proc
	processTime = 11  // field of the user time in /proc/PID/stat after the name
)

// quietAgent is as much of an agent as an idle entry host meets: its load
// changes at each beat and its cache does not.
type quietAgent struct {
	address     netip.AddrPort
	incarnation uint64
	beats       atomic.Int64
}

func (q *quietAgent) CurrentHeartbeat() beechwire.Heartbeat {
	n := int(q.beats.Add(1))
	return beechwire.Heartbeat{
		Incarnation: q.incarnation, Generation: 1, Ready: true, Entries: 1, Models: []string{"fit-advisor@1"},
		Load: beechwire.Load{Running: n % 9, WaitingTokens: int64(n) * 100, Slots: 8, PrefillRate: 8000, DecodeMicros: 20_000},
	}
}

func (q *quietAgent) hello() beechwire.Hello {
	return beechwire.Hello{
		Version: beechwire.Version, Role: beechwire.RoleAgent, Zone: "zone-a", Address: q.address.String(),
		Incarnation: q.incarnation, Generation: 1, Key: secret,
	}
}

func (q *quietAgent) Answer(_ context.Context, _ beechlink.Peer, method string, _ []byte) ([]byte, error) {
	switch method {
	case beechwire.MethodSnapshot:
		return (&beechwire.Snapshot{}).MarshalMsg(nil)
	case beechwire.MethodChanges:
		return (&beechwire.Changes{Incarnation: q.incarnation}).MarshalMsg(nil)
	default:
		return nil, nil
	}
}

func (q *quietAgent) Open(_ context.Context, s beechlink.ServerStream, _ *beechwire.Request, _ []byte) {
	_ = s.Send(context.Background(), beechlink.RefusedReply{})
}

func (q *quietAgent) Reattach(_ context.Context, s beechlink.ServerStream, _ beechwire.Reattach) {
	_ = s.Send(context.Background(), beechlink.RefusedReply{})
}

func (q *quietAgent) Up(beechlink.Peer)                             {}
func (q *quietAgent) Down(beechlink.Peer, error)                    {}
func (q *quietAgent) Heartbeat(beechlink.Peer, beechwire.Heartbeat) {}

// startQuietAgents serves agents in this process and puts them on the list of
// hosts.
func startQuietAgents(b *testing.B, w *world, count int) {
	b.Helper()
	for i := range count {
		listener, err := beechlink.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		if err != nil {
			b.Fatal(err)
		}
		q := &quietAgent{address: netip.MustParseAddrPort(listener.Addr().String()), incarnation: uint64(i + 1)}
		server := beechlink.NewServer(beechlink.Settings{Key: secret}, q.hello, q, q, q, q, nil, clockwork.NewRealClock())
		go func() { _ = server.Serve(context.Background(), listener) }()
		b.Cleanup(server.Close)
		w.hosts = append(w.hosts, beechstore.Host{Name: fmt.Sprint("quiet-", i), Address: q.address, Zone: "zone-a", Role: beechwire.RoleAgent})
	}
	w.publishHosts()
}

// idleStatus is what the benchmark reads of an entry host's status.
type idleStatus struct {
	Serving int                `json:"servingAgents"`
	Links   beechlink.Counters `json:"links"`
}

// BenchmarkIdleEntry reports what an entry host's process takes that is linked
// to 400 agents and serves nobody: a part of a core, its memory, and what goes
// over its links. What it reads of the platform's service is not among the
// bytes.
func BenchmarkIdleEntry(b *testing.B) {
	w := newWorld(b, b.TempDir())
	defer w.close()
	if err := commandPlatform(w, nil); err != nil {
		b.Fatal(err)
	}
	startQuietAgents(b, w, idleAgents)
	if err := commandEntry(w, []string{"n1", "zone-a"}); err != nil {
		b.Fatal(err)
	}
	var status idleStatus
	serving := func() bool { return w.status("n1", &status) == nil && status.Serving == idleAgents }
	if err := w.until("all agents serve", serving); err != nil {
		b.Fatal(err, status.Serving)
	}
	time.Sleep(idleSettle)
	for b.Loop() {
		var from, to idleStatus
		if err := w.status("n1", &from); err != nil {
			b.Fatal(err)
		}
		used := usedTime(b, w, "n1")
		time.Sleep(idleSpan)
		used = usedTime(b, w, "n1") - used
		if err := w.status("n1", &to); err != nil {
			b.Fatal(err)
		}
		moved := to.Links.BytesIn + to.Links.BytesOut - from.Links.BytesIn - from.Links.BytesOut
		b.ReportMetric(100*used.Seconds()/idleSpan.Seconds(), "%core")
		b.ReportMetric(float64(moved)/idleSpan.Seconds(), "B/s")
		b.ReportMetric(float64(residentBytes(b, w, "n1"))/(1<<20), "MB")
	}
}

// usedTime is the processor time that a process has used.
func usedTime(b *testing.B, w *world, name string) time.Duration {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", w.processes[name].command.Process.Pid))
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
