package beechplace

import (
	"time"

	"github.com/beechring/beechring/internal/decision/beechbackup"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// LostRun is what a gate has seen of a run whose answer has broken off.
type LostRun struct {
	BegunAt time.Time // first event
	HeardAt time.Time // last event
	Leaves  bool      // its server said with the answer that it leaves
}

// maxReportDelay is how old a keeper's report may be when it comes: a keeper asks its engine every 200 ms, and
// gates hand reports on. Reports may be lost, so that news may be older.
const maxReportDelay = 600 * time.Millisecond

// observeEnd records what a keeper's report tells of the end of a process, before the report is applied.
func (s *server) observeEnd(report State, now time.Time) {
	switch {
	case report.Phase != beechrollout.Exited:
		s.exitedAt = time.Time{}
	case s.exitedAt.IsZero():
		s.exitedAt = now
	}
	if report.Born > s.reportedBorn {
		if s.reportedBorn != 0 {
			s.formerHeardAt = s.keeperHeardAt
		}
		s.reportedBorn = report.Born
	}
	s.keeperHeardAt = now
}

// endOf returns the evidence that the process which ran a lost run has ended, or none. Only the keeper beside
// a server sees its process: a refused connection may as well be the doing of a partition, and an entry may be
// late. A report that is not older than the run speaks of the process that ran it, or of a later one, whichever
// lifetime the gate took that for: if it has exited by then, or is followed by a later lifetime, the run has ended.
// The caller holds the lock.
func (p *Placer) endOf(lifetime beechcall.Server, run LostRun, state beechbackup.SourceState) beechbackup.Evidence {
	s, ok := p.byID[lifetime.ID]
	reliableFrom := run.BegunAt.Add(maxReportDelay)
	switch {
	case !ok || run.BegunAt.IsZero() || state == beechbackup.Probing:
	case s.reportedBorn > lifetime.Born && !s.formerHeardAt.Before(reliableFrom):
		return beechbackup.LaterLifetime
	case state == beechbackup.Running || run.Leaves || s.isLeaving() || !p.listIsRecent():
		// A server that leaves may finish its answers after it has closed its listener.
	case !s.exitedAt.IsZero() && s.exitedAt.After(run.HeardAt) && !s.keeperHeardAt.Before(reliableFrom):
		return beechbackup.ExitedOnItsHost
	}
	return ""
}

func (p *Placer) listIsRecent() bool {
	return p.settings.ListIsRecent == nil || p.settings.ListIsRecent()
}
