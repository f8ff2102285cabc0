package beechagent

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/beechring/beechring/internal/decision/beechintake"
	"github.com/beechring/beechring/internal/link/beechlink"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/process/beechsettings"
)

const (
	// bodyMemoryShare of the process's memory, one part is for the bodies of requests. The rest is for what
	// the process needs without requests, answers, the cache index and garbage.
	bodyMemoryShare = 4
	megabyte        = 1 << 20
	// engineBodyCopies is how often the body of a request to an engine is held: as it came, and with the
	// fields that the agent sets.
	engineBodyCopies = 2
	bodyTime         = 10 * time.Second // for a body to come over a link
)

// bodyMemory grants memory for the bodies of all links. It implements beechlink.BodyMemory.
type bodyMemory struct{ intake *beechintake.Intake }

func newBodyMemory(s *beechsettings.Agent, clock clockwork.Clock) bodyMemory {
	intake := beechintake.New(beechintake.Settings{Capacity: s.Memory * megabyte / bodyMemoryShare, BodyTime: bodyTime}, clock)
	intake.RoomFor(engineBodyCopies * beechlink.DefaultSettings().MaxBody)
	return bodyMemory{intake}
}

// Reserve implements beechlink.BodyMemory. Entry hosts have the whole body and send it, so that it never
// gives way.
func (m bodyMemory) Reserve(r *beechwire.Request) (release func(), ok bool) {
	size := r.BodyBytes
	if r.Service == "" {
		size *= engineBodyCopies
	}
	body, refused := m.intake.Open(r.Workspace, size, func() {})
	if refused != nil {
		return nil, false
	}
	body.Complete()
	return body.Close, true
}
