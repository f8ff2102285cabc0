// Package beechadmission decides which requests engines get while they cannot serve all of them.
//
// # Load
//
// More is asked of a service than its engines can do, for seconds, unevenly by kind of request and
// workspace: a third of the engines is lost, or callers come in a burst. Engines that are filled to
// the brim serve everybody worse: their memory holds running requests instead of shared prompt
// parts, these are prefilled again, prefills slow down the streams beside them, and the streams
// keep their memory for longer. It goes on after the burst.
//
// # Decision
//
// A request is admitted to an engine only if a typical request of each more urgent rank that is in
// demand would still get its first token there in good time: within a share of its objective,
// counting what is queued for prefill, the wait for memory and its own prefill. The same holds for
// the request's own rank with a larger share. A request that its engine does not admit is refused at
// once. All gates see the same reports of engines, so they refuse alike without asking each other.
//
// The share grows with the request's standing, as in weighted random early detection: whole ranks
// first, and within a rank by a hash of the subject that rotates, so that nobody is always the
// first to be refused. The size of a prompt does not count, or large prompts would starve. A request
// that comes back at the time that it was told stands highest in its rank.
//
// Reports are some hundred milliseconds old, and all gates act on the same ones. So that not all of
// them send at the same moment to the engines that show room, a part of each rank's requests gets
// spare room only: the part that the engines cannot prefill beside the demand of more urgent ranks,
// or that was refused lately if that is more. What a workspace asks beyond its usual part of its
// rank's demand gets spare room too, and hardly that while others are refused.
//
// An engine where nothing waits and half of the slots are free admits everything.
//
// # State and messages
//
// What ranks and workspaces ask is counted by each gate and summed up over all gates in Demand
// messages, with the time of single gates that the sums cover. Messages may be lost: gates whose
// demand is not covered count as absent with their share of the engines. A gate that hears of no
// other goes by its own callers and its own share. Nothing else is kept: when the engines' queues
// are short, the next request is admitted.
//
// # Switch
//
// With Auto, a service is controlled once one of its servers has told how slow its host is at the
// moment, or another gate tells of demand for it: servers that share their hosts with others cannot
// rely on their capacity. Other services are left alone.
//
// # Usage
//
//	c := beechadmission.New(beechadmission.Auto, clock)
//	c.Enable(service) // a server has told its host's slowness
//	switch v := c.Check(request).(type) {
//	case beechadmission.Open: // any engine may have it
//	case *beechadmission.Limits: // an engine may have it if v.Admit(room)
//	}
//	c.Record(request, beechadmission.Outcome{Unread: 800, Refused: false})
//	demands, controls := c.TakeDemands()
//	totals.Add(demands, interval, true)              // to be summed up and sent
//	c.Merge(totals.Take(beechadmission.Near, limit)) // sums of all gates
package beechadmission
