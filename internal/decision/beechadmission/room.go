package beechadmission

// Room is what an engine has to do and what it can take.
type Room struct {
	Rate      float64 // prompt tokens that it prefills per millisecond
	Fixed     float64 // milliseconds that a first token takes besides
	Queued    float64 // prompt tokens that are not prefilled yet
	Running   int     // requests
	Waiting   int     // requests
	Slots     int     // requests that it runs at once; 0: not known
	Free      float64 // tokens of memory that neither running nor arriving requests need; negative: they need more than there is
	Used      float64 // tokens of memory that cannot be evicted; 0: not known
	Residence float64 // milliseconds for which requests occupy memory
}

const (
	minRate       = 0.01
	idleSlotShare = 0.5
)

// idle reports whether the engine could begin any request at once.
func (r Room) idle() bool {
	return r.Waiting == 0 && r.Queued <= 0 && r.Slots > 0 && float64(r.Running) < idleSlotShare*float64(r.Slots)
}

// wait returns the milliseconds until the engine begins to prefill a prompt.
func (r Room) wait(prompt float64) float64 {
	wait := r.Queued / max(r.Rate, minRate)
	if shortfall := prompt - r.Free; shortfall > 0 && r.Used > 0 {
		wait += shortfall * r.Residence / r.Used
	}
	return wait
}
