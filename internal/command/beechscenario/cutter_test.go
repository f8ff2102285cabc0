package beechscenario

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
)

type (
	// cutter stands before one process and cuts the connections to it, as a
	// switch that fails does. Silent lets nothing through and keeps connections
	// open, as a link does that loses every packet; once it is mended what was
	// sent meanwhile arrives, as TCP sends it again.
	cutter struct {
		listener net.Listener
		target   netip.AddrPort

		mu     sync.Mutex
		open   map[net.Conn]struct{}
		broken bool
		silent [2]chan struct{} // by direction; closed by mend, nil unless silent
	}

	// direction is where bytes go.
	direction int
)

const (
	inward  direction = iota // to the process
	outward                  // from it
)

func newCutter(public, target netip.AddrPort) (*cutter, error) {
	listener, err := net.Listen("tcp", public.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", public, err)
	}
	c := &cutter{listener: listener, target: target, open: map[net.Conn]struct{}{}}
	go c.accept()
	return c, nil
}

func (c *cutter) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.join(conn)
	}
}

func (c *cutter) join(near net.Conn) {
	defer near.Close()
	if c.isBroken() {
		return
	}
	far, err := net.Dial("tcp", c.target.String())
	if err != nil {
		return
	}
	defer far.Close()
	if !c.track(near, far) {
		return
	}
	done := make(chan struct{}, 2)
	go c.copy(far, near, inward, done)
	go c.copy(near, far, outward, done)
	<-done
	c.mu.Lock()
	delete(c.open, near)
	delete(c.open, far)
	c.mu.Unlock()
}

func (c *cutter) copy(to, from net.Conn, d direction, done chan<- struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			c.awaitSound(d)
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	done <- struct{}{}
}

func (c *cutter) track(conns ...net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return false
	}
	for _, conn := range conns {
		c.open[conn] = struct{}{}
	}
	return true
}

func (c *cutter) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// awaitSound holds bytes back while the link is silent in their direction.
func (c *cutter) awaitSound(d direction) {
	c.mu.Lock()
	silent := c.silent[d]
	c.mu.Unlock()
	if silent != nil {
		<-silent
	}
}

// cut closes every connection; with stay, new ones are closed too until mend.
func (c *cutter) cut(stay bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = stay
	for conn := range c.open {
		conn.Close()
	}
	c.open = map[net.Conn]struct{}{}
}

// reset ends every connection without an orderly end, so that what was on its
// way is lost.
func (c *cutter) reset() {
	c.mu.Lock()
	for conn := range c.open {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	c.mu.Unlock()
	c.cut(false)
}

// hush silences the given directions.
func (c *cutter) hush(directions ...direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range directions {
		if c.silent[d] == nil {
			c.silent[d] = make(chan struct{})
		}
	}
}

func (c *cutter) mend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = false
	for d, silent := range c.silent {
		if silent != nil {
			close(silent)
			c.silent[d] = nil
		}
	}
}

func (c *cutter) close() {
	c.listener.Close()
	c.mend()
	c.cut(true)
}
