package beechlink

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// connection is one TCP connection after its handshake. What differs
	// between client and server is in its endpoint.
	connection struct {
		conn        net.Conn
		peer        Peer
		key         sessionKey
		settings    Settings
		counters    *counters
		scheduler   *heartbeatScheduler
		callHandler CallHandler
		sessions    *sessionTable
		endpoint    endpoint
		out         *outbox
		outgoing    outgoingCalls
		incoming    incomingCalls
		context     context.Context
		cancel      context.CancelFunc
		probesIdle  bool // this side sends the beats that probe an idle connection

		received atomic.Bool

		mu               sync.Mutex
		encoder          beatEncoder
		lastReceived     time.Time
		lastBeatSent     time.Time
		lastProbe        time.Time
		busySince        time.Time // zero while idle
		idleInterval     time.Duration
		peerIdleInterval time.Duration
		peerState        beechwire.Heartbeat
		failure          error
	}

	// beatMode tells sendBeat when to send a beat.
	beatMode int

	// endpoint is the part of a connection that differs between client and
	// server.
	endpoint interface {
		// receive handles a frame of a kind that the connection does not handle
		// itself.
		receive(c *connection, k kind, body []byte) error
		// streamCount returns the number of open streams.
		streamCount() int
		// connectionLost ends all streams.
		connectionLost(c *connection, err error)
		// checkIdle is called in each round of the scheduler, to act on a time
		// without work.
		checkIdle(c *connection, now time.Time)
		// receiveBye handles the peer's notice that it closes the connection on
		// purpose.
		receiveBye(c *connection, reason string)
	}
)

const (
	beatIfDue beatMode = iota // send one only if it is due
	beatNow                   // send one even if none is due
	beatProbe                 // send one now that asks for an answer
)

const (
	byeDrained = "drained"
	byeClosed  = "closed"

	// idleMissedBeats is how many beats of an idle entry may be missing before
	// the agent considers it dead. Nothing waits for an idle entry, so slow
	// detection costs little, while fast detection would drop many links after
	// a short pause.
	idleMissedBeats = 2

	// idleDeadlineFactor multiplies Deadline to give the time in which an idle
	// peer must answer a beat. It is longer for the same reason.
	idleDeadlineFactor = 2

	// loadUpdatesPerIdleInterval is how many times in an idle interval a
	// changed load is sent on a connection with streams. Each final reply
	// carries the load too.
	loadUpdatesPerIdleInterval = 4
)

// run reads until the connection ends and returns the cause: io.EOF if the peer
// closed its direction in an orderly way.
func (c *connection) run(frames *frameReader) error {
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		if err := c.out.writeLoop(c.conn); err != nil {
			c.fail(err)
		}
	}()
	c.scheduler.add(c)
	err := c.read(frames)
	c.scheduler.remove(c)
	c.fail(err)
	<-writerDone
	failure := c.failureCause()
	c.outgoing.failAll(&LostError{Peer: c.peer.Address, Err: failure})
	// Streams are notified before their contexts end. A handler that saw its
	// context end first would mistake a lost link for a caller that gave up,
	// and cancel a generation that should wait for the caller to return.
	c.endpoint.connectionLost(c, failure)
	c.cancel()
	return failure
}

func (c *connection) read(frames *frameReader) error {
	counted := uint64(0)
	for {
		k, body, err := frames.next()
		if err != nil {
			return err
		}
		if !c.received.Load() {
			c.received.Store(true)
		}
		c.counters.framesIn.Add(1)
		if frames.bytesRead != counted {
			c.counters.bytesIn.Add(frames.bytesRead - counted)
			counted = frames.bytesRead
		}
		if err := c.receive(k, body); err != nil {
			return fmt.Errorf("frame of type %d: %w", k, err)
		}
	}
}

func (c *connection) receive(k kind, body []byte) error {
	switch k {
	case kindBeat:
		return c.receiveBeat(body)
	case kindCall:
		return c.receiveCall(body)
	case kindResult:
		return c.receiveResult(body)
	case kindBye:
		var m beechwire.Bye
		if _, err := m.UnmarshalMsg(body); err != nil {
			return malformed(err)
		}
		c.endpoint.receiveBye(c, m.Reason)
		return nil
	case kindHello:
		return &FrameError{Problem: "second hello"}
	default:
		return c.endpoint.receive(c, k, body)
	}
}

