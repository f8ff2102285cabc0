package beechbackend

import (
	"bytes"
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

	usageBody struct {
		Prompt  int `json:"prompt_tokens"`
		Output  int `json:"completion_tokens"`
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	}

	failureBody struct {
		Message string `json:"message"`
	}
)

// failureUnsaid stands for the message of an error event that has none.
const failureUnsaid = "no reason given"

// ParseChunk decodes the data of an event of a stream, or a whole plain answer.
// It runs for each token, so it decodes only what it returns and checks no
// more of the JSON than it needs to find that.
func ParseChunk(data []byte) (Chunk, error) {
	var c Chunk
	err := eachMember(data, func(m member) error { return c.take(m.name, data[m.value:m.end]) })
	if err != nil {
		return Chunk{}, fmt.Errorf("read chunk: %w", err)
	}
	return c, nil
}

func (c *Chunk) take(name, value []byte) error {
	if bytes.Equal(value, []byte("null")) {
		return nil
	}
	switch string(name) {
	case "choices":
		return c.takeChoices(value)
	case "usage":
		return c.takeUsage(value)
	case "error":
		return c.takeFailure(value)
	case "system_fingerprint":
		model, err := decodeString(value)
		if strings.Contains(model, "@") {
			c.Model = model
		}
		return err
	default:
		return nil
	}
}

func (c *Chunk) takeChoices(value []byte) error {
	return eachElement(value, func(choice []byte) error {
		c.Choices++
		if c.Choices > 1 {
			return nil
		}
		return eachMember(choice, func(m member) error { return c.takeChoice(m.name, choice[m.value:m.end]) })
	})
}

func (c *Chunk) takeChoice(name, value []byte) (err error) {
	switch string(name) {
	case "text":
		c.Text, err = decodeString(value)
	case "finish_reason":
		c.Finish, err = decodeString(value)
	case "delta", "message":
		return eachMember(value, func(m member) (err error) {
			if string(m.name) == "content" {
				c.Text, err = decodeString(value[m.value:m.end])
			}
			return err
		})
	}
	return err
}

func (c *Chunk) takeUsage(value []byte) error {
	var u usageBody
	if err := json.Unmarshal(value, &u); err != nil {
		return err
	}
	c.Usage = &Usage{Prompt: u.Prompt, Cached: u.Details.Cached, Output: u.Output}
	return nil
}

// takeFailure never leaves Failure empty, whatever shape the error has.
func (c *Chunk) takeFailure(value []byte) error {
	var f failureBody
	if json.Unmarshal(value, &f) != nil || f.Message == "" {
		f.Message = failureUnsaid
	}
	c.Failure = f.Message
	return nil
}
