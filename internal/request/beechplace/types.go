package beechplace

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

type (
	// Settings of a placer. Zero values are replaced by Defaults.
	Settings struct {
		Zone              string
		PrefillRate       float64       // prompt tokens that an engine prefills per millisecond
		ReprefillCost     float64       // per shared token that is computed again, beyond its prefill time
		FetchCost         float64       // per token that is fetched
		CrossZoneCost     float64       // of sending to another zone
		CrossZoneByteCost float64       // of sending to another zone, per byte of the request body
		OutdatedGrace     time.Duration // how long outdated weights cost nothing
		OutdatedPenalty   float64       // of outdated weights after OutdatedGrace
		OutdatedSoftLimit time.Duration // from this age on, outdated weights only get requests that are expected to start in time
		OutdatedHardLimit time.Duration // no request may start on weights outdated for longer
		DownTime          time.Duration // first exclusion of an unreachable server; doubles up to MaxDownTime
		MaxDownTime       time.Duration
		Gates             int  // number of gates that send to the same engines
		CallersCompete    bool // at times callers ask for more than the servers can do
		// ListIsRecent reports whether the list of servers has been confirmed lately, so that servers that leave are
		// known. Nil: it always has.
		ListIsRecent func() bool
		// ListAge returns the time since the list of servers was proved to be complete. Nil: it is not known.
		ListAge func() time.Duration
	}

	// State is what a keeper reports about its engine.
	State struct {
		Number     uint32 // increases with each report of the keeper
		Address    netip.AddrPort
		Phase      beechrollout.Phase
		Weights    map[string]uint64
		Tries      int           // consecutive orders that the engine has not answered
		Old        time.Duration // time since newer weights were announced, as known to the keeper; 0: its weights are current
		Born       uint64        // start time of its lifetime; 0 if unknown
		Reading    int           // estimated tokens of long prompts that are not prefilled yet
		Running    int
		Waiting    int
		CacheUsed  int
		CacheTotal int
		Parts      []uint64 // keys of shared parts that gates have recently sent to it
		Gone       []uint64 // keys of those that it has evicted
		Kept       []uint64 // keys of those that it was told to save to the KV cache store
	}

	// CachedParts are keys of shared parts that an engine is believed to cache, and of those
	// that a KV cache store has too.
	CachedParts struct {
		Cached []uint64
		Stored []uint64
	}

	// Choice is a server for a call and how to send the call to it.
	Choice struct {
		Server           beechcall.Server
		Weights          uint64
		Salt             string         // of the KV cache that the prompt may use
		Fetch            netip.AddrPort // engine or KV cache store to fetch missing parts from; invalid if none
		Save             netip.AddrPort // KV cache store to save the prompt to; invalid if none
		Wait             time.Duration  // delay before sending, while another request prefills a part that this one needs
		FirstByteTimeout time.Duration  // longest time from sending to the first byte; 0 is unbounded
		Expected         float64        // milliseconds until the prompt is prefilled
		QueueTime        float64        // part of Expected that is spent waiting
		Cost             float64        // in milliseconds
		Missing          int            // shared tokens not cached by the server, to be fetched or prefilled
		StoreTokens      int            // part of Missing that is fetched from the KV cache store
		PrefillTokens    int            // estimated tokens that the server has to prefill
		LimitedServer    string         // ID of a cheaper server that was skipped because it is at its limit
		RetryAfter       time.Duration  // if all usable servers are at their limits or have asked for no requests: time until one accepts a request
		BackingOff       bool           // RetryAfter is the time that servers have asked for
	}

	// ServerState is what is known of a server.
	ServerState struct {
		ID        string
		Reported  bool               // its keeper has reported recently
		ReportAge time.Duration      // since its keeper's last report; 0: there was none
		Phase     beechrollout.Phase // in that report
		InFlight  int                // attempts of this gate
	}

	// Announce tells other gates, by way of the server's keeper, of a prompt with the given
	// number of tokens to prefill and of the keys of the shared parts that the server will
	// cache. saved is true if the server also saves them to the KV cache store.
	Announce func(server beechcall.Server, tokens int, parts []uint64, saved bool)

	// AnnounceUrgency tells other gates, by way of the server's keeper, how urgent a request is
	// that may wait there, and how many tokens it has to prefill. It is called for servers whose
	// keepers report by urgency.
	AnnounceUrgency func(server beechcall.Server, urgency, tokens int)

	// Outcome is the result of an attempt.
	Outcome int

	// Health tells to what degree a server may be used: 0 not at all, 1 fully.
	Health interface {
		Weight(server netip.AddrPort) float64
	}
)

// Outcomes of attempts.
const (
	Answered    Outcome = iota // the response is complete
	Errored                    // the response is complete, and reports an error of the server
	Rejected                   // the server reported that the request did not run
	Failed                     // no response, or an incomplete one
	Unreachable                // no connection
	Cancelled                  // the caller disconnected, or the request was not sent
	Withdrawn                  // not sent after AcquireLimit
)

// Defaults are used for settings that are not given. PrefillRate starts below the rate of real
// engines and is then learned. Costs are in milliseconds of a caller's waiting time, where one
// plain request is worth 150.
//
// ReprefillCost and FetchCost: users pay about 0.9 for a thousand shared tokens that are
// prefilled again and 0.03 for a thousand that are fetched. A fetched copy displaces other
// cached parts, so a fetched token costs half as much as one that is prefilled again.
//
// CrossZoneCost and CrossZoneByteCost: a byte between zones costs up to 8 millionths, and the
// round trip takes some milliseconds.
//
// Outdated*: weights that have been outdated for 1.5 s cost callers a part of the response's
// worth. DownTime: a restart takes some seconds, recovery from a lost packet less.
var Defaults = Settings{
	PrefillRate: 40, ReprefillCost: 0.16, FetchCost: 0.07, CrossZoneCost: 8, CrossZoneByteCost: 0.001,
	OutdatedGrace: 1200 * time.Millisecond, OutdatedPenalty: 250, OutdatedSoftLimit: 6 * time.Second, OutdatedHardLimit: 8 * time.Second,
	DownTime: 500 * time.Millisecond, MaxDownTime: 4 * time.Second, Gates: 4,
}

func (s Settings) withDefaults() Settings {
	d := Defaults
	s.PrefillRate = cmp.Or(s.PrefillRate, d.PrefillRate)
	s.ReprefillCost, s.FetchCost = cmp.Or(s.ReprefillCost, d.ReprefillCost), cmp.Or(s.FetchCost, d.FetchCost)
	s.CrossZoneCost, s.CrossZoneByteCost = cmp.Or(s.CrossZoneCost, d.CrossZoneCost), cmp.Or(s.CrossZoneByteCost, d.CrossZoneByteCost)
	s.OutdatedGrace, s.OutdatedPenalty = cmp.Or(s.OutdatedGrace, d.OutdatedGrace), cmp.Or(s.OutdatedPenalty, d.OutdatedPenalty)
	s.OutdatedSoftLimit = cmp.Or(s.OutdatedSoftLimit, d.OutdatedSoftLimit)
	s.OutdatedHardLimit = max(s.OutdatedHardLimit, s.OutdatedSoftLimit)
	s.DownTime, s.MaxDownTime = cmp.Or(s.DownTime, d.DownTime), cmp.Or(s.MaxDownTime, d.MaxDownTime)
	s.Gates = cmp.Or(s.Gates, d.Gates)
	return s
}
