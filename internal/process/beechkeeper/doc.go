// Package beechkeeper is the process on an engine's host that sends the engine
// its orders and reports its state to the gates that collect it for all others: its
// current load, its weights, and that it is about to load new ones.
//
// Each engine has exactly one keeper, so orders need neither a lease nor an
// election, and the loss of a gate does not stop weight updates. A keeper does
// not use the store: the gates that follow it tell it the version that its engine is
// to load and when it may do so. All send the same, and the first message counts.
// One of them reads the fencing number of this process's orders from the store (fence.go).
//
// # Usage
//
//	keeper, err := beechkeeper.New(settings, beechkeeper.Dependencies{...})
//	err = keeper.Run(ctx)
package beechkeeper
