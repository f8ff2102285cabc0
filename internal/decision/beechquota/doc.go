// Package beechquota enforces a quota per workspace over all gates together: a rate of
// tokens (or requests) per second and a burst.
//
// # Purpose
//
// A workspace may send many times its usual rate through all gates at once, or have a few
// callers that use only one or two gates. Giving each gate an equal share of the limit fails
// in both cases: it refuses the few callers what the workspace has not used, and every gate
// that starts grants the burst of its share once more. The store cannot be asked for each
// request.
//
// # Algorithm
//
// Each gate estimates the level of the whole token bucket. It subtracts what it admits
// itself and what the other gates report in updates. An update carries totals that never
// decrease within a lifetime (one run) of a gate, so a lost update is made up for by the
// next. Between updates a gate assumes that the others continue at the rates of their last
// updates. A request is admitted while the level is above 0; a larger one leaves a debt in
// the whole bucket, which all callers wait for. If a request had to find all of its tokens
// in the bucket, small requests would always take them before a large one could.
//
// The tolerance is what operators accept beyond the limit, see Bounds. A gate that has
// admitted its part of the tolerance sends an update at once if the bucket runs low, and
// otherwise at its next interval. Before it has informed the others, and before it has
// received an update itself, it may admit only a part of the level. Otherwise all gates
// together would admit a burst before any of them knew of it.
//
// # Gates without contact
//
// A gate that receives no updates (because it has just started, or is cut off) is isolated
// and admits only its share, which follows from what each gate used recently. The other
// gates reserve its share of the level as soon as its updates are late. When several are
// missing, the gate counts as silent and its share of the rate is left to it, until it
// counts as gone; by then the isolated gate has halved its share. If many gates are
// isolated, a random draw decides which of them may admit a request larger than its share.
//
// A gate that starts adopts the levels of a gate that knows them. If none does, all gates
// begin with a part of the tolerance, so that a burst is never granted twice. Each gate
// reserves a part of this level for gates it has not heard from yet, and releases that part
// as it receives their updates.
//
// # Response to callers
//
// A refusal tells the time at which the level will be above 0 again if no others come, and what
// is available. When callers are told to return, and what is kept for them, is decided by
// package beechreturns; AdmitAbove leaves that much in the bucket. A refusal by a gate that has
// just started says so: waiting for a moment at that gate takes less time than a retry.
//
// # Invalid input
//
// Limits that are not positive numbers are ignored. Updates of the gate itself, updates of a
// lifetime that a later one has replaced, and totals that decrease are ignored and counted.
// If the clock steps back, time stands still until it has caught up.
//
// # Usage
//
//	l := beechquota.New(host, lifetime, bounds, clock)
//	l.SetLimits(limits, unknown) // for each configuration
//	l.SetGates(n)                // when the number of gates changes
//	switch d := l.Admit(workspace, tokens).(type) {
//	case beechquota.Admitted: // call Refund if the request turns out not to have run
//	case beechquota.Refused: // respond now: retry after d.After
//	}
//	update := l.NextUpdate() // send it to the other gates, regularly and if d.Urgent
//	l.ApplyUpdate(update)    // received from another gate
package beechquota
