package beechbackend

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strings"
	"testing"
)

// FuzzCompleteBody decodes the body before and after completeBody with encoding/json,
// and checks that only the agent's fields differ.
func FuzzCompleteBody(f *testing.F) {
	for _, s := range []string{body, `{}`, ` { "a" : [ { } , "\"}" ] } `, `{"cache_salt":"x"}`, `{"a":,"b":1}`, `{"a":1}x`, `[]`, `{"`, `{"stream_options":{"a":1}}`, `{"stream_options":null}`, `{"\ud800":1}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		done, err := completeBody(GenerateRequest{Body: data, Salt: "agent", Priority: 3, Streamed: true})
		var before map[string]any
		if !json.Valid(data) || json.Unmarshal(data, &before) != nil || before == nil {
			return // the engine rejects JSON that it cannot decode
		}
		if err != nil {
			t.Fatalf("%q: %v", data, err)
		}
		var after map[string]any
		if err := json.Unmarshal(done, &after); err != nil {
			t.Fatalf("%q became %q: %v", data, done, err)
		}
		if after["cache_salt"] != "agent" || after["priority"] != 3.0 || after["stream"] != true {
			t.Fatalf("%q became %q", data, done)
		}
		for name, value := range before {
			if !setByAgent(name) && !reflect.DeepEqual(after[name], value) {
				t.Fatalf("%q became %q: %s differs", data, done, name)
			}
		}
		for name := range after {
			if _, ok := before[name]; !ok && !setByAgent(name) {
				t.Fatalf("%q became %q: %s is new", data, done, name)
			}
		}
	})
}

func setByAgent(name string) bool {
	for _, n := range []string{"cache_salt", "priority", "stream", "resume_text", "adapter", "stream_options"} {
		if strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// FuzzEvents reads arbitrary bytes as server-sent events.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: [DONE]\n\n"))
	f.Add([]byte("id: 1\r\ndata\r\n\r\n:\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewEventReader(bytes.NewReader(data), 64)
		for n := 0; ; n++ {
			e, err := r.Next()
			if err == io.EOF && !bytes.Contains(data, doneData) {
				t.Fatalf("%q: complete without its last event", data)
			}
			if err != nil {
				return
			}
			if len(e.Data) > 64 || n > len(data) {
				t.Fatalf("%q: %d bytes in event %d", data, len(e.Data), n)
			}
		}
	})
}

// FuzzChunk encodes any text as an engine does, and parses it back.
func FuzzChunk(f *testing.F) {
	f.Add("broakfan ", "stop")
	f.Add("\"\\\x00\u2028<é", "")
	f.Fuzz(func(t *testing.T, text, finish string) {
		text, finish = strings.ToValidUTF8(text, "?"), strings.ToValidUTF8(finish, "?")
		data, err := json.Marshal(map[string]any{"choices": []any{map[string]any{"delta": map[string]any{"content": text}, "finish_reason": finish}}})
		if err != nil {
			t.Fatal(err)
		}
		c, err := ParseChunk(data)
		if err != nil || c.Text != text || c.Finish != finish {
			t.Fatalf("%q became %+v, %v", data, c, err)
		}
		_, _ = ParseChunk([]byte(text))
	})
}
