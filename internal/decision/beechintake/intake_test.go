package beechintake

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const mebibyte = 1 << 20

func never() {}

// open opens a body that must be granted.
func open(t *testing.T, in *Intake, workspace string, size int, giveWay func()) *Body {
	t.Helper()
	b, refused := in.Open(workspace, size, giveWay)
	if refused != nil {
		t.Fatalf("refused: %s", refused.Cause)
	}
	return b
}

func TestBodiesTogetherStayWithinTheCapacity(t *testing.T) {
	is := is.New(t)
	in := New(Settings{Capacity: 16 * mebibyte}, clockwork.NewFakeClock())
	var all []*Body
	for range 3 {
		all = append(all, open(t, in, "w", 4*mebibyte, never))
	}
	_, refused := in.Open("w", 4*mebibyte, never)
	is.Equal(refused.Cause, NoRoom)
	is.True(refused.After >= minReturn)
	small := open(t, in, "w", SmallBytes, never) // in the share of small bodies
	is.Equal(in.State().Held, 12*mebibyte+SmallBytes)
	for _, b := range append(all, small) {
		b.Close()
		b.Close()
	}
	is.Equal(in.State().Held, 0)
	is.Equal(in.heldLarge, 0)
	is.Equal(len(in.workspaces), 1) // the refused one is remembered for a while
}

func TestBodyWithoutALengthIsRefusedAsItGrows(t *testing.T) {
	is := is.New(t)
	in := New(Settings{Capacity: 16 * mebibyte}, clockwork.NewFakeClock())
	b := open(t, in, "w", 16<<10, never)
	open(t, in, "w", 10*mebibyte, never)
	is.Equal(b.Grow(mebibyte), nil)
	is.Equal(b.Grow(4*mebibyte).Cause, NoRoom)
	is.Equal(in.State().Held, 11*mebibyte)
}

func TestOneBodyOfTheLargestSizeFits(t *testing.T) {
	is := is.New(t)
	in := New(Settings{Capacity: 4 * mebibyte}, clockwork.NewFakeClock())
	is.True(in.RoomFor(4 * mebibyte))
	is.True(!in.RoomFor(4 * mebibyte))
	open(t, in, "w", 4*mebibyte, never)
}

// Guards against clients that hold the whole capacity with bodies that they do not end.
func TestSilentBodiesGiveWay(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	in := New(Settings{Capacity: 16 * mebibyte}, clock)
	left := 0
	var silent []*Body
	for range 3 {
		b := open(t, in, "w", 4*mebibyte, func() { left++ })
		b.Received(4*mebibyte - 1)
		silent = append(silent, b)
	}
	clock.Advance(graceTime / 2)
	_, refused := in.Open("w", 4*mebibyte, never)
	is.Equal(refused.Cause, NoRoom) // they may still be sending
	clock.Advance(2 * time.Second)
	newcomer := open(t, in, "w", 4*mebibyte, never)
	is.Equal(newcomer.Complete(), nil)
	is.Equal(left, 1)
	gone := 0
	for _, b := range silent {
		if refused := b.Complete(); refused != nil {
			is.Equal(refused.Cause, GaveWay)
			gone++
			b.Close()
		}
	}
	is.Equal(gone, 1)
	is.Equal(in.leaving, 0)
	clock.Advance(time.Minute)
	_, refused = in.Open("w", 4*mebibyte, never)
	is.Equal(refused.Cause, NoRoom) // whole bodies stay
	is.Equal(left, 1)
}

// Guards against one silent client that keeps the only room for a body of the largest size.
func TestSilentBodyInTheOnlyRoomGivesWay(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	in := New(Settings{Capacity: 1}, clock)
	in.RoomFor(4 * mebibyte)
	var silent *Body
	left := false
	silent = open(t, in, "w", 4*mebibyte, func() { left = true })
	silent.Received(4*mebibyte - 1)
	clock.Advance(2 * time.Second)
	_, refused := in.Open("other", 4*mebibyte, never)
	is.Equal(refused.Cause, NoRoom) // its memory is not free yet
	is.True(left)
	silent.Close()
	clock.Advance(refused.After)
	open(t, in, "other", 4*mebibyte, never)
	is.Equal(in.leaving, 0)
}

