package beechbackend

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
)

// BenchmarkBody compares two methods of setting the agent's fields, in a body with a
// history of 32,000 bytes: copying byte ranges of the body (spans), and decoding it into
// a map.
func BenchmarkBody(b *testing.B) {
	long := fmt.Appendf(nil, `{"model":"advisor","messages":[{"role":"user","content":%q}],"max_tokens":12}`, strings.Repeat("a row of \"knit & purl\" stitches\n", 1000))
	g := GenerateRequest{Body: long, Salt: "s", Streamed: true, Model: "advisor@w1"}
	b.Run("spans", func(b *testing.B) {
		b.SetBytes(int64(len(long)))
		b.ReportAllocs()
		for b.Loop() {
			if _, err := completeBody(g); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("map", func(b *testing.B) {
		b.SetBytes(int64(len(long)))
		b.ReportAllocs()
		for b.Loop() {
			if _, err := completeBodyWithMap(g); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// completeBodyWithMap is the alternative to completeBody that was not chosen.
func completeBodyWithMap(g GenerateRequest) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(g.Body, &fields); err != nil {
		return nil, err
	}
	fields["cache_salt"] = jsonString(g.Salt)
	fields["model"] = jsonString(g.Model)
	fields["priority"] = []byte("0")
	fields["stream"] = []byte("true")
	fields["stream_options"] = []byte(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// BenchmarkStream reads a stream of a thousand tokens as an agent does, with and without
// parsing the data of its events.
func BenchmarkStream(b *testing.B) {
	const tokens = 1000
	chunk := `data: {"id":"chatcmpl-r","object":"chat.completion.chunk","created":1,"model":"advisor","system_fingerprint":"advisor@w1","choices":[{"index":0,"delta":{"content":"broakfan "},"finish_reason":null}]}` + "\n\n"
	stream := []byte(strings.Repeat(chunk, tokens) + "data: [DONE]\n\n")
	for _, decode := range []bool{false, true} {
		b.Run(fmt.Sprintf("decode=%t", decode), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				readStream(b, stream, decode)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
		})
	}
}

func readStream(b *testing.B, stream []byte, decode bool) {
	b.Helper()
	events := NewEventReader(bytes.NewReader(stream), DefaultEventLimit)
	for {
		e, err := events.Next()
		if err == io.EOF {
			return
		}
		if err != nil {
			b.Fatal(err)
		}
		if !decode || e.Done() {
			continue
		}
		if _, err := ParseChunk(e.Data); err != nil {
			b.Fatal(err)
		}
	}
}
