package beechlink

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"io"
	"math/big"
	randv2 "math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/matryer/is"
)

// answerInChunks returns a handler that answers with count chunks of size
// bytes.
func answerInChunks(count, size int) func(context.Context, ServerStream, beechwire.Request, []byte) {
	return func(ctx context.Context, s ServerStream, _ beechwire.Request, _ []byte) {
		if s.Send(ctx, HeadReply{}) != nil {
			return
		}
		for i := range count {
			if s.Send(ctx, DataReply{Data: beechwire.Data{Sequence: uint64(i + 1), Data: make([]byte, size)}}) != nil {
				return
			}
		}
		_ = s.Send(ctx, EndReply{End: beechwire.End{Last: uint64(count)}})
	}
}

// Anything may connect to an agent's port: a browser, a port scanner, an entry
// of another version or deployment, or a faulty entry. It gets the reason why
// it is rejected, its connection is closed, and streams of other entries are
// not affected.
func TestInvalidPeersDoNotAffectOthers(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	p := newPair(t, Settings{Key: "k"}, handlerFuncs{open: func(ctx context.Context, s ServerStream, r beechwire.Request, body []byte) {
		<-release
		echo(ctx, s, r, body)
	}})
	running := openStream(t, p.client, "good")
	frame := func(h beechwire.Hello) []byte {
		return append([]byte(preamble), frameOf(t, kindHello, &h)...)
	}
	seeded := randv2.New(randv2.NewPCG(3, 7))
	random := make([]byte, 4096)
	for i := range random {
		random[i] = byte(seeded.UintN(256))
	}
	good := beechwire.Hello{Version: beechwire.Version, Role: beechwire.RoleEntry, Key: "k", Incarnation: 9}
	after := func(b ...byte) []byte { return append(frame(good), b...) }
	open := frameOf(t, kindOpen, &beechwire.Open{Stream: 4, Request: beechwire.Request{BodyBytes: 2}})
	for _, v := range []struct {
		name  string
		bytes []byte
		want  string // part of the reason that the peer gets
	}{
		{"browser", []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), wrongProtocolText},
		{"random bytes", random, wrongProtocolText},
		{"random bytes after the preamble", append([]byte(preamble), random...), "malformed frame"},
		{"version", frame(beechwire.Hello{Version: 9, Role: beechwire.RoleEntry, Key: "k"}), "version 9 is not spoken here, version 1 is"},
		{"key", frame(beechwire.Hello{Version: beechwire.Version, Role: beechwire.RoleEntry, Key: "K"}), errKeyMismatch.Error()},
		{"oversize hello", append([]byte(preamble), 0, 0, 0x20, 0, byte(kindHello)), "malformed frame"},
		{"oversize frame", after(0x7f, 0, 0, 0, byte(kindOpen)), ""},
		{"random frames", after(random...), ""},
		{"no msgpack", after(0, 0, 0, 3, byte(kindOpen), 0xc1, 0xc1), ""},
		{"frame type of an agent", after(frameOf(t, kindEnd, endMessage(1, "a", 0))...), ""},
		{"stream id used twice", after(append(bytes.Clone(open), open...)...), ""},
		{"more body than announced", after(append(bytes.Clone(open), frameOf(t, kindBody, &beechwire.Body{Stream: 4, Data: []byte("abc")})...)...), ""},
		{"second hello", after(frameOf(t, kindHello, &good)...), ""},
	} {
		conn, err := net.Dial("tcp", p.address.String())
		is.NoErr(err)
		_, err = conn.Write(v.bytes)
		is.NoErr(err)
		answer, err := io.ReadAll(closeWriteIf(t, conn, v.want != ""))
		if !strings.Contains(string(answer), v.want) {
			t.Errorf("%s: got %q (%v)", v.name, answer, err)
		}
		conn.Close()
	}
	close(release)
	got, _, err := collect(context.Background(), running)
	is.NoErr(err)
	is.Equal(string(got), "body")
	waitFor(t, "all peers are counted", func() bool {
		k := p.server.Counters()
		return k.Rejected >= 6 && k.Malformed >= 7
	})
	k := p.server.Counters()
	is.Equal(k.Rejected, uint64(6))
	is.Equal(k.Malformed, uint64(7))
}

