package beechthrottle

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	server = "i-1"
	key    = 1
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// A server names a limit, another one, and none, and its responses arrive out of order. If each
// were applied as it arrives, an older one would lift a limit that is in force.
func TestReorderedAnswers(t *testing.T) {
	type step struct{ sent, received, rate, want float64 }
	for name, steps := range map[string][]step{
		"rises":                     {{0, 1, 2, 2}, {1.1, 1.5, 4, 4}},
		"falls":                     {{0, 1, 2, 2}, {0.5, 1.2, 1, 1}},
		"ends":                      {{0, 1, 2, 2}, {1.1, 1.5, unlimited, unlimited}},
		"end overtaken by a limit":  {{0, 1, 2, 2}, {0.9, 1.5, unlimited, 2}, {1.2, 1.6, unlimited, unlimited}},
		"limit overtaken by an end": {{0, 1, 2, 2}, {1.1, 1.5, unlimited, unlimited}, {0.2, 1.6, 2, 2}},
		"certainly older":           {{0, 1, 2, 2}, {1.1, 1.5, unlimited, unlimited}, {0.2, 1.05, 2, unlimited}},
		"higher of two concurrent":  {{0, 1, 2, 2}, {0, 1.1, 3, 2}},
		"limited again":             {{0, 1, 2, 2}, {1.1, 1.5, unlimited, unlimited}, {1.6, 1.8, 1, 1}},
		"zero":                      {{0, 1, 0, 0}, {1.1, 1.5, 0.25, 0.25}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := limitTable{make(map[uint64]*limitEntry)}
			for _, s := range steps {
				r.observe(key, Observation{Rate: s.rate, Sent: seconds(s.sent), Received: seconds(s.received)})
				is.Equal(r.entries[key].Rate, s.want)
			}
		})
	}
}

// A server restarts under its ID. It must have no limit until it names one, and late responses of
// its previous lifetime must not set one.
func TestRestartedServerIgnoresOldLimit(t *testing.T) {
	is := is.New(t)
	r := limitTable{make(map[uint64]*limitEntry)}
	r.observe(key, Observation{StartTime: 5, Rate: 2, Received: 1})
	r.observe(key, Observation{StartTime: 9, Rate: unlimited, Sent: 0, Received: 2})
	is.True(!r.entries[key].limited())
	r.observe(key, Observation{StartTime: 5, Rate: 2, Sent: 3, Received: 4})
	is.True(!r.entries[key].limited())
	r.observe(key, Observation{StartTime: 9, Rate: 3, Sent: 5, Received: 6})
	is.Equal(r.entries[key].Rate, 3.0)
}
