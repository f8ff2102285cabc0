// Package beechsocket looks at open connections without blocking and without consuming bytes.
//
// net/http tells a handler that its caller has disconnected by ending the request's context, from
// a goroutine of its own. On a process that is behind with its work that goroutine may run long
// after the handler. The socket itself knows at once.
//
// # Usage
//
//	server := &http.Server{ConnContext: beechsocket.ConnContext}
//	// in the handler
//	if beechsocket.Departed(r.Context()) {
//		// nobody waits for the response
//	}
//	// of any connection
//	if beechsocket.Look(c) == beechsocket.Idle {
//		// open, and the peer has sent nothing that was not read
//	}
package beechsocket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

type (
	// State is what a connection shows without being read.
	State int

	contextKey struct{}
)

// The states of a connection.
const (
	Unknown  State = iota // it is not a socket
	Idle                  // open, with nothing to read
	Readable              // with bytes to read; whether the peer has closed behind them is not known
	Closed                // closed or reset by the peer, or by this process
)

// Look returns the state of a connection. It may be called while another goroutine reads.
func Look(c net.Conn) State {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Unknown
	}
	state := Closed
	// Control, unlike Read, does not wait for a read that is in progress.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			state = Idle
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// ConnContext stores the connection in the context of its requests. It is for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// Departed reports whether the context of a request has ended, or its caller has closed the
// connection. A caller that has closed one direction only counts as departed, as in net/http. If
// the caller has sent bytes beyond its request, only the context tells.
func Departed(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
	}
	c, ok := ctx.Value(contextKey{}).(net.Conn)
	return ok && Look(c) == Closed
}

// SinceHeard returns how long ago the last segment of the caller of a request arrived, in steps of
// a millisecond, whether or not this process has read it. Once the caller has closed the
// connection, that is the time since the close. It returns false if that is not known.
func SinceHeard(ctx context.Context) (time.Duration, bool) {
	c, ok := ctx.Value(contextKey{}).(net.Conn)
	if !ok {
		return 0, false
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	infoErr := errors.ErrUnsupported
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || infoErr != nil || info.Rcv_mss == 0 {
		return 0, false // an emulated socket may accept the call and fill in nothing
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond, true
}