// closeWriteIf closes this side's direction if yes is true, so that a peer that
// rejects the connection stops reading at once.
func closeWriteIf(t *testing.T, conn net.Conn, yes bool) net.Conn {
	if yes {
		is.New(t).NoErr(conn.(closeWriter).CloseWrite())
	}
	return conn
}

// A stream whose reader is slow must block only at its own credit. Other
// streams on the same connection must still deliver their complete answers.
func TestSlowReaderDoesNotBlockOtherStreams(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int64
	fast := answerInChunks(1000, 100)
	p := newPair(t, Settings{Connections: 1, Credit: 8 << 10}, handlerFuncs{open: func(ctx context.Context, s ServerStream, r beechwire.Request, body []byte) {
		if r.ID != "slow" {
			fast(ctx, s, r, body)
			return
		}
		_ = s.Send(ctx, HeadReply{})
		for i := range uint64(1000) {
			if s.Send(ctx, DataReply{Data: beechwire.Data{Sequence: i + 1, Data: make([]byte, 1000)}}) != nil {
				return
			}
			sent.Add(1)
		}
		_ = s.Send(ctx, EndReply{End: beechwire.End{Last: 1000}})
	}})
	slow := openStream(t, p.client, "slow")
	waitFor(t, "the slow stream has used its credit", func() bool { return sent.Load() == 8 })
	for range 3 {
		got, last, err := collect(context.Background(), openStream(t, p.client, "fast"))
		is.NoErr(err)
		is.Equal(len(got), 100_000)
		_, whole := last.(EndReply)
		is.True(whole)
	}
	is.Equal(sent.Load(), int64(8)) // 8 chunks of 1,000 bytes and their overhead exceed 8 KiB
	got, _, err := collect(context.Background(), slow)
	is.NoErr(err)
	is.Equal(len(got), 1_000_000)
}

// While a body of several megabytes is being sent to an agent, a small request
// must be sent after at most one batch.
func TestLargeBodyDoesNotDelaySmallMessages(t *testing.T) {
	is := is.New(t)
	o := newOutbox(1<<20, &counters{})
	is.NoErr(o.sendWithTransfer(kindOpen, &beechwire.Open{Stream: 1}, &transfer{kind: kindBody, id: 1, remaining: make([]byte, 8<<20)}))
	is.NoErr(o.sendWithTransfer(kindOpen, &beechwire.Open{Stream: 2}, &transfer{kind: kindBody, id: 2, remaining: make([]byte, 40<<10)}))
	batch, _ := o.nextBatch()
	is.True(len(batch) < writeBatchBytes+2*chunkBytes)
	is.NoErr(o.sendWithTransfer(kindOpen, &beechwire.Open{Stream: 3}, &transfer{kind: kindBody, id: 3, remaining: []byte("short")}))
	batch, _ = o.nextBatch()
	kinds, bodies, _ := readAll(batch, 1<<20, false)
	is.Equal(kinds[0], kindOpen)
	var m beechwire.Body
	_, err := m.UnmarshalMsg(bodies[1])
	is.NoErr(err)
	is.Equal(string(m.Data), "short")
	count := 0
	for _, body := range bodies[2:] { // in turn: the second body does not wait for the megabytes of the first
		m = beechwire.Body{}
		_, err := m.UnmarshalMsg(body)
		is.NoErr(err)
		if m.Stream == 2 {
			count += len(m.Data)
		}
	}
	is.True(count > 0)
}

// A caller may give up, may detach to return later, or the link of its entry
// may be cut. The agent must distinguish these: in the first case it stops the
// engine at once, in the others the generation waits for the caller to return.
func TestDetachedReportsWhyStreamEnded(t *testing.T) {
	is := is.New(t)
	detached := make(chan bool)
	p := newPair(t, Settings{}, handlerFuncs{open: func(ctx context.Context, s ServerStream, _ beechwire.Request, _ []byte) {
		_ = s.Send(ctx, HeadReply{})
		<-ctx.Done()
		is.Equal(s.Send(context.Background(), EndReply{}), ErrStreamClosed)
		detached <- s.Detached()
	}})
	for _, want := range []bool{false, true} {
		s := openStream(t, p.client, "a")
		_, err := s.Next(context.Background())
		is.NoErr(err)
		s.Close(want)
		is.Equal(<-detached, want)
		_, err = s.Next(context.Background())
		is.Equal(err, ErrClosed)
	}
	_, err := openStream(t, p.client, "a").Next(context.Background())
	is.NoErr(err)
	p.client.Close()
	is.Equal(<-detached, true)
}

