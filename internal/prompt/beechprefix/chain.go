package beechprefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"unicode/utf8"

	"github.com/zeebo/xxh3"
)

// A chain has at most MaxLevels levels, so that routing a long conversation costs no
// more than routing a short one. A longer chat has the first headLevels, for the
// instruction that many prompts share, and the last levels, for the turns that the
// caller's next request will extend.
const (
	MaxLevels  = 32
	headLevels = 4

	// chunkBytes is about 500 tokens of text: small compared with a prompt worth
	// caching, large compared with an engine's block.
	chunkBytes = 2048
)

type builder struct {
	hasher     xxh3.Hasher
	key        Key
	characters int
	estimator  *Estimator
	levels     []Level
}

// Salt returns the cache salt of the root in hex, which is level 0 of every chain
// under it. Each field is hashed with its length, so that different roots cannot
// produce the same input.
func (r Root) Salt() string {
	sum := r.hash()
	return hex.EncodeToString(sum[:])
}

func (r Root) hash() [sha256.Size]byte {
	var buf []byte
	for _, part := range [...]string{r.Workspace, r.Model, r.Adapter, r.Weights} {
		buf = binary.LittleEndian.AppendUint64(buf, uint64(len(part)))
		buf = append(buf, part...)
	}
	return sha256.Sum256(buf)
}

// NewChat returns the chain of a chat's messages under root, with tokens
// estimated by the default ratio.
func NewChat(root Root, messages ...Message) Chain {
	p := Prompt{messages: messages}
	return p.Chain(root, nil)
}

// NewPlain returns the chain of a plain prompt under root, with tokens estimated
// by the default ratio.
func NewPlain(root Root, text string) Chain {
	p := Prompt{text: text, plain: true}
	return p.Chain(root, nil)
}

// Chain returns the prompt's chain under root. A nil estimator uses the default
// ratio.
func (p *Prompt) Chain(root Root, estimator *Estimator) Chain {
	sum := root.hash()
	b := builder{estimator: estimator}
	copy(b.key[:], sum[:])
	if p.plain {
		b.addChunks(p.text)
	} else {
		b.addMessages(p.tools, p.messages)
	}
	return Chain{
		Salt:         hex.EncodeToString(sum[:]),
		Levels:       b.levels,
		PromptTokens: estimator.Tokens(b.characters),
	}
}

// addMessages extends the chain by each message. Engines render the tools before
// the first message, so the tools extend the chain first, without a level of
// their own.
func (b *builder) addMessages(tools string, messages []Message) {
	b.levels = make([]Level, 0, min(len(messages), MaxLevels))
	if tools != "" {
		b.extend(tools)
	}
	for i, m := range messages {
		b.extend(m.Role, m.Content, m.Extra)
		if messageHasLevel(i, len(messages)) {
			b.addLevel()
		}
	}
}

// addChunks extends the chain by each complete chunk of a plain prompt. The
// remainder only counts towards the tokens, since it is not a prefix of any
// longer prompt.
func (b *builder) addChunks(text string) {
	rest := text
	for i := 0; len(rest) >= chunkBytes && len(b.levels) < MaxLevels; i++ {
		b.extend(rest[:chunkBytes])
		rest = rest[chunkBytes:]
		if chunkHasLevel(i + 1) {
			b.addLevel()
		}
	}
	if len(b.levels) == 0 && len(rest) > 0 {
		b.extend(rest)
		b.addLevel()
		return
	}
	b.characters += utf8.RuneCountInString(rest)
}

func (b *builder) extend(parts ...string) {
	b.hasher.Reset()
	_, _ = b.hasher.Write(b.key[:])
	var length [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = b.hasher.Write(length[:])
		_, _ = b.hasher.WriteString(part)
		b.characters += utf8.RuneCountInString(part)
	}
	b.key = b.hasher.Sum128().Bytes()
}

func (b *builder) addLevel() {
	b.levels = append(b.levels, Level{Key: b.key, Tokens: b.estimator.Tokens(b.characters)})
}

// messageHasLevel reports whether message i of n has a level in the chain.
func messageHasLevel(i, n int) bool {
	return i < headLevels || i >= n-(MaxLevels-headLevels)
}

// chunkHasLevel reports whether the chain has a level after n chunks: after each
// of the first eight, then four times per doubling. It depends on n alone, so
// that two prompts have the same levels for the part they share.
func chunkHasLevel(n int) bool {
	stride := 1
	for n >= 8*stride {
		stride *= 2
	}
	return n%stride == 0
}
