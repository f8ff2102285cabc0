package beechgate

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/beechring/beechring/internal/decision/beechorigin"
	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/request/beechattempt"
	"github.com/beechring/beechring/internal/request/beechcall"
)

type (
	// origins is what this gate knows of the software by which streams were begun.
	origins struct {
		registry *beechorigin.Registry
		versions *beechorigin.Versions

		proving atomic.Int32 // other gates' requests for a proof that are being answered

		mu      sync.Mutex
		next    uint64
		queries map[uint64]chan originAnswer // by number
		former  map[netip.AddrPort]time.Time // gates that have left, and when; they may still serve streams
	}

	// originAnswer is another gate's answer: to the query for a stream's origin, or to the request to prove that its
	// service has had one version only.
	originAnswer struct {
		from   netip.AddrPort
		proof  bool // answers a request for a proof
		known  bool // the origin is that of the stream, or proved for all streams of the service
		others bool // the gate knows of several versions
		origin beechorigin.Origin
	}

	// originAnswers is what the gates that were asked have answered.
	originAnswers struct {
		found  originAnswer // the first that knows
		others bool         // a gate knows of several versions
		silent bool         // a gate has not answered
	}

	// originSource tells how the origin of a resumed stream was found, for logs and metrics.
	originSource string
)

const (
	originRegistered originSource = "registered"   // this gate served the beginning, or was told
	originOnly       originSource = "only version" // the service has had one version only, by a read that began after the request came
	originOnlyKnown  originSource = "only known"   // by such a read it has one now, and all gates that were asked know of no other
	originAsked      originSource = "asked"        // another gate knew it
	originUnknown    originSource = "not known"
)

const (
	// Two queries are sent, since a datagram may be lost; gates answer within a few milliseconds
	// unless they are busy.
	queryRepeat  = 40 * time.Millisecond
	queryTimeout = 120 * time.Millisecond
	// unknownOriginRetryAfter is when a caller may ask for the rest of a stream again: another gate
	// may be able to reach one that knows it.
	unknownOriginRetryAfter = 300 * time.Millisecond
	// lifetimeFactor times the longest time-out of a resumable route is how long a stream can be
	// resumed after its beginning, for callers that resume it several times.
	lifetimeFactor     = 2
	minOriginLifetime  = 10 * time.Second
	maxOriginLifetime  = 2 * time.Minute
	maxOriginsInOne    = 200 // requests in a datagram, at 66 bytes each at most
	maxQueriesInFlight = 1024
)

func newOrigins(g *Gate) *origins {
	return &origins{
		registry: beechorigin.NewRegistry(g.clock), versions: beechorigin.NewVersions(g.clock),
		next: rand.Uint64(), queries: make(map[uint64]chan originAnswer), former: make(map[netip.AddrPort]time.Time),
	}
}

// setLifetime derives from the routes for how long streams can be resumed.
func (o *origins) setLifetime(c *beechcall.Configuration) {
	longest := time.Duration(0)
	for _, route := range c.Routes {
		if route.RetryPolicy != beechcall.Resumable {
			continue
		}
		if route.Timeout <= 0 {
			longest = maxOriginLifetime
		}
		longest = max(longest, route.Timeout)
	}
	lifetime := min(max(lifetimeFactor*longest, minOriginLifetime), maxOriginLifetime)
	o.registry.SetLifetime(lifetime)
	o.versions.SetLifetime(lifetime)
}

// otherGates returns all other members, or the seeds until one is known.
func (g *Gate) otherGates() []beechorigin.Gate {
	var gates []beechorigin.Gate
	for _, m := range g.members.Members() {
		if m.Address != g.members.Self() {
			gates = append(gates, beechorigin.Gate{Address: m.Address, Zone: m.Zone})
		}
	}
	if len(gates) > 0 {
		return gates
	}
	for _, seed := range g.settings.Seeds {
		if seed.Addr() != g.members.Self().Addr() {
			gates = append(gates, beechorigin.Gate{Address: netip.AddrPortFrom(seed.Addr(), g.settings.Beats.Port())})
		}
	}
	return gates
}