func malformed(err error) error { return &FrameError{Problem: err.Error()} }

// fail ends the connection at once. Only the cause of the first call is kept.
func (c *connection) fail(err error) {
	if err == nil {
		err = io.EOF
	}
	c.mu.Lock()
	if c.failure == nil {
		c.failure = err
	}
	first := c.failure
	c.mu.Unlock()
	c.out.fail(first)
	c.conn.Close()
}

func (c *connection) failureCause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// sendBye sends what is queued, then a Bye, and closes this side's direction;
// the peer then ends the connection. Closing the whole connection here could
// make the kernel reset it and discard replies that are still in transit.
func (c *connection) sendBye(reason string) {
	if c.out.send(kindBye, &beechwire.Bye{Reason: reason}) == nil {
		c.out.finish()
	}
}

// waitWriterDone returns once the writer has ended, or after limit.
func (c *connection) waitWriterDone(limit time.Duration) {
	timer := c.scheduler.clock.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-c.out.done:
	case <-timer.Chan():
	}
}

// closeGracefully ends the connection after everything queued was sent. If the
// peer does not close its direction within the deadline, the connection is cut,
// so that a frozen entry cannot delay an agent's shutdown.
func (c *connection) closeGracefully(reason string) {
	c.sendBye(reason)
	go func() {
		select {
		case <-c.out.done:
		case <-c.context.Done():
			return
		}
		timer := c.scheduler.clock.NewTimer(c.settings.Deadline)
		defer timer.Stop()
		select {
		case <-timer.Chan():
			c.fail(errPeerTimeout)
		case <-c.context.Done():
		}
	}()
}

func (c *connection) busy() bool {
	return c.endpoint.streamCount() > 0 || c.outgoing.count() > 0
}

// check is called by the scheduler in each round. It sends a beat if one is
// due, and ends the connection if the peer was silent for too long.
func (c *connection) check(t tick) {
	if c.peerTimedOut(t) {
		c.counters.silent.Add(1)
		// The host may be dead: probe its other connections too.
		for _, other := range c.sessions.otherConnections(c) {
			other.sendBeat(t, beatProbe)
		}
		c.fail(errPeerTimeout)
		return
	}
	c.sendBeat(t, beatIfDue)
	c.endpoint.checkIdle(c, t.now)
}

// peerTimedOut reports whether the peer must be considered dead. The time runs
// from the last frame received, or from when work became outstanding if that is
// later, since an idle peer need not send anything. After a pause of this
// process, during which the peer's frames could not be read, it starts again.
func (c *connection) peerTimedOut(t tick) bool {
	busy := c.busy()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received.Swap(false) || t.delayed || c.lastReceived.IsZero() {
		c.lastReceived = t.now
	}
	if !busy {
		c.busySince = time.Time{}
		return c.idlePeerTimedOut(t.now)
	}
	if c.busySince.IsZero() {
		c.busySince = t.now
	}
	since := c.lastReceived
	if c.busySince.After(since) {
		since = c.busySince
	}
	return t.now.Sub(since) > c.settings.Deadline
}

func (c *connection) idlePeerTimedOut(now time.Time) bool {
	timeout := idleDeadlineFactor * c.settings.Deadline
	replyDue := !c.lastProbe.IsZero() && !c.lastReceived.After(c.lastProbe)
	if replyDue && now.Sub(c.lastProbe) > timeout {
		return true
	}
	missedTime := idleMissedBeats * max(c.idleInterval, c.peerIdleInterval)
	return now.Sub(c.lastReceived) > missedTime+timeout
}

