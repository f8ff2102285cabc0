package beechburn

import "time"

const (
	windowCount   = 4
	windowBuckets = 6 // a window covers six full buckets and the current one
	hourWindow    = 1 // index of the window for which workspaces have percentiles
)

// windows are the windows that are kept, the shortest first.
var windows = [windowCount]window{
	{"5m", 5 * time.Minute},
	{"1h", time.Hour},
	{"6h", 6 * time.Hour},
	{"3d", 3 * 24 * time.Hour},
}

type (
	window struct {
		name string
		span time.Duration
	}

	// bucket holds the counts of one interval, numbered from the start. It stores
	// Counts in narrower types, since there are 28 buckets per workspace and
	// thousands of workspaces. No bucket covers more than half a day, in which a
	// host sees far fewer than 4 billion requests.
	bucket struct {
		number    int32
		served    uint32
		refused   uint32
		failed    uint32
		excluded  uint32
		withFirst uint32
		lateFirst uint32
		lateTotal uint32
		prompt    uint64
		cached    uint64
		wasted    uint64
	}

	// bucketRing holds the non-empty buckets of a window, the oldest first.
	bucketRing []bucket

	// series holds the counts of one workspace, or the total.
	series struct {
		rings [windowCount]bucketRing
	}
)

// bucketAt returns the number of the bucket at a time since the start.
func (w window) bucketAt(elapsed time.Duration) int32 {
	return int32(elapsed / (w.span / windowBuckets))
}

// add counts into the current bucket. If the clock steps back, the newest
// bucket is used.
func (r *bucketRing) add(number int32, c Counts) {
	r.expire(number)
	last := len(*r) - 1
	if last < 0 || (*r)[last].number < number {
		*r = append(*r, bucket{number: number})
		last++
	}
	(*r)[last].add(c)
}

func (b *bucket) add(c Counts) {
	b.served += uint32(c.Served)
	b.refused += uint32(c.Refused)
	b.failed += uint32(c.Failed)
	b.excluded += uint32(c.Excluded)
	b.withFirst += uint32(c.WithFirst)
	b.lateFirst += uint32(c.LateFirst)
	b.lateTotal += uint32(c.LateTotal)
	b.prompt += c.Prompt
	b.cached += c.Cached
	b.wasted += c.Wasted
}

func (b *bucket) counts() Counts {
	return Counts{
		Served:    uint64(b.served),
		Refused:   uint64(b.refused),
		Failed:    uint64(b.failed),
		Excluded:  uint64(b.excluded),
		WithFirst: uint64(b.withFirst),
		LateFirst: uint64(b.lateFirst),
		LateTotal: uint64(b.lateTotal),
		Prompt:    b.prompt,
		Cached:    b.cached,
		Wasted:    b.wasted,
	}
}

func (r *bucketRing) expire(number int32) {
	gone := 0
	for gone < len(*r) && (*r)[gone].number < number-windowBuckets {
		gone++
	}
	if gone > 0 {
		*r = append((*r)[:0], (*r)[gone:]...)
	}
}

func (r *bucketRing) sum(number int32) Counts {
	r.expire(number)
	var total Counts
	for i := range *r {
		total = total.add((*r)[i].counts())
	}
	return total
}

func (s *series) add(elapsed time.Duration, c Counts) {
	for i, w := range windows {
		s.rings[i].add(w.bucketAt(elapsed), c)
	}
}

func (s *series) empty(elapsed time.Duration) bool {
	for i, w := range windows {
		s.rings[i].expire(w.bucketAt(elapsed))
		if len(s.rings[i]) > 0 {
			return false
		}
	}
	return true
}
