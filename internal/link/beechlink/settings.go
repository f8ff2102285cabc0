package beechlink

import (
	"fmt"
	"time"
)

const (
	// pieceBytes is the most of a body or payload that goes out in one frame,
	// so that a small stream waits for at most one piece of each large one.
	chunkBytes = 16 << 10

	// replyOverhead is charged against a stream's credit for each Data beside
	// its bytes. Without it a server that answers in pieces of one byte would
	// make the entry hold a hundred times the credit in bookkeeping.
	replyOverhead = 64

	// queueLimit is how many bytes may wait for a connection before senders
	// of Data are held.
	maxQueuedBytes = 1 << 20

	// helloLimit is the longest frame taken from a peer that has not shown
	// its key.
	maxHelloBytes = 4 << 10

	// callLimit is the number of the peer's calls answered at once on a
	// connection.
	maxConcurrentCalls = 64

	// pendingLimit is how many bytes of unfinished bodies and payloads a
	// connection holds, in multiples of MaxBody.
	pendingBodyFactor = 4
)

// leavingMessage is what streams are told that a draining agent does not take.
const drainingMessage = "agent is leaving"

const (
	// spareStreams is how many streams each connection of a link carries
	// before a further one is opened. An idle entry thus holds one to each of
	// hundreds of agents.
	extraConnectionThreshold = 64

	// spareTime is after how long without work a further connection is
	// closed.
	extraIdleTimeout = 30 * time.Second
)

// DefaultSettings are those of both deployments.
func DefaultSettings() Settings {
	return Settings{
		Connections:               2,
		Credit:                    32 << 10,
		MaxFrame:                  256 << 10,
		MaxBody:                   8 << 20,
		Heartbeat:                 500 * time.Millisecond,
		Deadline:                  1500 * time.Millisecond,
		IdleIntervalPerConnection: 35 * time.Millisecond,
		DialTimeout:               time.Second,
		MaxStreams:                4096,
	}
}

// filled returns s with the default in place of each zero but the key.
func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	s.Connections = orDefault(s.Connections, d.Connections)
	s.Credit = orDefault(s.Credit, d.Credit)
	s.MaxFrame = orDefault(s.MaxFrame, d.MaxFrame)
	s.MaxBody = orDefault(s.MaxBody, d.MaxBody)
	s.MaxStreams = orDefault(s.MaxStreams, d.MaxStreams)
	s.Heartbeat = orDefault(s.Heartbeat, d.Heartbeat)
	s.Deadline = orDefault(s.Deadline, d.Deadline)
	s.IdleIntervalPerConnection = orDefault(s.IdleIntervalPerConnection, d.IdleIntervalPerConnection)
	s.DialTimeout = orDefault(s.DialTimeout, d.DialTimeout)
	return s
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// Validate names the first field whose value cannot work.
func (s Settings) Validate() error {
	f := s.withDefaults()
	if f.MaxFrame < 2*chunkBytes {
		return fmt.Errorf("maxFrame is %d, at least %d is needed", f.MaxFrame, 2*chunkBytes)
	}
	if f.Credit < 1024 {
		return fmt.Errorf("credit is %d, at least 1024 is needed", f.Credit)
	}
	if f.Deadline < 2*f.Heartbeat {
		return fmt.Errorf("deadline is %s, at least two heartbeats (%s) are needed", f.Deadline, 2*f.Heartbeat)
	}
	return nil
}