// updateFormer records which gates have left.
func (o *origins) updateFormer(old, current map[netip.AddrPort]string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for gate := range old {
		if _, still := current[gate]; !still {
			o.former[gate] = now
		}
	}
	for gate, leftAt := range o.former {
		if now.Sub(leftAt) >= maxOriginLifetime {
			delete(o.former, gate)
		}
	}
}

// isGateOrFormer reports whether the sender of a message is a gate, or one that has left and may
// still have streams.
func (g *Gate) isGateOrFormer(from netip.AddrPort) bool {
	g.origins.mu.Lock()
	_, former := g.origins.former[from]
	g.origins.mu.Unlock()
	return former || g.isKnownGate(from)
}

// ObserveStart implements beechattempt.Observer.
func (g *Gate) ObserveStart(call *beechcall.Call) {
	origin := *call.Origin
	g.origins.registry.Record(call.ID, origin, beechorigin.Own)
	if call.Resumes != "" {
		g.origins.registry.Record(call.Resumes, origin, beechorigin.Own)
		return // its replicas were told at the beginning
	}
	keepers := beechorigin.Replicas
	if only, ok := g.origins.versions.Only(origin.Service); ok && only == origin.Software && hasOneTarget(call.Route) && !g.draining.Load() {
		keepers = func(id string, gates []beechorigin.Gate) []beechorigin.Gate {
			return beechorigin.Survivor(id, g.settings.Zone, gates)
		}
	}
	g.tellOrigins(map[beechorigin.Origin][]string{origin: {call.ID}}, keepers)
}

// tellOrigins tells origins to the gates that keep them.
func (g *Gate) tellOrigins(all map[beechorigin.Origin][]string, keepers func(id string, gates []beechorigin.Gate) []beechorigin.Gate) {
	gates := g.otherGates()
	for origin, ids := range all {
		byReplica := make(map[netip.AddrPort][]string)
		for _, id := range ids {
			for _, replica := range keepers(id, gates) {
				byReplica[replica.Address] = append(byReplica[replica.Address], id)
			}
		}
		for replica, kept := range byReplica {
			for chunk := range slices.Chunk(kept, maxOriginsInOne) {
				g.sendTo(replica, beechdatagram.Origins{Origins: &beechwire.Origins{Service: origin.Service, Software: origin.Software, Requests: chunk}})
			}
		}
	}
}

// tellAllOrigins tells the origins of all streams that this gate has served, of which one gate each knows so far.
func (g *Gate) tellAllOrigins() {
	g.tellOrigins(g.origins.registry.Served(""), beechorigin.Replicas)
}

func (g *Gate) sendTo(gate netip.AddrPort, m beechdatagram.Message) {
	if err := g.socket.Send(gate, g.scopeToGate(gate), m); err != nil {
		g.log.Debug("send to gate failed", zap.Error(err))
	}
}

// observeVersions records the versions of the servers that are listed. Streams that began while
// there was only one are told to all gates that keep them as soon as there is another.
func (g *Gate) observeVersions(servers []beechcall.Server) {
	listed := make(map[string][]string)
	for _, s := range servers {
		if !slices.Contains(listed[s.Service], s.Software) {
			listed[s.Service] = append(listed[s.Service], s.Software)
		}
	}
	for _, service := range g.origins.versions.SetListed(listed) {
		g.versionAppeared(service)
		if slices.Contains(g.topology.Load().Readers, g.members.Self()) {
			for round, software := range listed[service] {
				g.sendToGates(uint32(round), true, func(pass bool) beechdatagram.Message {
					return beechdatagram.Origins{Origins: &beechwire.Origins{Pass: pass, Service: service, Software: software}}
				})
			}
		}
	}
}

func (g *Gate) versionAppeared(service string) {
	g.log.Info("software versions changed", zap.String("service", service), zap.Strings("versions", g.origins.versions.Recent(service)))
	g.tellOrigins(g.origins.registry.Served(service), beechorigin.Replicas)
}

// receiveOrigins handles the origins sent by another gate.
func (g *Gate) receiveOrigins(from netip.AddrPort, m beechdatagram.Origins) {
	if !g.isGateOrFormer(from) {
		return
	}
	if m.Pass {
		g.sendToZone(beechdatagram.Origins{Origins: &beechwire.Origins{Service: m.Service, Software: m.Software, Requests: m.Requests}})
	}
	origin := beechorigin.Origin{Service: m.Service, Software: m.Software}
	for _, id := range m.Requests {
		g.origins.registry.Record(id, origin, beechorigin.Told)
	}
	if g.origins.versions.Heard(m.Service, m.Software) {
		g.versionAppeared(m.Service)
	}
}

