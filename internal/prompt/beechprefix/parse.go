package beechprefix

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"
)

// Paths of requests that have a prompt.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
)

// Memory in bytes that decoding takes beside the text: for each body, value and object.
const (
	decodingBytes = 64 << 10
	valueBytes    = 64
	objectBytes   = 192
)

type (
	// canonicalText is the text of a JSON string, or the canonical form of any
	// other JSON value.
	canonicalText string

	// The type names body and message are visible to callers:
	// json.UnmarshalTypeError puts them into error messages.
	body struct {
		Model               string         `json:"model"`
		Stream              *bool          `json:"stream"`
		MaxTokens           *int           `json:"max_tokens"`
		MaxCompletionTokens *int           `json:"max_completion_tokens"`
		Messages            *[]message     `json:"messages"`
		Prompt              *canonicalText `json:"prompt"`
		Tools               canonicalText  `json:"tools"`
		Functions           canonicalText  `json:"functions"`
		Choices             *int           `json:"n"`
		LogProbs            canonicalText  `json:"logprobs"`
		StreamOptions       *struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
	}

	message struct {
		Role       string        `json:"role"`
		Content    canonicalText `json:"content"`
		Name       canonicalText `json:"name"`
		ToolCalls  canonicalText `json:"tool_calls"`
		ToolCallID canonicalText `json:"tool_call_id"`
	}
)

// Parse decodes a request body and returns its chain under root, with tokens
// estimated by the default ratio. Its error is always an *Error.
func Parse(root Root, path string, body []byte) (Chain, Fields, error) {
	p, err := Decode(path, body)
	if err != nil {
		return Chain{}, Fields{}, err
	}
	return p.Chain(root, nil), p.Fields, nil
}

// DecodedBytes returns an upper bound of the memory in bytes that decoding a body takes beside the body
// itself. Many small values take many times their text.
func DecodedBytes(raw []byte) int {
	size := decodingBytes + len(raw)
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			i += stringBytes(raw[i+1:])
		case ',', '[':
			size += valueBytes
		case '{':
			size += objectBytes
		}
	}
	return size
}

// stringBytes returns the length of the rest of a JSON string up to its closing quote.
func stringBytes(rest []byte) int {
	for i := 0; ; i++ {
		end := bytes.IndexAny(rest[i:], `"\`)
		if end < 0 {
			return len(rest)
		}
		i += end
		if rest[i] == '"' {
			return i + 1
		}
		i++ // what is escaped
		if i >= len(rest) {
			return len(rest)
		}
	}
}

// Decode decodes a request body. Unknown fields are ignored. Its error is always
// an *Error.
func Decode(path string, raw []byte) (*Prompt, error) {
	if path != PathChat && path != PathCompletions {
		return nil, &Error{Kind: KindPath, Reason: fmt.Sprintf("path %q has no prompt", path)}
	}
	if !utf8.Valid(raw) {
		return nil, &Error{Kind: KindEncoding, Reason: "not valid UTF-8"}
	}
	var b body
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, decodeError(err)
	}
	if b.Model == "" {
		return nil, &Error{Kind: KindField, Field: "model", Reason: "must be a model's name"}
	}
	p := &Prompt{Fields: b.fields()}
	if err := p.setMaxTokens(&b); err != nil {
		return nil, err
	}
	if path == PathChat {
		return p, p.setMessages(&b)
	}
	return p, p.setPlain(&b)
}

func (b *body) fields() Fields {
	oneChoice := b.Choices == nil || *b.Choices == 1
	return Fields{
		Model:      b.Model,
		Stream:     b.Stream != nil && *b.Stream,
		WantsUsage: b.StreamOptions != nil && b.StreamOptions.IncludeUsage,
		Resumable:  oneChoice && b.Tools == "" && b.Functions == "" && (b.LogProbs == "" || b.LogProbs == "false"),
	}
}

func (p *Prompt) setMaxTokens(b *body) error {
	for _, limit := range [...]*int{b.MaxTokens, b.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit < 0 {
			return &Error{Kind: KindField, Field: "max_tokens", Reason: "must not be negative"}
		}
		p.Fields.MaxTokens = *limit
	}
	return nil
}

func (p *Prompt) setMessages(b *body) error {
	if b.Messages == nil || len(*b.Messages) == 0 {
		return &Error{Kind: KindField, Field: "messages", Reason: "must hold at least one message"}
	}
	p.tools = string(b.Tools + b.Functions)
	p.messages = make([]Message, len(*b.Messages))
	for i, m := range *b.Messages {
		p.messages[i] = Message{Role: m.Role, Content: string(m.Content), Extra: m.extra()}
	}
	p.Fields.Messages = len(p.messages)
	return nil
}

func (p *Prompt) setPlain(b *body) error {
	if b.Prompt == nil || *b.Prompt == "" {
		return &Error{Kind: KindField, Field: "prompt", Reason: "must not be empty"}
	}
	p.text = string(*b.Prompt)
	p.plain = true
	p.Fields.Messages = 1
	return nil
}

func (m *message) extra() string {
	if m.Name == "" && m.ToolCalls == "" && m.ToolCallID == "" {
		return ""
	}
	parts := []string{string(m.Name), string(m.ToolCalls), string(m.ToolCallID)}
	return strings.Join(parts, "\x00")
}

// UnmarshalJSON keeps the text of a string, and converts any other value to JSON
// with sorted keys and no spaces, so that different encodings of a value have the
// same hash. A string without escapes, the usual case for a long prompt, is
// copied rather than decoded a second time.
func (t *canonicalText) UnmarshalJSON(raw []byte) error {
	if bytes.Equal(raw, []byte("null")) {
		return nil
	}
	if raw[0] != '"' {
		return t.unmarshalValue(raw)
	}
	if bytes.IndexByte(raw, '\\') < 0 {
		*t = canonicalText(raw[1 : len(raw)-1])
		return nil
	}
	return json.Unmarshal(raw, (*string)(t))
}

func (t *canonicalText) unmarshalValue(raw []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return err
	}
	canonical, err := json.Marshal(value)
	if err != nil {
		return err
	}
	*t = canonicalText(canonical)
	return nil
}

func decodeError(err error) *Error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		reason := "must be " + typeError.Type.String() + ", not " + typeError.Value
		return &Error{Kind: KindField, Field: typeError.Field, Reason: reason}
	}
	return &Error{Kind: KindSyntax, Reason: err.Error()}
}
