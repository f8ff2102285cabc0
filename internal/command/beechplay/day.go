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
	// Day is what is played.
	Day struct {
		Seed     uint64                 `json:"seed"`
		Length   beechsettings.Duration `json:"length"`
		Gates    int                    `json:"gates"`
		Engines  int                    `json:"engines"`
		Services int                    `json:"services"` // servers of the plain service
		Rate     float64                `json:"rate"`     // requests a second
		Subjects int                    `json:"subjects"` // histories that requests are about
		Shared   int                    `json:"shared"`   // tokens of a history
		Own      int                    `json:"own"`      // tokens of a question
		Output   int                    `json:"output"`   // events of an answer
		Token    beechsettings.Duration `json:"token"`    // between events
		Reading  float64                `json:"reading"`  // tokens that an engine reads in a millisecond
		Faults   []Fault                `json:"faults"`
	}

	// Fault is a trouble at a time, for a time.
	Fault struct {
		At   beechsettings.Duration `json:"at"`
		For  beechsettings.Duration `json:"for,omitempty"`
		Kind string                 `json:"kind"`
		On   string                 `json:"on,omitempty"`   // a server's name, as e1 or s1
		Rate float64                `json:"rate,omitempty"` // of a limit
	}
)

// Kinds lists the kinds of faults, each with what it does.
var FaultKinds = map[string]string{
	"weights":      "new weights are named",
	"configure":    "the configuration changes",
	"store down":   "the store answers 503",
	"store silent": "the store answers nothing",
	"compact":      "the store drops its history",
	"refuse":       "a server turns all requests away",
	"hang":         "a server runs requests and never answers",
	"reset":        "a server runs requests and resets the connection",
	"cut":          "a server's streams break off after two events",
	"fail":         "a server answers 500",
	"limit":        "a server names a limit of so many requests a second, rate, over all gates",
	"stop":         "a gate is stopped; another one starts in its place",
}

var errDay = errors.New("day")

// Default is a calm day of some seconds with one change of weights.
var Default = Day{
	Seed: 1, Length: beechsettings.Duration(6 * time.Second), Gates: 2, Engines: 4, Services: 2, Rate: 60, Subjects: 30, Shared: 4000, Own: 600,
	Output: 8, Token: beechsettings.Duration(5 * time.Millisecond), Reading: 60,
	Faults: []Fault{{At: beechsettings.Duration(2 * time.Second), Kind: "weights"}},
}

// ParseDay reads a day; what it leaves out is as in Default.
func ParseDay(data []byte) (Day, error) {
	day := Default
	day.Faults = nil
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&day); err != nil {
		return Day{}, fmt.Errorf("%w: %w", errDay, err)
	}
	for _, check := range []struct {
		name string
		good bool
	}{
		{"length", day.Length > 0},
		{"gates", day.Gates > 0},
		{"engines", day.Engines > 0},
		{"services", day.Services > 0},
		{"rate", day.Rate > 0},
		{"subjects", day.Subjects > 0},
		{"output", day.Output > 0},
	} {
		if !check.good {
			return Day{}, fmt.Errorf("%w: field %s must be above zero", errDay, check.name)
		}
	}
	for i, f := range day.Faults {
		if _, ok := FaultKinds[f.Kind]; !ok {
			return Day{}, fmt.Errorf("%w: field faults.%d.kind: %q is no kind of fault", errDay, i, f.Kind)
		}
		if f.Rate < 0 {
			return Day{}, fmt.Errorf("%w: field faults.%d.rate must not be below zero", errDay, i)
		}
	}
	slices.SortStableFunc(day.Faults, func(x, y Fault) int { return int(x.At - y.At) })
	return day, nil
}