// receiveQuery answers a gate that is asked to continue a stream.
func (g *Gate) receiveQuery(from netip.AddrPort, m beechdatagram.Query) {
	if !g.isGateOrFormer(from) {
		return
	}
	answer := &beechwire.Found{Number: m.Number}
	if origin, ok := g.origins.registry.Find(m.Request); ok {
		answer.Known, answer.Service, answer.Software = true, origin.Service, origin.Software
	}
	g.sendTo(from, beechdatagram.Found{Found: answer})
}

func (g *Gate) receiveFound(from netip.AddrPort, m beechdatagram.Found) {
	g.origins.answer(m.Number, originAnswer{from: from, known: m.Known, origin: beechorigin.Origin{Service: m.Service, Software: m.Software}})
}

// answer passes an answer on to the call that waits for it.
func (o *origins) answer(number uint64, a originAnswer) {
	o.mu.Lock()
	waiting := o.queries[number]
	o.mu.Unlock()
	if waiting == nil {
		return
	}
	select {
	case waiting <- a:
	default: // an answer to a repeated query
	}
}

// resumable finds the origin of a stream that a call resumes, and binds the call to it. Otherwise
// it rejects the call.
func (g *Gate) resumable(ctx context.Context, call *beechcall.Call, out beechattempt.Responder) bool {
	start := g.clock.Now()
	origin, source := g.findOrigin(ctx, call)
	if source != originUnknown && !g.routeAllows(call.Route, origin.Service) {
		source = originUnknown
	}
	g.metrics.resumed.Add(string(source), 1)
	g.log.Info("stream resumed", zap.String("request", call.ID), zap.String("resumes", call.Resumes), zap.String("after", call.LastEventID),
		zap.String("origin", string(source)), zap.String("service", origin.Service), zap.String("software", origin.Software), zap.Duration("took", g.clock.Since(start)),
		zap.Inline(g.basisOfOrigin(call.Service)))
	if source == originUnknown || origin.Software == "" {
		if !out.Departed() {
			out.Reject(beechattempt.NotExecuted{RetryAfter: unknownOriginRetryAfter, Reason: "origin of the stream not known"})
		}
		return false
	}
	call.Origin, call.Service = &origin, origin.Service
	return true
}

// basisOfOrigin describes what this gate knew when it looked for the origin of a stream, for logs.
func (g *Gate) basisOfOrigin(service string) zapcore.ObjectMarshalerFunc {
	return func(e zapcore.ObjectEncoder) error {
		if held, known := g.serverMirror.Held(); known {
			e.AddUint64("revision", plainRevision(held.Revision))
			e.AddDuration("listAge", g.serverFreshness.Age())
		}
		history, gap := g.serverMirror.HistoryAge()
		e.AddDuration("history", history)
		e.AddBool("gap", gap)
		e.AddDuration("configurationAge", g.freshness.keys.Age())
		e.AddDuration("up", g.clock.Since(g.startedAt))
		e.AddInt("gates", len(g.members.Members())-1)
		return e.AddReflected("versions", g.origins.versions.Recent(service))
	}
}

// routeAllows reports whether a route's requests may go to a service.
func (g *Gate) routeAllows(route *beechcall.Route, service string) bool {
	return slices.ContainsFunc(route.Targets, func(t beechcall.Target) bool { return t.Service == service && t.Weight > 0 })
}

// hasOneTarget reports whether only one service can have served the beginning of a route's streams.
func hasOneTarget(route *beechcall.Route) bool { return len(route.Targets) == 1 }

