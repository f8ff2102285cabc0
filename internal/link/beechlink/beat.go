package beechlink

import (
	"slices"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// beatWriter makes Beats out of heartbeats: each carries only what changed
	// since the one before on its connection.
	beatEncoder struct {
		sent           beechwire.Heartbeat
		intervalMillis int64
		started        bool
	}
)

// next returns the beat from what was sent to h. Urgent tells that it carries
// what routing must learn within a heartbeat: everything but load and number
// of entries.
func (w *beatEncoder) delta(h beechwire.Heartbeat, every int64) (b beechwire.Beat, urgent bool) {
	first := !w.started
	last := w.sent
	if first || h.Incarnation != last.Incarnation {
		b.Incarnation = &h.Incarnation
		urgent = true
	}
	if first || h.Generation != last.Generation {
		b.Generation = &h.Generation
		urgent = true
	}
	if first || h.Leaving != last.Leaving {
		b.Leaving = &h.Leaving
		urgent = true
	}
	if first || h.Ready != last.Ready {
		b.Ready = &h.Ready
		urgent = true
	}
	if first || !slices.Equal(h.Models, last.Models) {
		b.Models = &beechwire.Names{Names: h.Models}
		urgent = true
	}
	if len(h.Suspects) > 0 && !equalSuspects(h.Suspects, last.Suspects) {
		b.Suspects = h.Suspects
		urgent = true
	}
	if first || h.Entries != last.Entries {
		b.Entries = &h.Entries
	}
	if first || h.Load != last.Load {
		b.Load = &h.Load
	}
	if every != w.intervalMillis {
		b.EveryMillis = &every
	}
	return b, urgent
}

func (w *beatEncoder) commit(h beechwire.Heartbeat, every int64) {
	w.sent = h
	w.intervalMillis = every
	w.started = true
}

// sameSuspects passes over the ages, which always change.
func equalSuspects(a, b []beechwire.Suspect) bool {
	return slices.EqualFunc(a, b, func(x, y beechwire.Suspect) bool {
		return x.Fingerprint == y.Fingerprint && x.Crashes == y.Crashes && x.Cleared == y.Cleared
	})
}

// merge adds a beat to the peer's heartbeat. Suspects are only those of this
// beat: told twice, their ages would begin anew.
func mergeBeat(h *beechwire.Heartbeat, b *beechwire.Beat) {
	setIfPresent(&h.Incarnation, b.Incarnation)
	setIfPresent(&h.Generation, b.Generation)
	setIfPresent(&h.Leaving, b.Leaving)
	setIfPresent(&h.Ready, b.Ready)
	setIfPresent(&h.Entries, b.Entries)
	setIfPresent(&h.Load, b.Load)
	if b.Models != nil {
		h.Models = b.Models.Names
	}
	h.Suspects = b.Suspects
}

func setIfPresent[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}
