package beechengine

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Range of the number of output tokens if the caller sets no maximum.
const (
	minTokens  = 8
	tokenRange = 57
)

var (
	errNoPrompt = errors.New("messages or prompt is required")
	errResume   = errors.New("resume_text is not a beginning of this answer")

	onsets = []string{"b", "d", "f", "g", "k", "l", "m", "n", "p", "r", "s", "t", "v", "w", "br", "st"}
	rhymes = []string{"an", "ar", "ed", "el", "en", "il", "in", "ol", "on", "or", "um", "un", "ay", "ee", "oak", "alt"}
)

// Prompt extracts the prompt from a request body: the messages, joined by
// newlines, or else the prompt field.
func Prompt(body []byte) ([]byte, error) {
	var parts struct {
		Messages []json.RawMessage `json:"messages"`
		Prompt   json.RawMessage   `json:"prompt"`
	}
	if err := json.Unmarshal(body, &parts); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return joinPrompt(parts.Messages, parts.Prompt)
}

func joinPrompt(messages []json.RawMessage, prompt json.RawMessage) ([]byte, error) {
	if len(messages) > 0 {
		raw := make([][]byte, len(messages))
		for i, m := range messages {
			raw[i] = m
		}
		return bytes.Join(raw, []byte{'\n'}), nil
	}
	if len(prompt) > 0 {
		return prompt, nil
	}
	return nil, errNoPrompt
}

// Fingerprint returns the hash that identifies a prompt in the journal,
// independent of the caller.
func Fingerprint(prompt []byte) string {
	return strconv.FormatUint(xxhash.Sum64(prompt), 16)
}

// Answer returns the text that the engine generates for a prompt. The model is
// given as model@weights. If tokens is 0, the engine chooses the length.
func Answer(model string, prompt []byte, tokens int) string {
	seed := answerSeed(model, prompt)
	if tokens <= 0 {
		tokens = defaultTokens(seed)
	}
	return answerText(seed, tokens)
}

func answerSeed(model string, prompt []byte) uint64 {
	d := xxhash.New()
	d.WriteString(model)
	d.Write(prompt)
	return d.Sum64()
}

func defaultTokens(seed uint64) int {
	return minTokens + int(seed%tokenRange)
}

func answerText(seed uint64, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(token(seed, i))
	}
	return b.String()
}

// token returns the i-th output token: a word followed by a space.
func token(seed uint64, i int) string {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], seed)
	binary.LittleEndian.PutUint64(raw[8:], uint64(i))
	h := xxhash.Sum64(raw[:])
	return onsets[h&15] + rhymes[h>>4&15] + onsets[h>>8&15] + rhymes[h>>12&15] + " "
}

// resumedTokens counts the tokens of text, which must be a prefix of the
// answer. A real engine would accept any text. This one rejects other text,
// because it means that the router lost or duplicated tokens.
func resumedTokens(seed uint64, text string) (int, error) {
	count := strings.Count(text, " ")
	if answerText(seed, count) != text {
		return 0, errResume
	}
	return count, nil
}
