// Package beechreader decides which processes of an availability zone read a
// store for all of them, and how the others prove that their copies are young.
//
// Each read of a store is paid for, and so are the bytes that cross a zone's
// border. Sixty processes that each read the same prefix every two seconds make
// most of a deployment's calls. So one process of a zone reads, a second stands
// in for it, and the others ask both how old the same copy is there. Inside a
// zone that costs nothing.
//
// # Whose turn it is
//
// Nobody is elected. Each process ranks the peers that it knows of by a hash,
// itself included, and reads the store when its copy has reached the age for its
// rank. The first in rank reads early, so the others' copies are made young by
// its word before they are due. When it falls silent the second is due next, then
// everybody else: no process depends on another for longer than until its own
// age is reached. Lists of peers that differ only make for a read more.
//
// # What a word proves
//
// A word is an answer to a question, and carries an age as a span at the
// answering process's own clock. The copy there was confirmed that long before
// it answered, and it answered after the question was sent; so it was confirmed
// no earlier than the time of the question less the age. That holds however long
// either datagram was on its way, and if the answering process was suspended
// before or after it answered. A word without a question, or with an age below
// zero, proves nothing.
//
// # Usage
//
//	group := beechreader.New(self)
//	group.UpdatePeers(peers, now)                  // a third process's word, repeated
//	number := group.StartInquiry(clock)               // sent to group.Readers(now)
//	at, ok := group.ConfirmedAt(number, age)    // the copy was confirmed at or after at
//	interval := schedule.ForRank(group.Rank(now)) // age at which this process reads
package beechreader
