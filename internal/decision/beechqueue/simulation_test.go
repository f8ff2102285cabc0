package beechqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
)

// step is the time step of the simulation.
const step = 2 * time.Millisecond

type (
	// arrival is a request that arrives at a time after the start of the
	// simulation. outputTokens is its actual output.
	arrival struct {
		at           time.Duration
		request      Request
		outputTokens int
	}

	// outcome is what happened to a request. Times count from the start of the
	// simulation.
	outcome struct {
		arrival
		refusal      *Refuse
		refusedAt    time.Duration // when the caller was told
		firstTokenAt time.Duration
		endedAt      time.Duration
		computed     int // prompt tokens the engine prefilled for it
	}

	// job is a request that the simulated engine runs.
	job struct {
		*outcome
		prefill  float64
		output   float64
		decoding bool
	}

	// simulation drives a queue and a simple model of an engine. The prefill rate
	// is divided equally among the prompts being prefilled, each request past its
	// prefill generates a token per TokenTime, and finished prompts stay cached.
	simulation struct {
		settings    Settings
		load        Load                                // at speed 1
		speed       func(at time.Duration) float64      // of the engine; nil means 1
		loadLag     time.Duration                       // delay of the load that the queue gets
		reportUsage func(o *outcome, known Usage) Usage // nil reports the actual usage
		estimate    func(req Request) Request           // nil offers the request unchanged
		duration    time.Duration
		queue       *Queue
		start       time.Time
		cache       map[Key]bool
		jobs        []*job
		outcomes    map[uint64]*outcome
	}
)

func (sim *simulation) run(arrivals []arrival) []*outcome {
	clock := clockwork.NewFakeClock()
	start := clock.Now()
	sim.start = start
	sim.queue = New(sim.settings, clock)
	sim.cache = make(map[Key]bool)
	sim.outcomes = make(map[uint64]*outcome)
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	var out []*outcome
	for now := time.Duration(0); now < sim.duration; now += step {
		load := sim.loadAt(now - sim.loadLag)
		for len(arrivals) > 0 && arrivals[0].at <= now {
			o := &outcome{arrival: arrivals[0]}
			arrivals = arrivals[1:]
			o.request.CachedTokens = sim.cachedTokens(o.request)
			if !o.request.Deadline.IsZero() {
				o.request.Deadline = start.Add(now + o.request.Deadline.Sub(time.Time{}))
			}
			out = append(out, o)
			sim.outcomes[o.request.ID] = o
			req := o.request
			if sim.estimate != nil {
				req = sim.estimate(req)
			}
			switch d := sim.queue.Offer(req, load).(type) {
			case Run:
				sim.startJob(o)
			case Refuse:
				o.refusal, o.refusedAt = &d, now
			}
			sim.dispatch(load)
		}
		for _, r := range sim.queue.RemoveOverdue() {
			sim.outcomes[r.ID].refusal, sim.outcomes[r.ID].refusedAt = &r.Refuse, now
		}
		sim.dispatch(load)
		sim.advance(now)
		clock.Advance(step)
	}
	return out
}

func (sim *simulation) loadAt(at time.Duration) Load {
	l := sim.load
	l.PrefillRate = int(float64(l.PrefillRate) * sim.speedAt(at))
	l.TokenTime = time.Duration(float64(l.TokenTime) / sim.speedAt(at))
	return l
}

func (sim *simulation) speedAt(at time.Duration) float64 {
	if sim.speed == nil {
		return 1
	}
	return sim.speed(max(at, 0))
}

func (sim *simulation) cachedTokens(req Request) int {
	tokens := 0
	for _, l := range req.Levels {
		if !sim.cache[l.Key] {
			break
		}
		tokens = l.Tokens
	}
	return tokens
}

func (sim *simulation) dispatch(l Load) {
	for _, req := range sim.queue.Dispatch(l) {
		sim.startJob(sim.outcomes[req.ID])
	}
}

func (sim *simulation) startJob(o *outcome) {
	o.computed = o.request.PromptTokens - sim.cachedTokens(o.request)
	sim.jobs = append(sim.jobs, &job{outcome: o, prefill: float64(o.computed)})
}

func (sim *simulation) advance(now time.Duration) {
	speed := sim.speedAt(now)
	prefills := 0
	for _, j := range sim.jobs {
		if !j.decoding {
			prefills++
		}
	}
	for _, j := range sim.jobs {
		if j.decoding {
			j.output += speed * float64(step) / float64(sim.load.TokenTime)
			continue
		}
		j.prefill -= speed * float64(sim.load.PrefillRate) * step.Seconds() / float64(prefills)
		if j.prefill <= 0 {
			j.decoding = true
			j.firstTokenAt = now + step
			for _, l := range j.request.Levels {
				sim.cache[l.Key] = true
			}
			sim.queue.FinishPrefill(j.request.ID)
		}
	}
	sim.jobs = slices.DeleteFunc(sim.jobs, func(j *job) bool {
		if !j.decoding || j.output < float64(j.outputTokens) {
			return false
		}
		j.endedAt = now + step
		u := Usage{Known: true, Prompt: j.request.PromptTokens, Cached: j.request.PromptTokens - j.computed, Output: j.outputTokens}
		if sim.reportUsage != nil {
			u = sim.reportUsage(j.outcome, u)
		}
		sim.queue.Finish(j.request.ID, u)
		return true
	})
}

// deadlineAfter returns a deadline for arrival.request, relative to its arrival.
func deadlineAfter(d time.Duration) time.Time { return time.Time{}.Add(d) }

// timeToFirstToken is valid for a served request.
func (o *outcome) timeToFirstToken() time.Duration { return o.firstTokenAt - o.at }

func filter(outcomes []*outcome, keep func(*outcome) bool) []*outcome {
	var out []*outcome
	for _, o := range outcomes {
		if keep(o) {
			out = append(out, o)
		}
	}
	return out
}

func served(o *outcome) bool  { return o.firstTokenAt > 0 }
func refused(o *outcome) bool { return o.refusal != nil }

// firstTokenPercentile returns a percentile of the time to first token of served
// requests.
func firstTokenPercentile(outcomes []*outcome, percent int) time.Duration {
	var times []time.Duration
	for _, o := range filter(outcomes, served) {
		times = append(times, o.timeToFirstToken())
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, len(times)*percent/100)]
}
