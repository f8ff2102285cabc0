package beechattempt

import (
	"bytes"
	"fmt"
	"io"

	"github.com/beechring/beechring/internal/request/beechcall"
)

// eventBuffer collects the data of a stream until it has whole events. It searches each byte once.
type eventBuffer struct {
	share *answerShare

	data     []byte
	event    int // end of the last whole event
	line     int // begin of the line that has not ended
	searched int

	hasField bool // among the whole lines of the event that has not ended
	hasOther bool // a line that is none, among the same
	invalid  error
}

// maxEventBytes is the length of an event and of the data between two events. Servers put a few tokens into
// an event.
const maxEventBytes = 256 << 10

var (
	errEventTooLong = fmt.Errorf("%w: no event in %d bytes of a stream", beechcall.ErrMalformed, maxEventBytes)
	errNoFields     = fmt.Errorf("%w: an event without fields", beechcall.ErrMalformed)

	byteOrderMark  = []byte("\xef\xbb\xbf")
	carriageReturn = []byte{'\r'}
)

func newEventBuffer(share *answerShare) *eventBuffer {
	return &eventBuffer{share: share, data: make([]byte, 0, readBufferBytes)}
}

// read appends the next data. An error may come with whole events before it.
func (b *eventBuffer) read(from io.Reader) error {
	if b.invalid != nil {
		return b.invalid
	}
	if err := b.reserve(); err != nil {
		return err
	}
	n, err := from.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	b.invalid = b.search()
	if b.invalid != nil {
		return b.invalid
	}
	return err
}

// reserve makes room for more data.
func (b *eventBuffer) reserve() error {
	if len(b.data) < cap(b.data) {
		return nil
	}
	size := 2 * cap(b.data)
	if !b.share.grow(size) {
		return errAnswerMemory
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return nil
}

// search looks for the ends of events in the data that has not been searched.
func (b *eventBuffer) search() error {
	for {
		end := bytes.IndexByte(b.data[b.searched:], '\n')
		if end < 0 {
			b.searched = len(b.data)
			break
		}
		b.searched += end + 1
		line := bytes.TrimSuffix(b.data[b.line:b.searched-1], carriageReturn)
		b.line = b.searched
		switch {
		case len(line) > 0 && isEventField(line):
			b.hasField = true
		case len(line) > 0:
			b.hasOther = true
		case b.hasField:
			b.event, b.hasField, b.hasOther = b.searched, false, false
		case b.hasOther:
			return errNoFields
		}
	}
	if len(b.data)-b.event > maxEventBytes {
		return errEventTooLong
	}
	return nil
}

// isEventField reports whether a line has a field of the standard, or is a comment.
func isEventField(line []byte) bool {
	line = bytes.TrimPrefix(line, byteOrderMark)
	if end := bytes.IndexByte(line, ':'); end >= 0 {
		line = line[:end]
	}
	switch string(line) {
	case "", "data", "event", "id", "retry":
		return true
	}
	return false
}

// whole returns the whole events.
func (b *eventBuffer) whole() []byte { return b.data[:b.event] }

// discard removes the whole events.
func (b *eventBuffer) discard() {
	if b.event == 0 {
		return
	}
	b.data = b.data[:copy(b.data, b.data[b.event:])]
	b.searched -= b.event
	b.line -= b.event
	b.event = 0
}

// pending returns the length of the data behind the whole events, line ends not counted.
func (b *eventBuffer) pending() int {
	return len(bytes.TrimSpace(b.data[b.event:]))
}
