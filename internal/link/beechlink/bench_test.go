package beechlink

import (
	"bufio"
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/matryer/is"
)

// agentsVariable is an environment variable with a number of agents. If it is
// set, this test binary serves that many agents and runs no tests, for
// benchmarks that measure an entry alone.
const agentsVariable = "BEECHLINK_AGENTS"

func TestMain(m *testing.M) {
	if count, err := strconv.Atoi(os.Getenv(agentsVariable)); err == nil {
		serveAgents(count)
		return
	}
	os.Exit(m.Run())
}

// changingLoadSource returns a different load at each call.
type changingLoadSource struct {
	recorder
	rounds int
}

func (p *changingLoadSource) CurrentHeartbeat() beechwire.Heartbeat {
	p.rounds++
	return beechwire.Heartbeat{
		Ready:      true,
		Generation: 7,
		Load:       beechwire.Load{Running: p.rounds % 9, WaitingTokens: int64(p.rounds) * 1000, Slots: 8, PrefillRate: 8000, DecodeMicros: 20000},
	}
}

// serveAgents prints the address of each agent and serves until standard input
// ends.
func serveAgents(count int) {
	source := &changingLoadSource{}
	s := NewServer(Settings{}, hello(beechwire.RoleAgent, 7), handlerFuncs{open: engine}, answerFunc(echoCall), &recorder{}, source, nil, realClock)
	for range count {
		l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		if err != nil {
			panic(err)
		}
		fmt.Println(l.Addr())
		go func() { _ = s.Serve(context.Background(), l) }()
	}
	_, _ = bufio.NewReader(os.Stdin).ReadString(0)
	s.Close()
}

// engine sends nothing if the request's id is "wait". Otherwise it sends tokens
// of 200 bytes at the rate of a generation.
func engine(ctx context.Context, s ServerStream, r beechwire.Request, _ []byte) {
	if r.ID == "wait" {
		<-ctx.Done()
		return
	}
	ticker := time.NewTicker(71 * time.Millisecond)
	defer ticker.Stop()
	token := make([]byte, 200)
	for i := uint64(1); ; i++ {
		if s.Send(ctx, DataReply{Data: beechwire.Data{Sequence: i, Data: token}}) != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// startAgents runs agents in a separate process and returns their addresses.
func startAgents(b *testing.B, count int) []netip.AddrPort {
	b.Helper()
	is := is.New(b)
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), fmt.Sprintf("%s=%d", agentsVariable, count))
	input, err := command.StdinPipe()
	is.NoErr(err)
	output, err := command.StdoutPipe()
	is.NoErr(err)
	is.NoErr(command.Start())
	b.Cleanup(func() {
		input.Close()
		_ = command.Wait()
	})
	lines := bufio.NewScanner(output)
	addresses := make([]netip.AddrPort, 0, count)
	for len(addresses) < count && lines.Scan() {
		addresses = append(addresses, netip.MustParseAddrPort(lines.Text()))
	}
	is.Equal(len(addresses), count)
	return addresses
}

// cpuTime returns the processor time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// residentBytes returns the resident memory of this process after a garbage
// collection.
func residentBytes() int64 {
	runtime.GC()
	b, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// BenchmarkRoundTrip opens a stream with a small body and reads a small answer.
// Both sides run in one process.
func BenchmarkRoundTrip(b *testing.B) {
	for _, callers := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			p := newPair(b, Settings{}, handlerFuncs{open: echo})
			body := make([]byte, 512)
			ctx := context.Background()
			b.SetParallelism(max(1, callers/runtime.GOMAXPROCS(0)))
			b.ReportAllocs()
			one := func() {
				s, err := p.client.Open(ctx, request("a"), body)
				if err != nil {
					b.Error(err)
					return
				}
				if _, _, err := collect(ctx, s); err != nil {
					b.Error(err)
				}
			}
			began := cpuTime()
			b.ResetTimer()
			if callers == 1 {
				for b.Loop() {
					one()
				}
			} else {
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						one()
					}
				})
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
			b.ReportMetric(float64((cpuTime()-began).Nanoseconds())/float64(b.N), "cpu-ns/op")
			k := p.dialer.Counters()
			b.ReportMetric(float64(k.FramesOut)/float64(max(1, k.Writes)), "frames/write")
		})
	}
}

// BenchmarkTokens streams answers of 1000 tokens of 200 bytes.
func BenchmarkTokens(b *testing.B) {
	p := newPair(b, Settings{}, handlerFuncs{open: answerInChunks(1000, 200)})
	ctx := context.Background()
	b.ReportAllocs()
	began := cpuTime()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s, err := p.client.Open(ctx, request("a"), nil)
			if err != nil {
				b.Error(err)
				return
			}
			if _, _, err := collect(ctx, s); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(b.N)*1000/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64((cpuTime()-began).Nanoseconds())/float64(b.N)/1000, "cpu-ns/token")
}

