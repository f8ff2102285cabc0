package beechmanifest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const examples = "../../../docs/examples/"

func example(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(examples + name + ".json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestExamplesParse(t *testing.T) {
	is := is.New(t)
	granite, err := Parse(example(t, "granite-loop"))
	is.NoErr(err)
	solis, err := Parse(example(t, "solis-monterroso"))
	is.NoErr(err)
	is.Equal(len(granite.Workspaces), 8)
	is.Equal(len(solis.Workspaces), 8)
	is.Equal(granite.Targets.MaxLoads, 3)
	is.Equal(solis.Targets.MaxLoads, 2)
	is.Equal(time.Duration(granite.Targets.FirstToken), 1300*time.Millisecond)
	is.True(granite.Targets.WasteWeight > solis.Targets.WasteWeight)

	once := Compile(granite, 1)
	is.True(once.NonIdempotent("billing", "POST", "/charges/7"))
	is.True(once.NonIdempotent("shipment", "POST", "/parcels"))
	is.True(Compile(solis, 1).NonIdempotent("booking", "POST", "/bookings"))
	is.True(!once.NonIdempotent("catalogue", "POST", "/anything"))
}

// An operator's pipeline generates an invalid field. The error must name the field and
// what is allowed, so that operators can correct it without reading the schema.
func TestParseNamesFieldValueAndAllowed(t *testing.T) {
	cases := []struct {
		name, old, with string
		want            []string
	}{
		{"unknown field", `"share": 0.95`, `"share": 0.95, "shares": 1`, []string{"targets/shares: is not a known field", "firstToken, maxLoads, share, wasteWeight"}},
		{"missing field", `"maxLoads": 3`, `"maxLoads": 3, "x": 0`, []string{"targets/x"}},
		{"wrong type", `"maxLoads": 3`, `"maxLoads": "3"`, []string{"targets/maxLoads", `"3"`, "whole number from 1 to 1000"}},
		{"out of range", `"share": 0.95`, `"share": 95`, []string{"targets/share", "95", "below 1"}},
		{"not whole", `"maxLoads": 3`, `"maxLoads": 3.0`, []string{"targets.maxLoads", "3.0", "int"}},
		{"exponent", `"share": 0.95`, `"share": 1e6000000`, []string{"targets/share", "1e6000000", "without an exponent"}},
		{"bad duration", `"1.3s"`, `"soon"`, []string{"targets/firstToken", `"soon"`, "duration above 0"}},
		{"zero duration", `"1.3s"`, `"0s"`, []string{"targets/firstToken", "0s", "duration above 0"}},
		{"endless duration", `"1.3s"`, `"99999999999999h"`, []string{"99999999999999h"}},
		{"unknown priority", `"priority": "desk"`, `"priority": "gold"`, []string{"workspaces/1/priority", `"gold"`, "one of interactive, desk, batch"}},
		{"unknown model", `"note-writer",` + "\n      \"weights\"", `"pen",` + "\n      \"weights\"", []string{"workspaces/1/models/0", `"note-writer"`, "one of fit-advisor, pen"}},
		{"bad kind", `"kind": "engine"`, `"kind": "motor"`, []string{"pools/0/kind", `"motor"`, "engine or service"}},
		{"engine with service", `"kind": "engine"`, `"kind": "service"`, []string{"pools/0/models", "no models where kind is service", "pools/0/service"}},
		{"same name", `"name": "note-writer",` + "\n      \"keys\"", `"name": "fit-advisor",` + "\n      \"keys\"", []string{"workspaces/1/name", "workspaces/0 already", "each name once"}},
		{"path without slash", `"/charges"`, `"charges"`, []string{"services/0/once/0/path", `"charges"`, "begins with /"}},
		{"null", `"share": 0.95`, `"share": null`, []string{"targets/share", "null"}},
	}
	good := string(example(t, "granite-loop"))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(good, c.old))
			_, err := Parse([]byte(strings.Replace(good, c.old, c.with, 1)))
			var invalid Invalid
			is.True(errors.As(err, &invalid))
			for _, p := range invalid.Problems {
				is.True(p.Field != "" && p.Wrong != "" && p.Allowed != "")
			}
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%q is not in: %v", w, err)
				}
			}
		})
	}
}

