package beechengine

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
)

// crossedID stands in for another request's id in a crossed answer.
const crossedID = "another-request"

type (
	// writer gives a run's answer as one JSON object or as server-sent events.
	writer struct {
		g       *run
		id      string
		http    http.ResponseWriter
		buffer  *bufio.Writer
		flusher http.Flusher
		opened  bool
		eager   bool   // flushes each token, which an engine without token time need not
		before  string // of a streamed token
		after   string
		text    strings.Builder
	}

	message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	choice struct {
		Index        int      `json:"index"`
		Message      *message `json:"message,omitempty"`
		Text         *string  `json:"text,omitempty"`
		FinishReason string   `json:"finish_reason"`
	}

	completion struct {
		ID          string   `json:"id"`
		Object      string   `json:"object"`
		Created     int64    `json:"created"`
		Model       string   `json:"model"`
		Fingerprint string   `json:"system_fingerprint"`
		Choices     []choice `json:"choices"`
		Usage       usage    `json:"usage"`
	}
)

func newWriter(w http.ResponseWriter, g *run, eager, crossed bool) *writer {
	out := &writer{g: g, id: g.id, http: w, eager: eager}
	if crossed {
		out.id = crossedID
	}
	return out
}

// open writes the head of a streamed answer.
func (out *writer) open() {
	out.opened = true
	h := out.http.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(requestHeader, out.id)
	out.flusher, _ = out.http.(http.Flusher)
	out.buffer = bufio.NewWriter(out.http)
	out.before, out.after = out.frame(`"delta":{"content":"`, `"}`)
	if !out.g.chat {
		out.before, out.after = out.frame(`"text":"`, `"`)
	}
	if out.g.chat && out.g.resumed == 0 {
		first, last := out.frame(`"delta":{"role":"assistant","content":"`, `"}`)
		out.event(first, "", last)
	}
}

// frame returns what stands before and after a token in a chunk.
func (out *writer) frame(open, shut string) (before, after string) {
	object := "text_completion"
	if out.g.chat {
		object = "chat.completion.chunk"
	}
	head, _ := json.Marshal(completion{
		ID:          answerID(out.g.chat, out.id),
		Object:      object,
		Created:     out.g.created,
		Model:       baseName(out.g.served),
		Fingerprint: out.g.served,
	})
	start, _, _ := strings.Cut(string(head), `"choices"`)
	before = "data: " + start + `"choices":[{"index":0,` + open
	after = shut + `,"finish_reason":null}]}` + "\n\n"
	return before, after
}

func (out *writer) event(parts ...string) {
	for _, p := range parts {
		out.buffer.WriteString(p)
	}
}

func (out *writer) flush() {
	out.buffer.Flush()
	if out.flusher != nil {
		out.flusher.Flush()
	}
}

func (out *writer) token(word string) {
	if !out.g.Stream {
		out.text.WriteString(word)
		return
	}
	first := !out.opened
	if first {
		out.open()
	}
	out.event(out.before, word, out.after)
	if first || out.eager {
		out.flush()
	}
}

func (out *writer) finish(use usage) {
	if !out.g.Stream {
		out.plain(use)
		return
	}
	if !out.opened {
		out.open()
	}
	before, after := out.frame(`"delta":{`, `}`)
	if !out.g.chat {
		before, after = out.frame(`"text":"`, `"`)
	}
	after = strings.Replace(after, `"finish_reason":null`, `"finish_reason":"`+out.g.finish+`"`, 1)
	out.event(before, after)
	if out.g.StreamOptions.IncludeUsage {
		start, _, _ := strings.Cut(before, `"choices"`)
		counts, _ := json.Marshal(use)
		out.event(start, `"choices":[],"usage":`, string(counts), "}\n\n")
	}
	out.event("data: [DONE]\n\n")
	out.flush()
}

func (out *writer) plain(use usage) {
	text := out.g.ResumeText + out.text.String()
	c := choice{FinishReason: out.g.finish}
	object := "text_completion"
	if out.g.chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	out.http.Header().Set(requestHeader, out.id)
	writeJSON(out.http, http.StatusOK, completion{
		ID:          answerID(out.g.chat, out.id),
		Object:      object,
		Created:     out.g.created,
		Model:       baseName(out.g.served),
		Fingerprint: out.g.served,
		Choices:     []choice{c},
		Usage:       use,
	})
}

// cancelled ends the answer by an error, so that it never looks whole.
func (out *writer) cancelled() {
	if !out.opened {
		writeError(out.http, statusCancelled, "cancelled", errCancelled.Error(), "yes")
		return
	}
	body, _ := json.Marshal(errorBody{Error: errorDetail{
		Message: errCancelled.Error(), Type: "engine_error", Code: "cancelled", Ran: "yes",
	}})
	out.event("data: ", string(body), "\n\ndata: [DONE]\n\n")
	out.flush()
}
