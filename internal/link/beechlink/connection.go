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
	// connection is one TCP connection after its handshake. The client's and
	// the server's part is its end.
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
		probesIdle  bool // this side starts the beats of an idle connection

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

	// demand says what is wanted of a beat beside what is due.
	beatMode int

	// end is what differs between the two sides of a connection.
	endpoint interface {
		// receive takes a frame that is not the connection's own business.
		receive(c *connection, k kind, body []byte) error
		// streams is the number of open ones.
		streamCount() int
		// lost ends all streams.
		connectionLost(c *connection, err error)
		// rest is called each round, for what follows from a time of no work.
		checkIdle(c *connection, now time.Time)
		// bye takes the peer's word that it closes on purpose.
		receiveBye(c *connection, reason string)
	}
)

const (
	beatIfDue beatMode = iota
	beatNow            // send one
	beatProbe          // send one that asks for an answer
)

const (
	byeDrained = "drained"
	byeClosed  = "closed"

	// idleMissed is how many beats of an idle entry may be missing before the
	// agent takes it for dead. Nothing waits for it, so being slow costs
	// little; being quick would drop many links after a short pause.
	idleMissedBeats = 2

	// idlePatience is by how much more than Deadline an idle peer may take to
	// answer a beat, for the same reason.
	idleDeadlineFactor = 2

	// loadShare is how often in an idle period a changed load is told on a
	// connection with streams. Each closing reply tells it too.
	loadUpdatesPerIdleInterval = 4
)

// run reads until the connection ends and returns why; nil after an orderly
// end of both sides.
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
	// Streams are told before their contexts end: a handler that saw its
	// context end first would take a lost link for a caller who gave up, and
	// cancel a generation that should wait for the caller's return.
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

// fail ends the connection at once. The first cause is kept.
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

// finish sends what is queued and then a last Bye; the other side then ends
// the connection. Closing here instead could make the kernel reset the
// connection and destroy replies that are still on their way.
func (c *connection) sendBye(reason string) {
	if c.out.send(kindBye, &beechwire.Bye{Reason: reason}) == nil {
		c.out.finish()
	}
}

// waitWritten returns once the writer has ended, or after limit.
func (c *connection) waitWriterDone(limit time.Duration) {
	timer := c.scheduler.clock.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-c.out.done:
	case <-timer.Chan():
	}
}

// leave ends the connection after everything queued. A peer that does not
// end its direction within the deadline is cut, so that a frozen entry cannot
// hold up an agent's shutdown.
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

// check is called by the pacer each round: it beats when it is time and ends
// the connection when the peer was silent for too long.
func (c *connection) check(m tick) {
	if c.peerTimedOut(m) {
		c.counters.silent.Add(1)
		// The other connections to a dead host die with this one.
		for _, other := range c.sessions.otherConnections(c) {
			other.sendBeat(m, beatProbe)
		}
		c.fail(errPeerTimeout)
		return
	}
	c.sendBeat(m, beatIfDue)
	c.endpoint.checkIdle(c, m.now)
}

// silent tells whether the peer must be taken for dead. Silence counts from
// the last frame, but not from before work became outstanding, since an idle
// peer owes nothing; and not from before a pause of this process, during which
// the peer's frames could not be read.
func (c *connection) peerTimedOut(m tick) bool {
	busy := c.busy()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received.Swap(false) || m.delayed || c.lastReceived.IsZero() {
		c.lastReceived = m.now
	}
	if !busy {
		c.busySince = time.Time{}
		return c.idlePeerTimedOut(m.now)
	}
	if c.busySince.IsZero() {
		c.busySince = m.now
	}
	since := c.lastReceived
	if c.busySince.After(since) {
		since = c.busySince
	}
	return m.now.Sub(since) > c.settings.Deadline
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

// beat sends a beat if one is due or demanded.
func (c *connection) sendBeat(m tick, mode beatMode) {
	if c.out.queuedBytes() > maxQueuedBytes {
		return
	}
	busy := c.busy()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleInterval = m.idleInterval
	interval := c.announcedIntervalMillis(m.idleInterval)
	b, urgent := c.encoder.delta(m.heartbeat, interval)
	probe := mode == beatProbe || c.probeDue(m.now, busy)
	load := busy && b.Load != nil && m.now.Sub(c.lastBeatSent) >= c.loadInterval()
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
	c.encoder.commit(m.heartbeat, interval)
	c.lastBeatSent = m.now
	if probe {
		c.lastProbe = m.now
	}
}

// askDue tells whether the peer should show that it lives: on a connection
// with work outstanding when nothing was heard for a heartbeat, on an idle one
// of the client's once in the idle period.
func (c *connection) probeDue(now time.Time, busy bool) bool {
	if busy {
		return now.Sub(c.lastReceived) >= c.settings.Heartbeat && now.Sub(c.lastProbe) >= c.settings.Heartbeat
	}
	if !c.probesIdle {
		return false
	}
	if c.lastProbe.IsZero() {
		c.lastProbe = now.Add(-rand.N(c.idleInterval)) // spreads the links over the period
		c.lastReceived = now.Add(1)                    // nothing is owed for it
		return false
	}
	return now.Sub(c.lastProbe) >= c.idleInterval
}

// announced is the idle period that the peer is told, in milliseconds; a
// shrinking fleet need not be told at once.
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

// known is the peer with the generation it last told.
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
