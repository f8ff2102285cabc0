package beechlink

import "sync/atomic"

type (
	// Counters count since the start of a Dialer or Server.
	Counters struct {
		Up         uint64 // handshakes done
		Rejected   uint64 // handshakes failed
		Lost       uint64 // connections ended with an error
		Silent     uint64 // of these, for a peer's silence
		Malformed  uint64 // of these, for bytes that are no message
		Opened     uint64 // streams
		Reattached uint64 // streams
		Refused    uint64 // streams refused by the link itself
		Late       uint64 // replies for a stream or call that is over, dropped
		Doubled    uint64 // replies whose sequence was already taken, dropped
		Crossed    uint64 // replies of another request or attempt, dropped
		Gaps       uint64 // streams failed since a reply was missing
		Panics     uint64 // stream handlers that panicked
		BeatsIn    uint64
		BeatsOut   uint64
		FramesIn   uint64
		FramesOut  uint64
		BytesIn    uint64 // without TCP's and TLS's own
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
