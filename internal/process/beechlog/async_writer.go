package beechlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// AsyncWriter writes lines from a goroutine of its own and never makes a caller
// wait: where the reader of standard output is slow or gone, lines are dropped,
// counted, and told of in a line of their own once there is room. Without it a
// full pipe would stop every request that logs.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	stopped chan struct{}
	once    sync.Once
}

const (
	// maxQueuedLines that wait are about 2 MB: seconds of a busy gate's lines.
	maxQueuedLines = 4096
	// closeTimeout is how long Close waits for a reader that does not read.
	closeTimeout = 500 * time.Millisecond
)

// NewAsyncWriter returns a writer of lines to w. Close it to have the last ones
// written.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	b := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), stopped: make(chan struct{})}
	go func() {
		defer close(b.stopped)
		told := int64(0)
		for line := range b.lines {
			_, _ = w.Write(line) // there is nowhere else to tell
			if n := b.dropped.Load(); n > told {
				_, _ = fmt.Fprintf(w, `{"level":"warn","message":"log lines dropped","dropped":%d}`+"\n", n-told)
				told = n
			}
		}
	}()
	return b
}

// Write takes a line. It never blocks and never fails.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case b.lines <- copied:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that were dropped.
func (b *AsyncWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits, for as long as the reader reads. Write must not be
// called any more.
func (b *AsyncWriter) Close() error {
	b.once.Do(func() { close(b.lines) })
	select {
	case <-b.stopped:
	case <-time.After(closeTimeout):
	}
	return nil
}
