package beechplay

import (
	"time"

	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

const (
	endlessEvery = 4       // of how many requests one gets bytes without end
	endlessSpeed = 4 << 20 // bytes a second
	endlessTurn  = 200 * time.Millisecond
)

// sendEndless has servers send bytes without end, in one form after the other, until it is ended.
func (p *simulation) sendEndless(f Fault) (end func()) {
	set := func(form beechsimulator.Endless) {
		for name, e := range p.cluster.Engines {
			if f.On == "" || f.On == name {
				e.SetEndless(form, endlessEvery, endlessSpeed)
			}
		}
	}
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		forms := beechsimulator.EndlessForms()
		for n := 0; ; n++ {
			set(forms[n%len(forms)])
			select {
			case <-time.After(endlessTurn):
			case <-ended:
				return
			}
		}
	}()
	return func() {
		close(ended)
		<-done
		set("")
	}
}
