// Package beechreader selects which processes of a fleet read a store on behalf of all of
// them, and computes how old the copies of the others may be.
//
// Reads of the store and traffic between zones are billed. If hundreds of processes each read
// the same prefix every two seconds, these reads are most of the calls of a deployment.
// Therefore one process of the fleet reads and a second is its standby. Two processes of
// each zone ask these how old their copies are, and all others of a zone ask the two of
// their zone.
//
// # Roles
//
// There is no election. Each process is told the readers that follow from its list of
// members, and reads the store when its copy reaches the age for its role (see Schedule).
// The first reader reads at the lowest age, so its answers confirm the copies of all
// others before their reads are due. If it stops answering, its standby reads next, then
// the readers of the zones, and then all others: no process depends on another after its
// own copy has reached the age for its role. If processes know different members, the only
// effect is extra reads.
//
// # Bounds
//
// Operators bound the time from a change in the store until all processes that the store answers act on it. The change may
// come just after a proof, and the readers may be lost in the same moment without noticing. ForBound therefore derives all
// ages from the bound: the age at which the last process reads, the call and the time until what it shows is acted on are
// within it. A process that says that it watches the store, or that it is well, is no term of that sum.
//
// # Age of a copy
//
// A process sends a numbered inquiry, and the answer contains the age of the peer's copy,
// measured by the peer's own clock. The peer answers after the inquiry was sent, so its copy
// was confirmed no earlier than the time of sending the inquiry minus the age. This bound
// holds for any delay of the datagrams, and also if the peer is suspended before or after it
// answers. An answer without a known inquiry, or with a negative age, proves nothing.
//
// Answers over two steps add up: a process of a zone is answered with the age that the reader
// of its zone has itself only by an answer.
//
// # Usage
//
//	group := beechreader.New(self)
//	group.SetReaders(fleet, zone)                // when the members change
//	number := group.StartInquiry(clock)          // sent to group.Targets()
//	at, ok := group.ConfirmedAt(number, age)     // the peer's copy was confirmed at or after at
//	schedule := beechreader.ForBound(bound)
//	age := schedule.ForRole(group.Role())        // age of the copy at which this process reads
//	wait := schedule.NextInquiry(age)            // until the next inquiry
package beechreader
