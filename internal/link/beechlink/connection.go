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
		conn     net.Conn
		peer     Peer
		key      sessionKey
		settings Settings
		counters *counters
		pacer    *pacer
		caller   CallHandler
		roster   *roster
		end      end
		out      *outbox
		asks     askTable
		answers  answerTable
		context  context.Context
		cancel   context.CancelFunc
		beats    bool // this side starts the beats of an idle connection

		heard atomic.Bool

		mu        sync.Mutex
		writer    beatWriter
		lastHeard time.Time
		lastBeat  time.Time
		lastAsk   time.Time
		busySince time.Time // zero while idle
		idle      time.Duration
		peerIdle  time.Duration
		state     beechwire.Heartbeat
		failure   error
	}

	// demand says what is wanted of a beat beside what is due.
	demand int

	// end is what differs between the two sides of a connection.
	end interface {
		// receive takes a frame that is not the connection's own business.
		receive(c *connection, k kind, body []byte) error
		// streams is the number of open ones.
		streams() int
		// lost ends all streams.
		lost(c *connection, err error)
		// rest is called each round, for what follows from a time of no work.
		rest(c *connection, now time.Time)
		// bye takes the peer's word that it closes on purpose.
		bye(c *connection, reason string)
	}
)

const (
	demandNone   demand = iota
	demandBeat          // send one
	demandAnswer        // send one that asks for an answer
)

const (
	byeDrained = "drained"
	byeClosed  = "closed"

	// idleMissed is how many beats of an idle entry may be missing before the
	// agent takes it for dead. Nothing waits for it, so being slow costs
	// little; being quick would drop many links after a short pause.
	idleMissed = 2

	// idlePatience is by how much more than Deadline an idle peer may take to
	// answer a beat, for the same reason.
	idlePatience = 2

	// loadShare is how often in an idle period a changed load is told on a
	// connection with streams. Each closing reply tells it too.
	loadShare = 4
)

// run reads until the connection ends and returns why; nil after an orderly
// end of both sides.
func (c *connection) run(frames *frameReader) error {
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		if err := c.out.write(c.conn); err != nil {
			c.fail(err)
		}
	}()
	c.pacer.add(c)
	err := c.read(frames)
	c.pacer.remove(c)
	c.fail(err)
	<-writerDone
	failure := c.reason()
	c.asks.failAll(&LostError{Peer: c.peer.Address, Err: failure})
	// Streams are told before their contexts end: a handler that saw its
	// context end first would take a lost link for a caller who gave up, and
	// cancel a generation that should wait for the caller's return.
	c.end.lost(c, failure)
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
		if !c.heard.Load() {
			c.heard.Store(true)
		}
		c.counters.framesIn.Add(1)
		if frames.read != counted {
			c.counters.bytesIn.Add(frames.read - counted)
			counted = frames.read
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
		c.end.bye(c, m.Reason)
		return nil
	case kindHello:
		return &FrameError{Problem: "second hello"}
	default:
		return c.end.receive(c, k, body)
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

func (c *connection) reason() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// finish sends what is queued and then a last Bye; the other side then ends
// the connection. Closing here instead could make the kernel reset the
// connection and destroy replies that are still on their way.
func (c *connection) finish(reason string) {
	if c.out.send(kindBye, &beechwire.Bye{Reason: reason}) == nil {
		c.out.finish()
	}
}

// waitWritten returns once the writer has ended, or after limit.
func (c *connection) waitWritten(limit time.Duration) {
	timer := c.pacer.clock.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-c.out.done:
	case <-timer.Chan():
	}
}

// leave ends the connection after everything queued. A peer that does not
// end its direction within the deadline is cut, so that a frozen entry cannot
// hold up an agent's shutdown.
func (c *connection) leave(reason string) {
	c.finish(reason)
	go func() {
		select {
		case <-c.out.done:
		case <-c.context.Done():
			return
		}
		timer := c.pacer.clock.NewTimer(c.settings.Deadline)
		defer timer.Stop()
		select {
		case <-timer.Chan():
			c.fail(errSilent)
		case <-c.context.Done():
		}
	}()
}

func (c *connection) busy() bool {
	return c.end.streams() > 0 || c.asks.count() > 0
}

// check is called by the pacer each round: it beats when it is time and ends
// the connection when the peer was silent for too long.
func (c *connection) check(m moment) {
	if c.silent(m) {
		c.counters.silent.Add(1)
		// The other connections to a dead host die with this one.
		for _, other := range c.roster.siblings(c) {
			other.beat(m, demandAnswer)
		}
		c.fail(errSilent)
		return
	}
	c.beat(m, demandNone)
	c.end.rest(c, m.now)
}

