// Package beechintake decides which request bodies a process holds, so that all of them together stay
// within its memory and ordinary callers still find room.
//
// # Purpose
//
// Each body has a size limit of its own. Clients that send many bodies at once, or send nearly all of
// one and then wait, would otherwise hold the process's memory. Refusing newcomers alone does not help:
// those that came first would keep the room.
//
// # Algorithm
//
// A body reserves its announced length before it is read. One without a length reserves more as it
// grows. A reservation is granted while all reservations together stay within the capacity. Bodies of
// more than SmallBytes leave a share of the capacity to smaller ones.
//
// If there is no room, a body that is not whole yet gives way if it has held more than a steady sender
// would have: its reservation, summed over time, exceeds what a sender with its current rate reserves
// until the end of BodyTime. A sender that keeps its pace never gives way. One that stands still, or
// trickles, does so as soon as others want room.
//
// While a workspace is refused for lack of room, others may not begin bodies beyond their share, except
// in the first half of the capacity for large bodies. A whole body is never dropped.
//
// # Usage
//
//	intake := beechintake.New(beechintake.Settings{Capacity: 16 << 20, BodyTime: 10 * time.Second}, clock)
//	body, refused := intake.Open(workspace, length, func() { unblockReader() })
//	defer body.Close()
//	body.Received(n)
//	refused = body.Grow(size)
//	refused = body.Complete()
package beechintake
