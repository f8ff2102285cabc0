package beechprefix

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testRoot = Root{Workspace: "loop", Model: "advisor", Weights: "7"}

const chatBody = `{"model":"advisor","stream":true,"max_tokens":50,"messages":[` +
	`{"role":"system","content":"You give fit advice."},` +
	`{"role":"user","content":"History: wool, size 41."},` +
	`{"role":"user","content":"Which sock?"}],"some_new_field":{"kept":1}}`

func parse(t *testing.T, path, body string) (Chain, Fields) {
	t.Helper()
	chain, fields, err := Parse(testRoot, path, []byte(body))
	is.New(t).NoErr(err)
	return chain, fields
}

func TestChatHasLevelPerMessage(t *testing.T) {
	is := is.New(t)
	chain, fields := parse(t, PathChat, chatBody)
	is.Equal(fields, Fields{Model: "advisor", Stream: true, Resumable: true, MaxTokens: 50, Messages: 3})
	is.Equal(len(chain.Levels), 3)
	is.Equal(chain.PromptTokens, chain.Levels[2].Tokens)

	other, _ := parse(t, PathChat, strings.Replace(chatBody, "Which sock?", "Which yarn?", 1))
	is.Equal(chain.Levels[:2], other.Levels[:2])
	is.True(chain.Levels[2].Key != other.Levels[2].Key)
}

func TestResumableRequests(t *testing.T) {
	is := is.New(t)
	_, fields := parse(t, PathChat, strings.Replace(chatBody, `"stream":true`, `"n":2,"stream_options":{"include_usage":true}`, 1))
	is.Equal(fields, Fields{Model: "advisor", WantsUsage: true, MaxTokens: 50, Messages: 3})
	_, fields = parse(t, PathChat, strings.Replace(chatBody, `"stream":true`, `"tools":[{}]`, 1))
	is.True(!fields.Resumable)
}

