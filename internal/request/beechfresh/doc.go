// Package beechfresh tracks the age of data that a process has cached from the
// store.
//
// A gate that has lost the store does not notice by itself: a watch without events
// looks like a store without changes, a kept-alive connection may have failed
// silently, and the monotonic clock of a suspended process stands still. A revoked
// key would then be accepted for as long as that lasts. So each piece of cached data
// has a Tracker with the time of the last read that confirmed it. That time is taken
// before the read is sent, from a clock that includes suspensions.
//
// # Usage
//
//	tracker := beechfresh.New(beechfresh.BootClock{})
//	requestedAt := tracker.Now()
//	// a linearizable read
//	tracker.Confirm(requestedAt)
//	if tracker.Age() > bound {
//		// reject what depends on the data
//	}
package beechfresh
