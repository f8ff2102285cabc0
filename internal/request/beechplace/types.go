package beechplace

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

type (
	// Settings of a placer. Zero values are taken from Defaults.
	Settings struct {
		Zone              string
		PrefillRate       float64       // prompt tokens that an engine reads in a millisecond
		ReprefillCost     float64       // cost of a shared token that is read again, beyond its own time
		FetchCost         float64       // cost of a token that is fetched
		CrossZoneCost     float64       // cost of another zone
		CrossZoneByteCost float64       // and of each byte of the request
		OutdatedGrace     time.Duration // weights may be old for so long without a penalty
		OutdatedPenalty   float64       // cost of old weights after that
		OutdatedSoftLimit time.Duration // after that old weights are only for what would begin at once
		OutdatedHardLimit time.Duration // nothing may begin on weights that are older
		DownTime          time.Duration // first time out of a server that does not answer; doubles
		MaxDownTime       time.Duration
		Gates             int // gates that send to the same engines
	}

	// State is what a keeper tells of its engine.
	State struct {
		Number     uint32 // grows with the keeper's words
		Address    netip.AddrPort
		Phase      beechrollout.Phase
		Weights    map[string]uint64
		Tries      int           // orders in a row that the engine has left unanswered
		Old        time.Duration // since its weights were overtaken; 0: they are not, as the keeper knows
		Born       uint64        // of its lifetime; 0 is not told
		Reading    int           // tokens of long prompts that it has probably not read yet
		Running    int
		Waiting    int
		CacheUsed  int
		CacheTotal int
		Parts      []uint64 // keys of shared parts that gates have sent to it lately
		Gone       []uint64 // keys of those that it has dropped
		Kept       []uint64 // keys of those that it was told to send to the store of kept KV cache
	}

	// Choice is a server for a call and how to send it there.
	Choice struct {
		Server           beechcall.Server
		Weights          uint64
		Salt             string
		Fetch            netip.AddrPort
		Save             netip.AddrPort
		Wait             time.Duration // before it is sent: a part that it needs is being read
		FirstByteTimeout time.Duration // the first byte must have come so long after sending; 0 is no bound
		Expected         float64       // milliseconds until the prompt is read
		QueueTime        float64       // of these, before it is the request's turn
		Cost             float64       // in milliseconds
		Missing          int           // shared tokens that it does not hold, fetched or read
		StoreTokens      int           // of these, from the store of kept KV cache
		PrefillTokens    int           // tokens that the server will probably have to read
		LimitedServer    string        // ID of a cheaper server that is at its limit
		RetryAfter       time.Duration // where all that may be used are at their limits: when one has room
	}

	// Announce tells other gates, by way of the server's keeper, of a prompt
	// with so many tokens to read, and of the shared parts that the server
	// will hold then, by their keys; kept tells that it sends them to the store
	// of kept KV cache too.
	Announce func(server beechcall.Server, tokens int, parts []uint64, kept bool)

	// Outcome of an attempt.
	Outcome int

	// Health tells how far a server may be used: 0 not at all, 1 fully.
	Health interface {
		Weight(server netip.AddrPort) float64
	}
)

// Outcomes of attempts.
const (
	Answered    Outcome = iota // the whole answer
	Rejected                   // not run, by the server's own word
	Failed                     // no answer, or one that broke
	Unreachable                // no connection
	Cancelled                  // the caller left
)

// Defaults are the settings where none are given. PrefillRate is below what engines read;
// it is where the estimate begins. Costs stand in milliseconds of a caller's wait, taken
// as 150 for the worth of one plain request. Waste and Move: the users pay about 0.9
// for a thousand shared tokens that are read again and 0.03 for a thousand that are
// moved; but a copy displaces other parts, so a moved token costs half as much as one
// read again. Crossing: a byte
// between zones costs up to 8 millionths, and the way there and back some
// milliseconds. Old*: weights that are 1.5 s old cost their callers a part of
// the answer's worth. Down: a restart takes some seconds, a lost packet less.
var Defaults = Settings{
	PrefillRate: 40, ReprefillCost: 0.16, FetchCost: 0.07, CrossZoneCost: 8, CrossZoneByteCost: 0.001,
	OutdatedGrace: 1200 * time.Millisecond, OutdatedPenalty: 250, OutdatedSoftLimit: 6 * time.Second, OutdatedHardLimit: 8 * time.Second,
	DownTime: 500 * time.Millisecond, MaxDownTime: 4 * time.Second, Gates: 4,
}

func (s Settings) withDefaults() Settings {
	d := Defaults
	d.Zone = s.Zone
	d.PrefillRate = cmp.Or(s.PrefillRate, d.PrefillRate)
	d.OutdatedGrace = cmp.Or(s.OutdatedGrace, d.OutdatedGrace)
	d.OutdatedPenalty = cmp.Or(s.OutdatedPenalty, d.OutdatedPenalty)
	d.OutdatedSoftLimit = cmp.Or(s.OutdatedSoftLimit, d.OutdatedSoftLimit)
	d.OutdatedHardLimit = max(cmp.Or(s.OutdatedHardLimit, d.OutdatedSoftLimit), d.OutdatedSoftLimit)
	d.DownTime = cmp.Or(s.DownTime, d.DownTime)
	d.MaxDownTime = cmp.Or(s.MaxDownTime, d.MaxDownTime)
	d.Gates = cmp.Or(s.Gates, d.Gates)
	return d
}
