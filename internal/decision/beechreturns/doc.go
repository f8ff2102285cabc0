// Package beechreturns decides when refused callers may come back, so that those who come at
// their time are served.
//
// # Purpose
//
// A workspace may ask for several times its quota for some seconds, or a service for more than
// its servers can do. If all refused callers are given the same short time, they come back
// together, compete with new ones, and most are refused once more; many callers come back only
// once. What refills while they wait can be promised to them instead.
//
// # Algorithm
//
// A Book holds a calendar for each account (a workspace's quota, or one urgency of a service).
// A slot of the calendar holds the sizes of the callers that were told to come back in it. A
// refused caller gets the first slot for which, up to the last promise, the debt is paid and
// something is left of what has refilled: as in the bucket, a larger caller leaves a debt. Only a
// part of the refill is promised:
//
//   - usefulShare while its answer would be in time; new callers get the rest;
//   - lateShare after that, as an answer that is late serves a caller less than one in time
//     serves a new one;
//   - all of it to a caller that came at its time and was refused again.
//
// Callers are divided into classes of about the same patience, and each class gets the part of
// the promises that it has of what is refused. Otherwise those who can wait for longer, and
// smaller ones, would take all slots.
//
// A caller never gets a time beyond its patience, which it would ignore. If no slot is free
// before that, nothing is promised, and it is told to come in the last part of its patience,
// when the rush is most likely over. Coming then, it yields to new callers.
//
// New callers leave untouched what was promised for now and the next moment, see Reserve. A
// promise only orders callers: it never admits more than the account's own limit does.
//
// # Several gates
//
// A caller comes back through any gate, under a new ID. The gates therefore tell each other
// what they have promised, with a fingerprint of the call, in a few bytes each. Until then
// each gate assumes that the others have promised as much as it has itself. A lost message means
// that a gate takes a returning caller for a new one; a message that is doubled, or older
// than the promise it names, changes nothing.
//
// # Usage
//
//	b := beechreturns.NewBook(clock, rand.Float64)
//	switch a := b.Arrive(account, call).(type) {
//	case beechreturns.Returned: // if a.Promised, admit it without regard to b.Reserve
//	case beechreturns.New, beechreturns.Early: // admit it if more than b.Reserve(account, supply, false) is left
//	}
//	b.Served(account, call)             // the promise is fulfilled
//	offer := b.Offer(caller, supply)    // or it was refused: tell it offer.After
//	promises := b.Next()                // send them to the other gates soon after
//	b.Apply(promises)                   // received from another gate
package beechreturns
