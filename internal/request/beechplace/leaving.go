package beechplace

import "github.com/beechring/beechring/internal/request/beechcall"

// maxLeaving bounds memory. When it is reached, the servers that are not listed are forgotten.
const maxLeaving = 4096

// isLeaving reports whether a server will stop soon, by its entry or by its answers.
func (s *server) isLeaving() bool { return s.Leaving || s.answeredLeaving }

// ObserveLeaving records that an answer of the server said that it leaves, and reports whether
// that was new. It holds for the server's lifetime: its entry may say so later, never, or have
// been lost by the store.
func (a *Attempt) ObserveLeaving() bool {
	if a.server == nil {
		return false
	}
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.server.answeredLeaving {
		return false
	}
	if len(p.answeredLeaving) >= maxLeaving {
		p.forgetLeaving()
	}
	a.server.answeredLeaving, p.answeredLeaving[a.server.ID] = true, a.server.Born
	return true
}

// hasAnsweredLeaving reports whether the lifetime of an entry has said that it leaves. The caller
// holds the lock.
func (p *Placer) hasAnsweredLeaving(entry beechcall.Server) bool {
	born, ok := p.answeredLeaving[entry.ID]
	return ok && (entry.Born == born || entry.Born == 0 || born == 0)
}

// forgetLeaving forgets the servers that are not listed. The caller holds the lock.
func (p *Placer) forgetLeaving() {
	for id := range p.answeredLeaving {
		if _, listed := p.byID[id]; !listed {
			delete(p.answeredLeaving, id)
		}
	}
}
