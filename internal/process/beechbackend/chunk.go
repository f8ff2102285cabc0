package beechbackend

import (
	"encoding/json"
	"fmt"
	"strings"
)

type (
	// Usage is what an engine says a request took, in tokens. Cached is the
	// part of Prompt that it did not compute.
	Usage struct {
		Prompt int
		Cached int
		Output int
	}

	// Chunk is what an agent needs of one event's data, or of a plain answer.
	// Text is the first choice's. Model is model@weights where the engine says
	// so. Usage is nil where the engine says nothing of it.
	Chunk struct {
		Text    string
		Model   string
		Finish  string
		Choices int
		Usage   *Usage
		Failure string // message of an error event
	}

	chunkBody struct {
		Fingerprint string `json:"system_fingerprint"`
		Choices     []struct {
			Text    string `json:"text"`
			Finish  string `json:"finish_reason"`
			Delta   struct{ Content string }
			Message struct{ Content string }
		} `json:"choices"`
		Usage *struct {
			Prompt  int `json:"prompt_tokens"`
			Output  int `json:"completion_tokens"`
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
		Error *struct {
			Message string `json:"message"`
		} `json:"error"`
	}
)

// ReadChunk decodes the data of an event of a stream, or a whole plain answer.
func ReadChunk(data []byte) (Chunk, error) {
	var b chunkBody
	if err := json.Unmarshal(data, &b); err != nil {
		return Chunk{}, fmt.Errorf("read chunk: %w", err)
	}
	c := Chunk{Choices: len(b.Choices)}
	if strings.Contains(b.Fingerprint, "@") {
		c.Model = b.Fingerprint
	}
	if len(b.Choices) > 0 {
		first := b.Choices[0]
		c.Text = first.Text + first.Delta.Content + first.Message.Content
		c.Finish = first.Finish
	}
	if b.Usage != nil {
		c.Usage = &Usage{Prompt: b.Usage.Prompt, Cached: b.Usage.Details.Cached, Output: b.Usage.Output}
	}
	if b.Error != nil {
		c.Failure = b.Error.Message
	}
	return c, nil
}
