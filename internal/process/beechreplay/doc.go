// Package beechreplay compares routing policies by replaying the same stream of requests
// in a simulation with virtual time. It contains only tests and benchmarks.
//
// The stream has the size of a real deployment, with nested prompt prefixes of skewed
// popularity. The production packages make the decisions: beechprefix, beechroute, and for
// every policy beechqueue at each engine. Engines are simulated: prefills run one after
// another, decodes run concurrently in a limited number of slots, and a prompt cache of
// limited size evicts the least recently used entries. Hosts, links and failures are not
// simulated. Each zone has one entry host, which decides from what it has learned itself
// and from delayed load reports.
//
// Changes without real effect on a policy move the tail of a mean over five seeds by about
// a tenth, so smaller differences need more seeds.
//
// Full load is the rate at which the prefills of the fleet would just keep up if all
// engines shared one cache, so no policy can sustain more.
//
// # Usage
//
//	go test -run '^$' -bench . -benchtime 1x ./internal/process/beechreplay
//
// prints the tables of docs/decisions/routing.md. TestBounds uses the results reached so
// far as regression bounds.
package beechreplay