func TestParseRefusesInvalidInput(t *testing.T) {
	good := example(t, "granite-loop")
	cases := map[string][]byte{
		"empty":         nil,
		"truncated":     good[:len(good)/2],
		"trailing":      append(bytes.Clone(good), "{}"...),
		"other JSON":    []byte(`[1]`),
		"null":          []byte(`null`),
		"invalid UTF-8": bytes.Replace(good, []byte("board"), []byte("b\xffard"), 1),
		"too large":     bytes.Repeat([]byte(" "), MaxBytes+1),
		"deep":          bytes.Repeat([]byte("["), 1<<20),
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, err := Parse(data)
			var invalid Invalid
			is.True(errors.As(err, &invalid))
			is.True(m == nil)
		})
	}
}

// An operator enters a bearer key instead of its SHA-256 sum. The error goes to logs and
// to the output of the pipeline, so it must not contain the key.
func TestParseHidesMisplacedKey(t *testing.T) {
	is := is.New(t)
	good := string(example(t, "granite-loop"))
	sum := sha256.Sum256([]byte("board-example-key"))
	for _, wrong := range []string{"sk-secret-1234", "12345678901"} {
		_, err := Parse([]byte(strings.Replace(good, hex.EncodeToString(sum[:]), wrong, 1)))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "workspaces/7/keys/0"))
		is.True(!strings.Contains(err.Error(), wrong))
	}
}

func TestConfigurationFindsWorkspaceByKey(t *testing.T) {
	is := is.New(t)
	m, err := Parse(example(t, "granite-loop"))
	is.NoErr(err)
	c := Compile(m, 7)
	for _, w := range m.Workspaces {
		got, ok := c.WorkspaceByKey(w.Name + "-example-key")
		is.True(ok)
		is.Equal(got.Name, w.Name)
	}
	for _, wrong := range []string{"", "board-example-key ", m.Workspaces[0].Keys[0]} {
		_, ok := c.WorkspaceByKey(wrong)
		is.True(!ok)
	}
	is.Equal(c.PriorityRank("batch"), 2)
	is.Equal(c.PriorityRank("nobody's"), 3)
}

// A caller sends a variant of a path that the backend server normalizes to the path of a
// charge. If the call were not recognized as non-idempotent, a retry would bill a member
// twice.
func TestNonIdempotentMatchesPathVariants(t *testing.T) {
	is := is.New(t)
	m, err := Parse(example(t, "granite-loop"))
	is.NoErr(err)
	c := Compile(m, 1)
	for _, path := range []string{"/charges", "//charges", "/x/../charges", "/./charges/9", "charges", "/charges/", "/%63harges", "/CHARGES"} {
		is.True(c.NonIdempotent("billing", "post", path)) // some backend servers treat each as /charges
	}
	is.True(!c.NonIdempotent("billing", "GET", "/charges"))
	is.True(!c.NonIdempotent("nothing", "POST", "/charges"))
}

func FuzzParse(f *testing.F) {
	f.Add(example(f, "granite-loop"))
	f.Add(example(f, "solis-monterroso"))
	f.Add([]byte(`{"deployment":"a","targets":{"firstToken":"1s","share":0.5,"wasteWeight":0,"maxLoads":1},"models":[],"priorities":["a"],"workspaces":[],"pools":[]}`))
	f.Add([]byte(`{"targets":{"firstToken":"1e9h"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Parse(data)
		if err != nil {
			var invalid Invalid
			if !errors.As(err, &invalid) || len(invalid.Problems) == 0 || err.Error() == "" {
				t.Fatalf("refused without listing a problem: %v", err)
			}
			return
		}
		Compile(m, 1)
		again, err := Encode(m)
		if err != nil || !json.Valid(again) {
			t.Fatalf("accepted but cannot be encoded: %v", err)
		}
		if _, err := Parse(again); err != nil {
			t.Fatalf("the encoding of an accepted manifest is refused: %v", err)
		}
	})
}
