// Package beechgate is the process of an entry host that sends requests directly
// to engines. It contains admission, the exchange of state with other processes, and
// the life cycle; decisions are made in beechattempt, beechplace and beechrollout.
//
// A request passes through:
//
//	HTTP handler -> Admit (configuration, key) -> Serve (origin of a resumed stream, quota, beechattempt) -> response
//
// A gate mirrors the operators' documents and the servers' entries from the store. All
// gates know one another (membership.go), and one reads the store for all of them
// (copies.go). Two gates of each zone collect the states of its engines from the keepers,
// the processes on the engines' hosts, and send what changes to all gates (collect.go).
// Gates also exchange quota usage, server limits and overloads, and lend one another
// retries (loans.go). They read fencing numbers for keepers (fences.go). What a restored
// store has lost of servers' departures is kept (departures.go). By which software version streams were begun is told to other gates, and asked
// of them when a caller resumes one (origins.go). Nothing is persisted: a gate that starts takes both copies from
// another gate, or reads the store, and is ready.
//
// # Usage
//
//	gate, err := beechgate.New(settings, beechgate.Dependencies{...})
//	err = gate.Run(ctx, handler, ready) // until ctx ends and all requests are completed
package beechgate
