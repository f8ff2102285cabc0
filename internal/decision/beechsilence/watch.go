package beechsilence

import "time"

type (
	// Settings of a Watch.
	Settings struct {
		Limit    time.Duration // for the answer to one question
		Patience time.Duration // a server that was silent for so long is gone
	}

	// State of a server.
	State int

	// Watch follows one server. It is not safe for concurrent use.
	Watch struct {
		settings Settings
		state    State
		silence  time.Duration // since the last answer
		markedAt time.Time     // until when silence is counted; zero after an answer
	}
)

// States of a server. One that has never answered is gone.
const (
	Gone State = iota
	Silent
	Alive
)

const (
	// minLimit is the shortest time for an answer near the end of the patience.
	minLimit = 100 * time.Millisecond
	// maxExcess is how much longer than its limit a question may take, with the pause before it.
	// What is beyond it is a stop of this process.
	maxExcess = 400 * time.Millisecond
)

// String returns the name of the state in logs.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Silent:
		return "silent"
	}
	return "gone"
}

// New returns a Watch of a server that has not answered yet.
func New(s Settings) *Watch { return &Watch{settings: s} }

// State returns what the server is believed to be.
func (w *Watch) State() State { return w.state }

// Silence returns for how long the server has not answered.
func (w *Watch) Silence() time.Duration { return w.silence }

// Exhausted reports whether the server has not answered for longer than the patience.
func (w *Watch) Exhausted() bool { return w.silence >= w.settings.Patience }

// Limit returns how long the next question may wait for its answer.
func (w *Watch) Limit() time.Duration {
	if w.state != Silent {
		return w.settings.Limit
	}
	return min(w.settings.Limit, max(w.settings.Patience-w.silence, minLimit))
}

// Answered records an answer.
func (w *Watch) Answered() {
	w.state, w.silence, w.markedAt = Alive, 0, time.Time{}
}

// Missed records that a question got no answer until now. If timedOut is false, it failed in another
// way.
func (w *Watch) Missed(asked, now time.Time, timedOut bool) {
	since := w.markedAt
	if since.IsZero() {
		since = asked
	}
	w.silence += min(max(now.Sub(since), 0), w.settings.Limit+maxExcess)
	w.markedAt = now
	switch {
	case w.state == Gone:
	case !timedOut || w.Exhausted():
		w.state = Gone
	default:
		w.state = Silent
	}
}
