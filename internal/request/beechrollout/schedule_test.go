package beechrollout

import (
	"fmt"
	"slices"
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

// drawFleet returns a fleet in an arbitrary state.
func drawFleet(t *rapid.T) []Engine {
	engines := fleet(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 100).Draw(t, "each"))
	for i := range engines {
		e := &engines[i]
		e.Version = rapid.Uint64Range(1, 4).Draw(t, "version")
		e.Phase = Phase(rapid.IntRange(int(Serving), int(Down)).Draw(t, "phase"))
		e.KeeperTimedOut = rapid.IntRange(0, 9).Draw(t, "silent") == 0
	}
	return engines
}

// In any state, no more engines than allowed update at once; an engine is selected only if
// it has older weights and can load new ones; and no engine waits behind one with newer
// weights.
func TestNextUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := drawFleet(t)
		newest, limit := uint64(4), rapid.IntRange(1, 40).Draw(t, "most")
		byID := map[string]Engine{}
		updating := 0
		for _, e := range engines {
			byID[e.ID] = e
			if !e.KeeperTimedOut && (e.Phase == Leaving || e.Phase == Loading) {
				updating++
			}
		}
		var newestSelected uint64
		selected := map[string]bool{}
		for _, id := range NextUpdates(engines, newest, limit, nil) {
			e := byID[id]
			if e.KeeperTimedOut || e.Phase != Serving || e.Version >= newest || selected[id] {
				t.Fatalf("%+v is selected", e)
			}
			selected[id] = true
			newestSelected = max(newestSelected, e.Version)
		}
		if len(selected) > max(limit-updating, 0) {
			t.Fatalf("%d selected with %d of %d updating", len(selected), updating, limit)
		}
		waiting := 0
		for _, e := range engines {
			if !selected[e.ID] && !e.KeeperTimedOut && e.Phase == Serving && e.Version < newest {
				waiting++
				if e.Version < newestSelected {
					t.Fatalf("%+v waits behind version %d", e, newestSelected)
				}
			}
		}
		if waiting > 0 && len(selected) < limit-updating {
			t.Fatalf("%d wait while only %d are selected", waiting, len(selected))
		}
	})
}

// Guards against more engines out of service than allowed, with versions of several models announced in any order.
func TestRolloutsOfAllModelsShareOneLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := drawFleet(t)
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		var rollouts []Rollout
		for _, model := range []string{"a", "b", "c"} {
			r := Rollout{Model: model, Newest: 4, Engines: slices.Clone(engines), Limit: limit}
			for i := range r.Engines {
				r.Engines[i].Version = rapid.Uint64Range(1, 4).Draw(t, "version")
			}
			rollouts = append(rollouts, r)
		}
		updating := 0
		for _, e := range engines {
			if !e.KeeperTimedOut && (e.Phase == Leaving || e.Phase == Loading) {
				updating++
			}
		}
		selected := map[string]bool{}
		for _, ids := range Schedule(rollouts) {
			for _, id := range ids {
				selected[id] = true
			}
		}
		if len(selected) > max(limit-updating, 0) {
			t.Fatalf("%d selected with %d of %d updating", len(selected), updating, limit)
		}
		if got, want := Schedule(rollouts)["a"], NextUpdates(rollouts[0].Engines, 4, limit, nil); !slices.Equal(got, want) {
			t.Fatalf("the first model updates %v instead of %v", got, want)
		}
	})
}

// Gates list the engines in different orders but must select the same ones.
func TestNextUpdatesDoNotDependOnListOrder(t *testing.T) {
	is := is.New(t)
	engines := fleet(3, 5)
	rotated := append([]Engine(nil), engines[7:]...)
	rotated = append(rotated, engines[:7]...)
	is.Equal(NextUpdates(engines, 2, 4, nil), NextUpdates(rotated, 2, 4, nil))
	is.Equal(FallbackDelays(engines, time.Second), FallbackDelays(rotated, time.Second))
}

func TestNextUpdatesAlternateZones(t *testing.T) {
	is := is.New(t)
	zones := map[byte]int{}
	for _, id := range NextUpdates(fleet(3, 5), 2, 3, nil) {
		zones[id[1]]++
	}
	is.Equal(len(zones), 3)
}

// A fleet that has lost all its gates must neither load all at once nor finish after its
// weights expire.
func TestFallbackDelaysAreSpread(t *testing.T) {
	is := is.New(t)
	seen := map[time.Duration]bool{}
	for _, d := range FallbackDelays(fleet(3, 6), 8*time.Second) {
		is.True(d >= 4*time.Second && d < 6*time.Second)
		seen[d] = true
	}
	is.Equal(len(seen), 18)
}
