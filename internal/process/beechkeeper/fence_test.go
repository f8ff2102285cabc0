package beechkeeper

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// fenceGate is a gate's socket with the requests that it has received.
type fenceGate struct {
	*beechdatagram.Socket
	acquires  chan uint64
	inquiries chan uint64
}

func newFenceGate(t *testing.T) *fenceGate {
	t.Helper()
	socket, err := beechdatagram.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	g := &fenceGate{socket, make(chan uint64, 64), make(chan uint64, 64)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		_ = socket.Receive(ctx, func(_ netip.AddrPort, m beechdatagram.Message) {
			switch v := m.(type) {
			case beechdatagram.Acquire:
				g.acquires <- v.Number
			case beechdatagram.Inquiry:
				g.inquiries <- v.Number
			}
		})
	}()
	return g
}

// follow has the gate follow a keeper, with a target.
func (g *fenceGate) follow(k *Keeper, fence uint64) {
	k.receive(g.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: "mill", Targets: []beechwire.Target{{Model: "m", Version: 2, Fence: fence, Granted: true}}}})
}

// prove has the gate answer an inquiry, as gates of all releases do.
func (g *fenceGate) prove(k *Keeper, number uint64) {
	k.receive(g.Address(), beechdatagram.Proof{Proof: &beechwire.Proof{Number: number}})
}

// answer has the gate answer a request for a fencing number.
func (g *fenceGate) answer(k *Keeper, number, fence uint64) {
	k.receive(g.Address(), beechdatagram.Fence{Fence: &beechwire.Fence{Number: number, Fence: fence}})
}

func received(t *testing.T, numbers chan uint64) uint64 {
	t.Helper()
	select {
	case number := <-numbers:
		return number
	case <-time.After(5 * time.Second):
		t.Fatal("no request")
	}
	return 0
}

// ordersUnder returns the number of the order that is due, or 0 if none may leave.
func ordersUnder(k *Keeper) uint64 {
	clock := k.deps.Clock.(*clockwork.FakeClock)
	report := beechrollout.Report{Known: true, Versions: map[string]uint64{"m": 1}}
	for range 10 {
		if o, ok := k.updater.Next(clock.Now(), report).(beechrollout.Order); ok {
			k.updater.RecordAnswer(beechrollout.Conflict)
			return o.Fence
		}
		clock.Advance(100 * time.Millisecond)
	}
	return 0
}

// Guards against a late answer to the process before, which may be lower than a number that it has used since.
func TestLateFenceOfTheProcessBeforeIsIgnored(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, engine{})
	g := newFenceGate(t)
	g.follow(k, 37)
	g.answer(k, k.fences.first-1, 12)
	g.answer(k, k.fences.first, 12) // nothing was requested yet
	is.Equal(ordersUnder(k), uint64(0))
	k.requestFence()
	number := received(t, g.acquires)
	g.answer(k, number+1, 12)
	is.Equal(ordersUnder(k), uint64(0))
	g.answer(k, number, 40)
	is.Equal(ordersUnder(k), uint64(40))
	is.True(k.requestFence() == 0)
	g.answer(k, number, 50)
	is.Equal(ordersUnder(k), uint64(40)) // one number for all orders, also if a second gate answers
}

// Guards against a keeper that asks only gates which cannot read the store.
func TestFenceIsRequestedFromOneGateAfterTheOther(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, engine{})
	clock := k.deps.Clock.(*clockwork.FakeClock)
	gates := []*fenceGate{newFenceGate(t), newFenceGate(t), newFenceGate(t)}
	for _, g := range gates {
		g.follow(k, 37)
	}
	for range gates {
		is.Equal(k.requestFence(), fenceInterval)
		clock.Advance(fenceInterval)
	}
	for _, g := range gates {
		number := received(t, g.acquires)
		is.Equal(received(t, g.inquiries), number)
		g.answer(k, number, 0) // it cannot read the store
	}
	is.Equal(k.requestFence(), fenceInterval) // and none is asked again so soon
	time.Sleep(50 * time.Millisecond)
	for _, g := range gates {
		is.Equal(len(g.acquires), 0)
	}
	is.Equal(ordersUnder(k), uint64(0))
}

// Guards against engines that get no weights while all gates are of a release that reads no numbers for keepers.
func TestLegacyGatesFenceOrders(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, engine{})
	clock := k.deps.Clock.(*clockwork.FakeClock)
	first, second := newFenceGate(t), newFenceGate(t)
	first.follow(k, 37)
	second.follow(k, 35)
	for round := range legacyProofs {
		is.Equal(ordersUnder(k), uint64(0))
		for range 2 {
			k.requestFence()
			clock.Advance(fenceInterval)
		}
		first.prove(k, received(t, first.inquiries))
		if round < legacyProofs-1 {
			second.prove(k, received(t, second.inquiries))
		}
		clock.Advance(fenceRepeatInterval)
	}
	is.Equal(ordersUnder(k), uint64(0)) // the second may be one that reads numbers
	second.prove(k, received(t, second.inquiries))
	is.Equal(ordersUnder(k), uint64(37))
	second.follow(k, 36)
	is.Equal(ordersUnder(k), uint64(37))

	upgraded := newFenceGate(t)
	upgraded.follow(k, 37)
	clock.Advance(fenceRepeatInterval)
	k.requestFence()
	upgraded.answer(k, received(t, upgraded.acquires), 0)
	is.Equal(ordersUnder(k), uint64(0)) // this one will give a number
	clock.Advance(fenceRepeatInterval)
	k.requestFence()
	upgraded.answer(k, k.fences.first+k.fences.count-1, 60)
	is.Equal(ordersUnder(k), uint64(60))
}
