// Package beechconvert converts suspect records and HTTP headers to and from
// wire messages. It is used by every process that exchanges them, so that all
// convert them in the same way.
//
// # Usage
//
//	heartbeat.Suspects = beechconvert.WireSuspects(registry.List())
//	registry.Merge(beechconvert.SuspectRecords(heartbeat.Suspects))
package beechconvert
