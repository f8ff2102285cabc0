package beechgate

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechring/beechring/internal/decision/beechquota"
	"github.com/beechring/beechring/internal/decision/beechreturns"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechtask"
	"github.com/beechring/beechring/internal/request/beechcall"
)

type (
	// returns tells refused callers when to come back. It implements beechattempt.Returns.
	returns struct {
		gate *Gate
		book *beechreturns.Book
		room roomForecast // nil: no service's admission is limited

		mu     sync.Mutex
		served map[uint32]*beechreturns.Rate // work of answered calls, by account of a room
	}

	// roomForecast tells when a service has room; *beechadmission.Controller implements it.
	roomForecast interface {
		// After returns in what time there would be room for calls of an urgency if no others
		// came, and 0 if that is not known. It returns false if the service's admission is not
		// limited.
		After(service string, urgency int) (time.Duration, bool)
	}
)

const (
	// patienceDivisor is the part of the time left up to which callers honour a time. The rest is
	// for the way back.
	patienceDivisor = 3
	patienceShare   = 0.95
	// usefulDivisor leaves half of the objective for the answer itself.
	usefulDivisor = 2
	// returnTime is what the way back takes besides the time that a caller is told.
	returnTime = 75 * time.Millisecond
	// returnsPause gathers promises; a repeat may follow after returnsRepeat.
	returnsPause  = 40 * time.Millisecond
	returnsRepeat = 100 * time.Millisecond
	// maxRoomAccounts bounds the services and urgencies whose answered work is counted.
	maxRoomAccounts = 512
)

func newReturns(g *Gate) *returns {
	return &returns{gate: g, book: beechreturns.NewBook(g.clock, rand.Float64), served: make(map[uint32]*beechreturns.Rate)}
}

// hash32 shortens a hash for messages.
func hash32(h uint64) uint32 { return uint32(h ^ h>>32) }

// callKey is the same for a call and its caller's retry, at all gates.
func callKey(call *beechcall.Call) uint32 { return hash32(call.Fingerprint()) }

func quotaAccount(call *beechcall.Call) uint32 {
	return hash32(xxhash.Sum64String("quota " + call.Workspace.Name))
}

func roomAccount(call *beechcall.Call) uint32 {
	return hash32(xxhash.Sum64String("room " + strconv.Itoa(call.Urgency()) + " " + call.Service))
}

// work is the size of a call for a service's room.
func work(call *beechcall.Call) float64 { return float64(max(call.PromptTokens+call.OutputTokens, 1)) }

// arrive records whether a call comes back at the time that it was told.
func (r *returns) arrive(call *beechcall.Call) {
	if r.book.Empty() {
		return
	}
	key := callKey(call)
	for _, account := range []uint32{quotaAccount(call), roomAccount(call)} {
		switch a := r.book.Arrive(account, key).(type) {
		case beechreturns.New:
		case beechreturns.Early:
			r.gate.metrics.returns.Add("early", 1)
		case beechreturns.Returned:
			call.CameBack = true
			r.gate.metrics.returns.Add("inTime", 1)
			if a.Promised {
				call.Promised = true
				r.gate.metrics.returns.Add("inTimePromised", 1)
			}
		}
	}
}

// reserve returns how much of a workspace's quota a call must leave for others.
func (r *returns) reserve(call *beechcall.Call) float64 {
	if call.Promised || r.book.Empty() {
		return 0
	}
	limit, ok := r.gate.quotas.Limit(call.Workspace.Name)
	if !ok {
		return 0
	}
	return r.book.Reserve(quotaAccount(call), beechreturns.Supply{Rate: limit.Rate, Burst: limit.Burst}, call.CameBack)
}

// offerQuota tells a caller that is over its workspace's quota when to come back. While this gate
// starts or the others are not informed, the limiter's own time is the best one.
func (r *returns) offerQuota(call *beechcall.Call, refused beechquota.Refused) beechreturns.Offer {
	if refused.Starting || refused.Available > 0 && r.reserve(call) == 0 {
		return r.told(beechreturns.Offer{After: min(refused.After, r.patience(call))})
	}
	supply := beechreturns.Supply{Available: refused.Available, Rate: refused.Rate, Burst: refused.Limit.Burst, Undisclosed: refused.Undisclosed, Gates: 1}
	if !refused.Isolated {
		supply.Gates = r.gate.gateCount()
	}
	return r.told(r.book.Offer(r.caller(call, quotaAccount(call), call.QuotaCost()), supply))
}

