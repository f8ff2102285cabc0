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
	// generation is one run of a request at the backend server, together with the
	// answer received so far. It outlives the stream that started it, so that after
	// a lost link a new stream can continue the answer from the next piece. Without
	// this, a lost link would lose the answer or make the request run twice.
	generation struct {
		request beechwire.Request
		started time.Time
		cancel  context.CancelFunc

		mu       sync.Mutex
		head     *beechwire.Head
		pieces   [][]byte
		base     uint64 // sequence number before pieces[0]
		size     int
		last     beechlink.Reply // EndReply, RefusedReply or FailedReply; nil while running
		ended    time.Time
		changed  chan struct{} // closed and replaced at each change
		attached int
		detached time.Time // when the last stream detached
	}
)

const (
	// generationOverhead and pieceOverhead estimate the memory of a retained answer
	// beyond its own bytes: per generation for its request and its entries in the
	// registry, and per piece for the slice header and the rounding of its
	// allocation.
	generationOverhead = 1600
	pieceOverhead      = 40
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

func (g *generation) setHead(head beechwire.Head) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.head = &head
	g.notify()
}

// appendPiece adds a piece and returns the size of the answer so far, in bytes.
func (g *generation) appendPiece(piece []byte) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pieces = append(g.pieces, piece)
	g.size += len(piece)
	g.notify()
	return g.size
}

// finish sets the last reply. Only the first call has an effect, so that a late
// answer cannot overwrite the outcome that a caller has already received.
func (g *generation) finish(last beechlink.Reply, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.last != nil {
		return
	}
	g.last = last
	g.ended = now
	g.pieces = slices.Clip(g.pieces)
	g.request.Levels, g.request.Headers, g.request.Resume = nil, nil, "" // needed only during the run
	g.notify()
}

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// lastSequence returns the sequence number of the newest piece.
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

// abandoned reports whether the generation is still running and no stream has been
// attached for the grace period.
func (g *generation) abandoned(now time.Time, grace time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.last == nil && g.attached == 0 && now.Sub(g.detached) >= grace
}

// endState returns whether the generation has ended, when it ended, and an estimate
// of the memory it uses.
func (g *generation) endState() (ended bool, at time.Time, bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.last != nil, g.ended, generationOverhead + g.size + pieceOverhead*len(g.pieces)
}

// next returns the reply to send after the given state of a stream: whether the
// head was sent, and the sequence number of the last piece sent. If there is
// nothing to send yet, it returns a channel that is closed at the next change.
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

// follow sends the answer after the given sequence number to one stream, until the
// last reply is sent or the stream ends. A slow caller blocks only its own call of
// follow, not the run or other streams.
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

// joinable reports whether a repeated request should follow this generation: it is
// running or its answer is complete. A refused or failed request is run again.
func (g *generation) joinable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.last == nil {
		return true
	}
	_, whole := g.last.(beechlink.EndReply)
	return whole
}

func sortByEndTime(generations []*generation) {
	slices.SortFunc(generations, func(x, y *generation) int {
		_, xEnd, _ := x.endState()
		_, yEnd, _ := y.endState()
		return xEnd.Compare(yEnd)
	})
}

// unattached reports whether no stream is attached to the generation.
func (g *generation) unattached() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attached == 0
}

// completeAnswer returns the answer of a plain service with its pieces joined.
// ended is false if the answer is not complete.
func (g *generation) completeAnswer() (status int, contentType string, body []byte, ended bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ended = g.last.(beechlink.EndReply); !ended || g.head == nil {
		return 0, "", nil, false
	}
	return g.head.Status, g.head.ContentType, slices.Concat(g.pieces...), true
}
