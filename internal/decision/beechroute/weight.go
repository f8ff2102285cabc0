package beechroute

// recomputeWeight is how many seconds a second of prefill takes from the requests
// after it. Between 8 and 32, hit rate, waste and tail latency are all near their
// optimum at any load. Below 4 recomputation overloads the fleet, and above 32 the
// requests for a hot prefix wait for its only holder.
const recomputeWeight = 8

// SetWasteWeight replaces Settings.WasteWeight. A negative weight counts as 0.
func (r *Router) SetWasteWeight(weight float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.settings.WasteWeight = max(0, weight)
}

// prefillWeight returns the cost of a second of prefill in addition to that second.
func (r *Router) prefillWeight() float64 {
	if r.settings.disables(MechanismRecomputeCost) {
		return 0
	}
	return recomputeWeight + r.settings.WasteWeight
}
