package beechprefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"unicode/utf8"

	"github.com/zeebo/xxh3"
)

// A chain has at most MaxLevels levels, so that a long conversation costs no more
// to route than a short one. Of a longer chat the first headLevels and the last
// levels are kept: the instruction that many share, and the turns that the
// caller's next request will extend.
const (
	MaxLevels  = 32
	headLevels = 4

	// chunkBytes is about 500 tokens of text: small against a prompt worth
	// caching, large against an engine's block.
	chunkBytes = 2048
)

type builder struct {
	hasher     xxh3.Hasher
	key        Key
	characters int
	estimator  *Estimator
	levels     []Level
}

// Salt is the cache salt of a root in hex: level 0 of every chain below it. Each
// part is hashed with its length, so that no two roots run together.
func (r Root) Salt() string {
	sum := r.sum()
	return hex.EncodeToString(sum[:])
}

func (r Root) sum() [sha256.Size]byte {
	var bytes []byte
	for _, part := range [...]string{r.Workspace, r.Model, r.Adapter, r.Weights} {
		bytes = binary.LittleEndian.AppendUint64(bytes, uint64(len(part)))
		bytes = append(bytes, part...)
	}
	return sha256.Sum256(bytes)
}

// NewChat is the chain of a chat's messages under root, with tokens estimated by the
// default ratio.
func NewChat(root Root, messages ...Message) Chain {
	p := Prompt{messages: messages}
	return p.Chain(root, nil)
}

// NewPlain is the chain of a plain prompt under root, with tokens estimated by the
// default ratio.
func NewPlain(root Root, text string) Chain {
	p := Prompt{text: text, plain: true}
	return p.Chain(root, nil)
}

// Chain is the prompt's chain under root. A nil estimator has the default ratio.
func (p *Prompt) Chain(root Root, estimator *Estimator) Chain {
	sum := root.sum()
	b := builder{estimator: estimator}
	copy(b.key[:], sum[:])
	if p.plain {
		b.chunks(p.text)
	} else {
		b.chat(p.tools, p.messages)
	}
	return Chain{
		Salt:         hex.EncodeToString(sum[:]),
		Levels:       b.levels,
		PromptTokens: estimator.Tokens(b.characters),
	}
}

// chat extends the chain by each message. Engines render the tools ahead of the
// first message, so they extend the chain first, without a level of their own.
func (b *builder) chat(tools string, messages []Message) {
	b.levels = make([]Level, 0, min(len(messages), MaxLevels))
	if tools != "" {
		b.extend(tools)
	}
	for i, m := range messages {
		b.extend(m.Role, m.Content, m.Extra)
		if keepsMessage(i, len(messages)) {
			b.level()
		}
	}
}

// chunks extends the chain by each whole chunk of a plain prompt. What is left
// at the end counts as tokens; it is a prefix of nothing longer.
func (b *builder) chunks(text string) {
	rest := text
	for i := 0; len(rest) >= chunkBytes && len(b.levels) < MaxLevels; i++ {
		b.extend(rest[:chunkBytes])
		rest = rest[chunkBytes:]
		if keepsChunk(i + 1) {
			b.level()
		}
	}
	if len(b.levels) == 0 && len(rest) > 0 {
		b.extend(rest)
		b.level()
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

func (b *builder) level() {
	b.levels = append(b.levels, Level{Key: b.key, Tokens: b.estimator.Tokens(b.characters)})
}

// keepsMessage tells whether message i of n has a level in the chain.
func keepsMessage(i, n int) bool {
	return i < headLevels || i >= n-(MaxLevels-headLevels)
}

// keepsChunk tells whether the chain has a level after n chunks: each of the
// first eight, then four to each doubling. It depends on n alone, so that two
// prompts keep the same levels of what they share.
func keepsChunk(n int) bool {
	stride := 1
	for n >= 8*stride {
		stride *= 2
	}
	return n%stride == 0
}
