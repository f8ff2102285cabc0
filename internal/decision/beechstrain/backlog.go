package beechstrain

import "time"

// Backlog estimates how many tokens of announced long prompts an engine has still to prefill, by
// urgency. Engines prefill the most urgent first. The zero value is empty. It is not safe for
// concurrent use.
type Backlog struct {
	tokens    [urgencies]float64 // at updatedAt
	updatedAt time.Time
}

const urgencies = 10 // that engines know

// Add records a prompt that is being sent to the engine, which prefills rate tokens per
// millisecond. Urgencies that engines do not know are ignored.
func (b *Backlog) Add(urgency, tokens int, rate float64, now time.Time) {
	if urgency < 0 || urgency >= urgencies || tokens <= 0 {
		return
	}
	b.advance(rate, now)
	b.tokens[urgency] += float64(tokens)
}

// advance takes off what the engine has prefilled since the last call.
func (b *Backlog) advance(rate float64, now time.Time) {
	done := max(now.Sub(b.updatedAt).Seconds()*1000*rate, 0)
	for urgency, tokens := range b.tokens {
		part := min(tokens, done)
		b.tokens[urgency] -= part
		done -= part
	}
	b.updatedAt = now
}

// Remaining returns the tokens still to prefill of an urgency.
func (b *Backlog) Remaining(urgency int, rate float64, now time.Time) int {
	b.advance(rate, now)
	return int(b.tokens[urgency])
}

// Clear records that the engine had no waiting requests at the given time. Prompts added later
// than that stay in the backlog.
func (b *Backlog) Clear(at time.Time) {
	if at.After(b.updatedAt) {
		b.tokens, b.updatedAt = [urgencies]float64{}, at
	}
}

// AddReading adds what is still to be prefilled to the ranks of a strain.
func (b *Backlog) AddReading(ranks []RankLoad, rate float64, now time.Time) []RankLoad {
	var list []RankLoad
	for urgency := range urgencies {
		load := Strain{Ranks: ranks}.rank(urgency)
		load.Urgency, load.Reading = urgency, b.Remaining(urgency, rate, now)
		if load.Running > 0 || load.CacheUsed > 0 || load.Reading > 0 {
			list = append(list, load)
		}
	}
	return list
}
