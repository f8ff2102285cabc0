package beechgate

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechpool"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechfresh"
)

var errNoStore = errors.New("store does not answer")

// newFencingGate returns a gate that answers requests for fencing numbers with a read of its own, and
// the socket of a keeper that it knows.
func newFencingGate(t *testing.T, revision func(context.Context) (uint64, error)) (*Gate, chan beechdatagram.Fence, netip.AddrPort) {
	t.Helper()
	keeper, err := beechdatagram.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	g, err := New(&beechsettings.Gate{Name: "gate", Zone: "mill", Beats: netip.MustParseAddrPort("127.0.0.1:0")}, Dependencies{
		Clock: clockwork.NewRealClock(), Age: beechfresh.BootClock{}, Log: zap.NewNop(), Pool: beechpool.New(beechpool.DefaultSettings, clockwork.NewRealClock()), Revision: revision,
	})
	if err != nil {
		t.Fatal(err)
	}
	g.settings.Beats = netip.AddrPortFrom(g.settings.Beats.Addr(), keeper.Address().Port()) // all hosts use one port
	g.servers = []beechcall.Server{{ID: "e1", Address: netip.AddrPortFrom(keeper.Address().Addr(), 9)}}
	ctx, cancel := context.WithCancel(context.Background())
	fences, ended := make(chan beechdatagram.Fence, 64), make(chan struct{})
	go func() {
		_ = keeper.Receive(ctx, func(_ netip.AddrPort, m beechdatagram.Message) {
			if fence, ok := m.(beechdatagram.Fence); ok {
				fences <- fence
			}
		})
	}()
	go func() {
		_ = g.answerFences(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		_ = g.socket.Close()
		_ = g.callers.Close()
	})
	return g, fences, keeper.Address()
}

func nextFence(t *testing.T, fences chan beechdatagram.Fence) beechdatagram.Fence {
	t.Helper()
	select {
	case fence := <-fences:
		return fence
	case <-time.After(5 * time.Second):
		t.Fatal("no answer")
	}
	return beechdatagram.Fence{}
}

// Guards against a number that was read for the keeper's process before, and may be lower than one it has used since.
func TestFenceIsReadAfterItsRequest(t *testing.T) {
	is := is.New(t)
	reads, proceed := make(chan uint64, 4), make(chan struct{})
	var revision atomic.Uint64
	g, fences, keeper := newFencingGate(t, func(context.Context) (uint64, error) {
		read := revision.Add(10)
		reads <- read
		<-proceed
		return read, nil
	})
	g.receiveAcquire(keeper, 1)
	is.Equal(<-reads, uint64(10))
	g.receiveAcquire(keeper, 2)
	g.receiveAcquire(keeper, 3)
	proceed <- struct{}{}
	first := nextFence(t, fences)
	is.Equal(first.Number, uint64(1))
	is.Equal(first.Fence.Fence, uint64(10))
	is.Equal(<-reads, uint64(20))
	proceed <- struct{}{}
	second := nextFence(t, fences)
	is.Equal(second.Number, uint64(3)) // one read and one answer for the latest request
	is.Equal(second.Fence.Fence, uint64(20))
}

// Guards against keepers that do not learn that they have to ask another gate, and calls that a rejecting store counts.
func TestFailedReadOfAFenceIsAnswered(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	g, fences, keeper := newFencingGate(t, func(context.Context) (uint64, error) {
		calls.Add(1)
		return 0, errNoStore
	})
	for began := time.Now(); time.Since(began) < fencePause; time.Sleep(20 * time.Millisecond) {
		g.receiveAcquire(keeper, 7)
	}
	is.Equal(nextFence(t, fences).Fence.Fence, uint64(0))
	is.True(calls.Load() <= 2)
}

// Guards against reads of the store for hosts that are no keepers of listed servers.
func TestStrangersGetNoFence(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	g, fences, keeper := newFencingGate(t, func(context.Context) (uint64, error) {
		calls.Add(1)
		return 10, nil
	})
	g.receiveAcquire(netip.AddrPortFrom(netip.MustParseAddr("127.9.9.9"), keeper.Port()), 1)
	g.receiveAcquire(netip.AddrPortFrom(keeper.Addr(), keeper.Port()+1), 1)
	time.Sleep(50 * time.Millisecond)
	is.Equal(calls.Load(), int64(0))
	g.receiveAcquire(keeper, 2)
	is.Equal(nextFence(t, fences).Fence.Fence, uint64(10))
}
