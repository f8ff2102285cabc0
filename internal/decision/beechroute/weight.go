package beechroute

// SetWasteWeight puts the weight of a new configuration in force. A negative
// weight counts as 0.
func (r *Router) SetWasteWeight(weight float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.settings.lacks(MechanismWaste) {
		return
	}
	r.settings.WasteWeight = max(0, weight)
}
