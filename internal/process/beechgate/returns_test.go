package beechgate

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechquota"
	"github.com/beechring/beechring/internal/process/beechmetric"
	"github.com/beechring/beechring/internal/request/beechattempt"
	"github.com/beechring/beechring/internal/request/beechcall"
)

// recordedRejection is a Responder that keeps the rejection.
type recordedRejection struct{ rejection beechattempt.Rejection }

func (r *recordedRejection) Reject(x beechattempt.Rejection)         { r.rejection = x }
func (*recordedRejection) Respond(int, http.Header, []byte)          {}
func (*recordedRejection) StartStream(int, http.Header)              {}
func (*recordedRejection) SendEvents([]byte) error                   { return nil }
func (*recordedRejection) EndStream()                                {}
func (*recordedRejection) AbortStream()                              {}
func (*recordedRejection) Departed() bool                            { return false }
func (*recordedRejection) SinceHeard() (_ time.Duration, known bool) { return 0, known }

type fixedRoom struct {
	after   time.Duration
	limited bool
}

func (f fixedRoom) After(string, int) (time.Duration, bool) { return f.after, f.limited }

// newReturnsGates returns gates that know each other's usage of a quota of 60 requests per second.
func newReturnsGates(n int) []*Gate {
	var gates []*Gate
	for i := range n {
		g := newQuotaGate(i, beechquota.Bounds{Window: 8 * time.Second})
		g.log, g.gates = zap.NewNop(), n
		g.metrics = &metrics{denied: new(expvar.Map), returns: new(expvar.Map), toldTimes: beechmetric.NewLatency()}
		g.returnsDue = make(chan struct{}, 1)
		g.quotas.SetGates(n)
		g.quotas.SetLimits(quotaLimits, nil)
		gates = append(gates, g)
	}
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		exchangeGates(gates)
	}
	return gates
}

// exchangeGates tells each gate the usage and the promises of the others.
func exchangeGates(gates []*Gate) {
	for _, from := range gates {
		update, promises := from.quotas.NextUpdate(), from.returns.book.Next()
		for _, to := range gates {
			if to != from {
				to.quotas.ApplyUpdate(update)
				to.returns.book.Apply(promises)
			}
		}
	}
}

// newReturnsCall returns a new attempt of the numbered request, as another gate would receive it.
func newReturnsCall(n int) *beechcall.Call {
	now := time.Now()
	return &beechcall.Call{
		ID: fmt.Sprint(n, " at ", now.UnixNano()), Workspace: beechcall.Workspace{Name: "w"}, Route: &beechcall.Route{Objective: 2 * time.Second},
		Service: "llm", Received: now, Deadline: now.Add(12 * time.Second), Method: http.MethodPost, Body: []byte(fmt.Sprint(n)),
	}
}

// charge lets a gate decide on a call, and returns the time that it tells a refused caller.
func charge(g *Gate, call *beechcall.Call) (after time.Duration, refused bool) {
	out := new(recordedRejection)
	g.returns.arrive(call)
	if g.chargeQuota(context.Background(), call, out) {
		return 0, false
	}
	return out.rejection.(beechattempt.QuotaExceeded).RetryAfter, true
}

// emptyBucket has new calls admitted until one is refused.
func emptyBucket(g *Gate, first int) {
	for n := first; ; n++ {
		if _, refused := charge(g, newReturnsCall(n)); refused {
			return
		}
	}
}

// A caller is refused at one gate and comes back through another at its time, while new callers
// take all that they may. It must be recognized and served.
func TestPromiseIsKeptByAnotherGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gates := newReturnsGates(2)
		var after time.Duration
		n := 1000
		for gates[0].metrics.returns.Get("promised") == nil {
			n++
			after, _ = charge(gates[0], newReturnsCall(n))
			emptyBucket(gates[1], 5000)
			exchangeGates(gates)
			time.Sleep(time.Millisecond)
		}
		due := time.Now().Add(after)
		for time.Now().Before(due) {
			exchangeGates(gates)
			emptyBucket(gates[0], 20000)
			exchangeGates(gates)
			emptyBucket(gates[1], 30000)
			time.Sleep(min(10*time.Millisecond, time.Until(due)))
		}
		back := newReturnsCall(n)
		_, again := charge(gates[1], back)
		is.True(back.CameBack && back.Promised)
		is.True(!again)
	})
}

// A caller is never told a time beyond a third of what it has left, which it would not honour.
func TestToldTimeIsWithinPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gates := newReturnsGates(1)
		for n := range 400 {
			call := newReturnsCall(n)
			call.Deadline = call.Received.Add(time.Duration(n%40) * 100 * time.Millisecond)
			if after, refused := charge(gates[0], call); refused {
				is.True(after <= call.TimeLeft(time.Now())/3)
			}
		}
	})
}

// Without quotas and without limited admission, nothing may be decided here: no message is sent,
// and callers are told the same times as ever.
func TestReturnsWithoutQuotas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newReturnsGates(1)[0]
		g.quotas.SetLimits(nil, nil)
		for n := range 1000 {
			_, refused := charge(g, newReturnsCall(n))
			is.True(!refused)
			_, decided := g.returns.After(newReturnsCall(n))
			is.True(!decided)
		}
		g.returns.room = fixedRoom{}
		_, decided := g.returns.After(newReturnsCall(1))
		is.True(!decided)
		is.True(g.returns.book.Empty() && !g.returns.book.Unsent())
	})
}

// A service whose admission is limited tells when it has room. Callers must get successive times
// from then on, at the rate at which it lately answered.
func TestRoomTellsWhenToReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newReturnsGates(1)[0]
		g.returns.room = fixedRoom{after: 300 * time.Millisecond, limited: true}
		for range 100 { // 10 calls a second
			g.returns.answered(newReturnsCall(0))
			time.Sleep(100 * time.Millisecond)
		}
		most := time.Duration(0)
		for n := range 5 {
			after, decided := g.returns.After(newReturnsCall(100 + n))
			is.True(decided)
			is.True(after >= 300*time.Millisecond)
			most = max(most, after)
		}
		is.True(most >= 500*time.Millisecond)
		time.Sleep(time.Second)
		back := newReturnsCall(100)
		g.returns.arrive(back)
		is.True(back.CameBack && back.Promised)
	})
}
