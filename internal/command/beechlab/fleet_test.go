package beechlab

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A fleet plays the same with the same seed, so that a figure can be checked again.
func TestSameSeedGivesSameReport(t *testing.T) {
	is := is.New(t)
	s := Settings{Gates: 24, Engines: 40, Zones: 4, Seed: 7, Length: 2 * time.Second, Rate: 2, Loss: 0.05}
	first, err := Run(t.Context(), s, nil)
	is.NoErr(err)
	again, err := Run(t.Context(), s, nil)
	is.NoErr(err)
	is.Equal(first, again)
}

// The fleet grows to twice its size. What a gate hears and sends may grow with zones and with what
// changes, but not with gates times engines; ages and times must stay as bounded.
func TestControlAtTwiceTheSize(t *testing.T) {
	is := is.New(t)
	run := func(gates, engines int) *Report {
		r, err := Run(t.Context(), Settings{Gates: gates, Engines: engines, Zones: 6, Seed: 3, Length: 2 * time.Second, Rate: 1}, nil)
		is.NoErr(err)
		var text bytes.Buffer
		is.NoErr(r.Print(&text))
		t.Log("\n" + text.String())
		return r
	}
	half, whole := run(90, 156), run(180, 312)
	is.True(whole.Gate.In < 1.5*half.Gate.In+20)
	for _, r := range []*Report{half, whole} {
		is.True(r.Joined <= 2*time.Second)
		is.True(r.Change.Last <= time.Second) // known to all within 1 s of the first reader
		is.True(r.Gate.BytesIn < 32000 && r.Gate.BytesOut < 32000)
		is.True(r.CopyAge.Last < 2400*time.Millisecond) // so that only readers read the store
		is.True(r.StoreReads < 2)
		is.True(r.StateNear.P99 < 120*time.Millisecond) // a keeper told each gate of its zone as often
		is.True(r.StateFar.P99 < 400*time.Millisecond)
	}
}

// A tenth of the datagrams is lost, and nobody may read the store for it or be taken for dead.
func TestLossesCostLittle(t *testing.T) {
	is := is.New(t)
	r, err := Run(t.Context(), Settings{Gates: 60, Engines: 60, Zones: 6, Seed: 5, Length: 5 * time.Second, Rate: 1, Loss: 0.1}, nil)
	is.NoErr(err)
	is.True(r.StoreReads < 3)
	is.True(r.CopyAge.P99 < 2400*time.Millisecond)
	is.True(r.Change.P99 < 2*time.Second)
}

func TestInvalidSettings(t *testing.T) {
	is := is.New(t)
	good := Settings{Gates: 4, Engines: 4, Zones: 2, Length: time.Second}
	for name, edit := range map[string]func(s *Settings){
		"field gates: out of range":  func(s *Settings) { s.Gates = 0 },
		"field zones: out of range":  func(s *Settings) { s.Zones = 5 },
		"field length: out of range": func(s *Settings) { s.Length = 0 },
		"field loss: out of range":   func(s *Settings) { s.Loss = 1 },
	} {
		s := good
		edit(&s)
		_, err := Run(t.Context(), s, nil)
		is.Equal(err.Error(), name)
	}
}