// The agent's writer may detect a lost link before its reader does. A handler
// whose send fails at that moment must see the stream as detached. Otherwise
// the agent discards an answer that the caller will return for.
func TestFailedSendLeavesStreamDetached(t *testing.T) {
	is := is.New(t)
	type end struct {
		failed   error
		detached bool
	}
	ends := make(chan end, 1)
	p := newPair(t, Settings{}, handlerFuncs{open: func(ctx context.Context, s ServerStream, _ beechwire.Request, _ []byte) {
		s.(*serverStream).endpoint.connection.out.fail(io.EOF) // as the writer does when it detects the loss first
		err := s.Send(ctx, DataReply{beechwire.Data{Sequence: 1, Data: []byte("x")}})
		ends <- end{err, s.Detached()}
	}})
	_, err := p.client.Open(t.Context(), request("r"), nil)
	is.NoErr(err)
	e := <-ends
	is.True(e.failed != nil)
	is.True(e.detached)
}

// A link is lost while a request runs at a draining agent. The entry must be able to attach to it
// again: nothing else may have its answer.
func TestReattachToDrainingAgent(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	answer := func(ctx context.Context, s ServerStream, body []byte) {
		<-release
		echo(ctx, s, beechwire.Request{}, body)
	}
	p := newPair(t, Settings{}, handlerFuncs{
		open:     func(ctx context.Context, s ServerStream, _ beechwire.Request, body []byte) { answer(ctx, s, body) },
		reattach: func(ctx context.Context, s ServerStream, _ beechwire.Reattach) { answer(ctx, s, []byte("again")) },
	})
	running := openStream(t, p.client, "r")
	waitFor(t, "the request has started", func() bool { return p.server.Counters().Opened == 1 })
	drained := make(chan error)
	go func() { drained <- p.server.Drain(context.Background()) }()
	waitFor(t, "the drain has started", p.server.isDraining)
	s, err := p.client.Reattach(t.Context(), beechwire.Reattach{RequestID: "r"})
	is.NoErr(err)
	waitFor(t, "the stream is attached again", func() bool { return p.server.Counters().Reattached == 1 })
	close(release)
	got, last, err := collect(t.Context(), s)
	is.NoErr(err)
	_, whole := last.(EndReply)
	is.True(whole)
	is.Equal(string(got), "again")
	_, _, err = collect(t.Context(), running)
	is.NoErr(err)
	is.NoErr(<-drained)
}

// A request that may not be repeated is asked for at an agent that accepts nothing any more. The
// agent must not report it as not run: it would be run again elsewhere.
func TestReattachToClosingAgent(t *testing.T) {
	is := is.New(t)
	p := newPair(t, Settings{}, handlerFuncs{})
	p.server.mu.Lock()
	p.server.stopAccepting()
	p.server.mu.Unlock()
	s, err := p.client.Reattach(t.Context(), beechwire.Reattach{RequestID: "r"})
	is.NoErr(err)
	_, last, err := collect(t.Context(), s)
	is.NoErr(err)
	failed, ok := last.(FailedReply)
	is.True(ok)
	is.Equal(failed.Ran, beechwire.RanUnknown)
	is.Equal(failed.Reason, beechwire.ReasonLeaving)
}

// The connection to an entry is lost while the agent drains, and the entry comes back. The agent must
// wait for it, and not for longer than Rejoin.
func TestDrainWaitsForLostConnection(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	p := newPair(t, Settings{Connections: 1, Rejoin: 500 * time.Millisecond}, handlerFuncs{
		open: func(ctx context.Context, _ ServerStream, _ beechwire.Request, _ []byte) { <-ctx.Done() },
		reattach: func(ctx context.Context, s ServerStream, _ beechwire.Reattach) {
			echo(ctx, s, beechwire.Request{}, []byte("rest"))
			<-release
		},
	})
	running := openStream(t, p.client, "r")
	waitFor(t, "the request has started", func() bool { return p.server.Counters().Opened == 1 })
	drained := make(chan error, 1)
	go func() { drained <- p.server.Drain(context.Background()) }()
	waitFor(t, "the drain has started", p.server.isDraining)
	for _, c := range p.server.sessions.allConnections() {
		c.fail(errPeerTimeout)
	}
	_, _, err := collect(t.Context(), running)
	is.True(err != nil)
	var s Stream
	waitFor(t, "the stream is attached again", func() bool {
		s, err = p.client.Reattach(t.Context(), beechwire.Reattach{RequestID: "r"})
		return err == nil
	})
	got, _, err := collect(t.Context(), s)
	is.NoErr(err)
	is.Equal(string(got), "rest")
	select {
	case <-drained:
		t.Fatal("the agent has not waited for its stream")
	case <-time.After(600 * time.Millisecond):
	}
	close(release)
	is.NoErr(<-drained)
}

