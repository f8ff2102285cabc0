// Package beechshare converts suspect records and HTTP headers to and from wire
// messages. It is used by every process that exchanges them, so that all
// convert them in the same way.
//
// # Usage
//
//	heartbeat.Suspects = beechshare.WireSuspects(registry.List())
//	registry.Merge(beechshare.SuspectRecords(heartbeat.Suspects))
package beechshare