// Two members' clients encode the same prompt with different spaces, escapes and
// key order. If their keys differed, the prompt would be computed once for each
// encoding.
func TestEquivalentJSONHasSameChain(t *testing.T) {
	is := is.New(t)
	encodings := []string{
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"Cobán"}]}]}`,
		`{"messages": [ {"content": [ {"text": "Cob\u00e1n", "type": "text"} ], "role": "user"} ], "model": "m"}`,
	}
	first, _ := parse(t, PathChat, encodings[0])
	second, _ := parse(t, PathChat, encodings[1])
	is.Equal(first, second)
	plain, _ := parse(t, PathChat, `{"model":"m","messages":[{"role":"user","content":"a\nb"}]}`)
	escaped, _ := parse(t, PathChat, `{"model":"m","messages":[{"role":"user","content":"a\u000ab"}]}`)
	is.Equal(plain, escaped)
}

// Engines render tools, tool calls and names into the prompt. If the chain left
// them out, it would match the cache of a different prompt.
func TestChainCoversAllRenderedFields(t *testing.T) {
	is := is.New(t)
	message := func(extra string) string {
		return `{"model":"m","messages":[{"role":"assistant","content":"x"` + extra + `}]}`
	}
	bodies := []string{
		message(``),
		message(`,"name":"ana"`),
		message(`,"tool_call_id":"ana"`),
		message(`,"tool_calls":[{"id":"1"}]`),
		`{"model":"m","tools":[{"type":"function"}],"messages":[{"role":"assistant","content":"x"}]}`,
		`{"model":"m","messages":[{"role":"assistantx","content":""}]}`,
	}
	seen := map[Key]string{}
	for _, body := range bodies {
		chain, _ := parse(t, PathChat, body)
		is.Equal(seen[chain.Levels[0].Key], "")
		seen[chain.Levels[0].Key] = body
	}
}

// A caller of another workspace, or one served by newer weights, sends the same
// prompt. If a key were shared, its request could be routed to a cache that is
// not its own, and answered from it.
func TestNoKeyIsSharedAcrossRoots(t *testing.T) {
	part := rapid.StringMatching(`[ab]{0,2}`)
	rapid.Check(t, func(t *rapid.T) {
		root := func(label string) Root {
			draw := func(field string) string { return part.Draw(t, label+field) }
			return Root{Workspace: draw("w"), Model: draw("m"), Adapter: draw("a"), Weights: draw("v")}
		}
		a, b := root("a"), root("b")
		messages := []Message{{Role: "system", Content: "x"}, {Role: "user", Content: part.Draw(t, "content")}}
		one, two := NewChat(a, messages...), NewChat(b, messages...)
		if (a == b) != (one.Salt == two.Salt) || (a == b) != slices.Equal(one.Levels, two.Levels) {
			t.Fatalf("roots %+v and %+v: salts %s and %s", a, b, one.Salt, two.Salt)
		}
	})
}

// The chain of a conversation of hundreds of turns is bounded, and the next turn
// still shares levels with the current one.
func TestLongChatIsBoundedAndExtends(t *testing.T) {
	is := is.New(t)
	var messages []Message
	for i := range 300 {
		messages = append(messages, Message{Role: "user", Content: fmt.Sprint("turn ", i)})
	}
	before, after := NewChat(testRoot, messages[:298]...), NewChat(testRoot, messages...)
	is.Equal(len(after.Levels), MaxLevels)
	is.Equal(before.Levels[:headLevels], after.Levels[:headLevels])
	is.True(slices.Contains(after.Levels, before.Levels[len(before.Levels)-1]))
}

func TestPlainPromptIsCutIntoChunks(t *testing.T) {
	is := is.New(t)
	shared := strings.Repeat("lease history. ", 4000)
	one, two := NewPlain(testRoot, shared+"Water rights?"), NewPlain(testRoot, shared+"Who pays?")
	is.True(len(one.Levels) <= MaxLevels)
	is.Equal(one.Levels[len(one.Levels)-2], two.Levels[len(two.Levels)-2])
	is.True(one.Levels[len(one.Levels)-2].Tokens > len(shared)/8) // no stride may skip half of the prompt
	is.Equal(len(NewPlain(testRoot, "short").Levels), 1)
	is.True(len(NewPlain(testRoot, strings.Repeat("x", 4<<20)).Levels) <= MaxLevels)

	chain, fields := parse(t, PathCompletions, `{"model":"m","prompt":["a","b"]}`)
	is.Equal(fields.Messages, 1)
	is.Equal(len(chain.Levels), 1)
}

func TestEstimatorLearnsTheRatio(t *testing.T) {
	is := is.New(t)
	var none *Estimator
	is.Equal(none.Tokens(400), 100)
	is.Equal(none.Tokens(-1), 0)
	e := &Estimator{}
	for range 200 {
		e.Correct(e.Tokens(3000), 1000) // the engine counts three characters per token
	}
	is.True(e.Tokens(3000) > 980)
	is.True(e.Tokens(3000) < 1020)
	e.Correct(-1, 5)
	e.Correct(5, 0)
	for range 1000 {
		e.Correct(1, 1<<40)
	}
	is.Equal(e.Tokens(10), 20) // the ratio stays within bounds
}

func TestInvalidBodiesGetTypedErrors(t *testing.T) {
	is := is.New(t)
	cases := []struct {
		path, body string
		kind       Kind
		field      string
	}{
		{PathChat, ``, KindSyntax, ""},
		{PathChat, `{"model":"m"`, KindSyntax, ""},
		{PathChat, `{} {}`, KindSyntax, ""},
		{PathChat, "{\"model\":\"\xff\"}", KindEncoding, ""},
		{PathChat, `null`, KindField, "model"},
		{PathChat, `[]`, KindField, ""},
		{PathChat, `{"model":7}`, KindField, "model"},
		{PathChat, `{"model":"m"}`, KindField, "messages"},
		{PathChat, `{"model":"m","messages":[]}`, KindField, "messages"},
		{PathChat, `{"model":"m","messages":["x"]}`, KindField, "messages"},
		{PathChat, `{"model":"m","messages":[{"role":1}]}`, KindField, "messages.role"},
		{PathChat, `{"model":"m","messages":[{}],"max_tokens":-1}`, KindField, "max_tokens"},
		{PathChat, `{"model":"m","messages":[{}],"max_tokens":1e99}`, KindField, "max_tokens"},
		{PathChat, `{"model":"m","messages":[{}],"stream":"yes"}`, KindField, "stream"},
		{PathCompletions, `{"model":"m"}`, KindField, "prompt"},
		{PathCompletions, `{"model":"m","prompt":""}`, KindField, "prompt"},
		{"/v1/embeddings", `{}`, KindPath, ""},
		{PathChat, strings.Repeat(`[`, 20_000), KindSyntax, ""},
	}
	for _, c := range cases {
		_, _, err := Parse(testRoot, c.path, []byte(c.body))
		var prefixErr *Error
		is.True(errors.As(err, &prefixErr))
		if prefixErr.Kind != c.kind || prefixErr.Field != c.field {
			t.Errorf("body %.40s: got kind %s, field %q (%v)", c.body, prefixErr.Kind, prefixErr.Field, err)
		}
	}
}

// FuzzParse looks for a body that causes a panic, or whose chain violates what
// routing relies on.
func FuzzParse(f *testing.F) {
	f.Add(PathChat, []byte(chatBody))
	f.Add(PathChat, []byte(`{"model":"m","messages":[{"role":"tool","content":null,"tool_calls":[1e400]}]}`))
	f.Add(PathChat, []byte(`{"model":"m","messages":[{"content":"\ud800"},null]}`))
	f.Add(PathCompletions, []byte(`{"model":"m","prompt":[[1,2],"a"]}`))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		chain, fields, err := Parse(testRoot, path, body)
		if err != nil {
			var typed *Error
			if !errors.As(err, &typed) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		if fields.Model == "" || fields.MaxTokens < 0 || len(chain.Salt) != 64 {
			t.Fatalf("fields %+v, salt %q", fields, chain.Salt)
		}
		if len(chain.Levels) == 0 || len(chain.Levels) > MaxLevels {
			t.Fatalf("%d levels", len(chain.Levels))
		}
		tokens := 0
		for _, l := range chain.Levels {
			if l.Tokens < tokens || l.Tokens > chain.PromptTokens {
				t.Fatalf("levels out of order: %+v of %d tokens", chain.Levels, chain.PromptTokens)
			}
			tokens = l.Tokens
		}
	})
}

// BenchmarkParse parses a prompt with a long history of 64 KB.
func BenchmarkParse(b *testing.B) {
	body := []byte(strings.Replace(chatBody, "wool", strings.Repeat("wool, size 41. ", 4400), 1))
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for range b.N {
		if _, _, err := Parse(testRoot, PathChat, body); err != nil {
			b.Fatal(err)
		}
	}
}
