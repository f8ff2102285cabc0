package beechengine

import (
	"io"
	"time"
)

// Defaults of the Settings fields that are zero.
const (
	DefaultSlots        = 64
	DefaultWaitLimit    = 4096
	DefaultCacheTokens  = 1 << 20
	DefaultBlockTokens  = 16
	DefaultEventLimit   = 1 << 16
	DefaultJournalLimit = 1 << 17
	DefaultCrashPause   = 200 * time.Millisecond
)

// bytesPerToken is the number of prompt bytes that count as one token.
const bytesPerToken = 4

// Settings configures an engine. A zero field selects the default above, or
// disables the feature if it has none.
type Settings struct {
	Models      []string      // model@weights loaded at start and after a crash
	Slots       int           // maximum number of concurrent requests
	WaitLimit   int           // maximum number of requests waiting for a slot; more get a 503
	PrefillRate int           // prompt tokens per second, shared by all slots; 0 means no limit
	TokenTime   time.Duration // interval between output tokens of a request
	EndTime     time.Duration // delay between the last token and the end of the answer
	CacheTokens int           // capacity of the prompt cache in tokens
	BlockTokens int           // tokens per cache block
	EventLag    time.Duration // delay until a cache event is published
	LoseEvery   int           // drop every n-th cache event; 0 drops none
	EventLimit  int           // number of cache events retained
	ReportLag   time.Duration // delay of the load report
	LoadTime    time.Duration // time to load a model or adapter
	CheckFence  bool          // reject orders with an outdated fencing number
	BlockBytes  int           // size of the payload of an exported block
	CrashPause  time.Duration // downtime after a crash

	JournalLimit int       // number of entries retained; the oldest are dropped first
	Journal      io.Writer // also receives each journal entry as a JSON line when it starts and when its state changes
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
