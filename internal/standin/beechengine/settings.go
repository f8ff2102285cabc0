package beechengine

import (
	"io"
	"time"
)

// What a Settings field of zero stands for.
const (
	DefaultSlots        = 64
	DefaultWaitLimit    = 4096
	DefaultCacheTokens  = 1 << 20
	DefaultBlockTokens  = 16
	DefaultEventLimit   = 1 << 16
	DefaultJournalLimit = 1 << 17
	DefaultCrashPause   = 200 * time.Millisecond
)

// bytesPerToken is how many bytes of a prompt make one token.
const bytesPerToken = 4

// Settings describe one engine. A zero field has the default above, or switches
// off what it describes.
type Settings struct {
	Models      []string      // model@weights loaded at the start and after a crash
	Slots       int           // requests run at once
	WaitLimit   int           // requests that may wait for a slot before 503
	PrefillRate int           // prompt tokens a second over all slots, 0 takes no time
	TokenTime   time.Duration // between output tokens of one request
	EndTime     time.Duration // between the last token and the answer's end
	CacheTokens int           // prompt tokens the cache holds
	BlockTokens int           // tokens to a block
	EventLag    time.Duration // age at which a cache event is published
	LoseEvery   int           // loses each n-th cache event, 0 loses none
	EventLimit  int           // cache events kept for readers
	ReportLag   time.Duration // age of the load report
	LoadTime    time.Duration // to load a model or adapter
	CheckFence  bool          // refuses orders that carry an older fencing number
	BlockBytes  int           // exported bytes a block, beside its description
	CrashPause  time.Duration // away after a crash

	JournalLimit int       // entries kept, the oldest go first
	Journal      io.Writer // also gets each journal entry at its begin and end, as JSON lines
}

func (s Settings) withDefaults() Settings {
	s.Slots = orDefault(s.Slots, DefaultSlots)
	s.WaitLimit = orDefault(s.WaitLimit, DefaultWaitLimit)
	s.CacheTokens = orDefault(s.CacheTokens, DefaultCacheTokens)
	s.BlockTokens = orDefault(s.BlockTokens, DefaultBlockTokens)
	s.EventLimit = orDefault(s.EventLimit, DefaultEventLimit)
	s.JournalLimit = orDefault(s.JournalLimit, DefaultJournalLimit)
	if s.CrashPause <= 0 {
		s.CrashPause = DefaultCrashPause
	}
	return s
}

func orDefault(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}
