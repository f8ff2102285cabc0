package beechlink

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

func openStream(t testing.TB, c *Client, id string) Stream {
	t.Helper()
	s, err := c.Open(context.Background(), request(id), []byte("body"))
	is.New(t).NoErr(err)
	return s
}

func headMessage(stream uint64, id string) *beechwire.Head {
	return &beechwire.Head{Stream: stream, RequestID: id, Attempt: 1, Status: 200}
}

func dataMessage(stream, sequence uint64, text string) *beechwire.Data {
	return &beechwire.Data{Stream: stream, Sequence: sequence, Data: []byte(text)}
}

func endMessage(stream uint64, id string, last uint64) *beechwire.End {
	return &beechwire.End{Stream: stream, RequestID: id, Attempt: 1, Last: last}
}

// A faulty agent or a retry can cause replies that arrive twice, after their
// stream has ended, or on the stream of another request. A caller would get
// parts of another caller's answer, or text twice. Such replies must be dropped
// and counted, and the valid ones must still make up the complete answer.
func TestLateDuplicateAndMisroutedRepliesAreDropped(t *testing.T) {
	is := is.New(t)
	c, f := newFakeAgent(t, Settings{})
	a := openStream(t, c, "a")
	b := openStream(t, c, "b")
	var m beechwire.Body
	f.await(kindBody, &m)
	f.await(kindBody, &m)

	f.send(kindHead, headMessage(2, "a")) // a's head on b's stream
	f.send(kindHead, headMessage(1, "a"))
	f.send(kindHead, headMessage(1, "a"))
	f.send(kindData, &beechwire.Data{Stream: 1, Sequence: 1, Tag: beechwire.Tag("b", 1), Data: []byte("b's")})
	f.send(kindData, &beechwire.Data{Stream: 1, Sequence: 1, Tag: beechwire.Tag("a", 2), Data: []byte("another attempt's")})
	f.send(kindData, &beechwire.Data{Stream: 1, Sequence: 1, Tag: beechwire.Tag("a", 1), Data: []byte("one ")})
	f.send(kindData, dataMessage(1, 1, "one "))
	f.send(kindData, dataMessage(9, 1, "nobody's"))
	f.send(kindEnd, endMessage(1, "b", 0))                                                        // b's end on a's stream
	f.send(kindEnd, &beechwire.End{Stream: 1, RequestID: "a", Attempt: 2, Last: 1})               // another attempt
	f.send(kindRefused, &beechwire.Refused{Stream: 1, RequestID: "b", Attempt: 1})                // b's refusal
	f.send(kindFailed, &beechwire.Failed{Stream: 1, RequestID: "a", Attempt: 3, Reason: "crash"}) // a third attempt's failure
	f.send(kindData, dataMessage(1, 2, "two"))
	f.send(kindEnd, endMessage(1, "a", 2))
	f.send(kindData, dataMessage(1, 3, "late"))
	f.send(kindEnd, endMessage(1, "a", 2))
	f.send(kindResult, &beechwire.Result{Call: 3, Payload: []byte("unasked")})
	f.send(kindHead, headMessage(2, "b"))
	f.send(kindEnd, endMessage(2, "b", 0))

	got, _, err := collect(context.Background(), a)
	is.NoErr(err)
	is.Equal(string(got), "one two")
	got, _, err = collect(context.Background(), b)
	is.NoErr(err)
	is.Equal(len(got), 0)
	k := c.dialer.Counters()
	is.Equal(k.Crossed, uint64(7))
	is.Equal(k.Doubled, uint64(2))
	is.Equal(k.Late, uint64(4))
	is.Equal(k.Lost, uint64(0))
}

