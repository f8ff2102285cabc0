package beechkeepalive

import (
	"cmp"
	"errors"
	"io"
	"math"
	"time"

	"github.com/beechring/beechring/internal/link/beechsocket"
)

type (
	// use tells how much a connection is needed.
	use struct {
		need  need
		rate  float64 // bytes a second of a body that comes
		since time.Time
	}

	// need is how much would be lost with a connection.
	need int
)

// From the first to be reset to the last; one that is served is not reset.
const (
	overdue   need = iota // a request that takes longer than one of a caller that sends
	silent                // the first request, of which nothing has come
	beginning             // a request of which a part of the head has come
	kept                  // perhaps the caller's next request
	sending               // a request of which a part of the body has come
	served                // a response
)

// watchedBytes is how many bytes net/http reads at a time while a request is being served, to notice that its
// caller has left.
const watchedBytes = 1

const (
	// headSlack is for the first line of a head, and for bytes behind it that are read with it.
	headSlack    = 8 << 10
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// A caller that was refused may send so much for so long until it has read that.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
	// maxLingering bounds what callers send that nobody reads any more.
	maxLingering = 32
	// behindBuffer is the receive buffer of a connection that has received bytes behind a request.
	behindBuffer = 8 << 10
)

var errHeadTooLarge = errors.New("head of the request is too large")

const (
	// sendTime is how long a caller may take for a request, beside its body, while connections are short.
	sendTime = 500 * time.Millisecond
	// sendRate in bytes a second is the rate at which a body must come then.
	sendRate = 16 << 10
	// minRateTime is the least time over which a rate is taken.
	minRateTime = 10 * time.Millisecond
)

// makeRoom reports whether one more connection may be opened, for which it may reset another one.
func (g *Group) makeRoom() bool {
	g.mu.Lock()
	if g.settings.MaxOpen == 0 || len(g.conns) < g.settings.MaxOpen {
		g.mu.Unlock()
		return true
	}
	var least *conn
	var leastUse use
	now := g.clock.Now()
	for c := range g.conns {
		if u := c.use(now); u.replaceable() && (least == nil || u.before(leastUse)) {
			least, leastUse = c, u
		}
	}
	g.mu.Unlock()
	if least == nil {
		return false
	}
	least.reset(Crowded)
	return true
}

// use returns how much the connection is needed. A request whose body is being read has a deadline.
func (c *conn) use(now time.Time) use {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch p := c.phaseNow(); {
	case p == awaiting && c.kept:
		return use{need: kept, since: c.since}
	case p == awaiting:
		return c.useOfSender(silent, c.since, now)
	case p == inHead:
		return c.useOfSender(beginning, c.begun, now)
	case !c.deadline.IsZero():
		return c.useOfSender(sending, c.begun, now)
	default:
		return use{need: served, since: c.begun}
	}
}

// useOfSender returns the use of a connection whose request has been awaited since a time.
func (c *conn) useOfSender(n need, since, now time.Time) use {
	age, due, rate := now.Sub(since), sendTime, 0.0
	if n == sending {
		received := float64(c.read.Load())
		due += time.Duration(received / sendRate * float64(time.Second))
		rate = received / max(age, minRateTime).Seconds()
	}
	if age > due {
		return use{need: overdue, since: since}
	}
	return use{n, rate, since}
}

func (u use) replaceable() bool { return u.need < served }

// before reports whether a connection is to be reset before another one.
func (u use) before(other use) bool {
	return cmp.Or(cmp.Compare(u.need, other.need), cmp.Compare(u.rate, other.rate), u.since.Compare(other.since)) < 0
}

// receiveHead counts bytes of a head. If it is too large, it refuses the request and returns an error, else
// that of the read.
func (c *conn) receiveHead(n int, err error) error {
	if c.group.receiveHead(c, n) <= c.group.maxHead() {
		return err
	}
	c.end(LongHead)
	if _, err := c.Conn.Write([]byte(headTooLarge)); err == nil && c.group.beginLinger(c) {
		_ = beechsocket.CloseWrite(c.Conn)
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	c.reset(LongHead)
	return errHeadTooLarge
}

// beginLinger reports whether a connection may be kept open after its last response, so that the caller
// reads it although it is still sending.
func (g *Group) beginLinger(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, open := g.conns[c]; !open || g.lingering >= maxLingering {
		return false
	}
	g.lingering++
	c.lingers = true
	return true
}

// receiveHead counts bytes of a head, and returns how many there are. If all heads have become too large,
// the connection is reset that has been in its head for longest.
func (g *Group) receiveHead(c *conn, n int) int {
	g.mu.Lock()
	if _, open := g.conns[c]; !open {
		g.mu.Unlock()
		return 0
	}
	if c.headBytes == 0 {
		c.headSince = g.clock.Now()
	}
	c.headBytes += n
	g.headBytes += n
	var oldest *conn
	if g.settings.HeadBytes > 0 && g.headBytes > g.settings.HeadBytes {
		oldest = g.oldestHead()
	}
	size := c.headBytes
	g.mu.Unlock()
	if oldest != nil {
		oldest.reset(HeadMemory)
	}
	return size
}

// maxHead returns the bytes of one head with what may have been read behind it.
func (g *Group) maxHead() int {
	if g.settings.MaxHead == nil {
		return math.MaxInt
	}
	if size := g.settings.MaxHead(); size > 0 {
		return size + headSlack
	}
	return math.MaxInt
}

// endHead takes a head that is complete out of the count, and what was received before it.
func (g *Group) endHead(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.headBytes -= c.headBytes
	g.behind -= c.behind
	c.headBytes, c.behind = 0, 0
}

// receiveBehind counts the bytes that a connection has received behind a request that is being served, and
// has the kernel receive few more.
func (g *Group) receiveBehind(c *conn) {
	if g.settings.BehindBytes == 0 {
		return
	}
	beechsocket.SetReceiveBuffer(c.Conn, behindBuffer)
	size := beechsocket.Unread(c.Conn) + behindBuffer
	g.mu.Lock()
	_, open := g.conns[c]
	if open {
		g.behind += size - c.behind
		c.behind = size
	}
	tooMany := open && g.behind > g.settings.BehindBytes
	g.mu.Unlock()
	if tooMany {
		c.reset(BytesBehind)
	}
}

func (g *Group) oldestHead() *conn {
	var oldest *conn
	for c := range g.conns {
		if c.headBytes > 0 && (oldest == nil || c.headSince.Before(oldest.headSince)) {
			oldest = c
		}
	}
	return oldest
}
