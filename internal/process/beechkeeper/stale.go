package beechkeeper

// staleAnswers counts answers of the engine in a row that are older than the last one. Answers name
// no call, so the copy of an earlier one on a kept connection passes for the next.
type staleAnswers int

// maxStaleAnswers is how many in a row are ignored. Copies are few: an engine whose figures stay
// lower has lost them, and tells no new start.
const maxStaleAnswers = 3

// ignore records whether an answer is older than the last one, and reports whether to ignore it.
func (s *staleAnswers) ignore(older bool) bool {
	if !older {
		*s = 0
		return false
	}
	*s++
	return *s <= maxStaleAnswers
}

// olderThan reports whether a report was made before another one of the same lifetime, in which
// the sequence never decreases, or is none of an engine that tells its lifetime.
func (r Report) olderThan(last Report) bool {
	return last.Born != 0 && (r.Born == 0 || r.Born == last.Born && r.Sequence < last.Sequence)
}

// olderThan reports whether changes of a cache were told before the position was reached.
func (e CacheEvictions) olderThan(p cachePosition) bool {
	return e.Epoch == p.epoch && (e.Next < p.since || e.Next == p.since && len(e.Parts) > 0)
}
