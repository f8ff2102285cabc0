// Package beechrollout schedules weight updates: it decides when each engine
// loads a new version of a model's weights.
//
// An engine serves nothing while it loads weights, and the requests queued in
// it are rejected. Concurrent loads slow each other down; with too many of them,
// none finishes before the next version is announced. With one at a time, most
// callers are served by old weights. So a limited number of engines update at
// once, and the next one starts when one finishes, however long that took.
//
// There is no coordinator. Every gate receives the same state reports from all
// keepers and computes the same schedule from them: Schedule depends only on
// the current state of the engines. It covers all models, which share the engines. LoadWindow learns from load times how many
// engines may load at once. Only an engine's own keeper sends it orders, so no
// lease is needed, and no two holders can order different versions in turn. All
// orders of a keeper's process bear one fencing number, which is not lower than those
// of the processes before it (fence.go). A keeper that hears from no gate updates its
// engine on its own after a delay.
//
// Weights are superseded once a newer version is announced. Operators bound how
// long superseded weights may still serve requests; after that they are expired,
// and their engine is not used until it has loaded newer ones.
//
// # Usage
//
//	window := beechrollout.NewLoadWindow()
//	window.Observe(engine, phase, version, loadTime, now) // from a keeper's report
//	fleet := beechrollout.SummarizeFleet(engines, newest, maxAge)
//	updates := beechrollout.Schedule([]beechrollout.Rollout{{Model: model, Newest: newest, Engines: engines, Limit: window.Limit(fleet)}})
//
//	updater := beechrollout.NewUpdater(settings)      // in the keeper
//	updater.SetFence(number)                          // from the store, after this process has asked for it
//	updater.SetTarget(target, now)
//	switch step := updater.Next(now, report).(type) {
//	case beechrollout.Wait:  // call Next again after step.After; step.Phase is reported to the gates
//	case beechrollout.Order: // send the order, then call RecordAnswer
//	}
package beechrollout
