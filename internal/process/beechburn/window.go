package beechburn

import "time"

const (
	windowCount   = 4
	windowBuckets = 6 // a window covers six whole buckets and the running one
	hourWindow    = 1 // the window for which workspaces have percentiles
)

// windows are the spans that burn is kept for, the shortest first.
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

	// bucket is the counts of one stretch of time, numbered from the start. It
	// is a Counts with narrow numbers, since there are 28 of them to a
	// workspace and thousands of workspaces. No bucket is longer than half a
	// day, in which a host sees far less than 4 billion requests.
	bucket struct {
		number    int32
		served    uint32
		refused   uint32
		failed    uint32
		excluded  uint32
		first     uint32
		lateFirst uint32
		lateTotal uint32
		prompt    uint64
		cached    uint64
		wasted    uint64
	}

	// ring is the buckets of a window that are not empty, the oldest first.
	ring []bucket

	// series is one workspace, or all.
	series struct {
		rings [windowCount]ring
	}
)

// bucketAt numbers the bucket at a time since the start.
func (w window) bucketAt(elapsed time.Duration) int32 {
	return int32(elapsed / (w.span / windowBuckets))
}

// add counts into the running bucket. A clock that steps back goes on counting
// into the newest bucket.
func (r *ring) add(number int32, c Counts) {
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
	b.first += uint32(c.WithFirst)
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
		WithFirst: uint64(b.first),
		LateFirst: uint64(b.lateFirst),
		LateTotal: uint64(b.lateTotal),
		Prompt:    b.prompt,
		Cached:    b.cached,
		Wasted:    b.wasted,
	}
}

func (r *ring) expire(number int32) {
	gone := 0
	for gone < len(*r) && (*r)[gone].number < number-windowBuckets {
		gone++
	}
	if gone > 0 {
		*r = append((*r)[:0], (*r)[gone:]...)
	}
}

func (r *ring) sum(number int32) Counts {
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

func (s *series) idle(elapsed time.Duration) bool {
	for i, w := range windows {
		s.rings[i].expire(w.bucketAt(elapsed))
		if len(s.rings[i]) > 0 {
			return false
		}
	}
	return true
}
