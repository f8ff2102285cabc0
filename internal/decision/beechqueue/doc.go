// Package beechqueue decides, beside one backend server, which work runs now,
// which waits and which is turned away. The process beside the server is the
// only one that knows what runs there, so this is the authority: entry hosts
// may be wrong about a server for the price of one round trip.
//
// # Load it answers
//
// Bursts, a few workspaces or prefixes with most of the load, long prompts
// among short ones, a server that slows down, and demand beyond capacity.
//
// Without it the server takes all that comes. A burst then makes every first
// token late, one workspace's backlog delays all others, a long prompt stops
// short answers from beginning, ten requests with the same new prefix compute
// it ten times, and under saturation the server works on answers that come too
// late for anyone: first tokens climb while useful work falls.
//
// # How it decides
//
//   - Classes: a lower number is served first; of a class that waits, one start
//     in 16 is let through, so that none starves (fair.go).
//   - Workspaces of a class take turns by deficit round robin in token cost.
//     The estimate is reserved at the start and corrected by the server's usage: a
//     refund or a debt. Usage that is not known leaves the estimate (fair.go,
//     cost.go).
//   - One request at a time brings a shared prefix into the cache, the others
//     that need it follow; bounded by MaxPrefixWait (prefix.go).
//   - Long prefills and suspects run in limited number, and short prefills of at
//     most PrefillAhead are under way at once; the rest waits here, where order,
//     deadlines and priorities count (queue.go).
//   - The first token is predicted at arrival. What would miss its deadline, or
//     without one would wait beyond MaxWait, is refused at once (forecast.go,
//     habit.go, slow.go). What was let in and is about to miss its time goes first.
//   - The number that waits is bounded, and a workspace may fill only as much
//     as is still free, times its weight.
//   - A refusal says when to come back, and spreads those refused in time.
//
// # Thresholds
//
// Each constant says why beside it. The operator sets the rest: MaxWaiting
// bounds memory and is seldom met, since MaxWait and deadlines refuse earlier;
// about 8 times the slots is enough. LongPrefill is best what the server
// prefills in a second, MaxLongPrefills 1, MaxPrefixWait what the longest prompt
// takes to prefill. PrefillAhead 250 ms makes priorities, deadlines and fairness
// hold better where prompts fill the server; 0 leaves it at the slots, which is
// better for the tail of large workspaces where nobody is refused.
//
// # Bad input
//
// Counts below 0 count as 0 and are bounded above, levels end at the first that
// does not grow, a weight below 1 counts as 1, an id that is already in the
// queue is refused as invalid, calls for unknown work are passed over, and time
// stands still while the clock steps back. A server without slots is busy.
//
// # Usage
//
//	q := beechqueue.New(settings, clockwork.NewRealClock())
//	switch d := q.Offer(work, load).(type) {
//	case beechqueue.Run: // send it to the server
//	case beechqueue.Wait: // Dispatch returns it when it may run
//	case beechqueue.Refuse: // answer now: not run, come back after d.RetryAfter
//	}
//	q.FinishPrefill(work.ID)       // at its first token
//	q.Finish(work.ID, usage)     // at its end, however it ended
//	for _, w := range q.Dispatch(load) { ... }    // after each of these and at NextCheck
//	for _, r := range q.RemoveOverdue() { ... }     // answer these now, at NextCheck
//	q.CacheLost()                // the engine came back empty
package beechqueue
