// Package beechload decides which models each backend server should hold, and which
// load or unload comes next. It is a pure function of the configuration and the
// members, so all agents compute the same result without communication. It is safe
// for concurrent use.
//
// # Load conditions
//
// The package is designed for new versions of the weights for a whole fleet, for
// servers that join and leave every day, and for a weight store that becomes slow
// when more than a few engines load at the same time. Without it, all engines would
// load at once and each load would take many times as long, the old version would be
// gone before the new one is available, and each replaced host would move models
// between unrelated hosts.
//
// # Algorithm
//
//   - If a server cannot hold all models, servers and models are matched by
//     rendezvous hashing with a number of copies per model. The hash leaves out the
//     version, so a new version is loaded where the old one is.
//   - A new version is loaded beside the old one. A server unloads the old version once
//     it holds the new one and so do half of the servers that should.
//   - A server without memory for both unloads the old version first, as long as
//     another server serves the model. This takes a load slot.
//   - At most the configured number of servers load at the same time. Models that no
//     server holds are loaded first, then those with the fewest holders.
//
// Agents whose views differ for a moment may plan too many loads. The number is enforced
// by leases for load slots in the platform's service; the plan only keeps agents from
// requesting a lease before it is their turn.
//
// # Thresholds
//
// The old version is unloaded when half of the servers hold the new one. If it were
// unloaded with the first, the requests for either version would at first find only one
// server. If it were kept until all servers hold the new one, a single server that cannot
// load would keep memory use doubled on all others. The number of concurrent loads is
// configured per deployment (3 in one, 2 in the other), since it depends on the weight store.
//
// # Invalid input
//
// A server listed twice counts once. Servers that have no address, belong to an unknown
// pool or are leaving get no assignment and no step. A pool listed twice counts as first
// listed, a model in two versions as last listed. If there are fewer places than models,
// the last models are left out. A number of loads below 1 counts as 1. Models beyond
// MaxModels are not loaded.
//
// # Usage
//
//	steps := beechload.Plan(pools, members, maxLoads) // after each change of either
//	step, ok := beechload.NextStep(steps, server)
//	switch s := step.(type) {
//	case beechload.Load:   // with a lease for a load slot and a fencing number
//	case beechload.Unload: // once no request uses the model
//	}
//
// If pools set ModelsPerServer or MaxModels, pass all members of the pool, because the
// plan depends on which other servers hold a model. Otherwise one member is enough.
package beechload
