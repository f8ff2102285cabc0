package beechroute

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

const testModel = "advisor@7"

type fixedHealth map[netip.AddrPort]float64

func (w fixedHealth) Weight(a netip.AddrPort) float64 {
	if weight, ok := w[a]; ok {
		return weight
	}
	return 1
}

func testAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func testServers(n int) []Server {
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{Address: testAddress(i), Zone: string(rune('a' + i%4)), Incarnation: 1, Models: []string{testModel}}
	}
	return servers
}

func testRouter(n int, clock clockwork.Clock, health Health) *Router {
	r := New(Settings{Zone: "a", WasteWeight: 2}, clock, rand.New(rand.NewPCG(1, 1)), health)
	r.SetServers(testServers(n))
	return r
}

// testRequest returns a request with a common instruction, a history and a
// question.
func testRequest(history, question int) Request {
	key := func(level byte, n int) Key {
		var k Key
		binary.LittleEndian.PutUint64(k[:8], mix(uint64(n)))
		k[15] = level
		return k
	}
	return Request{
		Model: testModel, PromptTokens: 6000, OutputTokens: 100,
		Levels: []Level{
			{Key: key(0, 0), Tokens: 1000},
			{Key: key(1, history), Tokens: 5800},
			{Key: key(2, question), Tokens: 6000},
		},
	}
}

func warmUp(r *Router) {
	for i := range 20_000 {
		q := testRequest(i%2000, i)
		best := r.Choose(q).Ranked[0]
		r.RecordDispatch(best.Server, q, best.Uncached)
		r.RecordFinish(best.Server)
	}
}

// uncachedRequests returns requests with questions that were not asked before.
func uncachedRequests() []Request {
	requests := make([]Request, 50_000)
	for i := range requests {
		requests[i] = testRequest(i%2000, -1-i)
	}
	return requests
}

// BenchmarkChoose shows that the time of a decision does not depend on the size of
// the fleet.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{30, 12_000} {
		r := testRouter(n, clockwork.NewRealClock(), fixedHealth{})
		warmUp(r)
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			requests := uncachedRequests()
			for i := range b.N {
				r.Choose(requests[i%len(requests)])
			}
		})
	}
}

// BenchmarkDecision measures all calls for one request: choice, dispatch, reply and
// end.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{30, 12_000} {
		r := testRouter(n, clockwork.NewRealClock(), fixedHealth{})
		warmUp(r)
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			requests := uncachedRequests()
			for i := range b.N {
				q := requests[i%len(requests)]
				best := r.Choose(q).Ranked[0]
				r.RecordDispatch(best.Server, q, best.Uncached)
				r.RecordReply(Reply{Server: best.Server, Incarnation: 1, Levels: q.Levels})
				r.RecordFinish(best.Server)
			}
		})
	}
}

// BenchmarkSetServers measures the cost of one server that joins or leaves a large
// fleet.
func BenchmarkSetServers(b *testing.B) {
	r := testRouter(12_000, clockwork.NewRealClock(), fixedHealth{})
	few, all := testServers(11_999), testServers(12_000)
	for i := range b.N {
		if i%2 == 0 {
			r.SetServers(few)
			continue
		}
		r.SetServers(all)
	}
}

// A decision must allocate only its result, in a fleet of 12,000 as in one of 30.
func TestDecisionAllocatesItsAnswerOnly(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{30, 12_000} {
		r := testRouter(n, clockwork.NewFakeClock(), fixedHealth{})
		warmUp(r)
		q := testRequest(7, -1)
		is.Equal(testing.AllocsPerRun(100, func() { r.Choose(q) }), 1.0)
	}
}
