// Package beechsurvival decides whether a server has outlived an answer that ended with its
// connection, so that the answer is whole.
//
// The kernel ends the connections of a process that exits as it ends those of a process that
// has finished an answer. Without a length or chunks, the two answers look alike: half of a
// stream would be passed on as a whole one. What differs is whether the process is still
// there. One that has exited refuses connections; one that lives accepts them, or resets them
// at once if it has too many. Somebody else may listen at the address by the time of the look,
// as this process may have been suspended meanwhile: who listens has to say when it started.
//
// A look at a server tells nothing of answers that ended after it began. One that the process
// itself answers, by its start, proves that it has survived. If it says none, sockets of a
// process that exits are closed one by one, the listener among the last, and the kernel accepts
// connections for it until then: so an answer waits for two looks that begin after its end. All
// answers that wait share the looks at their server, which therefore do not grow with load.
// Silence proves nothing: a sound server may be silent for a moment, so it is looked at again
// for a while.
//
// # Usage
//
//	checker := beechsurvival.New(prober, clock)
//	if err := checker.Check(address, lifetime, deadline); err != nil { // ErrExited or ErrUnknown
//		// the answer that has just ended may not be whole
//	}
package beechsurvival
