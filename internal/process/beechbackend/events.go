package beechbackend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// DefaultEventLimit is the usual limit for a line and for the data of an event, in
// bytes.
const DefaultEventLimit = 1 << 20

const (
	eventBufferSize = 1024
	// pendingFactor bounds, in limits, what may be read without completing an event: names of fields, comments
	// and blank lines come on top of the data.
	pendingFactor = 2
)

var doneData = []byte("[DONE]")

type (
	// Event is one server-sent event. Data is valid until the next call.
	Event struct {
		Name string
		ID   string
		Data []byte
	}

	// EventReader reads the server-sent events of an OpenAI stream. It is not safe for
	// concurrent use.
	EventReader struct {
		lines *bufio.Reader
		limit int
		line  []byte
		data  []byte
		done  bool

		pending int // bytes read since the last event
	}
)

// NewEventReader returns a reader that limits each line, and the data of each event,
// to limit bytes, and what is read for an event to twice as much.
func NewEventReader(r io.Reader, limit int) *EventReader {
	return &EventReader{lines: bufio.NewReaderSize(r, eventBufferSize), limit: limit}
}

// Done reports whether the event is the last one of a complete stream.
func (e Event) Done() bool {
	return bytes.Equal(e.Data, doneData)
}

// Next returns the next event. It returns io.EOF after the last event of a complete
// stream, ErrTruncated if the stream ends before that event, ErrEventTooLong if a limit
// is exceeded, and otherwise the error of the underlying reader.
func (r *EventReader) Next() (Event, error) {
	var event Event
	r.data, r.pending = r.data[:0], 0
	hasData := false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, r.endError(err)
		}
		if len(line) == 0 {
			if !hasData {
				continue
			}
			event.Data = r.data
			r.done = r.done || event.Done()
			return event, nil
		}
		if err := r.readField(&event, line, &hasData); err != nil {
			return Event{}, err
		}
	}
}

func (r *EventReader) readField(event *Event, line []byte, hasData *bool) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "data":
		if *hasData {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		*hasData = true
	case "event":
		event.Name = string(value)
	case "id":
		event.ID = string(value)
	}
	if len(r.data) > r.limit {
		return fmt.Errorf("read event: %w of %d bytes", ErrEventTooLong, r.limit)
	}
	return nil
}

// readLine returns a line without its line ending. The line is valid until the next
// call.
func (r *EventReader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.lines.ReadSlice('\n')
		if r.pending += len(part); r.pending > pendingFactor*r.limit {
			return nil, fmt.Errorf("read event: %w: no event in %d bytes", ErrEventTooLong, r.pending)
		}
		if err == nil && len(r.line) == 0 {
			return trimLineEnd(part), nil
		}
		r.line = append(r.line, part...)
		if len(r.line) > r.limit {
			return nil, fmt.Errorf("read event: %w of %d bytes", ErrEventTooLong, r.limit)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		return trimLineEnd(r.line), err
	}
}

func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'})
}

func (r *EventReader) endError(err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if r.done {
		return io.EOF
	}
	return ErrTruncated
}
