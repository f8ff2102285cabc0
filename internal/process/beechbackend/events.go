package beechbackend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// DefaultEventLimit bounds a line and an event's data, in bytes.
const DefaultEventLimit = 1 << 20

const eventBuffer = 1024

var doneData = []byte("[DONE]")

type (
	// Event is one server-sent event. Data is valid until the next call.
	Event struct {
		Name string
		ID   string
		Data []byte
	}

	// EventReader reads server-sent events of an OpenAI stream. It is not safe
	// for concurrent use.
	EventReader struct {
		lines *bufio.Reader
		limit int
		line  []byte
		data  []byte
		done  bool
	}
)

// NewEventReader returns a reader of events whose lines and data have at most limit
// bytes each.
func NewEventReader(r io.Reader, limit int) *EventReader {
	return &EventReader{lines: bufio.NewReaderSize(r, eventBuffer), limit: limit}
}

// Done tells whether the event is the last of a whole stream.
func (e Event) Done() bool {
	return bytes.Equal(e.Data, doneData)
}

// Next returns the next event. It returns io.EOF only after the event that
// ends a whole stream, ErrCut where the stream ends before it, ErrLineTooLong
// beyond the limit, and the reader's error otherwise.
func (r *EventReader) Next() (Event, error) {
	var event Event
	r.data = r.data[:0]
	started := false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, r.ended(err)
		}
		if len(line) == 0 {
			if !started {
				continue
			}
			event.Data = r.data
			r.done = r.done || event.Done()
			return event, nil
		}
		if err := r.field(&event, line, &started); err != nil {
			return Event{}, err
		}
	}
}

func (r *EventReader) field(event *Event, line []byte, started *bool) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "data":
		if *started {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		*started = true
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

// readLine returns a line without its end. The line is valid until the next
// call.
func (r *EventReader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.lines.ReadSlice('\n')
		if err == nil && len(r.line) == 0 {
			return trimEnd(part), nil
		}
		r.line = append(r.line, part...)
		if len(r.line) > r.limit {
			return nil, fmt.Errorf("read event: %w of %d bytes", ErrEventTooLong, r.limit)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		return trimEnd(r.line), err
	}
}

func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'})
}

func (r *EventReader) ended(err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if r.done {
		return io.EOF
	}
	return ErrTruncated
}