// A faulty agent loses a chunk of an answer. The caller must not get a text
// with a gap that looks complete: the stream must fail after the chunks before
// the gap, and the agent must be told to keep the generation until the caller
// returns. Other streams must not be affected.
func TestMissingReplyFailsStream(t *testing.T) {
	is := is.New(t)
	c, f := newFakeAgent(t, Settings{})
	for i, tell := range []func(id uint64, name string){
		func(id uint64, _ string) { f.send(kindData, dataMessage(id, 3, "three")) },
		func(id uint64, name string) { f.send(kindEnd, endMessage(id, name, 2)) },
		func(id uint64, name string) { f.send(kindEnd, endMessage(id, name, 0)) },
	} {
		name := fmt.Sprint(i)
		id := uint64(2*i + 1)
		s := openStream(t, c, name)
		other := openStream(t, c, "other")
		f.send(kindHead, headMessage(id, name))
		f.send(kindData, dataMessage(id, 1, "one"))
		tell(id, name)
		got, _, err := collect(context.Background(), s)
		is.Equal(string(got), "one")
		var gap *GapError
		is.True(errors.As(err, &gap))
		var m beechwire.Cancel
		f.await(kindCancel, &m)
		is.Equal(m, beechwire.Cancel{Stream: id, Detached: true})
		f.send(kindEnd, endMessage(id+1, "other", 0))
		_, _, err = collect(context.Background(), other)
		is.NoErr(err)
	}
	is.Equal(c.dialer.Counters().Gaps, uint64(3))
}

// An agent that ignores credit would fill the entry's memory with data that a
// slow caller has not read. The stream must fail once its credit is exceeded.
func TestCreditIsEnforced(t *testing.T) {
	is := is.New(t)
	c, f := newFakeAgent(t, Settings{Credit: 4096})
	s := openStream(t, c, "b")
	f.send(kindHead, headMessage(1, "b"))
	for i := range uint64(5) {
		f.send(kindData, dataMessage(1, i+1, strings.Repeat("x", 1024)))
	}
	f.send(kindEnd, endMessage(1, "b", 5))
	var m beechwire.Cancel
	f.await(kindCancel, &m)
	got, _, err := collect(context.Background(), s)
	is.True(errors.Is(err, ErrCreditExceeded))
	is.Equal(len(got), 4*1024)
}

// An agent's port may be wrong in the settings, or the agent may be of another
// version or deployment. The error must tell the operator which of these it is.
func TestHandshakeErrorsNameTheCause(t *testing.T) {
	is := is.New(t)
	frame := func(h beechwire.Hello) []byte {
		return append([]byte(preamble), frameOf(t, kindHello, &h)...)
	}
	for _, v := range []struct {
		reply []byte
		want  string
	}{
		{[]byte("HTTP/1.1 400 Bad Request\r\n\r\n"), errProtocol.Error()},
		{frame(beechwire.Hello{Version: 99, Role: beechwire.RoleAgent}), "version 99 is not spoken here"},
		{frame(beechwire.Hello{Version: beechwire.Version, Role: beechwire.RoleAgent, Key: "other"}), errKeyMismatch.Error()},
		{frame(beechwire.Hello{Version: beechwire.Version, Role: "cook", Key: "k"}), `role "cook" is not known`},
		{append([]byte(preamble), frameOf(t, kindData, dataMessage(1, 1, ""))...), "instead of a hello"},
		{append([]byte(preamble), 0xff, 0xff, 0xff, 0xff, 1), "malformed frame"},
		{append([]byte(preamble), frameOf(t, kindBye, &beechwire.Bye{Reason: "full"})...), "refused by peer: full"},
	} {
		l := loopback(t)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Write(v.reply)
				reject(conn, errProtocol) // reads the rest of the input, so that the reply arrives
				conn.Close()
			}
		}()
		d := newDialer(Settings{Key: "k"}, &recorder{}, nil, realClock)
		c := d.Dial(addressOf(l.Addr()))
		waitFor(t, "the handshake fails", func() bool { return d.Counters().Rejected > 0 })
		var err error
		waitFor(t, "the cause is known", func() bool {
			_, err = c.Open(context.Background(), request("a"), nil)
			return strings.Contains(err.Error(), v.want)
		})
		is.True(errors.Is(err, ErrDown))
		is.True(strings.Contains(err.Error(), c.Peer().Address.String()))
		d.Close()
		l.Close()
	}
}

