package beechburn

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Geometry of the histograms. Values are counted in steps of 10 microseconds
// up to an hour. Over all, two digits keep an error within 1%; a workspace's
// percentiles are within 10%, for a small part of the memory.
const (
	latencyStep     = 10 * time.Microsecond
	latencyMost     = int64(time.Hour / latencyStep)
	allDigits       = 2
	workspaceDigits = 1
)

// enoughForPercentiles is how many requests a workspace must send in an hour to
// get percentiles. Below it the 99th is merely the largest.
const enoughForPercentiles = 20

type (
	// latencyBucket is the latencies of one bucket of a window over all.
	latencyBucket struct {
		number int32
		first  *hdrhistogram.Histogram
		total  *hdrhistogram.Histogram
	}

	// latencyRing is a window's buckets over all, the oldest first.
	latencyRing []latencyBucket

	// recent is a workspace's latencies of the hour, in two halves, so that an
	// old half can be dropped as a whole.
	recent struct {
		half    int32
		current packedPair
		before  packedPair
	}

	packedPair struct {
		first *hdrhistogram.PackedHistogram
		total *hdrhistogram.PackedHistogram
	}

	// encodable is either kind of histogram.
	encodable interface {
		TotalCount() int64
		EncodeV2() ([]byte, error)
	}

	// histogram is one encoded in HDR's own V2 format.
	histogram string
)

func steps(d time.Duration) int64 {
	return min(max(int64(d/latencyStep), 1), latencyMost)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, latencyMost, allDigits)
}

func newPackedPair() packedPair {
	return packedPair{
		first: hdrhistogram.NewPacked(1, latencyMost, workspaceDigits),
		total: hdrhistogram.NewPacked(1, latencyMost, workspaceDigits),
	}
}

// add records into the running bucket. Steps are within the histogram's range,
// so recording cannot fail.
func (r *latencyRing) add(number int32, o Outcome) {
	r.expire(number)
	last := len(*r) - 1
	if last < 0 || (*r)[last].number < number {
		*r = append(*r, latencyBucket{number: number, first: newHistogram(), total: newHistogram()})
		last = len(*r) - 1
	}
	b := (*r)[last]
	if o.FirstToken > 0 {
		_ = b.first.RecordValue(steps(o.FirstToken))
	}
	_ = b.total.RecordValue(steps(o.Total))
}

func (r *latencyRing) expire(number int32) {
	for len(*r) > 0 && (*r)[0].number < number-windowBuckets {
		*r = (*r)[1:]
	}
}

func (r *latencyRing) merged(number int32) (first, total *hdrhistogram.Histogram) {
	r.expire(number)
	first, total = newHistogram(), newHistogram()
	for _, b := range *r {
		first.Merge(b.first)
		total.Merge(b.total)
	}
	return first, total
}

func halfHour(elapsed time.Duration) int32 {
	return int32(elapsed / (windows[hourWindow].span / 2))
}

func newRecent(half int32) *recent {
	return &recent{half: half, current: newPackedPair(), before: newPackedPair()}
}

// turn drops what is older than the half before this one.
func (r *recent) turn(half int32) {
	switch {
	case half <= r.half:
		return
	case half == r.half+1:
		r.before = r.current
	default:
		r.before = newPackedPair()
	}
	r.current = newPackedPair()
	r.half = half
}

func (r *recent) add(half int32, o Outcome) {
	r.turn(half)
	if o.FirstToken > 0 {
		_ = r.current.first.RecordValue(steps(o.FirstToken))
	}
	_ = r.current.total.RecordValue(steps(o.Total))
}

func (r *recent) empty(half int32) bool {
	r.turn(half)
	return r.current.total.TotalCount() == 0 && r.before.total.TotalCount() == 0
}

// merged is a copy of the last hour's.
func (r *recent) merged(half int32) packedPair {
	r.turn(half)
	sum := packedPair{first: r.before.first.Clone(), total: r.before.total.Clone()}
	sum.first.Merge(r.current.first)
	sum.total.Merge(r.current.total)
	return sum
}

// encode returns "" for an empty histogram. Encoding fails for none that this
// package makes; a failure would show as a histogram that cannot be decoded.
func encode(h encodable) histogram {
	if h.TotalCount() == 0 {
		return ""
	}
	data, err := h.EncodeV2()
	if err != nil {
		return histogram(err.Error())
	}
	return histogram(data)
}

func (h histogram) decode() (*hdrhistogram.Histogram, error) {
	if h == "" {
		return newHistogram(), nil
	}
	decoded, err := hdrhistogram.Decode([]byte(h))
	if err != nil {
		return nil, fmt.Errorf("decode histogram: %w", err)
	}
	return decoded, nil
}

func (h histogram) merge(o histogram) (histogram, error) {
	if o == "" {
		return h, nil
	}
	if h == "" {
		_, err := o.decode()
		return o, err
	}
	into, err := h.decode()
	if err != nil {
		return "", err
	}
	from, err := o.decode()
	if err != nil {
		return "", err
	}
	into.Merge(from)
	return encode(into), nil
}

// quantile is in percent. It is 0 for an empty or unreadable histogram.
func (h histogram) quantile(percent float64) time.Duration {
	decoded, err := h.decode()
	if err != nil {
		return 0
	}
	return time.Duration(decoded.ValueAtQuantile(percent)) * latencyStep
}
