package beechlink

import (
	"slices"

	"github.com/beechring/beechring/internal/link/beechwire"
)

type (
	// beatEncoder encodes heartbeats as Beats. Each Beat carries only what
	// changed since the previous one on its connection.
	beatEncoder struct {
		sent           beechwire.Heartbeat
		intervalMillis int64
		started        bool
	}
)

// delta returns a Beat with the differences between the last heartbeat sent and
// h. Urgent reports whether it has changes that routing must learn within a
// heartbeat: all but the load and the number of entries.
func (e *beatEncoder) delta(h beechwire.Heartbeat, intervalMillis int64) (b beechwire.Beat, urgent bool) {
	first := !e.started
	last := e.sent
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
	if !samePoison(h.Poison, last.Poison) {
		b.Poison = &h.Poison
		urgent = true
	}
	if first || h.Entries != last.Entries {
		b.Entries = &h.Entries
	}
	if first || h.Load != last.Load {
		b.Load = &h.Load
	}
	if intervalMillis != e.intervalMillis {
		b.EveryMillis = &intervalMillis
	}
	return b, urgent
}

// commit records h and the interval as sent.
func (e *beatEncoder) commit(h beechwire.Heartbeat, intervalMillis int64) {
	e.sent = h
	e.intervalMillis = intervalMillis
	e.started = true
}

// equalSuspects ignores the ages, which always change.
func equalSuspects(a, b []beechwire.Suspect) bool {
	return slices.EqualFunc(a, b, func(x, y beechwire.Suspect) bool {
		return x.Fingerprint == y.Fingerprint && x.Crashes == y.Crashes && x.Cleared == y.Cleared
	})
}

// samePoison reports whether nothing has happened since the last one. Ages always grow.
func samePoison(a, last beechwire.Poison) bool {
	sameEvent := func(x, y beechwire.TraitEvent) bool { return x.Key == y.Key && x.AgeMillis >= y.AgeMillis }
	return slices.EqualFunc(a.Starts, last.Starts, sameEvent) && slices.EqualFunc(a.Trials, last.Trials, sameEvent) &&
		slices.EqualFunc(a.Crashes, last.Crashes, func(x, y beechwire.ServerCrash) bool {
			return x.Server == y.Server && x.AgeMillis >= y.AgeMillis && slices.Equal(x.Suspects, y.Suspects)
		})
}

// mergeBeat applies a Beat to the peer's heartbeat. Suspects and Poison are only those of
// this Beat: if they were reported twice, their ages would start again.
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
	h.Suspects, h.Poison = b.Suspects, beechwire.Poison{}
	setIfPresent(&h.Poison, b.Poison)
}

func setIfPresent[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}
