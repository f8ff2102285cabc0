package beechscenario

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
)

type (
	// faultProxy is a TCP proxy in front of one process that simulates network
	// failures. It can close connections, as a failing switch does, or stall
	// them. A stalled connection stays open and delivers nothing, as on a link
	// that loses every packet. After restore, the bytes that were held back are
	// delivered, as TCP retransmits them.
	faultProxy struct {
		listener net.Listener
		target   netip.AddrPort

		mu       sync.Mutex
		open     map[net.Conn]struct{}
		refusing bool             // whether new connections are closed
		stalled  [2]chan struct{} // by direction; closed by restore, nil unless stalled
		held     [2]int           // bytes received while their direction was stalled
	}

	// direction is the direction in which bytes are forwarded.
	direction int
)

const (
	toProcess direction = iota
	fromProcess
)

func newFaultProxy(public, target netip.AddrPort) (*faultProxy, error) {
	listener, err := net.Listen("tcp", public.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", public, err)
	}
	p := &faultProxy{listener: listener, target: target, open: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *faultProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *faultProxy) forward(client net.Conn) {
	defer client.Close()
	if p.isRefusing() {
		return
	}
	server, err := net.Dial("tcp", p.target.String())
	if err != nil {
		return
	}
	defer server.Close()
	if !p.track(client, server) {
		return
	}
	done := make(chan struct{}, 2)
	go p.copy(server, client, toProcess, done)
	go p.copy(client, server, fromProcess, done)
	<-done
	p.mu.Lock()
	delete(p.open, client)
	delete(p.open, server)
	p.mu.Unlock()
}

func (p *faultProxy) copy(to, from net.Conn, d direction, done chan<- struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.waitWhileStalled(d, n)
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

func (p *faultProxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusing {
		return false
	}
	for _, conn := range conns {
		p.open[conn] = struct{}{}
	}
	return true
}

func (p *faultProxy) isRefusing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusing
}

// waitWhileStalled holds count bytes while the given direction is stalled.
func (p *faultProxy) waitWhileStalled(d direction, count int) {
	p.mu.Lock()
	stalled := p.stalled[d]
	if stalled != nil {
		p.held[d] += count
	}
	p.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
}

// cut closes every connection. With stay, new connections are closed as well
// until restore.
func (p *faultProxy) cut(stay bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = stay
	for conn := range p.open {
		conn.Close()
	}
	p.open = map[net.Conn]struct{}{}
}

// reset closes every connection with a TCP reset, so that bytes in transit are
// lost.
func (p *faultProxy) reset() {
	p.mu.Lock()
	for conn := range p.open {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	p.mu.Unlock()
	p.cut(false)
}

// stall stops forwarding in the given directions.
func (p *faultProxy) stall(directions ...direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range directions {
		if p.stalled[d] == nil {
			p.stalled[d] = make(chan struct{})
		}
	}
}

// heldBytes returns the number of bytes that were ever held in a direction.
func (p *faultProxy) heldBytes(d direction) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held[d]
}

func (p *faultProxy) restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = false
	for d, stalled := range p.stalled {
		if stalled != nil {
			close(stalled)
			p.stalled[d] = nil
		}
	}
}

func (p *faultProxy) close() {
	p.listener.Close()
	p.restore()
	p.cut(true)
}
