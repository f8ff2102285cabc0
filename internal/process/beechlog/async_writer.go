package beechlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// AsyncWriter queues lines and writes them from its own goroutine, so that a caller
// never blocks. While the queue is full because the reader of standard output is slow
// or gone, it drops and counts lines, and later reports their number in a line of its
// own. Without it a full pipe would block every request that logs.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

const (
	// maxQueuedLines is about 2 MB, which is what a busy gate logs in a few seconds.
	maxQueuedLines = 4096
	// closeTimeout is how long Close waits for queued lines to be written.
	closeTimeout = 500 * time.Millisecond
)

// NewAsyncWriter returns an asynchronous writer to w. Close writes the lines that are
// still queued.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		reported := int64(0)
		for line := range a.lines {
			_, _ = w.Write(line) // an error cannot be reported anywhere else
			if n := a.dropped.Load(); n > reported {
				_, _ = fmt.Fprintf(w, `{"level":"warn","message":"log lines dropped","dropped":%d}`+"\n", n-reported)
				reported = n
			}
		}
	}()
	return a
}

// Write queues a line, or drops it if the queue is full. It never blocks and never
// fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case a.lines <- copied:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close waits until the queued lines are written, for at most closeTimeout. Write must
// not be called after Close.
func (a *AsyncWriter) Close() error {
	a.once.Do(func() { close(a.lines) })
	select {
	case <-a.done:
	case <-time.After(closeTimeout):
	}
	return nil
}
