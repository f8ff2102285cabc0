package beechlink

import (
	"fmt"
	"time"
)

const (
	// chunkBytes is the most of a body or payload that is sent in one frame, so
	// that a small stream waits for at most one chunk of each large one.
	chunkBytes = 16 << 10

	// replyOverhead is charged against a stream's credit for each Data in
	// addition to its bytes. Without it, a server that answers in chunks of one
	// byte would make the entry use a hundred times the credit in memory for
	// bookkeeping.
	replyOverhead = 64

	// maxQueuedBytes is the number of bytes that may be queued for a connection
	// before senders of Data are blocked.
	maxQueuedBytes = 1 << 20

	// maxHelloBytes is the longest frame accepted from a peer that has not
	// authenticated yet.
	maxHelloBytes = 4 << 10

	// maxConcurrentCalls is the number of the peer's calls that are handled at
	// the same time on a connection.
	maxConcurrentCalls = 64

	// pendingBodyFactor limits the bytes of incomplete bodies, and of
	// incomplete call payloads, that a connection holds, each in multiples of
	// MaxBody.
	pendingBodyFactor = 4
)

// drainingMessage is the message of streams that a draining agent does not
// admit.
const drainingMessage = "agent is leaving"

const (
	// extraConnectionThreshold is the number of streams that each connection of
	// a link carries before an extra connection is opened. An entry with little
	// work thus holds one connection to each of hundreds of agents.
	extraConnectionThreshold = 64

	// extraIdleTimeout is the time without work after which an extra connection
	// is closed.
	extraIdleTimeout = 30 * time.Second
)

// DefaultSettings returns the settings that all deployments use.
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
		Rejoin:                    2 * time.Second,
	}
}

// withDefaults returns s with defaults in place of fields that are zero or
// negative. Key has no default.
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
	s.Rejoin = orDefault(s.Rejoin, d.Rejoin)
	return s
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// Validate returns an error that names the first field with an unusable value.
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