func (g *Gate) findOrigin(ctx context.Context, call *beechcall.Call) (beechorigin.Origin, originSource) {
	if origin, ok := g.origins.registry.Find(call.Resumes); ok {
		return origin, originRegistered
	}
	if hasOneTarget(call.Route) {
		if only, ok := g.prover.prove(ctx, call.Service); ok {
			return beechorigin.Origin{Service: call.Service, Software: only}, originOnly
		}
	}
	if call.Resumes == "" {
		return g.originOfUnnamed(ctx, call)
	}
	answer := g.askForOrigin(ctx, call).found
	switch {
	case answer.known && !answer.proof:
		g.origins.registry.Record(call.Resumes, answer.origin, beechorigin.Told)
		return answer.origin, originAsked
	case answer.known && hasOneTarget(call.Route) && answer.origin.Service == call.Service && g.noOtherVersion(answer.origin):
		return answer.origin, originOnly
	}
	return beechorigin.Origin{}, originUnknown
}

// originOfUnnamed returns the origin of a stream whose caller does not name the request that it
// began with. Nobody can look it up, so the service must have one version only. If no gate has known
// it for long enough to prove that, as after a start of all gates, the versions of now must do.
func (g *Gate) originOfUnnamed(ctx context.Context, call *beechcall.Call) (beechorigin.Origin, originSource) {
	versions := g.origins.versions.Recent(call.Service)
	if len(versions) != 1 || versions[0] == "" {
		return beechorigin.Origin{}, originUnknown
	}
	origin := beechorigin.Origin{Service: call.Service, Software: versions[0]}
	current := g.prover.catchUp(ctx) == nil
	answers := g.askForOrigin(ctx, call)
	switch {
	case answers.others || !g.noOtherVersion(origin):
	case answers.found.known && answers.found.origin == origin:
		return origin, originOnly
	case !answers.found.known && !answers.silent && current:
		return origin, originOnlyKnown
	}
	return beechorigin.Origin{}, originUnknown
}

// noOtherVersion reports whether this gate knows no other version of an origin's service.
func (g *Gate) noOtherVersion(origin beechorigin.Origin) bool {
	return slices.Equal(g.origins.versions.Recent(origin.Service), []string{origin.Software})
}

// askForOrigin asks other gates for the origin of a stream, if its caller names it, and for a proof that the service has
// had one version only. It returns once one of them knows either.
func (g *Gate) askForOrigin(ctx context.Context, call *beechcall.Call) (answers originAnswers) {
	asked := beechorigin.Asked(cmp.Or(call.Resumes, call.ID), g.settings.Zone, g.otherGates())
	number, received, ok := g.origins.begin(len(asked))
	if !ok {
		return originAnswers{silent: len(asked) > 0}
	}
	defer g.origins.end(number)
	queried, provers := make(map[netip.AddrPort]bool, len(asked)), make(map[netip.AddrPort]bool, maxProvers)
	for n, peer := range asked {
		queried[peer.Address] = call.Resumes != ""
		provers[peer.Address] = n < maxProvers
	}
	send := func() int {
		waiting := 0
		for _, peer := range asked {
			if queried[peer.Address] {
				waiting++
				g.sendTo(peer.Address, beechdatagram.Query{Query: &beechwire.Query{Number: number, Service: call.Service, Request: call.Resumes}})
			}
			if provers[peer.Address] {
				waiting++
				g.sendTo(peer.Address, beechdatagram.Prove{Prove: &beechwire.Prove{Number: number, Service: call.Service}})
			}
		}
		return waiting
	}
	repeat, timeout := g.clock.After(queryRepeat), g.clock.After(queryTimeout)
	for waiting := send(); waiting > 0; {
		select {
		case a := <-received:
			expected := queried
			if a.proof {
				expected = provers
			}
			if !expected[a.from] {
				continue
			}
			if a.known {
				answers.found = a
				return answers
			}
			answers.others = answers.others || a.others
			expected[a.from] = false
			waiting--
		case <-repeat:
			send()
		case <-timeout:
			answers.silent = true
			return answers
		case <-ctx.Done():
			answers.silent = true
			return answers
		}
	}
	return answers
}

// begin starts a query to a number of gates. It returns false if there are none, or if too many
// queries are in flight.
func (o *origins) begin(gates int) (uint64, <-chan originAnswer, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if gates == 0 || len(o.queries) >= maxQueriesInFlight {
		return 0, nil, false
	}
	o.next++
	answers := make(chan originAnswer, 4*gates) // each gate may answer both messages twice
	o.queries[o.next] = answers
	return o.next, answers, true
}

func (o *origins) end(number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.queries, number)
}
