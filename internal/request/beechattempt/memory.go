package beechattempt

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/beechring/beechring/internal/request/beechcall"
)

type (
	// answerMemory bounds what all unfinished answers hold together. An answer may grow while it is no larger
	// than what is left, so that the largest fail first and small ones nearly never. It is safe for
	// concurrent use.
	answerMemory struct {
		mu   sync.Mutex
		held int
		peak int
	}

	// answerShare is what one answer holds. A nil one holds nothing. It is not safe for concurrent use.
	answerShare struct {
		memory *answerMemory
		held   int
	}
)

const (
	// maxHeldBytes leaves room on a small host for everything else, the garbage of growing buffers included.
	maxHeldBytes   = 32 << 20
	maxAnswerBytes = maxHeldBytes / 2
	// freeAnswerBytes are not counted: nearly all answers and events are smaller.
	freeAnswerBytes = 16 << 10
	firstBodyBytes  = 512
)

var (
	errAnswerTooLong = fmt.Errorf("%w: it exceeds %d MiB", beechcall.ErrMalformed, maxAnswerBytes>>20)
	errAnswerMemory  = errors.New("the memory for unfinished answers is used up")
)

// share returns the share of a new answer.
func (m *answerMemory) share() *answerShare { return &answerShare{memory: m} }

// heldBytes returns what unfinished answers hold now, and held at the most.
func (m *answerMemory) heldBytes() (now, peak int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held, m.peak
}

// grow reports whether the answer may hold this many bytes.
func (s *answerShare) grow(size int) bool {
	if size <= freeAnswerBytes {
		return true
	}
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	others := m.held - s.held
	if others+2*size > maxHeldBytes {
		return false
	}
	m.held, s.held = others+size, size
	m.peak = max(m.peak, m.held)
	return true
}

// release gives back what the answer holds.
func (s *answerShare) release() {
	if s == nil {
		return
	}
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.held -= s.held
	s.held = 0
}

// readBody reads a body to its end. The result is not nil unless there is an error.
func readBody(body io.Reader, share *answerShare) ([]byte, error) {
	data := make([]byte, 0, firstBodyBytes)
	for {
		if len(data) == maxAnswerBytes {
			return data, readEnd(body)
		}
		if len(data) == cap(data) {
			size := min(2*cap(data), maxAnswerBytes)
			if !share.grow(size) {
				return data, errAnswerMemory
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// readEnd returns an error unless the body is at its end.
func readEnd(body io.Reader) error {
	_, err := io.ReadFull(body, make([]byte, 1))
	if err == io.EOF {
		return nil
	}
	if err == nil {
		return errAnswerTooLong
	}
	return err
}