// An agent drains while callers read answers. Every answer must be complete.
// New requests must be refused as not run, also those that are in transit when
// the agent sends its Bye.
func TestDrainCompletesOpenStreams(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	slow := answerInChunks(200, 500)
	p := newPair(t, Settings{}, handlerFuncs{open: func(ctx context.Context, s ServerStream, r beechwire.Request, body []byte) {
		<-release
		slow(ctx, s, r, body)
	}})
	var streams []Stream
	for i := range 50 {
		streams = append(streams, openStream(t, p.client, fmt.Sprint(i)))
	}
	waitFor(t, "all requests have started", func() bool { return p.server.Counters().Opened == 50 })
	drained := make(chan error)
	go func() { drained <- p.server.Drain(context.Background()) }()
	waitFor(t, "the drain has started", p.server.isDraining)
	_, last, err := collect(context.Background(), openStream(t, p.client, "late"))
	is.NoErr(err)
	refused, ok := last.(RefusedReply)
	is.True(ok)
	is.Equal(refused.Reason, beechwire.ReasonLeaving)

	var asked, notRun atomic.Int64
	stop := make(chan struct{})
	var asking sync.WaitGroup
	asking.Go(func() { // requests are sent until the agent has stopped
		for {
			select {
			case <-stop:
				return
			default:
			}
			s, err := p.client.Open(context.Background(), request("late"), nil)
			if err != nil {
				continue
			}
			asked.Add(1)
			_, last, err := collect(context.Background(), s)
			if _, ok := last.(RefusedReply); ok && err == nil {
				notRun.Add(1)
			} else {
				t.Errorf("request %d: %T, %v", asked.Load(), last, err)
			}
		}
	})
	close(release)
	for _, s := range streams {
		got, last, err := collect(context.Background(), s)
		is.NoErr(err)
		is.Equal(len(got), 100_000)
		_, whole := last.(EndReply)
		is.True(whole)
	}
	is.NoErr(<-drained)
	close(stop)
	asking.Wait()
	is.Equal(asked.Load(), notRun.Load())
	is.True(asked.Load() > 0)
}