// A connection is cut after every third byte offset in turn, in each direction.
// The entry must either have the complete answer or report the loss; it must
// never take a partial answer for a complete one. The next request must use a
// new connection.
func TestConnectionCutMidTransfer(t *testing.T) {
	is := is.New(t)
	answer := func(ctx context.Context, s ServerStream, _ beechwire.Request, _ []byte) {
		_ = s.Send(ctx, HeadReply{})
		_ = s.Send(ctx, DataReply{Data: beechwire.Data{Sequence: 1, Data: []byte("one ")}})
		_ = s.Send(ctx, DataReply{Data: beechwire.Data{Sequence: 2, Data: []byte("two")}})
		_ = s.Send(ctx, EndReply{End: beechwire.End{Last: 2}})
	}
	p := newPair(t, Settings{}, handlerFuncs{open: answer})
	for _, replies := range []bool{false, true} {
		proxy := newCuttingProxy(t, p.address.String(), replies, 32<<10)
		whole, lost := 0, 0
		for limit := int64(0); whole < 20; limit += 3 {
			proxy.limit.Store(limit)
			if requestThroughProxy(t, proxy) {
				whole++
			} else {
				lost++
			}
		}
		is.True(lost > 50)
		proxy.limit.Store(-1)
		is.True(requestThroughProxy(t, proxy))
		proxy.close()
	}
}

// requestThroughProxy sends a request through the proxy and reports whether the
// answer was complete.
func requestThroughProxy(t *testing.T, proxy *cuttingProxy) bool {
	is := is.New(t)
	d := newDialer(Settings{Connections: 1}, &recorder{}, nil, realClock)
	defer d.Close()
	c := d.Dial(addressOf(proxy.listener.Addr()))
	waitFor(t, "the handshake is over", func() bool {
		k := d.Counters()
		return c.Ready() || k.Rejected+k.Lost+k.Up > 0
	})
	s, err := c.Open(context.Background(), request("a"), []byte("body"))
	if err != nil {
		var refused *OpenError
		is.True(errors.As(err, &refused))
		return false
	}
	got, last, err := collect(context.Background(), s)
	if err != nil {
		var lost *LostError
		is.True(errors.As(err, &lost))
		is.True(strings.HasPrefix("one two", string(got)))
		return false
	}
	_, ended := last.(EndReply)
	is.True(ended)
	is.Equal(string(got), "one two")
	return true
}

// If the host of an agent loses power, no packet ends the connection. A caller
// whose answer was in progress must not wait for TCP's own timeouts, which take
// minutes.
func TestSilentAgentIsDetected(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0))
	l := loopback(t)
	defer l.Close()
	r := &recorder{}
	source := &notifyingSource{polls: make(chan struct{}, 1)}
	d := NewDialer(Settings{Connections: 1}, hello(beechwire.RoleEntry, 5), r, answerFunc(echoCall), source, nil, clock)
	defer d.Close()
	c := d.Dial(addressOf(l.Addr()))
	acceptAsAgent(t, l)
	waitFor(t, "the link is up", c.Ready)

	<-source.polls // the poll for the first beat
	advance := func() {
		clock.Advance(d.settings.Heartbeat / 2)
		<-source.polls
		d.PushHeartbeat() // the poll of the next round shows that this round has ended
		<-source.polls
	}
	for range 10 { // an idle connection may be silent for this long
		advance()
	}
	is.True(c.Ready())
	s := openStream(t, c, "a")
	began := clock.Now()
	for d.Counters().Silent == 0 && clock.Since(began) < time.Minute {
		advance()
	}
	_, err := s.Next(context.Background())
	var lost *LostError
	is.True(errors.As(err, &lost))
	is.True(errors.Is(err, errPeerTimeout))
	is.True(clock.Since(began) <= 2*time.Second)
	waitFor(t, "Events reports the loss", func() bool {
		_, downs, _ := r.counts()
		return downs == 1
	})
}

// notifyingSource sends to polls each time the heartbeat is requested.
type notifyingSource struct{ polls chan struct{} }

func (p *notifyingSource) CurrentHeartbeat() beechwire.Heartbeat {
	p.polls <- struct{}{}
	return beechwire.Heartbeat{}
}

