// Package beechfence prevents two agents from giving orders (load, adapter, version, role)
// to the same backend server at the same time, and limits how many engines of the
// deployment load weights at the same time.
//
// Before a Guard sends an order, it acquires a lease on the server and, by
// compare-and-swap, a fencing number that is higher than all previous ones. It then
// reads that its number is still the highest and that the lease still exists. A server
// that checks fencing numbers refuses orders from an agent that was paused and has been
// replaced meanwhile. Other servers are protected by the lease: no other agent can acquire
// it before it ends, its holder measures its duration from before the request for it, and
// the context of an order ends a margin before the lease. Time is measured by the monotonic
// and by the wall clock, and the larger value counts, because the monotonic clock stops
// while the machine is suspended.
//
// A process may be paused at any point between these reads and the write of the order, and
// the store may end a lease early. The sender therefore calls CheckBeforeWrite directly
// before each write to the connection. The check fails if the reads are too old or the lease
// is about to end; nothing is then written, and the Guard reads again. Reads that took long
// are repeated, since the process may have been paused during them.
//
// What remains for servers that do not check fencing numbers: a pause between the check and
// the write that follows it, and a pause of a few reads' length while the store is slow. The
// number is therefore read again after each order. Superseded means that a newer holder may
// have existed before the order ended. Both agents then compare the server's state with the
// wanted one, and the newer agent corrects it.
//
// Slots are the load slots of the deployment, each of them a key with a lease.
//
// # Usage
//
//	guard := beechfence.New(store, clock, server, beechfence.Settings{})
//	err := guard.Order(ctx, func(ctx context.Context, fence uint64) error {
//		return engine.Order(ctx, beechbackend.Order{Fence: fence, Load: model}) // calls CheckBeforeWrite
//	})
//
//	slot, err := slots.Acquire(ctx, manifest.Targets.MaxLoads)
//	var busy beechfence.Busy
//	if errors.As(err, &busy) { ... }
//	defer slot.Release(ctx)
package beechfence
