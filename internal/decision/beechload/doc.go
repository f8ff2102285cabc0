// Package beechload decides which models each backend server should hold, and
// which load or unload comes next. It is a pure function of the configuration
// and the members, so every agent comes to the same answer without asking
// another. It is safe for concurrent use.
//
// # Load it answers
//
// A new version of the weights for a whole fleet, servers that come and go every
// day, a weight store that is slow when more than a few engines load at once.
// Without it all engines load at once and each takes many times as long; the old
// version is gone before the new one is there; and each host that is replaced
// moves models between hosts that had nothing to do with it.
//
// # How it decides
//
//   - Where a server can't hold all models, servers and models are matched by
//     rendezvous hash with a quota for each model. The hash leaves the version out,
//     so a new version is loaded where the old one is.
//   - A new version is loaded beside the old one. The old one is dropped on a server
//     once that server holds the new one and half of those that should do.
//   - A server without room for both exchanges them, as long as another one serves
//     the model, and in the same slots as loads.
//   - At most the given number of servers load at once. Models that nobody serves
//     go first, then those that the fewest serve.
//
// Agents whose views differ for a moment may plan too many loads at once; the leases
// for load slots in the platform's service decide. The plan keeps the agents
// whose turn it is not from asking for them.
//
// # Thresholds
//
// Half of the servers: dropped with the first, callers of the old version's
// requests and of the new one would each find one server; with all, one server
// that can't load would keep twice the memory in use on all others. The number of loads
// at once is the deployment's (three, two), since only it knows its weight store.
//
// # Bad input
//
// A server listed twice counts once, one without address or of a pool that is not
// configured gets no assignment and no order, a leaving one neither; a pool listed
// twice counts as first listed, a model at two versions as last listed; fewer places than models
// leave out the last models; a number of loads below one counts as one. What does not
// fit in MaxModels is not loaded.
//
// # Usage
//
//	steps := beechload.Plan(pools, members, maxLoads) // when either has changed
//	step, ok := beechload.NextStep(steps, server)
//	switch s := step.(type) {
//	case beechload.Load:   // with a lease for a load slot and a fencing number
//	case beechload.Unload: // once nothing runs on it
//	}
//
// Where pools set ModelsPerServer or MaxModels, all members of the pool must be given: with only
// one, the plan knows no other server that serves. Without them one is enough.
package beechload
