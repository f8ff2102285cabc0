// Package beechgossip decides which processes of the fleet are alive and which of them do
// a duty for the others. It is a membership protocol in the manner of SWIM, without I/O:
// the caller sends the messages that Tick and Receive return, and passes in those that
// arrive.
//
// # Protocol
//
// A process that starts sends a list with itself to one of its seeds, which answers with
// all members that it knows. Each member probes one other member per probe interval, in a
// random order that it repeats. If no acknowledgement comes, it asks a few members to probe
// on its behalf, and then suspects the member. A suspect that does not refute the
// suspicion by a higher incarnation is considered dead after a while. Changes travel with
// probes and acknowledgements, and shortly after a change also in messages of their own,
// so that all members learn of it within a few hundred milliseconds.
//
// Probes carry a digest of all members. If two members differ in it while they have no
// changes to send, they exchange their lists. So lists are sent only to new members and
// after a loss, however many members there are.
//
// An incarnation is the start time of a process in Unix milliseconds, which a process
// raises if others hold a higher one. A process that was restarted thereby replaces its
// predecessor at the same address at once.
//
// # Slow hosts
//
// A host that gets little processor time handles acknowledgements late, and would declare
// others dead. Each unanswered probe therefore lengthens the time that a member allows
// others for an answer, and each answered one shortens it (local health, as in Lifeguard). A
// process that was stopped for a moment discards the probe that was under way.
//
// # Duties
//
// Choose selects the members that do a duty, such as reading the store for all, by
// rendezvous hashing: all members that hold the same list choose the same ones without a
// message, and a member that joins or leaves moves few duties.
//
// # Usage
//
//	group := beechgossip.New(self, seeds, beechgossip.DefaultSettings, clock, rand.NewPCG(a, b))
//	for _, s := range group.Tick() { send(s.To, s.Message) }            // every TickInterval
//	for _, s := range group.Receive(from, message) { send(s.To, s.Message) }
//	readers := beechgossip.Choose(group.Members(), "read", 2)
package beechgossip
