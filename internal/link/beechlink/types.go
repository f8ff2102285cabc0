package beechlink

import (
	"context"
	"net/netip"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// Reply is what an agent sends on a stream: Head, Data, End, Refused or
	// Failed of beechwire, in that sealed set. End, Refused and Failed are
	// last.
	Reply interface{ reply() }

	// HeadReply tells that the backend server has begun to answer.
	HeadReply struct{ beechwire.Head }

	// DataReply is a piece of the answer.
	DataReply struct{ beechwire.Data }

	// EndReply closes a whole answer.
	EndReply struct{ beechwire.End }

	// RefusedReply closes a stream whose request was not run.
	RefusedReply struct{ beechwire.Refused }

	// FailedReply closes a stream whose request was begun or may have been.
	FailedReply struct{ beechwire.Failed }

	// Peer is what is known of the process at the other end.
	Peer struct {
		Address     netip.AddrPort
		Role        string
		Zone        string
		Incarnation uint64
		Generation  uint64
	}

	// Events are told to a link's owner, in order for one peer; they must not
	// block.
	Events interface {
		// Up follows a handshake, Down a lost link (err says why).
		Up(p Peer)
		Down(p Peer, err error)
		Heartbeat(p Peer, h beechwire.Heartbeat)
	}

	// CallHandler answers the other side's calls; method is a Method constant.
	CallHandler interface {
		Answer(ctx context.Context, p Peer, method string, payload []byte) ([]byte, error)
	}

	// HeartbeatSource gives the heartbeat to send.
	HeartbeatSource interface {
		CurrentHeartbeat() beechwire.Heartbeat
	}

	// StreamHandler serves streams at the agent, each in its goroutine.
	StreamHandler interface {
		// Open's r is the handler's, but for BodyBytes, which the link still
		// reads. It is a pointer since a copy would stay on the stack of every
		// open stream.
		Open(ctx context.Context, s ServerStream, r *beechwire.Request, body []byte)
		Reattach(ctx context.Context, s ServerStream, r beechwire.Reattach)
	}

	// ServerStream is the agent's side of a stream. Send blocks while the
	// entry has given no credit (only Data needs it), and fails once the
	// stream is over. The context given to the handler ends when the entry
	// cancels or the link is lost; Detached then tells whether the generation
	// should go on for its grace time: true for a lost link and for a Cancel
	// that says so.
	ServerStream interface {
		Peer() Peer
		Send(ctx context.Context, r Reply) error
		Detached() bool
	}

	// Stream is the entry's side of a stream. Next gives replies in sequence;
	// late, doubled or crossed ones are dropped and counted. An error means
	// that the link was lost before the last reply.
	Stream interface {
		// Peer is the agent as it was when the stream was opened.
		Peer() Peer
		Next(ctx context.Context) (Reply, error)
		// Close cancels a stream that has not ended. Detached leaves the
		// generation running for its grace time.
		Close(detached bool)
	}

	// Settings of links. Key is shared by all processes of a deployment where
	// no TLS authenticates them.
	Settings struct {
		Connections               int           // per peer
		Credit                    int           // bytes of Data ahead of the reader, per stream
		MaxFrame                  int           // bytes
		MaxBody                   int           // bytes
		Heartbeat                 time.Duration // between beats while work is outstanding
		Deadline                  time.Duration // silence after which a peer is lost while work is outstanding
		IdleIntervalPerConnection time.Duration // idle connections beat once in this time x their number
		DialTimeout               time.Duration // for dialing and the handshake each
		MaxStreams                int           // per connection
		Key                       string
	}
)

func (HeadReply) reply()    {}
func (DataReply) reply()    {}
func (EndReply) reply()     {}
func (RefusedReply) reply() {}
func (FailedReply) reply()  {}