// An entry that hangs must not delay an agent's shutdown beyond the context of
// Drain, and Drain must return the error of the context.
func TestDrainReturnsWhenContextEnds(t *testing.T) {
	is := is.New(t)
	p := newPair(t, Settings{}, handlerFuncs{open: func(ctx context.Context, _ ServerStream, _ beechwire.Request, _ []byte) { <-ctx.Done() }})
	s := openStream(t, p.client, "a")
	waitFor(t, "the request has started", func() bool { return p.server.Counters().Opened == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errors.Is(p.server.Drain(ctx), context.Canceled))
	_, err := s.Next(context.Background())
	var lost *LostError
	is.True(errors.As(err, &lost))
}

// If a handler panics or returns without a final reply, the caller must not
// wait until its deadline, and must not be told that the request was not run.
func TestEveryStreamGetsAFinalReply(t *testing.T) {
	is := is.New(t)
	p := newPair(t, Settings{}, handlerFuncs{open: func(_ context.Context, _ ServerStream, r beechwire.Request, _ []byte) {
		if r.ID == "panic" {
			panic("bug")
		}
	}})
	for _, id := range []string{"panic", "silent"} {
		_, last, err := collect(context.Background(), openStream(t, p.client, id))
		is.NoErr(err)
		failed, ok := last.(FailedReply)
		is.True(ok)
		is.Equal(failed.Ran, beechwire.RanUnknown)
	}
	is.Equal(p.server.Counters().Panics, uint64(1))
}

// Requests over a limit must be refused as not run, and the connection must
// stay up.
func TestLimits(t *testing.T) {
	is := is.New(t)
	block := make(chan struct{})
	p := newPair(t, Settings{Connections: 1, MaxStreams: 2, MaxBody: 1000, Key: ""}, handlerFuncs{open: func(ctx context.Context, s ServerStream, r beechwire.Request, body []byte) {
		<-block
		echo(ctx, s, r, body)
	}})
	a, b := openStream(t, p.client, "a"), openStream(t, p.client, "b")
	_, err := p.client.Open(context.Background(), request("c"), nil)
	is.True(errors.Is(err, ErrBusy))
	_, err = p.client.Open(context.Background(), request("c"), make([]byte, 1001))
	var refused *OpenError
	is.True(errors.As(err, &refused))

	f := dialAsEntry(t, p.address.String())
	open := func(stream uint64, size int) {
		f.send(kindOpen, &beechwire.Open{Stream: stream, Request: beechwire.Request{ID: "f", Attempt: 1, BodyBytes: size}})
	}
	var m beechwire.Refused
	open(1, 1001)
	f.await(kindRefused, &m)
	is.Equal(m.Reason, beechwire.ReasonMalformed)
	open(2, 500)
	open(3, 500)
	open(4, 0)
	f.await(kindRefused, &m)
	is.Equal(m.Reason, beechwire.ReasonBusy)
	is.Equal(m.Stream, uint64(4))
	f.send(kindCancel, &beechwire.Cancel{Stream: 2})
	f.send(kindBody, &beechwire.Body{Stream: 2, Data: []byte("late")}) // was in transit when the cancel was sent
	open(5, 0)
	f.send(kindCancel, &beechwire.Cancel{Stream: 3})
	open(6, 0)
	open(7, 0)
	f.await(kindRefused, &m)
	is.Equal(m.Stream, uint64(7))
	close(block)
	for _, s := range []Stream{a, b} {
		_, _, err := collect(context.Background(), s)
		is.NoErr(err)
	}
	// Neither incomplete bodies nor a peer that does not close its connection
	// may block Drain.
	is.NoErr(p.server.Drain(context.Background()))
}

// With many concurrent callers on connections that relay at most 700 bytes at a
// time, each caller must get exactly its own answer. The seed is fixed.
func TestConcurrentStreamsAreNotMixed(t *testing.T) {
	is := is.New(t)
	p := newPair(t, Settings{}, handlerFuncs{open: func(ctx context.Context, s ServerStream, _ beechwire.Request, body []byte) {
		_ = s.Send(ctx, HeadReply{})
		sequence := uint64(0)
		for len(body) > 0 {
			piece := body[:min(len(body), 1+int(body[0]))]
			body = body[len(piece):]
			sequence++
			if s.Send(ctx, DataReply{Data: beechwire.Data{Sequence: sequence, Data: piece}}) != nil {
				return
			}
		}
		_ = s.Send(ctx, EndReply{End: beechwire.End{Last: sequence}})
	}})
	proxy := newCuttingProxy(t, p.address.String(), true, 700)
	defer proxy.close()
	d := newDialer(Settings{Credit: 4 << 10}, &recorder{}, nil, realClock)
	defer d.Close()
	c := d.Dial(addressOf(proxy.listener.Addr()))
	waitFor(t, "the link is up", c.Ready)
	var callers sync.WaitGroup
	for i := range 200 {
		callers.Go(func() {
			seeded := randv2.New(randv2.NewPCG(11, uint64(i)))
			body := make([]byte, seeded.IntN(60_000))
			for j := range body {
				body[j] = byte(seeded.UintN(256))
			}
			s, err := c.Open(context.Background(), request(fmt.Sprint(i)), body)
			is.NoErr(err)
			got, last, err := collect(context.Background(), s)
			is.NoErr(err)
			is.True(bytes.Equal(got, body))
			is.Equal(last.(EndReply).RequestID, fmt.Sprint(i))
		})
	}
	callers.Wait()
	k := d.Counters()
	is.Equal(k.Late+k.Doubled+k.Crossed+k.Gaps+k.Lost, uint64(0))
}

// Links are opened and lost all the time. Goroutines that leak with each would
// exhaust a host's memory within weeks.
func TestNoGoroutinesLeak(t *testing.T) {
	is := is.New(t)
	before := runtime.NumGoroutine()
	for i := range 5 {
		server := newServer(Settings{}, handlerFuncs{open: echo}, &recorder{}, nil, realClock)
		l := loopback(t)
		served := make(chan error, 1)
		go func() { served <- server.Serve(context.Background(), l) }()
		d := newDialer(Settings{}, &recorder{}, nil, realClock)
		c := d.Dial(addressOf(l.Addr()))
		gone := d.Dial(netip.MustParseAddrPort("127.0.0.1:1"))
		waitFor(t, "the link is up", c.Ready)
		is.True(!gone.Ready())
		_, _, err := collect(context.Background(), openStream(t, c, "a"))
		is.NoErr(err)
		openStream(t, c, "left open")
		if i%2 == 0 {
			d.Close()
			server.Close()
		} else {
			server.Close()
			d.Close()
		}
		is.NoErr(<-served)
	}
	waitFor(t, "the goroutines have ended", func() bool { return runtime.NumGoroutine() <= before })
}

// Without certificates on both sides, anyone who can reach the port could read
// the members' conversation histories.
func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	pool, certificate := selfSignedAuthority(t)
	_, stranger := selfSignedAuthority(t)
	server := newServer(Settings{}, handlerFuncs{open: echo}, &recorder{}, &tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	}, realClock)
	l := loopback(t)
	go func() { _ = server.Serve(context.Background(), l) }()
	defer server.Close()
	for _, v := range []struct {
		certificates []tls.Certificate
		accepted     bool
	}{
		{[]tls.Certificate{certificate}, true},
		{[]tls.Certificate{stranger}, false},
		{nil, false},
	} {
		d := newDialer(Settings{Connections: 1}, &recorder{}, &tls.Config{RootCAs: pool, Certificates: v.certificates}, realClock)
		c := d.Dial(addressOf(l.Addr()))
		waitFor(t, "the handshake is over", func() bool { return c.Ready() || d.Counters().Rejected > 0 })
		is.Equal(c.Ready(), v.accepted)
		if v.accepted {
			got, _, err := collect(context.Background(), openStream(t, c, "a"))
			is.NoErr(err)
			is.Equal(string(got), "body")
		}
		d.Close()
	}
}

