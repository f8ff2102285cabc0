package beechlink

import (
	"context"
	"net/netip"
	"time"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// Reply is a message that an agent sends on a stream. The set of types is
	// closed: HeadReply, DataReply, EndReply, RefusedReply and FailedReply.
	// EndReply, RefusedReply and FailedReply are final: nothing follows them on
	// the stream.
	Reply interface{ reply() }

	// HeadReply reports that the backend server has started to answer.
	HeadReply struct{ beechwire.Head }

	// DataReply is a chunk of the answer.
	DataReply struct{ beechwire.Data }

	// EndReply ends a complete answer.
	EndReply struct{ beechwire.End }

	// RefusedReply ends a stream whose request was not run.
	RefusedReply struct{ beechwire.Refused }

	// FailedReply ends a stream whose request was started or may have been.
	FailedReply struct{ beechwire.Failed }

	// Peer describes the process at the other end of a link.
	Peer struct {
		Address     netip.AddrPort
		Role        string
		Zone        string
		Incarnation uint64
		Generation  uint64
	}

	// Events receives the events of a Dialer or Server, in order for each peer.
	// The methods must not block.
	Events interface {
		// Up is called after the handshake of the first connection to a peer.
		// Down is called when the last connection to it has ended or another
		// incarnation has replaced it; err is the cause.
		Up(p Peer)
		Down(p Peer, err error)
		Heartbeat(p Peer, h beechwire.Heartbeat)
	}

	// CallHandler answers the peer's calls. Method is one of beechwire's Method
	// constants.
	CallHandler interface {
		Answer(ctx context.Context, p Peer, method string, payload []byte) ([]byte, error)
	}

	// HeartbeatSource provides the heartbeat to send to peers.
	HeartbeatSource interface {
		CurrentHeartbeat() beechwire.Heartbeat
	}

	// StreamHandler serves streams at the agent. Each call runs in a goroutine
	// of its own.
	StreamHandler interface {
		// Open may change r except for BodyBytes, which the link still reads. R
		// is a pointer because a copy would stay on the stack of every open
		// stream.
		Open(ctx context.Context, s ServerStream, r *beechwire.Request, body []byte)
		Reattach(ctx context.Context, s ServerStream, r beechwire.Reattach)
	}

	// ServerStream is the agent's side of a stream. Send of a DataReply blocks
	// while the stream has no credit left. Send fails once the stream is
	// closed. The context given to the handler ends when the entry cancels the
	// stream or the link is lost. Detached then reports whether the generation
	// should continue for its grace time: true for a lost link and for a Cancel
	// with Detached set.
	ServerStream interface {
		Peer() Peer
		Send(ctx context.Context, r Reply) error
		Detached() bool
		// KeepBody has the memory of the body stay reserved beyond the end of the handler, until the
		// function that it returns is called.
		KeepBody() (release func())
	}

	// BodyMemory grants memory for the bodies of requests. It must not block.
	BodyMemory interface {
		// Reserve reserves memory for the whole body of a request, which has not arrived yet. It returns
		// false if there is none, else a function that gives it back and may be called once.
		Reserve(r *beechwire.Request) (release func(), ok bool)
	}

	// Stream is the entry's side of a stream. Next returns the replies in
	// sequence. Replies that are late, duplicated or of another request are
	// dropped and counted. An error before the final reply means that the link
	// was lost, that a reply is missing, that the agent exceeded its credit, or
	// that ctx ended.
	Stream interface {
		// Peer returns the agent as it was known when the stream was opened.
		Peer() Peer
		Next(ctx context.Context) (Reply, error)
		// Close cancels a stream that has not ended. If detached is true, the
		// agent lets the generation run for its grace time.
		Close(detached bool)
	}

	// Settings configures links. Key is a secret shared by all processes of a
	// deployment; it authenticates them where TLS does not.
	Settings struct {
		Connections               int           // at most, per peer
		Credit                    int           // bytes of Data that may be sent ahead of the reader, per stream
		MaxFrame                  int           // bytes
		MaxBody                   int           // bytes
		Heartbeat                 time.Duration // interval of beats while work is outstanding
		Deadline                  time.Duration // time without a frame after which a peer counts as lost while work is outstanding
		IdleIntervalPerConnection time.Duration // the beat interval of an idle connection is this times the number of connections
		DialTimeout               time.Duration // for dialing and for the handshake, each
		MaxStreams                int           // per connection
		Rejoin                    time.Duration // for which a draining server waits for streams of a lost connection to be attached again
		Key                       string
		Bodies                    BodyMemory // of a server; nil: bounded for each connection only
	}
)

func (HeadReply) reply()    {}
func (DataReply) reply()    {}
func (EndReply) reply()     {}
func (RefusedReply) reply() {}
func (FailedReply) reply()  {}