// BenchmarkOpenStreams holds 5,000 streams whose answers have started, with a
// goroutine that reads each. Both sides run in one process.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 5000
	for b.Loop() {
		b.StopTimer()
		// All streams are opened at the same time, before a second connection
		// can be up.
		p := newPair(b, Settings{MaxStreams: streams}, handlerFuncs{open: func(ctx context.Context, s ServerStream, _ beechwire.Request, _ []byte) {
			_ = s.Send(ctx, HeadReply{})
			_ = s.Send(ctx, DataReply{Data: beechwire.Data{Sequence: 1, Data: []byte("first")}})
			<-ctx.Done()
		}})
		before := memoryInUse()
		b.StartTimer()
		first := make(chan struct{}, streams)
		ctx, cancel := context.WithCancel(context.Background())
		for range streams {
			go func() {
				s, err := p.client.Open(ctx, request("a"), make([]byte, 512))
				if err != nil {
					b.Error(err)
					first <- struct{}{}
					return
				}
				defer s.Close(false)
				for range 2 {
					if _, err := s.Next(ctx); err != nil {
						b.Error(err)
					}
				}
				first <- struct{}{}
				_, _ = s.Next(ctx)
			}()
		}
		for range streams {
			<-first
		}
		b.StopTimer()
		b.ReportMetric(float64(memoryInUse()-before)/streams, "B/stream")
		cancel()
		b.StartTimer()
	}
}

// BenchmarkIdleLinks holds links of an entry to agents in another process whose
// load changes all the time, without any requests.
func BenchmarkIdleLinks(b *testing.B) {
	for _, links := range []int{100, 400} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) { benchmarkLinks(b, links, "") })
	}
}

// BenchmarkBusyLinks is like BenchmarkIdleLinks, with a stream on each link
// that waits for its first token or receives one every 71 ms.
func BenchmarkBusyLinks(b *testing.B) {
	for _, stream := range []string{"wait", "tokens"} {
		b.Run(stream, func(b *testing.B) { benchmarkLinks(b, 400, stream) })
	}
}

// BenchmarkBeat encodes a beat with a changed load and applies it.
func BenchmarkBeat(b *testing.B) {
	var (
		w      beatEncoder
		source changingLoadSource
		state  beechwire.Heartbeat
		frame  []byte
	)
	w.commit(source.CurrentHeartbeat(), 0)
	b.ReportAllocs()
	for b.Loop() {
		h := source.CurrentHeartbeat()
		beat, _ := w.delta(h, 0)
		w.commit(h, 0)
		frame, _ = appendFrame(frame[:0], 1<<20, kindBeat, &beat)
		var got beechwire.Beat
		if _, err := got.UnmarshalMsg(frame[headerBytes:]); err != nil {
			b.Fatal(err)
		}
		mergeBeat(&state, &got)
	}
	b.ReportMetric(float64(len(frame)), "B/beat")
}

// readUntilEnd opens a stream and reads it in the background until it ends.
func readUntilEnd(ctx context.Context, b *testing.B, c *Client, id string) {
	s, err := c.Open(ctx, request(id), nil)
	if err != nil {
		b.Error(err)
		return
	}
	go func() {
		defer s.Close(false)
		for {
			if _, err := s.Next(ctx); err != nil {
				return
			}
		}
	}()
}

// benchmarkLinks measures an entry with links to agents. If stream is not
// empty, each link has a stream whose request has that id.
func benchmarkLinks(b *testing.B, links int, stream string) {
	const (
		settle = 5 * time.Second
		span   = 20 * time.Second
		// header is the size of the IP and TCP headers with timestamps. A beat,
		// its answer and their acknowledgement are three packets.
		header = 52
	)
	addresses := startAgents(b, links)
	for b.Loop() {
		before := residentBytes()
		dialer := newDialer(Settings{}, &recorder{}, nil, realClock)
		clients := make([]*Client, 0, links)
		for _, a := range addresses {
			clients = append(clients, dialer.Dial(a))
		}
		for _, c := range clients {
			waitFor(b, "all links are up", c.Ready)
		}
		ctx, cancel := context.WithCancel(context.Background())
		for _, c := range clients {
			if stream != "" {
				readUntilEnd(ctx, b, c, stream)
			}
		}
		time.Sleep(settle)
		from, cpu := dialer.Counters(), cpuTime()
		time.Sleep(span)
		to, used := dialer.Counters(), cpuTime()-cpu
		seconds := span.Seconds()
		beats := float64(to.BeatsOut - from.BeatsOut)
		payload := float64(to.BytesIn + to.BytesOut - from.BytesIn - from.BytesOut)
		b.ReportMetric(100*used.Seconds()/seconds, "%core")
		b.ReportMetric(payload/seconds, "B/s")
		if stream != "tokens" {
			b.ReportMetric((payload+3*header*beats)/seconds, "B/s-with-headers")
		}
		b.ReportMetric(beats/seconds, "beats-out/s")
		b.ReportMetric(float64(to.BeatsIn-from.BeatsIn)/seconds, "beats-in/s")
		b.ReportMetric(payload/max(1, beats), "B/exchange")
		b.ReportMetric(float64(residentBytes()-before)/(1<<20), "MB")
		b.ReportMetric(float64(to.Lost), "lost")
		cancel()
		dialer.Close()
	}
}
