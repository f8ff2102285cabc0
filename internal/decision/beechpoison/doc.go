// Package beechpoison finds what requests have in common when servers crash on them, such as a part
// of their prompts, and refuses requests that have it.
//
// # Purpose
//
// A server may crash whenever it begins to answer a request with a certain prompt part, whatever
// else the request holds. Each such request is new, so a count of crashes by request never exceeds
// one, and the requests take down one server after the other, each with all that it was running.
// Package beechsuspect has requests that are repeated unchanged.
//
// # Algorithm
//
// This is spectrum-based fault localization. A request has traits: its shared prompt parts, and the
// request as a whole. When a server crashes, all traits of the requests whose answers had not begun
// there are suspect. A trait is blamed for crashes at two moments
//
//   - if no answer to a request that has it has begun since the first of them: what servers can
//     answer does not crash them;
//   - if it was there at half of the moments between its first and last crash at least, or at four
//     moments: a rare trait is met at single ones of many crashes by chance. Once an answer has
//     cleared it of a crash, only four will do: servers can answer it, so that an answer never leads
//     to blame;
//   - and if no other trait explains these crashes: the one that was there most often is blamed
//     first, and its crashes count against no other. Of equal ones, the most specific is blamed.
//
// Servers that crash within momentGap of each other, as they do when a rack loses power, are one
// moment. A trait that was there at crashes of one workspace only is refused for that workspace
// only: part IDs are the callers' words, and a workspace may name another's.
//
// Requests with a blamed trait are refused, for a time that grows with the moments. After it a
// single request is let through as a trial. An answer that begins ends the blame everywhere.
//
// # Exchange between processes
//
// Trackers exchange what they saw: crashes with suspects, answers that have begun on suspects, and
// trials. Each draws the conclusions by itself. Merging is idempotent and independent of order.
// Nothing is exchanged while no server crashes. What was seen is sent at once and several times, as
// datagrams are lost; what a refusal rests on is sent as long as it lasts, for processes that start.
//
// # Thresholds
//
// Two moments: each further one costs another server with all that it runs. Ten seconds until the
// first trial: what was blamed by chance is soon free again. Five minutes after a third crash,
// doubling: a server that is mended is found out by itself.
//
// # Invalid input
//
// Keys of 0 and negative or implausible ages are ignored. Crashes, suspects of a crash and answers
// are bounded; those that no blame rests on are forgotten first.
//
// # Usage
//
//	t := beechpoison.New(clock, turn, onChange)
//	switch v := t.Check(request).(type) { // before each attempt
//	case beechpoison.Allow:
//	case beechpoison.Trial: // may run if t.BeginTrial(v)
//	case beechpoison.Refuse: // respond now: not run, retry after v.After
//	}
//	t.RecordCrash(server, at, requests) // whose answers had not begun
//	t.RecordStart(request)              // its answer has begun
//	update := t.Next(beechpoison.Near)  // send it to other processes
//	t.Apply(update, beechpoison.Zone)   // received from another process
package beechpoison
