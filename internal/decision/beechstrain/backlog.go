package beechstrain

import "time"

type (
	// Backlog estimates how urgent the requests are that wait at an engine. Gates announce
	// what they send with its urgency, and the engine reports how many requests wait.
	// Engines admit the most urgent first, so those that no longer wait are the most urgent
	// announced ones. An announcement that was lost is made up for by the next report. The
	// zero value is empty. It is not safe for concurrent use.
	Backlog struct {
		waiting   [urgencies]queue
		announced []announcement // that the last report may not include
		admitted  float64        // tokens that admitted requests still have to prefill, at updatedAt
		updatedAt time.Time
	}

	queue struct {
		requests int
		tokens   float64
	}

	announcement struct {
		urgency int
		tokens  int
		at      time.Time
	}

	// Report is what an engine reports of its queue.
	Report struct {
		At           time.Time // when it was asked
		Waiting      int
		Prefilling   int     // admitted requests without a first token
		LeastUrgent  int     // of those that run
		PrefillRate  float64 // tokens per millisecond
		ArrivalDelay time.Duration
	}
)

const (
	urgencies        = 10 // that engines know
	maxAnnouncements = 1000
)

// Announce records a request that is being sent to the engine. Urgencies that engines do not know
// are ignored.
func (b *Backlog) Announce(urgency, tokens int, now time.Time) {
	if urgency >= 0 && urgency < urgencies && tokens >= 0 && len(b.announced) < maxAnnouncements {
		b.announced = append(b.announced, announcement{urgency, tokens, now})
	}
}

// Update takes a report of the engine.
func (b *Backlog) Update(r Report) {
	b.prefill(r)
	b.takeArrived(r.At.Add(-r.ArrivalDelay))
	r.Waiting = max(r.Waiting, 0)
	waiting := 0
	for _, q := range b.waiting {
		waiting += q.requests
	}
	for urgency := 0; waiting > r.Waiting; {
		if b.waiting[urgency].requests == 0 {
			urgency++
			continue
		}
		b.admitted += b.waiting[urgency].take()
		waiting--
	}
	b.waiting[min(max(r.LeastUrgent, 0), urgencies-1)].requests += r.Waiting - waiting
	if r.Prefilling == 0 {
		b.admitted = 0
	}
}

// prefill takes off what the engine has prefilled since the last report.
func (b *Backlog) prefill(r Report) {
	done := max(r.At.Sub(b.updatedAt).Seconds()*1000*r.PrefillRate, 0)
	b.admitted, b.updatedAt = max(b.admitted-done, 0), r.At
}

func (b *Backlog) takeArrived(by time.Time) {
	rest := b.announced[:0]
	for _, a := range b.announced {
		if a.at.After(by) {
			rest = append(rest, a)
			continue
		}
		b.waiting[a.urgency].add(a.tokens)
	}
	b.announced = rest
}

func (q *queue) add(tokens int) {
	q.requests++
	q.tokens += float64(tokens)
}

// take removes one request and returns its tokens.
func (q *queue) take() float64 {
	tokens := q.tokens / float64(q.requests)
	q.requests--
	q.tokens -= tokens
	return tokens
}

// Clear drops everything: the engine has restarted.
func (b *Backlog) Clear() { *b = Backlog{} }

// Fill adds what waits to the ranks of a strain, and what is being prefilled.
func (b *Backlog) Fill(s Strain) Strain {
	waiting := b.waiting
	for _, a := range b.announced {
		waiting[a.urgency].add(a.tokens)
	}
	var ranks []RankLoad
	for urgency, q := range waiting {
		load := s.rank(urgency)
		load.Urgency, load.Waiting, load.Reading = urgency, q.requests, int(q.tokens)
		if load.Running > 0 || load.Waiting > 0 {
			ranks = append(ranks, load)
		}
	}
	s.Ranks, s.Reading = ranks, int(b.admitted)
	return s
}
