package beechlab

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/beechring/beechring/internal/state/beechreader"
)

type (
	// Report is what a simulated fleet's control took.
	Report struct {
		Settings
		Joined     time.Duration // until each gate knew all
		Gate       Traffic       // mean of all gates
		Busiest    Traffic       // of any gate, each figure by itself
		StateNear  Quantiles     // age of an engine's state when a gate of its zone gets it
		StateFar   Quantiles     // and a gate of another zone
		CopyAge    Quantiles     // of the operators' documents
		StoreReads float64       // of one prefix per second, over all gates
		Change     Quantiles     // until a change of the store has reached each gate
		EngineLost Quantiles     // until the observed gates know that an engine's host is dead
		GateLost   Quantiles     // until each gate knows that a gate is dead
		Recalled   int           // states that observed gates asked for again
	}

	// Traffic is per second and gate. Bytes are those of datagrams between gates.
	Traffic struct{ In, Out, BytesIn, BytesOut float64 }

	// Quantiles of durations.
	Quantiles struct{ P50, P99, Last time.Duration }

	samples struct{ list []time.Duration }
)

func (s *samples) add(d time.Duration) { s.list = append(s.list, d) }

func (s *samples) quantiles() Quantiles {
	if len(s.list) == 0 {
		return Quantiles{}
	}
	list := slices.Sorted(slices.Values(s.list))
	at := func(q float64) time.Duration { return list[int(q*float64(len(list)-1))] }
	return Quantiles{at(0.5), at(0.99), at(1)}
}

