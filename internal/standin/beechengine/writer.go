package beechengine

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
)

// otherRequestID is the request ID in answers that FaultWrongID affects.
const otherRequestID = "another-request"

type (
	// writer sends an answer as one JSON object or as server-sent events.
	writer struct {
		g           *generation
		id          string
		http        http.ResponseWriter
		buffer      *bufio.Writer
		flusher     http.Flusher
		started     bool
		flushTokens bool   // flush after each token; not needed if tokens take no time
		before      string // part of a chunk before the token
		after       string
		text        strings.Builder
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

func newWriter(w http.ResponseWriter, g *generation, flushTokens, wrongID bool) *writer {
	out := &writer{g: g, id: g.id, http: w, flushTokens: flushTokens}
	if wrongID {
		out.id = otherRequestID
	}
	return out
}

// startStream sets the headers of a streamed answer. A chat answer that is not
// resumed begins with a chunk that carries the role.
func (out *writer) startStream() {
	out.started = true
	h := out.http.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(requestHeader, out.id)
	out.flusher, _ = out.http.(http.Flusher)
	out.buffer = bufio.NewWriter(out.http)
	out.before, out.after = out.chunkFrame(`"delta":{"content":"`, `"}`)
	if !out.g.chat {
		out.before, out.after = out.chunkFrame(`"text":"`, `"`)
	}
	if out.g.chat && out.g.resumed == 0 {
		first, last := out.chunkFrame(`"delta":{"role":"assistant","content":"`, `"}`)
		out.writeEvent(first, "", last)
	}
}

// chunkFrame returns the parts of a chunk before and after the token.
func (out *writer) chunkFrame(prefix, suffix string) (before, after string) {
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
	before = "data: " + start + `"choices":[{"index":0,` + prefix
	after = suffix + `,"finish_reason":null}]}` + "\n\n"
	return before, after
}

func (out *writer) writeEvent(parts ...string) {
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

func (out *writer) writeToken(word string) {
	if !out.g.Stream {
		out.text.WriteString(word)
		return
	}
	first := !out.started
	if first {
		out.startStream()
	}
	out.writeEvent(out.before, word, out.after)
	if first || out.flushTokens {
		out.flush()
	}
}

func (out *writer) writeEnd(use usage) {
	if !out.g.Stream {
		out.writeJSONAnswer(use)
		return
	}
	if !out.started {
		out.startStream()
	}
	before, after := out.chunkFrame(`"delta":{`, `}`)
	if !out.g.chat {
		before, after = out.chunkFrame(`"text":"`, `"`)
	}
	after = strings.Replace(after, `"finish_reason":null`, `"finish_reason":"`+out.g.finish+`"`, 1)
	out.writeEvent(before, after)
	if out.g.StreamOptions.IncludeUsage {
		start, _, _ := strings.Cut(before, `"choices"`)
		counts, _ := json.Marshal(use)
		out.writeEvent(start, `"choices":[],"usage":`, string(counts), "}\n\n")
	}
	out.writeEvent("data: [DONE]\n\n")
	out.flush()
}

func (out *writer) writeJSONAnswer(use usage) {
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

// writeCancelled ends the answer with an error, so that callers do not take it
// for complete.
func (out *writer) writeCancelled() {
	if !out.started {
		writeError(out.http, statusCancelled, "cancelled", errCancelled.Error(), "yes")
		return
	}
	body, _ := json.Marshal(errorBody{Error: errorDetail{
		Message: errCancelled.Error(), Type: "engine_error", Code: "cancelled", Ran: "yes",
	}})
	out.writeEvent("data: ", string(body), "\n\ndata: [DONE]\n\n")
	out.flush()
}
