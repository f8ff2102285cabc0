package beechlink

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/tinylib/msgp/msgp"
)

type (
	// kind is the frame type: which beechwire message the frame carries.
	kind byte

	// frameReader splits a byte stream into frames. The body of a frame is
	// valid only until the next call of next.
	frameReader struct {
		source    io.Reader
		limit     int
		buffer    []byte
		start     int
		end       int
		bytesRead uint64
	}
)

const (
	kindHello kind = iota + 1
	kindBye
	kindOpen
	kindBody
	kindReattach
	kindCredit
	kindCancel
	kindHead
	kindData
	kindEnd
	kindRefused
	kindFailed
	kindBeat
	kindCall
	kindResult
	kindLast = kindResult
)

const (
	lengthBytes = 4
	headerBytes = lengthBytes + 1

	smallBuffer = 2 << 10
	largeBuffer = 16 << 10
)

func newFrameReader(source io.Reader, limit int) *frameReader {
	return &frameReader{source: source, limit: limit, buffer: make([]byte, smallBuffer)}
}

// next returns the next frame. The error is io.EOF if the source ended between
// two frames, io.ErrUnexpectedEOF if it ended inside a frame, and *FrameError
// if the bytes are not a valid frame.
func (r *frameReader) next() (kind, []byte, error) {
	if err := r.fill(headerBytes); err != nil {
		return 0, nil, err
	}
	length := int64(binary.BigEndian.Uint32(r.buffer[r.start:]))
	k := kind(r.buffer[r.start+lengthBytes])
	if length < 1 || length > int64(r.limit) {
		return 0, nil, &FrameError{Problem: fmt.Sprintf("length %d is not within 1 and %d", length, r.limit)}
	}
	if k < kindHello || k > kindLast {
		return 0, nil, &FrameError{Problem: fmt.Sprintf("type %d is not known", k)}
	}
	whole := lengthBytes + int(length)
	if err := r.fill(whole); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return 0, nil, err
	}
	body := r.buffer[r.start+headerBytes : r.start+whole]
	r.start += whole
	return k, body, nil
}

// fill reads until count bytes are buffered.
func (r *frameReader) fill(count int) error {
	if r.end-r.start >= count {
		return nil
	}
	r.makeRoom(count)
	for r.end-r.start < count {
		n, err := r.source.Read(r.buffer[r.end:])
		r.end += n
		r.bytesRead += uint64(n)
		if r.end-r.start >= count {
			return nil
		}
		if err == io.EOF && r.end > r.start {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// makeRoom moves the buffered bytes to the front of a buffer that can hold
// count bytes. A connection with little traffic keeps a small buffer, because
// an entry holds hundreds of idle links. A connection that filled its buffer
// gets a larger one. A buffer that was grown for a single large frame is
// replaced after it.
func (r *frameReader) makeRoom(count int) {
	size := len(r.buffer)
	filled := r.end == size
	switch {
	case count > size:
		size = count
	case size > largeBuffer && count <= largeBuffer && r.end-r.start <= largeBuffer:
		size = largeBuffer
	case filled && size < largeBuffer:
		size = largeBuffer
	}
	target := r.buffer
	if size != len(r.buffer) {
		target = make([]byte, size)
	}
	r.end = copy(target, r.buffer[r.start:r.end])
	r.start = 0
	r.buffer = target
}

// appendFrame appends a frame of kind k to b. On an error it returns b
// unchanged.
func appendFrame(b []byte, limit int, k kind, m msgp.Marshaler) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0, byte(k))
	whole, err := m.MarshalMsg(b)
	if err != nil {
		return b[:start], fmt.Errorf("encode frame of type %d: %w", k, err)
	}
	length := len(whole) - start - lengthBytes
	if length > limit {
		return whole[:start], &FrameError{Problem: fmt.Sprintf("length %d exceeds the limit of %d", length, limit)}
	}
	binary.BigEndian.PutUint32(whole[start:], uint32(length))
	return whole, nil
}
