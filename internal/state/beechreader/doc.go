// Package beechreader selects which processes of an availability zone read a store on
// behalf of all of them, and computes how old the copies of the others may be.
//
// Reads of the store and traffic between zones are billed. If sixty processes each read
// the same prefix every two seconds, these reads are most of the calls of a deployment.
// Therefore one process of a zone reads, a second is its standby, and the others ask these
// two how old their copies are. Traffic inside a zone is free.
//
// # Ranks
//
// There is no election. Each process ranks itself and the peers that it knows by a hash of
// their addresses, and reads the store when its copy reaches the age for its rank (see
// Schedule). The process with rank 0 reads at the lowest age, so its answers confirm the
// copies of the others before their reads are due. If it stops answering, the second reads
// next, and then all others: no process depends on another after its own copy has reached
// the age for its rank. If processes know different peers, the only effect is extra reads.
//
// # Age of a copy
//
// A process sends a numbered inquiry, and the answer contains the age of the peer's copy,
// measured by the peer's own clock. The peer answers after the inquiry was sent, so its copy
// was confirmed no earlier than the time of sending the inquiry minus the age. This bound
// holds for any delay of the datagrams, and also if the peer is suspended before or after it
// answers. An answer without a known inquiry, or with a negative age, proves nothing.
//
// # Usage
//
//	group := beechreader.New(self)
//	group.UpdatePeers(peers, now)                 // repeatedly, as reported by a third process
//	number := group.StartInquiry(clock)           // sent to group.Readers(now)
//	at, ok := group.ConfirmedAt(number, age)      // the peer's copy was confirmed at or after at
//	interval := schedule.ForRank(group.Rank(now)) // age of the copy at which this process reads
package beechreader
