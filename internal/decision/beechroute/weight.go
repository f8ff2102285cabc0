package beechroute

// recomputeWeight is what a second of prefill takes from the requests that come
// after it, in seconds. Between 8 and 32 hit rate, waste and tail are all near
// their best at any load; below 4 the fleet recomputes itself into overload, and
// above 32 the callers of a hot prefix wait for its one holder.
const recomputeWeight = 8

// SetWasteWeight puts the weight of a new configuration in force. A negative
// weight counts as 0.
func (r *Router) SetWasteWeight(weight float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.settings.WasteWeight = max(0, weight)
}

// prefillWeight is the cost of a second of prefill beyond that second.
func (r *Router) prefillWeight() float64 {
	if r.settings.lacks(MechanismRecomputeCost) {
		return 0
	}
	return recomputeWeight + r.settings.WasteWeight
}
