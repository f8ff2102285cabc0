// Package beechoverload decides when a process turns new connections away because its processor
// cannot keep up.
//
// # Purpose
//
// A load balancer may send most new connections of a zone or a region to one host. Beyond what its
// processor can do, every request that it has read gets slower, as all of them share the processor,
// until none is answered in time. A caller whose connection is closed before its request has been
// read may send it again, and its retry meets another host.
//
// # Algorithm
//
// The measure is the wait of new connections that are taken only when all other work that is ready
// has run (package beechaccept), and of these the shortest in a sample. It grows without bound beyond
// the capacity, and is close to nothing below it, whatever the requests cost. The mean or the median
// delay of all work is no measure: the scheduler serves what has just arrived first, so that most
// delays stay short while the rest waits for seconds.
//
// New connections are turned away once the wait has exceeded overloadDelay for sustainTime.
// A process that starts, or whose callers reconnect together, is behind for less than that. For
// guardTime after the last such delay, each single sample decides: while the process is behind it
// takes no new connections, and when it has caught up a share of them, which falls by half with each
// delay and rises slowly without (additive increase, multiplicative decrease).
//
// # Thresholds
//
// 50 ms of waiting are half of the shortest objectives. One second is what callers wait for their
// requests to be read.
//
// # Invalid input
//
// Negative delays count as zero. If the clock steps back, time stands still until it has caught up.
//
// # Usage
//
//	d := beechoverload.New(clock, rand.Float64)
//	d.Observe(delay)          // each SampleInterval: the median delay since the last call
//	if d.TurnsAway() { ... }  // for each new connection: close it unread
package beechoverload
