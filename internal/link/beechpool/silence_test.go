package beechpool

import (
	"bufio"
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// longestSilence is how long a server, or the way to it, may stand still and go on.
const longestSilence = 2 * time.Second

// A server stands still while a long request is on its way, so that its receive window closes. The connection
// is ended under it, though the server would go on.
func TestServerThatStandsStillKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	const bodyBytes = 32 << 20 // more than the buffers of both ends
	peer, _ := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		time.Sleep(longestSilence)
		if id, ok := readRequestID(r); ok {
			writeResponse(c, id, "late")
		}
	})
	got, err := exchange(t.Context(), newPool(), peer, "1", bytes.Repeat([]byte("x"), bodyBytes))
	is.NoErr(err)
	is.Equal(got, "late")
}

// Packets are lost for a time. A connection must not end before what was lost has been sent once more, whether
// bytes of a request wait or only probes are sent.
func TestConnectionsOutlastLostPackets(t *testing.T) {
	is := is.New(t)
	peer, _ := serveRaw(t, func(_ net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() })
	c, err := newPool().acquire(t.Context(), peer, Conditions{})
	is.NoErr(err)
	defer c.drop()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	options := make(map[int]int)
	is.NoErr(raw.Control(func(fd uintptr) {
		for _, option := range []int{unix.TCP_USER_TIMEOUT, unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT} {
			options[option], _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
		}
	}))
	userTimeout := time.Duration(options[unix.TCP_USER_TIMEOUT]) * time.Millisecond
	for _, first := range []time.Duration{200, 230, 260, 285, 300, 350, 400} { // milliseconds until the first retransmission
		next := first * time.Millisecond
		for wait := next; next <= longestSilence; next += wait {
			wait *= 2
		}
		is.True(next < userTimeout)
	}
	idle, interval := time.Duration(options[unix.TCP_KEEPIDLE])*time.Second, time.Duration(options[unix.TCP_KEEPINTVL])*time.Second
	is.True(idle+time.Duration(options[unix.TCP_KEEPCNT])*interval >= userTimeout) // where the user timeout cannot be set
	is.True(longestSilence+interval < userTimeout)                                 // the next probe is answered
}
