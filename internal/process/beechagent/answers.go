package beechagent

import (
	"errors"
	"sync"

	"github.com/beechring/beechring/internal/process/beechsettings"
)

// answerMemory bounds what the answers of all runs hold together. An answer may grow while it is no larger than what
// is left, so that the largest fail first. It is safe for concurrent use.
type answerMemory struct {
	capacity int

	mu   sync.Mutex
	held int
}

const (
	// answerMemoryShare of the process's memory, one part is for the answers of runs.
	answerMemoryShare = 8
	// defaultAnswerMemory is for processes whose memory is not known.
	defaultAnswerMemory = 64 << 20
	// freeAnswerBytes are not counted: nearly all answers are smaller.
	freeAnswerBytes = 16 << 10
)

var errAnswerMemory = errors.New("the memory for unfinished answers is used up")

// newAnswerMemory returns a memory in which one answer of the largest size alone has room.
func newAnswerMemory(s *beechsettings.Agent) *answerMemory {
	capacity := s.Memory * megabyte / answerMemoryShare
	if capacity == 0 {
		capacity = defaultAnswerMemory
	}
	return &answerMemory{capacity: max(capacity, 2*(s.Limits.AnswerBytes+freeAnswerBytes))}
}

// grow reports whether an answer that holds so many bytes may hold another number.
func (m *answerMemory) grow(held, size int) bool {
	held, size = countedBytes(held), countedBytes(size)
	if size <= held {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held-held+2*size > m.capacity {
		return false
	}
	m.held += size - held
	return true
}

// release gives back what an answer holds.
func (m *answerMemory) release(held int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= countedBytes(held)
}

func countedBytes(size int) int {
	if size <= freeAnswerBytes {
		return 0
	}
	return size
}