// An agent is replaced on the same address while its old connections still look
// alive. Work sent to the old process would be lost, so Events must report the
// old process as down before the new one as up.
func TestNewIncarnationReplacesOld(t *testing.T) {
	is := is.New(t)
	l := loopback(t)
	defer l.Close()
	r := &recorder{}
	d := newDialer(Settings{Connections: 2}, r, nil, realClock)
	defer d.Close()
	c := d.Dial(addressOf(l.Addr()))
	acceptAsAgent(t, l)
	waitFor(t, "the old process is linked", c.Ready)
	s := openStream(t, c, "a")
	for range extraConnectionThreshold { // enough for a second connection to be opened
		openStream(t, c, "b")
	}
	conn, err := l.Accept()
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(sendHello(conn, hello(beechwire.RoleAgent, 8)(), ""))
	_, err = s.Next(context.Background())
	var lost *LostError
	is.True(errors.As(err, &lost))
	is.True(strings.Contains(err.Error(), "replaced by incarnation 8"))
	waitFor(t, "Events has reported both", func() bool {
		ups, downs, _ := r.counts()
		return ups == 2 && downs == 1
	})
	is.Equal(c.Peer().Incarnation, uint64(8))
}

func TestCallsEndWithContextOrConnection(t *testing.T) {
	is := is.New(t)
	c, f := newFakeAgent(t, Settings{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		var m beechwire.Call
		f.await(kindCall, &m)
		cancel()
	}()
	_, err := c.Call(ctx, "m", nil)
	is.True(errors.Is(err, context.Canceled))
	f.send(kindResult, &beechwire.Result{Call: 1})
	waitFor(t, "the late result is counted", func() bool { return c.dialer.Counters().Late == 1 })
	go func() {
		var m beechwire.Call
		f.await(kindCall, &m)
		f.conn.Close()
	}()
	_, err = c.Call(context.Background(), "m", nil)
	var lost *LostError
	is.True(errors.As(err, &lost))
	_, err = c.Call(context.Background(), "m", nil)
	var refused *OpenError
	is.True(errors.As(err, &refused) || errors.As(err, &lost))
}

// A burst needs an extra connection. If it were kept, the extra connections to
// hundreds of agents would cost an idle entry memory and heartbeats.
func TestExtraConnectionsOpenAndClose(t *testing.T) {
	is := is.New(t)
	p := newPair(t, Settings{Connections: 3}, handlerFuncs{open: func(ctx context.Context, _ ServerStream, _ beechwire.Request, _ []byte) { <-ctx.Done() }})
	var streams []Stream
	for len(streams) < extraConnectionThreshold {
		streams = append(streams, openStream(t, p.client, "a"))
	}
	is.Equal(p.dialer.Counters().Up, uint64(1))
	streams = append(streams, openStream(t, p.client, "a"))
	waitFor(t, "a second connection is up", func() bool { return len(p.dialer.sessions.allConnections()) == 2 })
	p.client.mu.Lock()
	kept, spare := p.client.endpoints[0], p.client.endpoints[1]
	p.client.mu.Unlock()
	s := openStream(t, p.client, "a")
	is.Equal(spare.streamCount(), 1)
	later := func(d time.Duration) {
		for _, e := range []*clientEndpoint{kept, spare} {
			e.checkIdle(e.connection, time.Now().Add(d))
		}
	}
	later(0)
	later(2 * extraIdleTimeout)
	is.True(spare.usable())
	s.Close(false)
	later(3 * extraIdleTimeout)
	is.True(!spare.usable())
	waitFor(t, "the second connection is closed", func() bool { return len(p.dialer.sessions.allConnections()) == 1 })
	for _, s := range streams {
		s.Close(false)
	}
	later(9 * extraIdleTimeout)
	is.True(kept.usable())
	is.Equal(p.dialer.Counters().Lost, uint64(0))
}

// This process was stopped for longer than the deadline, and a change of its heartbeat asks for a round
// before the periodic one has noticed the stop. The peer must not be taken for silent.
func TestUrgentRoundAfterAStopEndsNoLink(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	l := loopback(t)
	t.Cleanup(func() { l.Close() })
	d := newDialer(Settings{Connections: 1}, &recorder{}, nil, clock)
	t.Cleanup(d.Close)
	c := d.Dial(addressOf(l.Addr()))
	acceptAsAgent(t, l)
	waitFor(t, "the link is up", c.Ready)
	openStream(t, c, "a")
	for range 20 {
		d.scheduler.mu.Lock() // holds up the round that is asked for first
		d.PushHeartbeat()
		waitFor(t, "the round has begun", func() bool { return len(d.scheduler.trigger) == 0 })
		d.PushHeartbeat()
		clock.Advance(10 * time.Second)
		d.scheduler.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		is.True(c.Ready())
	}
	is.Equal(d.Counters().Silent, uint64(0))
}
