// Package beechqueue decides for one backend server which requests run now,
// which wait and which are refused. It runs in the agent, the process beside the
// server. Only the agent knows what the server is running, so its decision is
// final: a wrong choice of server by an entry host costs one round trip.
//
// # Load conditions
//
// The queue is designed for bursts, for load that comes mostly from a few
// workspaces or prefixes, for long prompts among short ones, for a server that
// slows down, and for demand beyond capacity.
//
// Without it, the server accepts every request. A burst then delays every first
// token, one workspace's backlog delays all other workspaces, a long prompt keeps
// short answers from beginning, and ten requests with the same new prefix compute
// it ten times. Under saturation the server spends its time on answers that come
// too late to be used: times to first token rise while useful work falls.
//
// # Algorithm
//
//   - Priority classes: a class with a lower number is served first, but one start
//     in 16 goes to a waiting lower class, so that none starves (fair.go).
//   - Within a class, workspaces share the server by deficit round robin over token
//     cost. The estimated cost is charged when a request starts and corrected by
//     the usage that the server reports, as a refund or a debt. If the usage is
//     unknown, the estimate is kept (fair.go, cost.go).
//   - Only one request at a time computes a shared prefix; the others that need it
//     wait until it is cached, for at most MaxPrefixWait (prefix.go).
//   - The number of running long prefills and suspects is limited, and the short
//     prefills in progress are limited to PrefillAhead. All other requests wait
//     here, where order, deadlines and priorities apply (queue.go).
//   - The time to first token is predicted on arrival. A request that would miss
//     its deadline, or without a deadline would wait longer than MaxWait, is refused
//     at once (forecast.go, workspace.go, slowdown.go). An accepted request that is
//     about to miss its deadline or MaxWait is started first.
//   - The number of waiting requests is bounded, and each workspace may queue at
//     most as many as there are free places, times its weight.
//   - A refusal carries a time to retry; these times are spread.
//
// # Settings
//
// The reasons for constants are given where they are defined. The other limits are
// the operator's. MaxWaiting bounds memory and is rarely reached, since MaxWait and
// deadlines refuse requests earlier; about 8 times the slots is enough. Recommended
// are for LongPrefill what the server prefills in one second, for MaxLongPrefills
// 1, and for MaxPrefixWait the time to prefill the longest prompt. A PrefillAhead
// of 250 ms improves priorities, deadlines and fairness where prompts saturate the
// server. With 0 only the slots limit prefills, which is better for the tail latency
// of large workspaces if no request is refused.
//
// # Invalid input
//
// Negative counts are treated as 0, and large counts are capped. A prefix chain ends
// at the first level that does not grow. A weight below 1 counts as 1. A request whose
// ID is already in the queue is refused as invalid, and calls for unknown requests are
// ignored. While the clock steps back, the queue's time stands still. A server without
// slots is busy.
//
// # Usage
//
//	q := beechqueue.New(settings, clockwork.NewRealClock())
//	switch d := q.Offer(request, load).(type) {
//	case beechqueue.Run: // send it to the server
//	case beechqueue.Wait: // Dispatch returns it when it may run
//	case beechqueue.Refuse: // answer: not run, retry after d.RetryAfter
//	}
//	q.FinishPrefill(request.ID)   // at its first token
//	q.Finish(request.ID, usage)   // at its end, whatever its outcome
//	for _, r := range q.Dispatch(load) { ... } // after each of these and at NextCheck
//	for _, r := range q.RemoveOverdue() { ... } // at NextCheck; answer these as refused
//	q.CacheLost()                 // after the engine lost its cache
package beechqueue
