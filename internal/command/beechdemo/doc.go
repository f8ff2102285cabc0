// Package beechdemo runs a whole small deployment in one process: two entry
// hosts in two availability zones, agents beside stand-ins of engines and of a
// plain service, and a stand-in of the platform's service, all on loopback. It
// sends a small mixed load over HTTP and prints what the callers saw.
//
// # Usage
//
//	err := beechdemo.Run(ctx, beechdemo.Settings{}, os.Stdout, os.Stderr)
package beechdemo
