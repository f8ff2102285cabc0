package beechlog

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAsyncWriterKeepsOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	b := NewAsyncWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := b.Write([]byte(line))
		is.NoErr(err)
	}
	is.NoErr(b.Close())
	is.Equal(out.String(), "a\nb\nc\n")
	is.Equal(b.Dropped(), int64(0))
}

// The reader of standard output has stopped, and the pipe is full. A caller that logs
// must not block, and the dropped lines must be counted and reported.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	b := NewAsyncWriter(w)
	line := []byte(strings.Repeat("x", 499) + "\n")
	began := time.Now()
	for range 4 * maxQueuedLines {
		_, err := b.Write(line)
		is.NoErr(err)
	}
	is.True(time.Since(began) < time.Second)
	is.True(b.Dropped() > maxQueuedLines)
	read := make(chan []byte)
	go func() {
		data, _ := io.ReadAll(r)
		read <- data
	}()
	is.NoErr(b.Close())
	is.NoErr(w.Close())
	is.True(bytes.Contains(<-read, []byte(`"message":"log lines dropped"`)))
}

func BenchmarkLine(b *testing.B) {
	for _, bench := range []struct {
		name string
		w    io.Writer
	}{{"direct", io.Discard}, {"bounded", NewAsyncWriter(io.Discard)}} {
		b.Run(bench.name, func(b *testing.B) {
			log, err := New(bench.w, "info")
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				log.Info("request ended", RequestID("9c41d07be2a35f68"), Step("answer"), Attempt(1))
			}
		})
	}
}
