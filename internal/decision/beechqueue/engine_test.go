package beechqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
)

// step is the grain of the played time.
const step = 2 * time.Millisecond

type (
	// arrival is a request at a time; real is the output that it truly gives.
	arrival struct {
		at   time.Duration
		work Request
		real int
	}

	// fate is what a caller got. Times count from the start of the play.
	fate struct {
		arrival
		refused  *Refuse
		told     time.Duration // when the refusal was told
		first    time.Duration
		end      time.Duration
		computed int // prompt tokens the engine prefilled for it
	}

	// job is a fate on the engine.
	job struct {
		*fate
		prefill float64
		output  float64
		begun   bool
	}

	// play drives a queue and a plain model of an engine: its prefill rate is
	// divided among the prompts in work, every answer that has begun gets a
	// token each TokenTime, and finished prompts stay cached.
	play struct {
		settings Settings
		load     Load                             // told to the queue
		speed    func(at time.Duration) float64   // of the engine; nil is 1
		lag      time.Duration                    // of the load that is told
		usage    func(f *fate, known Usage) Usage // nil tells the truth
		offered  func(w Request) Request          // nil offers the truth
		stop     time.Duration
		queue    *Queue
		start    time.Time
		cache    map[Key]bool
		jobs     []*job
		fates    map[uint64]*fate
	}
)

func (p *play) run(arrivals []arrival) []*fate {
	clock := clockwork.NewFakeClock()
	start := clock.Now()
	p.start = start
	p.queue = New(p.settings, clock)
	p.cache = make(map[Key]bool)
	p.fates = make(map[uint64]*fate)
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	var out []*fate
	for now := time.Duration(0); now < p.stop; now += step {
		load := p.loadAt(now - p.lag)
		for len(arrivals) > 0 && arrivals[0].at <= now {
			f := &fate{arrival: arrivals[0]}
			arrivals = arrivals[1:]
			f.work.CachedTokens = p.cached(f.work)
			if !f.work.Deadline.IsZero() {
				f.work.Deadline = start.Add(now + f.work.Deadline.Sub(time.Time{}))
			}
			out = append(out, f)
			p.fates[f.work.ID] = f
			w := f.work
			if p.offered != nil {
				w = p.offered(w)
			}
			switch d := p.queue.Offer(w, load).(type) {
			case Run:
				p.begin(f)
			case Refuse:
				f.refused, f.told = &d, now
			}
			p.next(load)
		}
		for _, r := range p.queue.RemoveOverdue() {
			p.fates[r.ID].refused, p.fates[r.ID].told = &r.Refuse, now
		}
		p.next(load)
		p.advance(now)
		clock.Advance(step)
	}
	return out
}

func (p *play) loadAt(at time.Duration) Load {
	l := p.load
	l.PrefillRate = int(float64(l.PrefillRate) * p.speedAt(at))
	l.TokenTime = time.Duration(float64(l.TokenTime) / p.speedAt(at))
	return l
}

func (p *play) speedAt(at time.Duration) float64 {
	if p.speed == nil {
		return 1
	}
	return p.speed(max(at, 0))
}

func (p *play) cached(w Request) int {
	tokens := 0
	for _, l := range w.Levels {
		if !p.cache[l.Key] {
			break
		}
		tokens = l.Tokens
	}
	return tokens
}

func (p *play) next(l Load) {
	for _, w := range p.queue.Dispatch(l) {
		p.begin(p.fates[w.ID])
	}
}

func (p *play) begin(f *fate) {
	f.computed = f.work.PromptTokens - p.cached(f.work)
	p.jobs = append(p.jobs, &job{fate: f, prefill: float64(f.computed)})
}

func (p *play) advance(now time.Duration) {
	speed := p.speedAt(now)
	prefills := 0
	for _, j := range p.jobs {
		if !j.begun {
			prefills++
		}
	}
	for _, j := range p.jobs {
		if j.begun {
			j.output += speed * float64(step) / float64(p.load.TokenTime)
			continue
		}
		j.prefill -= speed * float64(p.load.PrefillRate) * step.Seconds() / float64(prefills)
		if j.prefill <= 0 {
			j.begun = true
			j.first = now + step
			for _, l := range j.work.Levels {
				p.cache[l.Key] = true
			}
			p.queue.FinishPrefill(j.work.ID)
		}
	}
	p.jobs = slices.DeleteFunc(p.jobs, func(j *job) bool {
		if !j.begun || j.output < float64(j.real) {
			return false
		}
		j.end = now + step
		u := Usage{Known: true, Prompt: j.work.PromptTokens, Cached: j.work.PromptTokens - j.computed, Output: j.real}
		if p.usage != nil {
			u = p.usage(j.fate, u)
		}
		p.queue.Finish(j.work.ID, u)
		return true
	})
}

// in gives a deadline for arrival.work, counted from the arrival.
func in(d time.Duration) time.Time { return time.Time{}.Add(d) }

// took is a served request's time to first token.
func (f *fate) took() time.Duration { return f.first - f.at }

func where(fates []*fate, keep func(*fate) bool) []*fate {
	var out []*fate
	for _, f := range fates {
		if keep(f) {
			out = append(out, f)
		}
	}
	return out
}

func served(f *fate) bool  { return f.first > 0 }
func refused(f *fate) bool { return f.refused != nil }

// percentile of the time to first token of those that were served.
func percentile(fates []*fate, p int) time.Duration {
	var times []time.Duration
	for _, f := range where(fates, served) {
		times = append(times, f.took())
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, len(times)*p/100)]
}