// Run plays a fleet. Progress is called with what is played next and may be nil. The error
// names an invalid setting.
func Run(ctx context.Context, s Settings, progress func(step string)) (*Report, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	if progress == nil {
		progress = func(string) {}
	}
	f := newFleet(s)
	r := &Report{Settings: s}
	for _, step := range []struct {
		name string
		play func(context.Context, *fleet, *Report) error
	}{{"start", playStart}, {"quiet", playQuiet}, {"change", playChange}, {"engine dies", playEngineDeath}, {"gate dies", playGateDeath}} {
		progress(step.name)
		if err := step.play(ctx, f, r); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// recalled returns how many states the observed gates have asked for again.
func (f *fleet) recalled() int {
	n := 0
	for _, g := range f.gates {
		if g.observed {
			n += g.board.Counts().Recalled
		}
	}
	return n
}

func playStart(ctx context.Context, f *fleet, r *Report) error {
	const step = 50 * time.Millisecond
	for r.Joined < joinLimit {
		if err := f.run(ctx, step); err != nil {
			return err
		}
		r.Joined += step
		if !slices.ContainsFunc(f.gates, func(g *gate) bool { return len(g.members.Members()) != f.Gates }) && len(f.gates) == f.Gates {
			break
		}
	}
	return f.run(ctx, settleTime)
}

func playQuiet(ctx context.Context, f *fleet, r *Report) error {
	f.measured = true
	reads, recalled := f.reads, f.recalled()
	if err := f.run(ctx, f.Length); err != nil {
		return err
	}
	f.measured = false
	seconds := f.Length.Seconds()
	for _, g := range f.gates {
		t := Traffic{float64(g.in) / seconds, float64(g.out) / seconds, float64(g.bytesIn) / seconds, float64(g.bytesOut) / seconds}
		n := float64(len(f.gates))
		r.Gate = Traffic{r.Gate.In + t.In/n, r.Gate.Out + t.Out/n, r.Gate.BytesIn + t.BytesIn/n, r.Gate.BytesOut + t.BytesOut/n}
		r.Busiest = Traffic{max(r.Busiest.In, t.In), max(r.Busiest.Out, t.Out), max(r.Busiest.BytesIn, t.BytesIn), max(r.Busiest.BytesOut, t.BytesOut)}
	}
	r.StateNear, r.StateFar, r.CopyAge = f.near.quantiles(), f.far.quantiles(), f.ages.quantiles()
	r.StoreReads, r.Recalled = float64(f.reads-reads)/seconds, f.recalled()-recalled
	return nil
}

// playChange changes the operators' documents.
func playChange(ctx context.Context, f *fleet, r *Report) error {
	began := f.clock.Now()
	f.revision++
	for _, g := range f.gates {
		if g.duties != nil && len(g.duties.Readers) > 0 && g.duties.Readers[0] == g.address {
			f.after(watchDelay, func() { f.takeCopy(g, f.revision) })
		}
	}
	if err := f.run(ctx, settleTime); err != nil {
		return err
	}
	var times samples
	for _, g := range f.gates {
		if g.revision == f.revision {
			times.add(g.changedAt.Sub(began))
		} else {
			times.add(settleTime)
		}
	}
	r.Change = times.quantiles()
	return nil
}

// playEngineDeath takes an engine's host away.
func playEngineDeath(ctx context.Context, f *fleet, r *Report) error {
	if len(f.engines) == 0 {
		return nil
	}
	victim := f.engines[0]
	victim.dead = true
	began := f.clock.Now()
	if err := f.run(ctx, settleTime); err != nil {
		return err
	}
	var times samples
	for _, g := range f.gates {
		_, collects := g.duties.Collects[victim.zone]
		if at, ok := g.lost[victim.host]; ok && g.observed {
			times.add(at.Sub(began))
		} else if g.observed && !collects && !g.duties.Direct {
			times.add(settleTime)
		}
	}
	r.EngineLost = times.quantiles()
	return nil
}

// playGateDeath kills the first reader of the store, which all others rely on.
func playGateDeath(ctx context.Context, f *fleet, r *Report) error {
	const (
		step  = 50 * time.Millisecond
		limit = 15 * time.Second
	)
	i := slices.IndexFunc(f.gates, func(g *gate) bool { return g.readers.Role() == beechreader.First })
	if i < 0 || f.Gates == 1 {
		return nil
	}
	victim := f.gates[i]
	victim.dead = true
	noticed := make(map[*gate]time.Duration)
	for passed := time.Duration(0); passed < limit && len(noticed) < len(f.gates)-1; passed += step {
		if err := f.run(ctx, step); err != nil {
			return err
		}
		for _, g := range f.gates {
			if _, ok := noticed[g]; !ok && !g.dead && !g.members.Contains(victim.address) {
				noticed[g] = passed + step
			}
		}
	}
	var times samples
	for _, g := range f.gates {
		if g.dead {
			continue
		}
		if at, ok := noticed[g]; ok {
			times.add(at)
		} else {
			times.add(limit)
		}
	}
	r.GateLost = times.quantiles()
	return nil
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	row := func(name, format string, values ...any) string {
		return fmt.Sprintf("%-44s "+format+"\n", append([]any{name}, values...)...)
	}
	quantiles := func(name string, q Quantiles) string {
		return row(name, "p50 %s, p99 %s, last %s", round(q.P50), round(q.P99), round(q.Last))
	}
	traffic := func(name string, t Traffic) string {
		return row(name, "%.0f in, %.0f out, %.1f KB in, %.1f KB out", t.In, t.Out, t.BytesIn/1000, t.BytesOut/1000)
	}
	text := fmt.Sprintf("%d gates, %d engines, %d zones, seed %d, %.1f requests/s an engine, %.0f%% lost\n", r.Gates, r.Engines, r.Zones, r.Seed, r.Rate, 100*r.Loss)
	text += row("all gates know one another after", "%s", r.Joined)
	text += traffic("a gate, datagrams a second", r.Gate)
	text += traffic("the busiest", r.Busiest)
	text += quantiles("age of a state, same zone", r.StateNear)
	text += quantiles("age of a state, another zone", r.StateFar)
	text += quantiles("age of a copy of the store", r.CopyAge)
	text += row("reads of a prefix a second, all gates", "%.2f", r.StoreReads)
	text += quantiles("a change is known everywhere after", r.Change)
	text += quantiles("a dead engine's host is known after", r.EngineLost)
	text += quantiles("a dead gate is known after", r.GateLost)
	text += row("states asked for again by observed gates", "%d", r.Recalled)
	_, err := io.WriteString(w, text)
	return err
}

func round(d time.Duration) time.Duration {
	if d >= time.Second {
		return d.Round(10 * time.Millisecond)
	}
	return d.Round(time.Millisecond)
}