// sendBeat sends a beat if one is due or if mode requires it.
func (c *connection) sendBeat(t tick, mode beatMode) {
	if c.out.queuedBytes() > maxQueuedBytes {
		return
	}
	busy := c.busy()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleInterval = t.idleInterval
	interval := c.announcedIntervalMillis(t.idleInterval)
	b, urgent := c.encoder.delta(t.heartbeat, interval)
	probe := mode == beatProbe || c.probeDue(t.now, busy)
	load := busy && b.Load != nil && t.now.Sub(c.lastBeatSent) >= c.loadInterval()
	if !urgent && !probe && !load && mode == beatIfDue {
		return
	}
	if probe {
		b.Ask = &probe
	}
	if c.out.send(kindBeat, &b) != nil {
		return
	}
	c.counters.beatsOut.Add(1)
	c.encoder.commit(t.heartbeat, interval)
	c.lastBeatSent = t.now
	if probe {
		c.lastProbe = t.now
	}
}

// probeDue reports whether a beat that asks for an answer is due: on a
// connection with outstanding work, when nothing was received for a heartbeat;
// on an idle one, once in the idle interval and only from the client.
func (c *connection) probeDue(now time.Time, busy bool) bool {
	if busy {
		return now.Sub(c.lastReceived) >= c.settings.Heartbeat && now.Sub(c.lastProbe) >= c.settings.Heartbeat
	}
	if !c.probesIdle {
		return false
	}
	if c.lastProbe.IsZero() {
		c.lastProbe = now.Add(-rand.N(c.idleInterval)) // spreads the probes of all links over the interval
		c.lastReceived = now.Add(1)                    // no probe was sent, so no answer is awaited
		return false
	}
	return now.Sub(c.lastProbe) >= c.idleInterval
}

// announcedIntervalMillis returns the idle interval to announce to the peer. A
// shorter one is announced only when it is at most half of the previous one,
// since the peer need not learn at once that there are fewer connections.
func (c *connection) announcedIntervalMillis(idle time.Duration) int64 {
	if !c.probesIdle {
		return 0
	}
	interval := idle.Milliseconds()
	if interval <= c.encoder.intervalMillis && 2*interval > c.encoder.intervalMillis {
		return c.encoder.intervalMillis
	}
	return interval
}

func (c *connection) loadInterval() time.Duration {
	return max(c.settings.Heartbeat, c.idleInterval/loadUpdatesPerIdleInterval, c.peerIdleInterval/loadUpdatesPerIdleInterval)
}

func (c *connection) receiveBeat(body []byte) error {
	var b beechwire.Beat
	if _, err := b.UnmarshalMsg(body); err != nil {
		return malformed(err)
	}
	c.counters.beatsIn.Add(1)
	c.mu.Lock()
	mergeBeat(&c.peerState, &b)
	h := c.peerState
	if b.EveryMillis != nil {
		c.peerIdleInterval = time.Duration(*b.EveryMillis) * time.Millisecond
	}
	c.mu.Unlock()
	if b.Ask != nil && *b.Ask {
		c.sendBeat(c.scheduler.currentTick(), beatNow)
	}
	c.sessions.enqueueHeartbeat(c, h)
	return nil
}

// currentPeer returns the peer with the latest generation it reported.
func (c *connection) currentPeer() Peer {
	p := c.peer
	c.mu.Lock()
	defer c.mu.Unlock()
	p.Generation = max(p.Generation, c.peerState.Generation)
	return p
}

func (c *connection) countEnd(err error) {
	var frame *FrameError
	if errors.As(err, &frame) {
		c.counters.malformed.Add(1)
	}
	if !errors.Is(err, io.EOF) {
		c.counters.lost.Add(1)
	}
}

func newConnection(conn net.Conn, peer Peer, key sessionKey, s Settings, counters *counters, scheduler *heartbeatScheduler, callHandler CallHandler, sessions *sessionTable, endpoint endpoint) *connection {
	ctx, cancel := context.WithCancel(context.Background())
	return &connection{
		conn:        conn,
		peer:        peer,
		key:         key,
		settings:    s,
		counters:    counters,
		scheduler:   scheduler,
		callHandler: callHandler,
		sessions:    sessions,
		endpoint:    endpoint,
		out:         newOutbox(s.MaxFrame, counters),
		context:     ctx,
		cancel:      cancel,
	}
}
