package beechrecord

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// Callers on unreliable links may send a keyed request again at any time. Two
// concurrent runs of it would waste an engine and return two different
// answers.
func TestMemoryRunsEachKeyOnceAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		m := NewMemory(clock, MemorySettings{Entries: 4, Retention: time.Minute})
		running := map[Key]Opened{}
		bodies := map[Key]BodySum{}
		key := func(t *rapid.T) Key { return Key{Name: fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "key"))} }
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				k, body := key(t), BodySum{rapid.Byte().Draw(t, "body") % 2}
				_, runs := running[k]
				switch o := m.Open(k, body, "r").(type) {
				case Opened:
					if runs {
						t.Fatal("key was granted while its request was running")
					}
					running[k], bodies[k] = o, body
				case Joined:
					if bodies[k] != body {
						t.Fatal("joined a request with a different body")
					}
				case Mismatch:
					if bodies[k] == body {
						t.Fatal("mismatch reported for the same body")
					}
				}
			},
			"end": func(t *rapid.T) {
				k := key(t)
				f, ok := running[k]
				if !ok {
					return
				}
				delete(running, k)
				j, joined := m.Open(k, bodies[k], "again").(Joined)
				f.End(booked)
				if o, err := j.Outcome(context.Background()); !joined || err != nil || o == nil {
					t.Fatal("repeat did not get the outcome")
				}
			},
			"not run": func(t *rapid.T) {
				k := key(t)
				if f, ok := running[k]; ok {
					delete(running, k)
					f.End(NotRun{})
					first, ok := m.Open(k, BodySum{9}, "fresh").(Opened)
					if !ok {
						t.Fatal("key is not free after its request did not run")
					}
					running[k], bodies[k] = first, BodySum{9}
				}
			},
			"wait": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				if m.Len() > len(running)+5 {
					t.Fatalf("%d entries with %d running requests", m.Len(), len(running))
				}
			},
		})
	})
}
