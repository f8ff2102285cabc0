package beechbackend

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

type (
	// Usage is the token usage of a request as reported by the engine. Cached is the
	// part of Prompt that was taken from the prompt cache.
	Usage struct {
		Prompt int
		Cached int
		Output int
	}

	// Chunk is the part that agents need of the data of one event, or of an answer
	// that is not streamed. Text and Finish are from the first choice. Model is
	// model@weights if the engine reports it, and empty otherwise. Usage is nil if
	// the engine does not report it.
	Chunk struct {
		Text    string
		Model   string
		Finish  string
		Choices int
		Usage   *Usage
		Failure string // message of an error event
	}

	usageJSON struct {
		Prompt  int `json:"prompt_tokens"`
		Output  int `json:"completion_tokens"`
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	}

	failureJSON struct {
		Message string `json:"message"`
	}
)

// noFailureMessage replaces the message of an error event that has none.
const noFailureMessage = "no reason given"

// ParseChunk decodes the data of one event of a stream, or an answer that is not
// streamed. It runs for every token, so it decodes only the members that it returns,
// and does not validate the rest of the JSON beyond what is needed to find them.
func ParseChunk(data []byte) (Chunk, error) {
	var c Chunk
	err := eachMember(data, func(m member) error { return c.decodeMember(m.name, data[m.value:m.end]) })
	if err != nil {
		return Chunk{}, fmt.Errorf("parse chunk: %w", err)
	}
	return c, nil
}

func (c *Chunk) decodeMember(name, value []byte) error {
	if bytes.Equal(value, []byte("null")) {
		return nil
	}
	switch string(name) {
	case "choices":
		return c.decodeChoices(value)
	case "usage":
		return c.decodeUsage(value)
	case "error":
		return c.decodeFailure(value)
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

func (c *Chunk) decodeChoices(value []byte) error {
	return eachElement(value, func(choice []byte) error {
		c.Choices++
		if c.Choices > 1 {
			return nil
		}
		return eachMember(choice, func(m member) error { return c.decodeChoice(m.name, choice[m.value:m.end]) })
	})
}

func (c *Chunk) decodeChoice(name, value []byte) (err error) {
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

func (c *Chunk) decodeUsage(value []byte) error {
	var u usageJSON
	if err := json.Unmarshal(value, &u); err != nil {
		return err
	}
	c.Usage = &Usage{Prompt: u.Prompt, Cached: u.Details.Cached, Output: u.Output}
	return nil
}

// decodeFailure sets Failure to a text that is not empty, regardless of the structure
// of the error.
func (c *Chunk) decodeFailure(value []byte) error {
	var f failureJSON
	if json.Unmarshal(value, &f) != nil || f.Message == "" {
		f.Message = noFailureMessage
	}
	c.Failure = f.Message
	return nil
}
