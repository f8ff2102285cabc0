package beechagent

import (
	"testing"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/process/beechsettings"
)

// TestAnswersShareAMemory guards against answers that are bounded each and not altogether.
func TestAnswersShareAMemory(t *testing.T) {
	is := is.New(t)
	const answer = 4 << 20
	m := newAnswerMemory(agentOfMemory(96, answer))
	largest, total := 0, 0
	for range 64 { // answers that grow one after the other
		held := 0
		for held < answer && m.grow(held, held+pieceSize) {
			held += pieceSize
		}
		largest, total = max(largest, held), total+held
		is.True(m.held <= 12<<20)
	}
	is.Equal(largest, answer)
	is.True(m.grow(0, freeAnswerBytes)) // a small one has room beside them
	is.True(!m.grow(0, answer))
	is.True(total >= 12<<20-4*freeAnswerBytes)
	m.release(largest)
	m.release(largest)
	is.True(m.grow(0, answer))
}

// TestLargestAnswerAloneHasRoom guards against a memory that refuses what the agent's limit allows.
func TestLargestAnswerAloneHasRoom(t *testing.T) {
	for _, memory := range []int{0, 16, 96, 4096} {
		is := is.New(t)
		const answer = 16 << 20
		m := newAnswerMemory(agentOfMemory(memory, answer))
		for held := 0; held < answer; held += pieceSize {
			is.True(m.grow(held, held+pieceSize))
		}
	}
}

func agentOfMemory(megabytes, answer int) *beechsettings.Agent {
	s := &beechsettings.Agent{Limits: beechsettings.AgentLimits{AnswerBytes: answer}}
	s.Memory = megabytes
	return s
}
