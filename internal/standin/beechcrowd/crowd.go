package beechcrowd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

type (
	// Settings describe a crowd.
	Settings struct {
		Form      string // of Forms
		Clients   int    // connections at once
		Address   netip.AddrPort
		Host      string // Host header; empty: the address
		Path      string
		BodyBytes int    // the largest body that the server accepts
		Before    string // beginning of each body; the rest is filler
		After     string // end of each whole body
		// Header returns the header of the crowd's n-th request; nil: no fields.
		Header func(n int) http.Header
	}

	// Counts tell what became of a crowd's connections.
	Counts struct {
		Opened   int         // connections
		Unopened int         // connections that were refused
		Answered map[int]int // by status
		Closed   int         // without an answer
	}

	// Crowd is a running crowd. It is safe for concurrent use.
	Crowd struct {
		settings Settings
		form     Form
		stop     chan struct{}
		clients  sync.WaitGroup

		mu       sync.Mutex
		stopped  bool
		requests int
		counts   Counts
		turns    map[int]bool // clients that had one
		open     map[net.Conn]struct{}
	}

	// visit is one connection of a client.
	visit struct {
		crowd   *Crowd
		client  int
		conn    net.Conn
		listens bool          // an answer ends the visit
		ended   chan struct{} // closed when the server has answered or closed the connection
	}
)

const (
	// returnPause is how long a client that was turned away stays away.
	returnPause = 100 * time.Millisecond
	dialTimeout = 2 * time.Second
	pieceBytes  = 64 << 10
)

var filler = []byte(strings.Repeat("x", pieceBytes))

// New starts a crowd.
func New(s Settings) (*Crowd, error) {
	form, known := find(s.Form)
	if !known {
		return nil, fmt.Errorf("crowd: no form %q", s.Form)
	}
	c := &Crowd{settings: s, form: form, stop: make(chan struct{}), turns: make(map[int]bool), open: make(map[net.Conn]struct{})}
	c.counts.Answered = make(map[int]int)
	for n := range s.Clients {
		c.clients.Go(func() {
			for c.visit(n) {
				select {
				case <-time.After(returnPause):
				case <-c.stop:
				}
			}
		})
	}
	return c, nil
}

// AwaitTurns waits until each client has sent what it wants to or was turned away once, or until the
// time is over.
func (c *Crowd) AwaitTurns(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c.mu.Lock()
		all := len(c.turns) == c.settings.Clients
		c.mu.Unlock()
		if all {
			return
		}
	}
}

// Stop closes all connections and returns when the clients have ended.
func (c *Crowd) Stop() {
	c.mu.Lock()
	if !c.stopped {
		c.stopped = true
		close(c.stop)
	}
	for conn := range c.open {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.clients.Wait()
}

// Counts returns what became of the connections so far.
func (c *Crowd) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	counts.Answered = make(map[int]int)
	for status, n := range c.counts.Answered {
		counts.Answered[status] = n
	}
	return counts
}

// visit opens a connection and behaves on it. It returns false once the crowd was stopped.
func (c *Crowd) visit(client int) bool {
	conn, err := net.DialTimeout("tcp", c.settings.Address.String(), dialTimeout)
	c.mu.Lock()
	if c.stopped {
		c.mu.Unlock()
		if err == nil {
			_ = conn.Close()
		}
		return false
	}
	if err != nil {
		c.counts.Unopened++
		c.turns[client] = true
		c.mu.Unlock()
		return true
	}
	c.counts.Opened++
	c.open[conn] = struct{}{}
	c.mu.Unlock()

	v := &visit{crowd: c, client: client, conn: conn, ended: make(chan struct{})}
	if err := c.form.behave(v); err == nil || !v.listens {
		v.hadTurn()
		c.awaitEnd(v, err)
	} else {
		<-v.ended // the write failed, so the other direction ends as well
	}
	v.hadTurn()
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
	return !c.stopped
}

// awaitEnd returns when the server has answered or closed the connection, or the crowd is stopped.
func (c *Crowd) awaitEnd(v *visit, err error) {
	if err != nil {
		c.count(nil)
		return
	}
	select {
	case <-v.ended:
	case <-c.stop:
	}
}

func (v *visit) hadTurn() {
	v.crowd.mu.Lock()
	v.crowd.turns[v.client] = true
	v.crowd.mu.Unlock()
}

// listen reads the next answer, after which the client leaves.
func (v *visit) listen() {
	v.listens = true
	go func() {
		defer close(v.ended)
		response, err := http.ReadResponse(bufio.NewReader(v.conn), nil)
		if err != nil {
			response = nil
		}
		v.crowd.count(response)
	}()
}

func (c *Crowd) count(r *http.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.stopped:
	case r == nil:
		c.counts.Closed++
	default:
		c.counts.Answered[r.StatusCode]++
	}
}
