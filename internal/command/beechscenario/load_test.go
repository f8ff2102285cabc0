package beechscenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
)

// load is a steady stream of small requests in the background, as callers send
// while something fails.
type load struct {
	world  *world
	name   string
	base   request
	stop   context.CancelFunc
	wait   sync.WaitGroup
	number atomic.Int64
}

// startLoad lets so many callers send one request after the other to the
// entries in turn, until halt.
func (w *world) startLoad(name string, callerCount int, entries []string, base request, seed uint64) (*load, error) {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{world: w, name: name, base: base, stop: stop}
	for i := range callerCount {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		l.wait.Go(func() {
			for ctx.Err() == nil {
				l.sendOne(entries, random)
			}
		})
	}
	w.loads = append(w.loads, l)
	return l, nil
}

func (l *load) sendOne(entries []string, random *rand.Rand) {
	number := l.number.Add(1)
	r := l.base
	entry, err := l.world.process(entries[int(number)%len(entries)])
	if err != nil {
		return
	}
	r.Entry = entry.address
	r.History = fmt.Sprintf("history of member %d: %s", random.IntN(6), l.base.History)
	r.Prompt = fmt.Sprintf("%s question %d", l.base.Prompt, number)
	if r.Service != "" {
		r.Body = fmt.Sprintf(`{"load":%q,"number":%d}`, l.name, number)
		r.Idem = fmt.Sprintf("%s-%d", l.name, number)
	}
	c := newCall(context.Background(), fmt.Sprintf("%s-%d", l.name, number), r)
	l.world.addCall(c)
	<-c.done
}

// halt lets running requests end and starts no more.
func (l *load) halt() {
	l.stop()
	l.wait.Wait()
}

func (w *world) addCall(c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[c.name] = c
	w.order = append(w.order, c.name)
}

func (w *world) call(name string) (*call, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.calls[name]
	if c == nil {
		return nil, fmt.Errorf("no call %q", name)
	}
	return c, nil
}

// allCalls returns the calls that have ended, in the order they began.
func (w *world) allCalls() []*call {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*call
	for _, name := range w.order {
		c := w.calls[name]
		select {
		case <-c.done:
			out = append(out, c)
		default:
		}
	}
	return out
}
