package beechattempt

import (
	"context"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechsuspect"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// silentProber is a prober to whom servers do not answer.
type silentProber struct{ clock *clockwork.FakeClock }

func (p silentProber) Probe(ctx context.Context, _ netip.AddrPort) error {
	p.clock.Advance(probeTimeout)
	<-ctx.Done()
	return context.DeadlineExceeded
}

// Connections to a host that is silent break, and it answers no probe. The requests that were under way
// there must not be suspected of a crash, or refused after the second silence.
func TestRequestsOfASilentServerAreNotSuspected(t *testing.T) {
	is := is.New(t)
	f := newFixture(4, 20, breaks(""))
	f.dispatcher.crashes.prober = silentProber{f.clock}
	call := f.poisonCall(beechcall.Repeatable, "sound")
	for range 2 {
		f.serve(t.Context(), f.poisonCall(beechcall.Repeatable, "sound"))
	}
	_, allowed := f.suspects.Check(call.Fingerprint(), 0).(beechsuspect.Allow)
	is.True(allowed)
	is.True(!f.dispatcher.blamed(call))
}