// Guards against clients that seem to be sending since a byte comes now and then.
func TestTricklingBodiesGiveWay(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	in := New(Settings{Capacity: 16 * mebibyte}, clock)
	left := 0
	b := open(t, in, "w", 12*mebibyte, func() { left++ })
	for range 10 {
		clock.Advance(rateWindow)
		b.Received(1)
	}
	open(t, in, "w", 4*mebibyte, never)
	is.Equal(left, 1)
}

func TestSteadySenderDoesNotGiveWay(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	in := New(Settings{Capacity: 16 * mebibyte, BodyTime: 10 * time.Second}, clock)
	b := open(t, in, "w", 12*mebibyte, func() { t.Error("gave way") })
	for range 95 {
		clock.Advance(100 * time.Millisecond)
		b.Received(12 * mebibyte / 95)
		_, refused := in.Open("other", 4*mebibyte, never)
		is.Equal(refused.Cause, NoRoom)
	}
	is.Equal(b.Complete(), nil)
}

// Guards against one workspace that holds all room with whole bodies while others are refused.
func TestWorkspaceKeepsToItsShareWhileOthersWantRoom(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	in := New(Settings{Capacity: 16 * mebibyte}, clock)
	var greedy []*Body
	for range 12 {
		b := open(t, in, "greedy", mebibyte, never)
		is.Equal(b.Complete(), nil)
		greedy = append(greedy, b)
	}
	_, refused := in.Open("modest", mebibyte, never)
	is.Equal(refused.Cause, NoRoom)
	greedy[0].Close()
	_, refused = in.Open("greedy", mebibyte, never)
	is.Equal(refused.Cause, Share)
	open(t, in, "modest", mebibyte, never)
	for _, b := range greedy[1:8] {
		b.Close()
	}
	open(t, in, "greedy", mebibyte, never) // of the half without shares
	clock.Advance(wantTime)
	for range 3 {
		open(t, in, "greedy", mebibyte, never) // nobody wants room any more
	}
}

// behavior is how a simulated client sends its body.
type behavior struct {
	rate      int // bytes a step until it stops
	stopShort int // bytes before the end at which it stops; negative: it does not
	hold      int // steps for which a whole body is held
	obeys     bool
}

type client struct {
	behavior
	workspace string
	size      int
	chunked   bool

	body     *Body
	reserved int
	sent     int
	heldFor  int
	returns  time.Time
	done     int
	left     bool
}

// step lets a client do what it can within a step.
func (c *client) step(in *Intake, now time.Time) {
	switch {
	case c.left:
		c.leave(now.Add(100 * time.Millisecond))
	case c.body == nil && now.Before(c.returns):
	case c.body == nil:
		c.arrive(in, now)
	case c.sent == c.size:
		if c.heldFor++; c.heldFor > c.hold {
			c.done++
			c.leave(now.Add(time.Second))
		}
	default:
		c.send(now)
	}
}

func (c *client) arrive(in *Intake, now time.Time) {
	c.reserved = c.size
	if c.chunked {
		c.reserved = min(16<<10, c.size)
	}
	body, refused := in.Open(c.workspace, c.reserved, func() { c.left = true })
	if refused != nil {
		c.refused(refused, now)
		return
	}
	c.body, c.sent, c.heldFor = body, 0, 0
}

func (c *client) refused(r *Refused, now time.Time) {
	if c.obeys {
		c.leave(now.Add(r.After))
		return
	}
	c.leave(now.Add(100 * time.Millisecond))
}

