package beechpoison

import (
	"cmp"
	"slices"
	"time"
)

// seen is where and when this process learned of something, and how often it has been sent since.
type seen struct {
	origin    Origin
	at        time.Time
	near, far int
}

const (
	// maxSends is how often something new is sent: each datagram may be lost.
	maxSends = 4
	// maxSent bounds the suspects and events in one update, at some 16 bytes each, since many servers
	// may crash at once before small hosts.
	maxSent = 48
	// recentTime is how long what is new is included in Recent.
	recentTime = 3 * time.Second
)

// Next returns what is to be sent to an audience now.
func (t *Tracker) Next(to Audience) Update {
	if t.idle.Load() {
		return Update{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateTime()
	var u Update
	room := maxSent
	for _, c := range slices.Backward(t.crashes) {
		if room <= 0 {
			break
		}
		if c.due(to) {
			u.Crashes = append(u.Crashes, t.wireCrash(c))
			room -= len(c.suspects) + 1
		}
	}
	u.Trials = t.nextEvents(t.trials, to, &room)
	u.Starts = t.nextEvents(t.starts, to, &room)
	return u
}

// Active returns the crashes that blame rests on, and the trials, for processes that start or
// have been cut off.
func (t *Tracker) Active() Update {
	if t.idle.Load() {
		return Update{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateTime()
	var u Update
	room := maxSent
	for key, b := range t.blamed {
		if trial := t.trials[key]; trial != nil {
			u.Trials = append(u.Trials, Event{Key: key, Age: t.now.Sub(trial.at)})
		}
		for _, c := range slices.Backward(b.crashes) {
			if room <= 0 {
				break
			}
			if !slices.ContainsFunc(u.Crashes, func(sent Crash) bool { return sent.Server == c.server && sent.Age == t.now.Sub(c.at) }) {
				sent := t.wireCrash(c)
				sent.Suspects = slices.DeleteFunc(sent.Suspects, func(s Suspect) bool { return t.blamed[s.Key] == nil })
				u.Crashes = append(u.Crashes, sent)
				room -= len(sent.Suspects) + 1
			}
		}
	}
	return u
}

// Recent returns what is new and what blame rests on, for messages that are sent at intervals.
func (t *Tracker) Recent() Update {
	u := t.Active()
	if t.idle.Load() {
		return u
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateTime()
	room := maxSent
	for _, c := range slices.Backward(t.crashes) {
		if room > 0 && t.now.Sub(c.seen.at) < recentTime {
			u.Crashes = append(u.Crashes, t.wireCrash(c))
			room -= len(c.suspects) + 1
		}
	}
	u.Starts = t.recentEvents(t.starts, &room)
	u.Trials = append(u.Trials, t.recentEvents(t.trials, &room)...)
	return u
}

func (t *Tracker) recentEvents(events map[uint64]*event, room *int) []Event {
	var out []Event
	for key, e := range events {
		if *room > 0 && t.now.Sub(e.seen.at) < recentTime {
			out = append(out, Event{Key: key, Age: t.now.Sub(e.at)})
			*room--
		}
	}
	slices.SortFunc(out, func(x, y Event) int { return cmp.Compare(x.Key, y.Key) })
	return out
}

func (t *Tracker) wireCrash(c *crash) Crash {
	return Crash{Server: c.server, Age: t.now.Sub(c.at), Suspects: slices.Clone(c.suspects)}
}

func (t *Tracker) nextEvents(events map[uint64]*event, to Audience, room *int) []Event {
	var out []Event
	for key, e := range events {
		if *room <= 0 {
			break
		}
		if e.due(to) {
			out = append(out, Event{Key: key, Age: max(t.now.Sub(e.at), time.Duration(0))})
			*room--
		}
	}
	return out
}

// due reports whether something is to be sent to an audience, and counts that it is.
func (s *seen) due(to Audience) bool {
	sends := &s.near
	switch {
	case to == Far && s.origin == Elsewhere:
		s.far = maxSends
		return false
	case to == Far:
		sends = &s.far
	case to == Collector && s.origin != Own:
		s.near = maxSends
		return false
	}
	if *sends >= maxSends {
		return false
	}
	*sends++
	return true
}

// Busy reports whether Next or Active may return something without a further change.
func (t *Tracker) Busy() bool {
	if t.idle.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.blamed) > 0 || slices.ContainsFunc(t.crashes, func(c *crash) bool { return c.near < maxSends }) {
		return true
	}
	return anyUnsent(t.starts) || anyUnsent(t.trials)
}

func anyUnsent(events map[uint64]*event) bool {
	for _, e := range events {
		if e.near < maxSends {
			return true
		}
	}
	return false
}
