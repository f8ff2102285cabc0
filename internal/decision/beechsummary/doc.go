// Package beechsummary decides how the state of engines reaches the gates of a fleet. Each
// keeper reports its engine to the two collectors of its availability zone, which are gates.
// A collector packs what has changed at all engines into one summary for each gate of its
// zone and one for each other zone, whose collectors hand it on. So a gate receives a
// number of datagrams that depends on zones and not on engines, and bytes that grow with
// what changes. It has no I/O.
//
// # What is sent
//
// A change has an engine's load, and its status if that changed too. Changes that decide
// where the next request goes are due at once: the start of a long prompt, a new phase or
// version. Loads to other zones may wait, since traffic between zones is billed by the byte.
// Two summaries to the same receivers are at least the spacing apart, which grows with the
// number of receivers.
//
// Datagrams are lost. Every second a collector confirms the engines whose keepers it still
// hears, with the number of the last change: a gate that holds another number recalls the
// engine's state. An engine whose keeper has gone silent is reported as lost.
//
// # Two collectors
//
// Both hear each report. One, by a hash of the engine, is its primary and sends its changes at
// once; the other sends them only if it has not seen them in a summary of the first within
// StandbyDelay. A collector that dies or is cut off thus delays changes by that time.
//
// # Usage
//
//	board := beechsummary.New(settings, clock)
//	board.SetDuty(duty)                                  // when the members change
//	board.Report(host, state, parts)                     // from a keeper
//	updates, recall := board.Apply(summary, origin)      // from a collector
//	for _, s := range board.Next(beechsummary.Near) { }  // after board.Due(beechsummary.Near)
package beechsummary
