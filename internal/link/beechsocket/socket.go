// Package beechsocket looks at open connections without blocking and without consuming bytes.
//
// net/http tells a handler that its caller has disconnected by ending the request's context, from
// a goroutine that reads from the connection. On a process that is behind with its work that
// goroutine runs last, and it reads no further than one byte beyond the request. The socket itself
// knows at once: Look asks one, and a Watcher asks all of a server by one system call.
//
// # Usage
//
//	watcher, err := beechsocket.NewWatcher(clock)
//	go watcher.Run(ctx)
//	listener = watcher.Listen(listener)
//	server := &http.Server{ConnContext: beechsocket.ConnContext} // contexts end when callers depart
//	stop := beechsocket.AfterDeparture(r.Context(), cancelWork)
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
	Readable              // open, with bytes to read
	Closed                // closed or reset by the peer, with or without bytes before, or closed by this process
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
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		_, err := unix.Poll(poll, 0)
		for errors.Is(err, unix.EINTR) {
			_, err = unix.Poll(poll, 0)
		}
		switch events := poll[0].Revents; {
		case err != nil || events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0:
		case events&unix.POLLIN != 0:
			state = Readable
		default:
			state = Idle
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// ConnContext stores the connection in the context of its requests. If the connection is watched,
// the context ends when its caller departs. It is for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if watched := findWatched(c); watched != nil {
		ctx = watched.context(ctx)
	}
	return context.WithValue(ctx, contextKey{}, c)
}

// Departed reports whether the context of a request has ended, or its caller has closed the
// connection. A caller that has closed one direction only counts as departed, as in net/http.
func Departed(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	default:
	}
	return LookAt(ctx) == Closed
}

// WasReset reports whether a connection was reset or has failed, also if another call has got the error since: the kernel
// reports it to one call only. A connection that the peer has closed in order is none.
func WasReset(c net.Conn) bool {
	reset := false
	err := control(c, func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd)}} // errors and hang-ups are always reported
		_, err := unix.Poll(poll, 0)
		for errors.Is(err, unix.EINTR) {
			_, err = unix.Poll(poll, 0)
		}
		reset = err == nil && poll[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
	})
	return err == nil && reset
}

// LookAt returns the state of the connection of a request, whether or not its context has ended.
func LookAt(ctx context.Context) State {
	c, ok := ctx.Value(contextKey{}).(net.Conn)
	if !ok {
		return Unknown
	}
	if watched := findWatched(c); watched != nil && watched.hasDeparted() {
		return Closed
	}
	return Look(c)
}

// SinceHeard returns how long ago the last segment of the caller of a request arrived, as Heard.
func SinceHeard(ctx context.Context) (time.Duration, bool) {
	c, ok := ctx.Value(contextKey{}).(net.Conn)
	if !ok {
		return 0, false
	}
	return Heard(c)
}

// Heard returns how long ago the last segment of the peer arrived, in steps of a millisecond,
// whether or not this process has read it. Once the peer has closed the connection, that is the
// time since the close. It returns false if that is not known.
func Heard(c net.Conn) (time.Duration, bool) {
	var info *unix.TCPInfo
	infoErr := errors.ErrUnsupported
	err := control(c, func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || infoErr != nil || info.Rcv_mss == 0 {
		return 0, false // an emulated socket may accept the call and fill in nothing
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond, true
}

// Unread returns how many bytes have arrived on a connection and were not read, or 0 if that is
// not known.
func Unread(c net.Conn) int {
	count := 0
	_ = control(c, func(fd uintptr) { count, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return max(count, 0)
}

// ResetOnClose has the close of a connection reset it: what was not sent or read is dropped at once.
func ResetOnClose(c net.Conn) {
	_ = control(c, func(fd uintptr) {
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
}

// SetReceiveBuffer sets the size in bytes of a connection's receive buffer. What has arrived stays.
func SetReceiveBuffer(c net.Conn, size int) {
	_ = control(c, func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
}

// CloseWrite ends the sending direction of a connection.
func CloseWrite(c net.Conn) error {
	err := error(nil)
	controlErr := control(c, func(fd uintptr) { err = unix.Shutdown(int(fd), unix.SHUT_WR) })
	return errors.Join(controlErr, err)
}

// control calls f with the descriptor of a connection.
func control(c net.Conn, f func(fd uintptr)) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(f)
}
