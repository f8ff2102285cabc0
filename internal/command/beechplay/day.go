package beechplay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/beechring/beechring/internal/process/beechsettings"
)

type (
	// Day is a load scenario: the processes to start, the requests to send and
	// the faults to inject.
	Day struct {
		Seed     uint64                 `json:"seed"`
		Length   beechsettings.Duration `json:"length"`
		Gates    int                    `json:"gates"`
		Engines  int                    `json:"engines"`
		Services int                    `json:"services"` // number of servers of the plain service
		Rate     float64                `json:"rate"`     // requests per second
		Subjects int                    `json:"subjects"` // number of distinct shared prompt prefixes
		Shared   int                    `json:"shared"`   // prompt tokens in a shared prefix
		Own      int                    `json:"own"`      // prompt tokens unique to a request
		Output   int                    `json:"output"`   // events in an answer
		Token    beechsettings.Duration `json:"token"`    // time between events
		Reading  float64                `json:"reading"`  // prompt tokens that an engine prefills per millisecond
		Faults   []Fault                `json:"faults"`
	}

	// Fault is a fault that starts at a time and may end after a duration.
	Fault struct {
		At   beechsettings.Duration `json:"at"`
		For  beechsettings.Duration `json:"for,omitempty"`
		Kind string                 `json:"kind"`
		On   string                 `json:"on,omitempty"`   // name of a server such as e1 or s1; all servers if empty
		Rate float64                `json:"rate,omitempty"` // requests per second of a limit
	}
)

// FaultKinds describes the kinds of faults.
var FaultKinds = map[string]string{
	"weights":      "a new version of the weights is published",
	"models":       "new versions of two models that all engines serve are published together",
	"configure":    "the configuration changes",
	"store down":   "the store answers 503",
	"store silent": "the store does not answer",
	"compact":      "the store drops its history",
	"refuse":       "a server rejects all requests",
	"hang":         "a server runs requests and never answers",
	"reset":        "a server runs requests and resets the connection",
	"cut":          "a server closes its streams after two events",
	"fail":         "a server answers 500",
	"limit":        "a server announces a limit of rate requests per second over all gates",
	"stop":         "a gate is stopped and replaced by a new one",
	"poison":       "a server crashes when it begins to answer a prompt of the first subject",
	"endless":      "a server sends bytes without end instead of answers: one of four of its requests, in all forms by turns",
	"twice":        "a server sends a copy of an earlier answer of the same connection before one of three answers",
	"unframed":     "a server's answers have neither a length nor chunks",
	"one gate":     "nine of ten requests go to one gate",
}

var errDay = errors.New("day")

// Default is a day of a few seconds without faults but with one change of
// weights.
var Default = Day{
	Seed: 1, Length: beechsettings.Duration(6 * time.Second), Gates: 2, Engines: 4, Services: 2, Rate: 60, Subjects: 30, Shared: 4000, Own: 600,
	Output: 8, Token: beechsettings.Duration(5 * time.Millisecond), Reading: 60,
	Faults: []Fault{{At: beechsettings.Duration(2 * time.Second), Kind: "weights"}},
}

// ParseDay parses a day from JSON. Omitted fields are as in Default, except that
// there are no faults.
func ParseDay(data []byte) (Day, error) {
	day := Default
	day.Faults = nil
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&day); err != nil {
		return Day{}, fmt.Errorf("%w: %w", errDay, err)
	}
	for _, check := range []struct {
		name  string
		valid bool
	}{
		{"length", day.Length > 0},
		{"gates", day.Gates > 0},
		{"engines", day.Engines > 0},
		{"services", day.Services > 0},
		{"rate", day.Rate > 0},
		{"subjects", day.Subjects > 0},
		{"output", day.Output > 0},
	} {
		if !check.valid {
			return Day{}, fmt.Errorf("%w: field %s must be above zero", errDay, check.name)
		}
	}
	for i, f := range day.Faults {
		if _, ok := FaultKinds[f.Kind]; !ok {
			return Day{}, fmt.Errorf("%w: field faults.%d.kind: unknown kind of fault %q", errDay, i, f.Kind)
		}
		if f.Rate < 0 {
			return Day{}, fmt.Errorf("%w: field faults.%d.rate must not be below zero", errDay, i)
		}
	}
	slices.SortStableFunc(day.Faults, func(x, y Fault) int { return int(x.At - y.At) })
	return day, nil
}
