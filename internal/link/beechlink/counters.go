package beechlink

import "sync/atomic"

type (
	// Counters holds totals since the start of a Dialer or Server.
	Counters struct {
		Up         uint64 // completed handshakes
		Rejected   uint64 // failed handshakes
		Lost       uint64 // connections that ended with an error
		Silent     uint64 // of Lost: the peer was silent for longer than its deadline
		Malformed  uint64 // of Lost: bytes that are not a valid frame or message
		Opened     uint64 // streams opened for a new request
		Reattached uint64 // streams opened for a running or finished request
		Refused    uint64 // streams refused by the link, not by the handler
		Late       uint64 // dropped replies of a stream or call that has ended
		Doubled    uint64 // dropped replies that were already received
		Crossed    uint64 // dropped replies of another request or attempt
		Gaps       uint64 // streams that failed because a reply was missing
		Panics     uint64 // stream handlers that panicked
		BeatsIn    uint64
		BeatsOut   uint64
		FramesIn   uint64
		FramesOut  uint64
		BytesIn    uint64 // without the overhead of TCP and TLS
		BytesOut   uint64
		Writes     uint64 // writes to connections
	}

	counters struct {
		up, rejected, lost, silent, malformed atomic.Uint64
		opened, reattached, refused           atomic.Uint64
		late, doubled, crossed, gaps, panics  atomic.Uint64
		beatsIn, beatsOut                     atomic.Uint64
		framesIn, framesOut                   atomic.Uint64
		bytesIn, bytesOut, writes             atomic.Uint64
	}
)

func (c *counters) snapshot() Counters {
	return Counters{
		Up:         c.up.Load(),
		Rejected:   c.rejected.Load(),
		Lost:       c.lost.Load(),
		Silent:     c.silent.Load(),
		Malformed:  c.malformed.Load(),
		Opened:     c.opened.Load(),
		Reattached: c.reattached.Load(),
		Refused:    c.refused.Load(),
		Late:       c.late.Load(),
		Doubled:    c.doubled.Load(),
		Crossed:    c.crossed.Load(),
		Gaps:       c.gaps.Load(),
		Panics:     c.panics.Load(),
		BeatsIn:    c.beatsIn.Load(),
		BeatsOut:   c.beatsOut.Load(),
		FramesIn:   c.framesIn.Load(),
		FramesOut:  c.framesOut.Load(),
		BytesIn:    c.bytesIn.Load(),
		BytesOut:   c.bytesOut.Load(),
		Writes:     c.writes.Load(),
	}
}
