package beechmanifest

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Generations reach a process in any order, from the key-value service and from peers, and
// some of them are damaged. A process that returned to an older generation would apply
// outdated limits.
func TestHolderGenerationNeverDecreases(t *testing.T) {
	good := [][]byte{}
	for i := range 4 {
		data, err := Encode(canonical(variant(i)))
		if err != nil {
			t.Fatal(err)
		}
		good = append(good, data)
	}
	rapid.Check(t, func(t *rapid.T) {
		h := NewHolder()
		var generation uint64
		var inForce []byte
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				g := rapid.Uint64Range(1, 12).Draw(t, "generation")
				data := rapid.SampledFrom(good).Draw(t, "data")
				changed := h.Changed()
				accepted, err := h.Offer(g, data)
				if accepted != (g > generation) {
					t.Fatalf("offer of %d over %d: accepted %v, %v", g, generation, accepted, err)
				}
				if (err != nil) != (g == generation && string(data) != string(inForce)) {
					t.Fatalf("offer of %d over %d: %v", g, generation, err)
				}
				if accepted {
					generation, inForce = g, data
					<-changed
				}
			},
			"damaged": func(t *rapid.T) {
				data := rapid.SampledFrom(good).Draw(t, "data")
				cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
				if accepted, err := h.Offer(generation+1, data[:cut]); accepted || err == nil {
					t.Fatal("a truncated manifest was accepted")
				}
			},
			"": func(t *rapid.T) {
				g, data := h.Encoded()
				if g != generation || string(data) != string(inForce) || h.Generation() != generation {
					t.Fatalf("generation %d is active, want %d", g, generation)
				}
			},
		})
	})
}

func TestNewHolderIsEmpty(t *testing.T) {
	is := is.New(t)
	h := NewHolder()
	is.True(h.Current() == nil)
	is.Equal(h.Generation(), uint64(0))
}

func BenchmarkOffer(b *testing.B) {
	data, err := Encode(canonical(manifestOfSize(9300)))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "manifest-B")
	h := NewHolder()
	for i := range b.N {
		if ok, err := h.Offer(uint64(i+1), data); !ok {
			b.Fatal(err)
		}
	}
}

func BenchmarkWorkspaceOf(b *testing.B) {
	c := Compile(manifestOfSize(9300), 1)
	for b.Loop() {
		c.WorkspaceByKey("nobody's key")
	}
}