// After implements beechattempt.Returns.
func (r *returns) After(call *beechcall.Call) (time.Duration, bool) {
	if r.room == nil {
		return 0, false
	}
	earliest, limited := r.room.After(call.Service, call.Urgency())
	if !limited {
		return 0, false
	}
	account := roomAccount(call)
	supply := beechreturns.Supply{Rate: r.servedRate(account), Gates: 1, Earliest: earliest}
	return r.told(r.book.Offer(r.caller(call, account, work(call)), supply)).After, true
}

func (r *returns) caller(call *beechcall.Call, account uint32, size float64) beechreturns.Caller {
	useful := call.Route.Objective/usefulDivisor - returnTime - r.gate.clock.Since(call.Received)
	return beechreturns.Caller{Account: account, Class: uint8(call.Urgency()), Call: callKey(call), Size: size, Useful: max(useful, 0), Patience: r.patience(call)}
}

// patience returns the longest time that a caller honours.
func (r *returns) patience(call *beechcall.Call) time.Duration {
	left := max(call.TimeLeft(r.gate.clock.Now()), 0)
	return time.Duration(float64(left) / patienceDivisor * patienceShare)
}

// told counts what a refused caller is told, and has the other gates informed.
func (r *returns) told(offer beechreturns.Offer) beechreturns.Offer {
	m := r.gate.metrics
	m.returns.Add("told", 1)
	m.toldTimes.Record(offer.After)
	if offer.Promised {
		m.returns.Add("promised", 1)
	}
	beechtask.Notify(r.gate.returnsDue)
	return offer
}

// refused counts a call that was refused for any reason although it came at its time.
func (r *returns) refused(call *beechcall.Call) {
	if call.CameBack {
		r.gate.metrics.returns.Add("refusedAgain", 1)
	}
	if call.Promised {
		r.gate.metrics.returns.Add("promiseBroken", 1)
	}
}

// quotaAdmitted ends what was promised of a workspace's quota.
func (r *returns) quotaAdmitted(call *beechcall.Call) {
	if !r.book.Empty() {
		r.book.Served(quotaAccount(call), callKey(call))
	}
}

// answered counts the work of an answered call, and ends what was promised to it.
func (r *returns) answered(call *beechcall.Call) {
	if r.room == nil {
		return
	}
	account := roomAccount(call)
	if !r.book.Empty() {
		r.book.Served(account, callKey(call))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.served[account]
	if rate == nil {
		if len(r.served) >= maxRoomAccounts {
			return
		}
		rate = beechreturns.NewRate(r.gate.clock)
		r.served[account] = rate
	}
	rate.Add(work(call))
}

// servedRate returns the work per second that this gate lately had answered.
func (r *returns) servedRate(account uint32) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rate := r.served[account]; rate != nil {
		return rate.PerSecond()
	}
	return 0
}

// sendReturns tells the other gates when refused callers come back.
func (g *Gate) sendReturns(ctx context.Context) error {
	for round := uint32(0); ; round++ {
		var repeat <-chan time.Time
		if g.returns.book.Unsent() {
			repeat = g.clock.After(returnsRepeat)
		}
		select {
		case <-g.returnsDue:
		case <-repeat:
		case <-ctx.Done():
			return ctx.Err()
		}
		if promises := g.returns.book.Next(); len(promises) > 0 {
			list := make([]beechwire.Return, 0, len(promises))
			for _, p := range promises {
				list = append(list, beechwire.Return{Account: p.Account, Call: p.Call, Class: p.Class, Millis: p.After.Milliseconds(), Size: uint64(p.Size), Kept: p.Kept})
			}
			g.sendToGates(round, true, func(pass bool) beechdatagram.Message {
				return beechdatagram.Returns{Returns: &beechwire.Returns{Pass: pass, List: list}}
			})
		}
		g.clock.Sleep(returnsPause)
	}
}

// receiveReturns handles what another gate has promised.
func (g *Gate) receiveReturns(from netip.AddrPort, m beechdatagram.Returns) {
	if !g.isKnownGate(from) {
		return
	}
	if m.Pass {
		g.sendToZone(beechdatagram.Returns{Returns: &beechwire.Returns{List: m.List}})
	}
	promises := make([]beechreturns.Promise, 0, len(m.List))
	for _, p := range m.List {
		promises = append(promises, beechreturns.Promise{Account: p.Account, Call: p.Call, Class: p.Class, After: time.Duration(p.Millis) * time.Millisecond, Size: float64(p.Size), Kept: p.Kept})
	}
	g.returns.book.Apply(promises)
}
