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

// Bounds of the number of output tokens where the caller gives no maximum.
const (
	leastTokens  = 8
	tokensSpread = 57
)

var (
	errNoPrompt = errors.New("messages or prompt is required")
	errResume   = errors.New("resume_text is not a beginning of this answer")

	onsets = []string{"b", "d", "f", "g", "k", "l", "m", "n", "p", "r", "s", "t", "v", "w", "br", "st"}
	rhymes = []string{"an", "ar", "ed", "el", "en", "il", "in", "ol", "on", "or", "um", "un", "ay", "ee", "oak", "alt"}
)

// Prompt returns the bytes of a request's body that the engine computes on:
// its messages, or its plain prompt.
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

// Fingerprint names a prompt in the journal, whoever sent it.
func Fingerprint(prompt []byte) string {
	return strconv.FormatUint(xxhash.Sum64(prompt), 16)
}

// Answer returns the text the engine gives to a prompt under model@weights
// with that number of tokens, or with its own number where tokens is 0.
func Answer(model string, prompt []byte, tokens int) string {
	seed := answerSeed(model, prompt)
	if tokens <= 0 {
		tokens = ownTokens(seed)
	}
	return answerText(seed, tokens)
}

func answerSeed(model string, prompt []byte) uint64 {
	d := xxhash.New()
	d.WriteString(model)
	d.Write(prompt)
	return d.Sum64()
}

func ownTokens(seed uint64) int {
	return leastTokens + int(seed%tokensSpread)
}

func answerText(seed uint64, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(token(seed, i))
	}
	return b.String()
}

// token is a word and the space after it.
func token(seed uint64, i int) string {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], seed)
	binary.LittleEndian.PutUint64(raw[8:], uint64(i))
	h := xxhash.Sum64(raw[:])
	return onsets[h&15] + rhymes[h>>4&15] + onsets[h>>8&15] + rhymes[h>>12&15] + " "
}

// resumedTokens counts the tokens of text, which must be this answer's first.
// A real engine would take any text; this one refuses, since a text that is no
// beginning of the answer means that the router lost or doubled something.
func resumedTokens(seed uint64, text string) (int, error) {
	count := strings.Count(text, " ")
	if answerText(seed, count) != text {
		return 0, errResume
	}
	return count, nil
}
