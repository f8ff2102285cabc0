package beechconvert

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beechring/beechring/internal/decision/beechpoison"
	"github.com/beechring/beechring/internal/link/beechwire"
)

// WirePoison converts what servers crashed on to a wire message.
func WirePoison(u beechpoison.Update, pass bool) *beechwire.Poison {
	w := &beechwire.Poison{Pass: pass, Starts: wireEvents(u.Starts), Trials: wireEvents(u.Trials)}
	for _, c := range u.Crashes {
		crash := beechwire.ServerCrash{Server: c.Server, AgeMillis: c.Age.Milliseconds()}
		for _, s := range c.Suspects {
			crash.Suspects = append(crash.Suspects, beechwire.CrashSuspect{Key: s.Key, Rank: s.Rank, Workspace: s.Workspace})
		}
		w.Crashes = append(w.Crashes, crash)
	}
	return w
}

// Poison converts a wire message to what servers crashed on.
func Poison(w *beechwire.Poison) beechpoison.Update {
	u := beechpoison.Update{Starts: traitEvents(w.Starts), Trials: traitEvents(w.Trials)}
	for _, c := range w.Crashes {
		crash := beechpoison.Crash{Server: c.Server, Age: milliseconds(c.AgeMillis)}
		for _, s := range c.Suspects {
			crash.Suspects = append(crash.Suspects, beechpoison.Suspect{Trait: beechpoison.Trait{Key: s.Key, Rank: s.Rank}, Workspace: s.Workspace})
		}
		u.Crashes = append(u.Crashes, crash)
	}
	return u
}

// PoisonRequest returns what a request may have in common with others: the prefixes of its prompt but
// the whole one, and the request itself.
func PoisonRequest(r *beechwire.Request) beechpoison.Request {
	request := beechpoison.Request{Workspace: uint32(xxhash.Sum64String(r.Workspace))}
	for i := range max(len(r.Levels)-1, 0) {
		request.Traits = append(request.Traits, beechpoison.Trait{Key: xxhash.Sum64(r.Levels[i].Key), Rank: i})
	}
	if r.Fingerprint != 0 {
		request.Traits = append(request.Traits, beechpoison.Trait{Key: r.Fingerprint, Rank: len(r.Levels)})
	}
	return request
}

func wireEvents(events []beechpoison.Event) []beechwire.TraitEvent {
	out := make([]beechwire.TraitEvent, 0, len(events))
	for _, e := range events {
		out = append(out, beechwire.TraitEvent{Key: e.Key, AgeMillis: e.Age.Milliseconds()})
	}
	return out
}

func traitEvents(events []beechwire.TraitEvent) []beechpoison.Event {
	out := make([]beechpoison.Event, 0, len(events))
	for _, e := range events {
		out = append(out, beechpoison.Event{Key: e.Key, Age: milliseconds(e.AgeMillis)})
	}
	return out
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