func (c *client) leave(returns time.Time) {
	c.body.Close()
	c.body, c.left, c.returns = nil, false, returns
}

func (c *client) send(now time.Time) {
	end := c.size
	if c.stopShort >= 0 {
		end = max(c.size-c.stopShort-1, 0)
	}
	n := min(c.rate, end-c.sent)
	if n <= 0 {
		return
	}
	for c.sent+n > c.reserved {
		c.reserved = min(2*c.reserved, c.size)
		if refused := c.body.Grow(c.reserved); refused != nil {
			c.refused(refused, now)
			return
		}
	}
	c.sent += n
	c.body.Received(n)
	if c.sent == c.size {
		if refused := c.body.Complete(); refused != nil {
			c.refused(refused, now)
		}
	}
}

// Guards against crowds of any composition that take more than the capacity, or that keep out a caller that
// sends steadily and comes again as it is told.
func TestCrowdsLeaveRoom(t *testing.T) {
	const (
		largest  = 4 * mebibyte
		capacity = 16 * mebibyte
		step     = 20 * time.Millisecond
		limit    = 2 * time.Minute
	)
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		in := New(Settings{Capacity: capacity, BodyTime: 10 * time.Second}, clock)
		behaviors := []behavior{
			{rate: largest, stopShort: 0}, // all but a byte at once
			{rate: 64 << 10, stopShort: 0},
			{rate: 1, stopShort: -1},                        // trickles
			{rate: 0, stopShort: -1},                        // sends nothing
			{rate: largest, stopShort: -1, hold: 250},       // whole bodies that wait for 5 s
			{rate: 256 << 10, stopShort: largest/2 - 1},     // stops in the middle
			{rate: 256 << 10, stopShort: -1, hold: 50},      // ends
			{rate: 4 << 10, stopShort: -1},                  // too slow for a large body
			{rate: largest, stopShort: -1, hold: 1},         // as many as possible
			{rate: 512 << 10, stopShort: 64 << 10, hold: 1}, // stops near the end
		}
		workspaces := rapid.IntRange(1, 4).Draw(t, "workspaces")
		kinds := rapid.SliceOfN(rapid.SampledFrom(behaviors), 1, 3).Draw(t, "behaviors")
		var all []*client
		for range rapid.IntRange(30, 80).Draw(t, "crowd") {
			all = append(all, &client{
				behavior:  rapid.SampledFrom(kinds).Draw(t, "behavior"),
				workspace: string(rune('a' + rapid.IntRange(0, workspaces-1).Draw(t, "workspace"))),
				size:      rapid.SampledFrom([]int{largest, mebibyte, 256 << 10, 64 << 10}).Draw(t, "size"), chunked: rapid.Bool().Draw(t, "chunked"),
			})
		}
		steadySize := rapid.SampledFrom([]int{1 << 10, SmallBytes, 256 << 10, mebibyte}).Draw(t, "steady size")
		steady := &client{
			behavior: behavior{rate: max(1, steadySize/rapid.IntRange(1, 200).Draw(t, "steps")), stopShort: -1, obeys: true}, workspace: "steady", size: steadySize,
		}
		steady.returns = clock.Now().Add(3 * time.Second) // the crowd comes first
		all = append(all, steady)
		for began := clock.Now(); clock.Since(began) < limit && steady.done == 0; clock.Advance(step) {
			for _, c := range all {
				c.step(in, clock.Now())
			}
			if held := in.State().Held; held > capacity+capacity/smallShare {
				t.Fatalf("%d bytes held of %d", held, capacity)
			}
		}
		if steady.done == 0 {
			t.Fatalf("steady caller not served; %+v", in.State())
		}
		for _, c := range all {
			c.leave(clock.Now())
		}
		if in.held != 0 || in.heldLarge != 0 || in.leaving != 0 {
			t.Fatalf("%d, %d, %d bytes left", in.held, in.heldLarge, in.leaving)
		}
	})
}
