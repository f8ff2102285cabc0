// Package beechlab plays the control of a large fleet in virtual time, with the code that
// decides in gates: membership, who reads the store for whom, who collects the states of
// engines and what they send. Datagrams are encoded as they are sent, but no process, socket
// or request is involved, so a fleet of thousands takes seconds.
//
// Gates start within a third of a second and know three seeds. Each engine's load changes with
// its requests and its keeper reports it; one gate of each zone is observed. Then a
// configuration changes, an engine's host dies and a gate dies. A fleet plays the same with
// the same seed.
//
// What is not played: processor time, links that are full, and requests.
//
// # Usage
//
//	report, err := beechlab.Run(ctx, beechlab.Settings{Gates: 356, Engines: 624, Zones: 6, Seed: 1})
//	report.Print(os.Stdout)
package beechlab
