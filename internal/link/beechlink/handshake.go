package beechlink

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"

	"github.com/beechring/beechring/internal/link/beechwire"
)

const (
	// preamble is the first thing sent in each direction. A peer that speaks
	// another protocol gets an error in plain text, instead of having its bytes
	// read as the length of a frame.
	preamble = "BEECHLNK"

	wrongProtocolText = "this port speaks beechring's link protocol only\r\n"

	// maxDrainBytes is how much input of a rejected peer is read, so that a TCP
	// reset does not discard the reason of the rejection.
	maxDrainBytes = 64 << 10
)

var errProtocol = errors.New("peer does not speak the link protocol")

// sendHello sends the preamble and this side's Hello.
func sendHello(conn net.Conn, h beechwire.Hello, key string) error {
	h.Version = beechwire.Version
	h.Key = key
	frame, err := appendFrame([]byte(preamble), maxHelloBytes, kindHello, &h)
	if err != nil {
		return err
	}
	_, err = conn.Write(frame)
	return err
}

func readPreamble(conn net.Conn) error {
	var b [len(preamble)]byte
	if _, err := io.ReadFull(conn, b[:]); err != nil {
		return err
	}
	if string(b[:]) != preamble {
		return errProtocol
	}
	return nil
}

// readHello reads and validates the peer's first message.
func readHello(frames *frameReader, key string) (beechwire.Hello, error) {
	var h beechwire.Hello
	k, body, err := frames.next()
	if err != nil {
		return h, err
	}
	if k == kindBye {
		var b beechwire.Bye
		if _, err := b.UnmarshalMsg(body); err != nil {
			return h, malformed(err)
		}
		return h, fmt.Errorf("refused by peer: %s", b.Reason)
	}
	if k != kindHello {
		return h, &FrameError{Problem: fmt.Sprintf("type %d instead of a hello", k)}
	}
	if _, err := h.UnmarshalMsg(body); err != nil {
		return h, malformed(err)
	}
	if h.Version != beechwire.Version {
		return h, fmt.Errorf("version %d is not spoken here, version %d is", h.Version, beechwire.Version)
	}
	if !equalKeys(h.Key, key) {
		return h, errKeyMismatch
	}
	switch h.Role {
	case beechwire.RoleEntry, beechwire.RoleAgent, beechwire.RoleTool:
		return h, nil
	default:
		return h, fmt.Errorf("role %q is not known", h.Role)
	}
}

// equalKeys compares in a time that depends on neither the contents nor the
// lengths of the keys.
func equalKeys(a, b string) bool {
	x := sha256.Sum256([]byte(a))
	y := sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// reject sends the peer the reason why it is not accepted, then reads its
// remaining input: closing with unread input would reset the connection, and
// the peer would see the reset instead of the reason.
func reject(conn net.Conn, reason error) {
	text := []byte(wrongProtocolText)
	if !errors.Is(reason, errProtocol) {
		frame, err := appendFrame([]byte(preamble), maxHelloBytes, kindBye, &beechwire.Bye{Reason: reason.Error()})
		if err != nil {
			return
		}
		text = frame
	}
	if _, err := conn.Write(text); err != nil {
		return
	}
	if half, ok := conn.(closeWriter); ok && half.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, conn, maxDrainBytes)
	}
}

// peerFromHello uses the address in the Hello, or that of the connection if
// there is none.
func peerFromHello(h beechwire.Hello, remote net.Addr) (Peer, sessionKey) {
	key := sessionKey{incarnation: h.Incarnation}
	given, err := netip.ParseAddrPort(h.Address)
	if err == nil {
		key.address = given
	} else {
		given = addressOf(remote)
	}
	return Peer{
		Address:     given,
		Role:        h.Role,
		Zone:        h.Zone,
		Incarnation: h.Incarnation,
		Generation:  h.Generation,
	}, key
}

func addressOf(a net.Addr) netip.AddrPort {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return tcp.AddrPort()
}