// silent tells whether the peer must be taken for dead. Silence counts from
// the last frame, but not from before work became outstanding, since an idle
// peer owes nothing; and not from before a pause of this process, during which
// the peer's frames could not be read.
func (c *connection) silent(m moment) bool {
	busy := c.busy()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heard.Swap(false) || m.late || c.lastHeard.IsZero() {
		c.lastHeard = m.now
	}
	if !busy {
		c.busySince = time.Time{}
		return c.silentIdle(m.now)
	}
	if c.busySince.IsZero() {
		c.busySince = m.now
	}
	since := c.lastHeard
	if c.busySince.After(since) {
		since = c.busySince
	}
	return m.now.Sub(since) > c.settings.Deadline
}

func (c *connection) silentIdle(now time.Time) bool {
	patience := idlePatience * c.settings.Deadline
	owed := !c.lastAsk.IsZero() && !c.lastHeard.After(c.lastAsk)
	if owed && now.Sub(c.lastAsk) > patience {
		return true
	}
	missed := idleMissed * max(c.idle, c.peerIdle)
	return now.Sub(c.lastHeard) > missed+patience
}

// beat sends a beat if one is due or demanded.
func (c *connection) beat(m moment, d demand) {
	if c.out.queued() > queueLimit {
		return
	}
	busy := c.busy()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = m.idle
	every := c.announced(m.idle)
	b, urgent := c.writer.next(m.heartbeat, every)
	ask := d == demandAnswer || c.askDue(m.now, busy)
	load := busy && b.Load != nil && m.now.Sub(c.lastBeat) >= c.loadPeriod()
	if !urgent && !ask && !load && d == demandNone {
		return
	}
	if ask {
		b.Ask = &ask
	}
	if c.out.send(kindBeat, &b) != nil {
		return
	}
	c.counters.beatsOut.Add(1)
	c.writer.taken(m.heartbeat, every)
	c.lastBeat = m.now
	if ask {
		c.lastAsk = m.now
	}
}

// askDue tells whether the peer should show that it lives: on a connection
// with work outstanding when nothing was heard for a heartbeat, on an idle one
// of the client's once in the idle period.
func (c *connection) askDue(now time.Time, busy bool) bool {
	if busy {
		return now.Sub(c.lastHeard) >= c.settings.Heartbeat && now.Sub(c.lastAsk) >= c.settings.Heartbeat
	}
	if !c.beats {
		return false
	}
	if c.lastAsk.IsZero() {
		c.lastAsk = now.Add(-rand.N(c.idle)) // spreads the links over the period
		c.lastHeard = now.Add(1)             // nothing is owed for it
		return false
	}
	return now.Sub(c.lastAsk) >= c.idle
}

// announced is the idle period that the peer is told, in milliseconds; a
// shrinking fleet need not be told at once.
func (c *connection) announced(idle time.Duration) int64 {
	if !c.beats {
		return 0
	}
	every := idle.Milliseconds()
	if every <= c.writer.every && 2*every > c.writer.every {
		return c.writer.every
	}
	return every
}

func (c *connection) loadPeriod() time.Duration {
	return max(c.settings.Heartbeat, c.idle/loadShare, c.peerIdle/loadShare)
}

func (c *connection) receiveBeat(body []byte) error {
	var b beechwire.Beat
	if _, err := b.UnmarshalMsg(body); err != nil {
		return malformed(err)
	}
	c.counters.beatsIn.Add(1)
	c.mu.Lock()
	merge(&c.state, &b)
	h := c.state
	if b.EveryMillis != nil {
		c.peerIdle = time.Duration(*b.EveryMillis) * time.Millisecond
	}
	c.mu.Unlock()
	if b.Ask != nil && *b.Ask {
		c.beat(c.pacer.moment(), demandBeat)
	}
	c.roster.heartbeat(c, h)
	return nil
}

// known is the peer with the generation it last told.
func (c *connection) known() Peer {
	p := c.peer
	c.mu.Lock()
	defer c.mu.Unlock()
	p.Generation = max(p.Generation, c.state.Generation)
	return p
}

func (c *connection) count(err error) {
	var frame *FrameError
	if errors.As(err, &frame) {
		c.counters.malformed.Add(1)
	}
	if !errors.Is(err, io.EOF) {
		c.counters.lost.Add(1)
	}
}

func newConnection(conn net.Conn, peer Peer, key sessionKey, s Settings, k *counters, p *pacer, caller CallHandler, r *roster, e end) *connection {
	ctx, cancel := context.WithCancel(context.Background())
	return &connection{
		conn:     conn,
		peer:     peer,
		key:      key,
		settings: s,
		counters: k,
		pacer:    p,
		caller:   caller,
		roster:   r,
		end:      e,
		out:      newOutbox(s.MaxFrame, k),
		context:  ctx,
		cancel:   cancel,
	}
}
