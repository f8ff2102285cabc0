package beechplay

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/process/beechsettings"
)

// Servers refuse, hang, reset and cut, the store falls silent, weights and
// configuration change and a gate is replaced, all within some seconds. Callers
// may be refused, but no promise is broken.
func TestDayWithFaults(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../../docs/examples/day.json")
	is.NoErr(err)
	day, err := ParseDay(data)
	is.NoErr(err)
	report, err := Play(t.Context(), day, beechtrace.Logger(t))
	is.NoErr(err)
	is.Equal(report.Promises, nil)
	is.True(report.Asked > 300)
	is.True(report.Served > report.Asked*9/10)
}

func TestDayWithoutFaults(t *testing.T) {
	is := is.New(t)
	day := Default
	day.Length = beechsettings.Duration(3 * time.Second)
	report, err := Play(t.Context(), day, beechtrace.Logger(t))
	is.NoErr(err)
	is.Equal(report.Promises, nil)
	is.Equal(report.Failed, 0)
	is.True(report.Served > report.Asked*98/100)
	is.True(report.Read < report.Prompts/2) // more than half of the prompts' tokens were found in caches
}

// A gate has two doors. Chosen one after the other their ports are the same one in a
// few of a hundred thousand cases (27 of 200,000 were); the gate then ends when it
// opens the second, and the day is over before it began: `not ready within 10s`.
func TestGatePortsDiffer(t *testing.T) {
	address := loopback()
	for range 20000 {
		front, ready, err := freePorts(address)
		if err != nil {
			t.Fatal(err)
		}
		if front == ready {
			t.Fatalf("both doors at %s", front)
		}
	}
}

func TestInvalidDays(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]string{
		`{`:                                    "unexpected EOF",
		`{"gates": 0}`:                         "field gates",
		`{"length": "soon"}`:                   "duration",
		`{"weather": 1}`:                       "unknown field",
		`{"faults": [{"at":"1s","kind":"x"}]}`: "field faults.0.kind",
	} {
		_, err := ParseDay([]byte(text))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), want))
	}
}

// Two servers name limits while callers ask, one of them with a keeper. Nobody is refused,
// and neither server is sent more than it takes.
func TestDayWithLimits(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../../docs/examples/limit.json")
	is.NoErr(err)
	day, err := ParseDay(data)
	is.NoErr(err)
	report, err := Play(t.Context(), day, beechtrace.Logger(t))
	is.NoErr(err)
	is.Equal(report.Promises, nil)
	is.True(report.Served > report.Asked*98/100)
}
