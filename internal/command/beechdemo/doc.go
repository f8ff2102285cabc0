// Package beechdemo runs a complete small deployment in one process: two entry
// hosts in two availability zones, agents with simulated engines and a simulated
// plain service, and a simulated platform service, all on loopback. It sends a
// small mixed load over HTTP and prints the results seen by its callers.
//
// # Usage
//
//	err := beechdemo.Run(ctx, beechdemo.Settings{}, os.Stdout, os.Stderr)
package beechdemo
