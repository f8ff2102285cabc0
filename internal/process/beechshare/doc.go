// Package beechshare turns what processes tell one another to and from the
// wire's messages, the same way in entry and agent.
//
// # Usage
//
//	heartbeat.Suspects = beechshare.WireSuspects(register.List())
//	register.Merge(beechshare.SuspectRecords(heartbeat.Suspects))
package beechshare
