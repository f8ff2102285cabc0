package beechagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// generation is one run of a request at the backend server and its answer
	// so far. It outlives the stream that asked for it: a caller on a weak
	// link that reconnects follows the same generation from the next piece, so
	// that nothing is computed twice. Without it a lost link would lose the
	// answer or run the request again.
	generation struct {
		request beechwire.Request
		started time.Time
		cancel  context.CancelFunc

		mu       sync.Mutex
		head     *beechwire.Head
		pieces   [][]byte
		base     uint64 // sequence before pieces[0]
		size     int
		last     beechlink.Reply // End, Refused or Failed; nil while it runs
		ended    time.Time
		changed  chan struct{} // closed at each change, then replaced
		attached int
		detached time.Time // since when nobody is attached
	}
)

const (
	// keptBytes and pieceOverhead are what a kept answer takes beside its bytes:
	// its request and its places in the library, and a piece's slice and the
	// rounding of its memory.
	keptBytes     = 1600
	pieceOverhead = 40
)

func newGeneration(request beechwire.Request, now time.Time, cancel context.CancelFunc) *generation {
	return &generation{
		request:  request,
		started:  now,
		cancel:   cancel,
		base:     request.ResumeSequence,
		changed:  make(chan struct{}),
		detached: now,
	}
}

func (g *generation) begin(head beechwire.Head) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.head = &head
	g.signal()
}

// add appends a piece and returns the bytes held so far.
func (g *generation) add(piece []byte) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pieces = append(g.pieces, piece)
	g.size += len(piece)
	g.signal()
	return g.size
}

// finish sets the last reply; only the first call counts, so that a late
// answer cannot overwrite the outcome a caller was given.
func (g *generation) finish(last beechlink.Reply, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.last != nil {
		return
	}
	g.last = last
	g.ended = now
	g.pieces = slices.Clip(g.pieces)
	g.request.Levels, g.request.Headers, g.request.Resume = nil, nil, "" // only the run needed them
	g.signal()
}

func (g *generation) signal() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// lastSequence is the sequence of the newest piece.
func (g *generation) lastSequence() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.base + uint64(len(g.pieces))
}

func (g *generation) attach() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attached++
}

func (g *generation) detach(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attached--
	g.detached = now
}

// abandoned tells whether nobody has been attached for the grace time while
// the generation still runs.
func (g *generation) abandoned(now time.Time, grace time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.last == nil && g.attached == 0 && now.Sub(g.detached) >= grace
}

// endedSince tells whether the generation is over, since when, and the memory
// that it takes.
func (g *generation) endedSince() (ended bool, at time.Time, bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.last != nil, g.ended, keptBytes + g.size + pieceOverhead*len(g.pieces)
}

// next returns what follows the state a follower has: whether it has sent the
// head, and the last sequence sent. With nothing to send it returns a channel
// that closes at the next change.
func (g *generation) next(headSent bool, after uint64) (beechlink.Reply, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !headSent && g.head != nil {
		return beechlink.HeadReply{Head: *g.head}, nil
	}
	if after < g.base {
		after = g.base
	}
	if index := after - g.base; index < uint64(len(g.pieces)) {
		return beechlink.DataReply{Data: beechwire.Data{Sequence: after + 1, Data: g.pieces[index]}}, nil
	}
	if g.last != nil {
		return g.last, nil
	}
	return nil, g.changed
}

// follow sends the answer after the given sequence to one stream, until the
// last reply or until the stream is over. The stream's own pace rules: a slow
// caller blocks here and nowhere else.
func (g *generation) follow(ctx context.Context, stream beechlink.ServerStream, after uint64) error {
	headSent := false
	for {
		reply, changed := g.next(headSent, after)
		if reply == nil {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err := stream.Send(ctx, reply); err != nil {
			return err
		}
		switch r := reply.(type) {
		case beechlink.HeadReply:
			headSent = true
		case beechlink.DataReply:
			after = r.Sequence
		default:
			return nil
		}
	}
}

// joinable tells whether a request sent again should follow this generation:
// it runs, or it gave a whole answer. A refused or failed one is run anew.
func (g *generation) joinable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.last == nil {
		return true
	}
	_, whole := g.last.(beechlink.EndReply)
	return whole
}

func sortByEnd(generations []*generation) {
	slices.SortFunc(generations, func(x, y *generation) int {
		_, xEnd, _ := x.endedSince()
		_, yEnd, _ := y.endedSince()
		return xEnd.Compare(yEnd)
	})
}

// alone tells whether no stream follows the generation.
func (g *generation) alone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attached == 0
}

// whole returns the answer of a plain service in one piece, if it is whole.
func (g *generation) whole() (status int, contentType string, body []byte, ended bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ended = g.last.(beechlink.EndReply); !ended || g.head == nil {
		return 0, "", nil, false
	}
	return g.head.Status, g.head.ContentType, slices.Concat(g.pieces...), true
}
