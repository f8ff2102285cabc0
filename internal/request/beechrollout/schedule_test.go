package beechrollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func fleet(zones, each int) []Engine {
	var engines []Engine
	for z := range zones {
		for i := range each {
			engines = append(engines, Engine{ID: fmt.Sprintf("e%d-%d", z, i), Zone: fmt.Sprintf("z%d", z), Version: 1})
		}
	}
	return engines
}

// drawn gives a fleet in any state.
func drawn(t *rapid.T) []Engine {
	engines := fleet(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 100).Draw(t, "each"))
	for i := range engines {
		e := &engines[i]
		e.Version = rapid.Uint64Range(1, 4).Draw(t, "version")
		e.Phase = Phase(rapid.IntRange(int(Serving), int(Down)).Draw(t, "phase"))
		e.KeeperTimedOut = rapid.IntRange(0, 9).Draw(t, "silent") == 0
	}
	return engines
}

// Whatever engines say, no more than may load at once are at it, none has a turn
// that has the newest weights or cannot take it, and none waits behind one with
// newer weights.
func TestTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := drawn(t)
		newest, most := uint64(4), rapid.IntRange(1, 40).Draw(t, "most")
		byID := map[string]Engine{}
		atIt := 0
		for _, e := range engines {
			byID[e.ID] = e
			if !e.KeeperTimedOut && (e.Phase == Leaving || e.Phase == Loading) {
				atIt++
			}
		}
		var youngest uint64
		has := map[string]bool{}
		for _, id := range NextUpdates(engines, newest, most) {
			e := byID[id]
			if e.KeeperTimedOut || e.Phase != Serving || e.Version >= newest || has[id] {
				t.Fatalf("%+v has a turn", e)
			}
			has[id] = true
			youngest = max(youngest, e.Version)
		}
		if len(has) > max(most-atIt, 0) {
			t.Fatalf("%d turns where %d of %d are at it", len(has), atIt, most)
		}
		waits := 0
		for _, e := range engines {
			if !has[e.ID] && !e.KeeperTimedOut && e.Phase == Serving && e.Version < newest {
				waits++
				if e.Version < youngest {
					t.Fatalf("%+v waits behind version %d", e, youngest)
				}
			}
		}
		if waits > 0 && len(has) < most-atIt {
			t.Fatalf("%d wait while only %d turns are given", waits, len(has))
		}
	})
}

// Gates have their lists in different orders, and must grant the same turns.
func TestTurnsAreTheSameInAllGates(t *testing.T) {
	is := is.New(t)
	engines := fleet(3, 5)
	turned := append([]Engine(nil), engines[7:]...)
	turned = append(turned, engines[:7]...)
	is.Equal(NextUpdates(engines, 2, 4), NextUpdates(turned, 2, 4))
	is.Equal(FallbackDelays(engines, time.Second), FallbackDelays(turned, time.Second))
}

func TestZonesTakeTurns(t *testing.T) {
	is := is.New(t)
	zones := map[byte]int{}
	for _, id := range NextUpdates(fleet(3, 5), 2, 3) {
		zones[id[1]]++
	}
	is.Equal(len(zones), 3)
}

// A fleet that has lost all its gates must not load all at once, nor after the
// bound.
func TestAloneIsSpread(t *testing.T) {
	is := is.New(t)
	seen := map[time.Duration]bool{}
	for _, d := range FallbackDelays(fleet(3, 6), 8*time.Second) {
		is.True(d >= 4*time.Second && d < 6*time.Second)
		seen[d] = true
	}
	is.Equal(len(seen), 18)
}
