package beechburn

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Resolution of the histograms. Values are counted in steps of 10 microseconds
// up to an hour. For the total, two significant digits keep the error within
// 1%; a workspace's percentiles are within 10%, for a small fraction of the
// memory.
const (
	latencyStep     = 10 * time.Microsecond
	maxLatencySteps = int64(time.Hour / latencyStep)
	totalDigits     = 2
	workspaceDigits = 1
)

// minForPercentiles is how many requests of a workspace must have been served
// in an hour before it gets percentiles. With fewer, the 99th percentile is
// simply the maximum.
const minForPercentiles = 20

type (
	// latencyBucket holds the latencies of one bucket of a window of the total.
	latencyBucket struct {
		number int32
		first  *hdrhistogram.Histogram
		total  *hdrhistogram.Histogram
	}

	// latencyRing holds a window's latency buckets of the total, the oldest first.
	latencyRing []latencyBucket

	// recentLatencies holds a workspace's latencies of the last hour in two
	// half-hours, so that the older one can be dropped as a whole.
	recentLatencies struct {
		half     int32
		current  latencyPair
		previous latencyPair
	}

	latencyPair struct {
		first *hdrhistogram.PackedHistogram
		total *hdrhistogram.PackedHistogram
	}

	// encodable is implemented by both kinds of histogram.
	encodable interface {
		TotalCount() int64
		EncodeV2() ([]byte, error)
	}

	// histogram is a histogram encoded in the V2 format of HdrHistogram.
	histogram string
)

func toSteps(d time.Duration) int64 {
	return min(max(int64(d/latencyStep), 1), maxLatencySteps)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencySteps, totalDigits)
}

func newLatencyPair() latencyPair {
	return latencyPair{
		first: hdrhistogram.NewPacked(1, maxLatencySteps, workspaceDigits),
		total: hdrhistogram.NewPacked(1, maxLatencySteps, workspaceDigits),
	}
}

// add records into the current bucket. toSteps keeps values within the
// histogram's range, so recording cannot fail.
func (r *latencyRing) add(number int32, o Outcome) {
	r.expire(number)
	last := len(*r) - 1
	if last < 0 || (*r)[last].number < number {
		*r = append(*r, latencyBucket{number: number, first: newHistogram(), total: newHistogram()})
		last = len(*r) - 1
	}
	b := (*r)[last]
	if o.FirstToken > 0 {
		_ = b.first.RecordValue(toSteps(o.FirstToken))
	}
	_ = b.total.RecordValue(toSteps(o.Total))
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

func halfHourAt(elapsed time.Duration) int32 {
	return int32(elapsed / (windows[hourWindow].span / 2))
}

func newRecent(half int32) *recentLatencies {
	return &recentLatencies{half: half, current: newLatencyPair(), previous: newLatencyPair()}
}

// rotate makes half the current half-hour and drops what is older than the one
// before it.
func (r *recentLatencies) rotate(half int32) {
	switch {
	case half <= r.half:
		return
	case half == r.half+1:
		r.previous = r.current
	default:
		r.previous = newLatencyPair()
	}
	r.current = newLatencyPair()
	r.half = half
}

func (r *recentLatencies) add(half int32, o Outcome) {
	r.rotate(half)
	if o.FirstToken > 0 {
		_ = r.current.first.RecordValue(toSteps(o.FirstToken))
	}
	_ = r.current.total.RecordValue(toSteps(o.Total))
}

func (r *recentLatencies) empty(half int32) bool {
	r.rotate(half)
	return r.current.total.TotalCount() == 0 && r.previous.total.TotalCount() == 0
}

// merged returns a copy of the latencies of the last hour.
func (r *recentLatencies) merged(half int32) latencyPair {
	r.rotate(half)
	sum := latencyPair{first: r.previous.first.Clone(), total: r.previous.total.Clone()}
	sum.first.Merge(r.current.first)
	sum.total.Merge(r.current.total)
	return sum
}

// encode returns "" for an empty histogram. Encoding does not fail for
// histograms of this package; if it did, the result could not be decoded.
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

// quantile takes a percentage. It returns 0 for an empty or unreadable
// histogram.
func (h histogram) quantile(percent float64) time.Duration {
	decoded, err := h.decode()
	if err != nil {
		return 0
	}
	return time.Duration(decoded.ValueAtQuantile(percent)) * latencyStep
}