// selfSignedAuthority creates a self-signed certificate for 127.0.0.1.
func selfSignedAuthority(t *testing.T) (*x509.CertPool, tls.Certificate) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "link"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	parsed, err := x509.ParseCertificate(der)
	is.NoErr(err)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return pool, tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// An entry's process hangs while hundreds of answers are being sent to it,
// until its socket accepts no more. The agent must hold a bounded number of
// bytes for it, whatever credit its streams have, until it considers the entry
// dead.
func TestMemoryForStalledReaderIsBounded(t *testing.T) {
	is := is.New(t)
	const streams, size = 200, 16 << 10
	var sent atomic.Int64
	p := newPair(t, Settings{Deadline: time.Minute}, handlerFuncs{open: func(ctx context.Context, s ServerStream, _ beechwire.Request, _ []byte) {
		for i := uint64(1); ; i++ {
			if s.Send(ctx, DataReply{Data: beechwire.Data{Sequence: i, Data: make([]byte, size)}}) != nil {
				return
			}
			sent.Add(size)
		}
	}})
	f := dialAsEntry(t, p.address.String())
	for i := range uint64(streams) {
		f.send(kindOpen, &beechwire.Open{Stream: i + 1, Credit: 64 << 20, Request: beechwire.Request{ID: "a", Attempt: 1}})
	}
	var c *connection
	waitFor(t, "the agent knows the entry", func() bool {
		for _, other := range p.server.sessions.allConnections() {
			if other.peer.Incarnation == 6 {
				c = other
			}
		}
		return c != nil && p.server.Counters().Opened == streams
	})
	before := int64(-1)
	waitFor(t, "nothing more is sent", func() bool {
		last := before
		before = sent.Load()
		time.Sleep(50 * time.Millisecond)
		return before > 0 && last == before
	})
	// Each stream may have passed the check with one more chunk.
	is.True(c.out.queuedBytes() <= maxQueuedBytes+streams*(size+replyOverhead))
	f.conn.Close()
	waitFor(t, "all streams have ended", func() bool { return c.endpoint.streamCount() == 0 })
}
