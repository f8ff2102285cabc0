package beechattempt

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// wholeEvents returns the length of the whole events at the start of data.
func wholeEvents(data []byte) int {
	b := eventBuffer{share: new(answerMemory).share(), data: data}
	_ = b.search()
	return b.event
}

// readAll reads a stream in pieces, and returns its events, what is left of it, and the most that was held.
func readAll(stream io.Reader) (events string, pending, held int, err error) {
	b := newEventBuffer(new(answerMemory).share())
	for err == nil {
		err = b.read(stream)
		events += string(b.whole())
		held = max(held, cap(b.data))
		b.discard()
	}
	return events, b.pending(), held, err
}

func TestEventBuffer(t *testing.T) {
	for _, test := range []struct {
		name, stream, events string
		pending              int
		err                  error
	}{
		{"line feeds", "id: 1\ndata: x\n\nid: 2", "id: 1\ndata: x\n\n", 5, io.EOF},
		{"carriage returns", "id: 1\r\ndata: x\r\n\r\nid", "id: 1\r\ndata: x\r\n\r\n", 2, io.EOF},
		{"comment", ": ping\n\ndata\n\n", ": ping\n\ndata\n\n", 0, io.EOF},
		{"byte order mark", "\xef\xbb\xbfdata: x\n\n", "\xef\xbb\xbfdata: x\n\n", 0, io.EOF},
		{"unknown field beside another", "x: y\ndata: x\n\n", "x: y\ndata: x\n\n", 0, io.EOF},
		{"blank lines between", "data: x\n\n\n\ndata: y\n\n", "data: x\n\n\n\ndata: y\n\n", 0, io.EOF},
		{"blank lines at the end", "data: x\n\n\n\n", "data: x\n\n", 0, io.EOF},
		{"no field", "data: x\n\nxxx\n\ndata: y\n\n", "data: x\n\n", len("xxx\n\ndata: y"), errNoFields},
		{"too long", "data: x\n\ndata: " + strings.Repeat("x", maxEventBytes), "data: x\n\n", maxEventBytes + 1, errEventTooLong},
		{"longest", "data: " + strings.Repeat("x", maxEventBytes-8) + "\n\n", "data: " + strings.Repeat("x", maxEventBytes-8) + "\n\n", 0, io.EOF},
	} {
		for _, piece := range []int{1, 7, 1 << 20} {
			if piece == 1 && len(test.stream) > maxEventBytes/2 {
				continue
			}
			t.Run(fmt.Sprint(test.name, " in pieces of ", piece), func(t *testing.T) {
				is := is.New(t)
				events, pending, held, err := readAll(&smallReads{strings.NewReader(test.stream), piece})
				is.True(events == test.events)
				is.True(errors.Is(err, test.err))
				is.True(held <= 2*maxEventBytes)
				if test.err == io.EOF {
					is.Equal(pending, test.pending)
				}
			})
		}
	}
}

// FuzzEventBuffer reads a stream in pieces of any size: the events are those of one piece, nothing is lost, and
// memory is bounded.
func FuzzEventBuffer(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\r\n\r\n"), 3)
	f.Add([]byte("\n\n\nxx\n\ndata: x\n\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		piece = max(min(piece, 1<<20), 1)
		events, _, held, err := readAll(&smallReads{bytes.NewReader(data), piece})
		whole, _, _, wholeErr := readAll(bytes.NewReader(data))
		if events != whole || (err == io.EOF) != (wholeErr == io.EOF) || held > 2*maxEventBytes {
			t.Fatalf("%q in pieces of %d: %q and %q, %v and %v, %d", data, piece, events, whole, err, wholeErr, held)
		}
		if !bytes.HasPrefix(data, []byte(events)) && err == io.EOF {
			t.Fatalf("%q: %q", data, events)
		}
	})
}

// TestMemoryOfAnswersIsShared guards against large answers that together exceed a host's memory.
func TestMemoryOfAnswersIsShared(t *testing.T) {
	is := is.New(t)
	memory := new(answerMemory)
	var shares []*answerShare
	for range 100 {
		s := memory.share()
		body, err := readBody(io.LimitReader(endlessX{}, 64<<20), s)
		is.True(errors.Is(err, errAnswerTooLong) || errors.Is(err, errAnswerMemory))
		is.True(len(body) <= maxAnswerBytes)
		shares = append(shares, s)
		now, peak := memory.heldBytes()
		is.True(now <= maxHeldBytes)
		is.True(peak <= maxHeldBytes)
	}
	small := memory.share()
	body, err := readBody(strings.NewReader("small"), small)
	is.NoErr(err)
	is.Equal(string(body), "small")
	for _, s := range shares {
		s.release()
	}
	now, _ := memory.heldBytes()
	is.Equal(now, 0)
	large := memory.share()
	body, err = readBody(io.LimitReader(endlessX{}, maxAnswerBytes), large)
	is.NoErr(err)
	is.Equal(len(body), maxAnswerBytes)
}

// TestMemoryOfAnswersIsGivenBack guards against shares of calls that have ended, whatever became of their hedges
// and errors.
func TestMemoryOfAnswersIsGivenBack(t *testing.T) {
	is := is.New(t)
	large := strings.Repeat("x", 100<<10)
	for _, first := range []step{answers(500, large), answers(200, large), breaks(large), hangs, resets} {
		for _, second := range []step{answers(500, large), answers(200, large), breaks(large), hangs} {
			f := newFixture(8, 5, first, second)
			call := f.call(beechcall.Repeatable, false)
			call.Route.MaxAttempts = 3
			f.serve(t.Context(), call)
			f.dispatcher.Wait(t.Context())
			now, peak := f.dispatcher.AnswerBytes()
			is.Equal(now, 0)
			is.True(peak <= 5*256<<10)
		}
	}
}

// endlessX has bytes without end.
type endlessX struct{}

func (endlessX) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// BenchmarkEventBuffer reads an event that comes in pieces of 16 KB; the time for each byte does not grow with the
// event.
func BenchmarkEventBuffer(b *testing.B) {
	for _, size := range []int{16 << 10, 64 << 10, 250 << 10} {
		event := []byte("data: " + strings.Repeat("x", size) + "\n\n")
		b.Run(fmt.Sprint(size>>10, " KB"), func(b *testing.B) {
			b.SetBytes(int64(len(event)))
			for b.Loop() {
				if _, _, _, err := readAll(&smallReads{bytes.NewReader(event), 16 << 10}); err != io.EOF {
					b.Fatal(err)
				}
			}
		})
	}
}
