// Package beechmetric serves a process's counters and latency histograms, as JSON in
// expvar's format and as plain text with one line per value.
//
// # Usage
//
//	vars := new(expvar.Map)
//	first := beechmetric.NewLatency()
//	vars.Set("firstByteMicros", expvar.Func(first.Percentiles))
//	first.Record(took)
//	http.Serve(listener, beechmetric.Handler(vars)) // /metrics is the text, any other path JSON
package beechmetric

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency is a histogram of durations. It is safe for concurrent use.
type Latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

const (
	// TextPath is the path at which Handler serves plain text.
	TextPath          = "/metrics"
	maxLatencyMicros  = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// NewLatency returns an empty histogram.
func NewLatency() *Latency {
	return &Latency{histogram: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
}

// Record adds a duration, in whole microseconds and limited to one hour.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros)) // cannot fail within the histogram's bounds
}

// Percentiles returns the count, the maximum and some percentiles in microseconds. It
// is meant for expvar.Func.
func (l *Latency) Percentiles() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return map[string]int64{
		"count": l.histogram.TotalCount(), "p50": l.histogram.ValueAtQuantile(50),
		"p90": l.histogram.ValueAtQuantile(90), "p99": l.histogram.ValueAtQuantile(99), "max": l.histogram.Max(),
	}
}

// Handler returns a handler that serves metrics as text at TextPath and as JSON at any
// other path.
func Handler(vars *expvar.Map) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, vars.String()) // fails only if the client has disconnected
	})
	mux.HandleFunc("GET "+TextPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = io.WriteString(w, Text(vars))
	})
	return mux
}

// Text formats metrics as lines of a name and a value, sorted by name. The names of
// nested metrics are joined with dots.
func Text(vars *expvar.Map) string {
	var tree map[string]any
	if err := json.Unmarshal([]byte(vars.String()), &tree); err != nil {
		return fmt.Sprintf("# unreadable: %v\n", err)
	}
	var b strings.Builder
	writeTree(&b, "", tree)
	return b.String()
}

func writeTree(b *strings.Builder, prefix string, tree map[string]any) {
	for _, name := range slices.Sorted(maps.Keys(tree)) {
		switch v := tree[name].(type) {
		case map[string]any:
			writeTree(b, prefix+name+".", v)
		default:
			fmt.Fprintf(b, "%s%s %v\n", prefix, strings.ReplaceAll(name, " ", "_"), v)
		}
	}
}
