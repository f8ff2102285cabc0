package beechprefix

import (
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against bodies whose decoded form takes many times their size, such as lists of empty messages.
func TestDecodedBytesIsAnUpperBound(t *testing.T) {
	const size = 4 << 20
	for _, c := range []struct{ name, before, part, after string }{
		{"one text", `{"model":"m","messages":[{"role":"user","content":"`, "x", `"}]}`},
		{"text with escapes", `{"model":"m","messages":[{"role":"user","content":"`, `\n\u00e9`, `"}]}`},
		{"empty messages", `{"model":"m","messages":[{}`, `,{}`, `]}`},
		{"short messages", `{"model":"m","messages":[{}`, `,{"role":"user","content":"a"}`, `]}`},
		{"nested lists", `{"model":"m","prompt":"p","tools":[0`, `,[[0]]`, `]}`},
		{"numbers", `{"model":"m","prompt":"p","tools":[0`, `,0`, `]}`},
		{"objects", `{"model":"m","prompt":"p","tools":[0`, `,{"a":{}}`, `]}`},
		{"unknown fields", `{"model":"m","prompt":"p"`, `,"x":[]`, `}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			body := []byte(c.before + strings.Repeat(c.part, size/len(c.part)) + c.after)
			path := PathChat
			if strings.Contains(c.before, `"prompt"`) {
				path = PathCompletions
			}
			before := heapBytes()
			prompt, err := Decode(path, body)
			is.NoErr(err)
			held := heapBytes() - before
			runtime.KeepAlive(prompt)
			t.Logf("%d KB held, %d KB expected", held>>10, DecodedBytes(body)>>10)
			is.True(held <= DecodedBytes(body))
		})
	}
}

func TestDecodedBytesCountsNothingInStrings(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]int{
		``: 0, `"a,{["`: 0, `"a\",{["`: 0, `"a\\",0`: valueBytes, `[0,"x",{}]`: 3*valueBytes + objectBytes, `"open`: 0, `"open\`: 0, `"`: 0,
	} {
		is.Equal(DecodedBytes([]byte(text)), decodingBytes+len(text)+want) // text
	}
}

func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
