package beechkeeper

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechbeat"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// noEngine is an engine that is not asked.
type noEngine struct{}

var errNoEngine = errors.New("there is no engine")

func (noEngine) Report(context.Context) (Report, error) { return Report{}, errNoEngine }

func (noEngine) Order(context.Context, string, beechrollout.Order) (beechrollout.Answer, error) {
	return beechrollout.Silent, errNoEngine
}

func (noEngine) Dropped(context.Context, uint64, time.Duration) (Dropped, error) {
	return Dropped{}, errNoEngine
}

// gate is a gate's socket with the words that have come to it.
type gate struct {
	*beechbeat.Socket
	told chan *beechwire.Tell
}

func newGate(t *testing.T) *gate {
	socket, err := beechbeat.Open(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	g := &gate{socket, make(chan *beechwire.Tell, 16)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		_ = socket.Receive(ctx, func(_ netip.AddrPort, m beechbeat.Message) {
			if tell, ok := m.(beechbeat.Tell); ok {
				g.told <- tell.Tell
			}
		})
	}()
	return g
}

// word gives the next word that came, or nil if none does.
func (g *gate) word() *beechwire.Tell {
	select {
	case tell := <-g.told:
		return tell
	case <-time.After(5 * time.Second):
		return nil
	}
}

// A gate sends a long prompt to an engine. A gate in another zone does not hear
// of it for a fifth of a second and sends its own callers' questions there,
// which all wait behind the prompt: engines read prompts one after another.
// Callers of that zone get their first word late.
func TestLongPromptIsToldToEveryZone(t *testing.T) {
	is := is.New(t)
	far := newGate(t)
	clock := clockwork.NewFakeClock() // stands still: nothing is told for its age
	k, err := New(&beechsettings.Keeper{Zone: "mill", Beats: netip.MustParseAddrPort("127.0.0.1:0")}, Dependencies{Clock: clock, Log: zap.NewNop(), Engine: noEngine{}})
	is.NoErr(err)
	defer k.socket.Close()
	k.hear(far.Address(), beechbeat.Follow{Follow: &beechwire.Follow{Zone: "loft"}})
	is.True(far.word() != nil) // a gate that is new is told at once

	k.hear(far.Address(), beechbeat.Announce{Announce: &beechwire.Announce{Read: 6000}})
	told := far.word()
	is.True(told != nil)
	is.Equal(told.Read, 6000)
}
