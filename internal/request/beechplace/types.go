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
		Zone         string
		PrefillRate  float64       // prompt tokens that an engine reads in a millisecond
		Waste        float64       // cost of a shared token that is read again, beyond its own time
		Move         float64       // cost of a token that is fetched
		Crossing     float64       // cost of another zone
		CrossingByte float64       // and of each byte of the request
		OldFree      time.Duration // weights may be old for so long without a penalty
		OldPenalty   float64       // cost of old weights after that
		OldMost      time.Duration // after that old weights are only for what would begin at once
		OldBegin     time.Duration // nothing may begin on weights that are older
		Down         time.Duration // first time out of a server that does not answer; doubles
		DownMost     time.Duration
		Fronts       int // gates that send to the same engines
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
		Server   beechcall.Server
		Weights  uint64
		Salt     string
		Fetch    netip.AddrPort
		Save     netip.AddrPort
		Wait     time.Duration // before it is sent: a part that it needs is being read
		Begin    time.Duration // the first byte must have come so long after sending; 0 is no bound
		Expected float64       // milliseconds until the prompt is read
		Ahead    float64       // of these, before it is the request's turn
		Cost     float64       // in milliseconds
		Missing  int           // shared tokens that it does not hold, fetched or read
		Moved    int           // of these, from the store of kept KV cache
		Unread   int           // tokens that the server will probably have to read
		Passed   string        // ID of a cheaper server that is at its limit
		Back     time.Duration // where all that may be used are at their limits: when one has room
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
	Answered   Outcome = iota // the whole answer
	TurnedAway                // not run, by the server's own word
	Failed                    // no answer, or one that broke
	Unreached                 // no connection
	Left                      // the caller left
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
	PrefillRate: 40, Waste: 0.16, Move: 0.07, Crossing: 8, CrossingByte: 0.001,
	OldFree: 1200 * time.Millisecond, OldPenalty: 250, OldMost: 6 * time.Second, OldBegin: 8 * time.Second,
	Down: 500 * time.Millisecond, DownMost: 4 * time.Second, Fronts: 4,
}

func (s Settings) withDefaults() Settings {
	d := Defaults
	d.Zone = s.Zone
	d.PrefillRate = cmp.Or(s.PrefillRate, d.PrefillRate)
	d.OldFree = cmp.Or(s.OldFree, d.OldFree)
	d.OldPenalty = cmp.Or(s.OldPenalty, d.OldPenalty)
	d.OldMost = cmp.Or(s.OldMost, d.OldMost)
	d.OldBegin = max(cmp.Or(s.OldBegin, d.OldMost), d.OldMost)
	d.Down = cmp.Or(s.Down, d.Down)
	d.DownMost = cmp.Or(s.DownMost, d.DownMost)
	d.Fronts = cmp.Or(s.Fronts, d.Fronts)
	return d
}
