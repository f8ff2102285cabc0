package beechroute

import (
	"net/netip"
	"time"
)

type (
	// Key is the chained hash of a prompt prefix.
	Key = [16]byte

	// Level is one prefix in the chain of a prompt's prefixes, which is ordered
	// from the shortest to the longest. Tokens counts from the start of the prompt.
	Level struct {
		Key    Key
		Tokens int
	}

	// Server is a backend server as the entry host knows it. Address is the link
	// address of its agent and identifies the server everywhere. Models lists the
	// models that it serves now, as "model@weights".
	Server struct {
		Address     netip.AddrPort
		Zone        string
		Incarnation uint64
		Models      []string
	}

	// Load is the load of a server as last reported by its agent.
	Load struct {
		Running       int
		Waiting       int
		WaitingTokens int64
		Slots         int
		PrefillRate   int // prompt tokens per second
		TokenTime     time.Duration
	}

	// Request holds what the choice of a server depends on. Model is
	// "model@weights". Avoid lists servers that were already tried.
	Request struct {
		Model        string
		Levels       []Level
		PromptTokens int
		OutputTokens int
		Avoid        []netip.AddrPort
	}

	// Candidate is a server with the predictions for a request on it.
	Candidate struct {
		Server     netip.AddrPort
		FirstToken time.Duration // time to first token
		Uncached   int           // prompt tokens to prefill
		Cost       float64       // seconds
	}

	// Choice ranks the candidates, best first. It is empty if no usable server
	// serves the model.
	Choice struct {
		Ranked []Candidate
	}

	// Reply is a server's answer to a request, as far as it concerns routing.
	Reply struct {
		Server       netip.AddrPort
		Incarnation  uint64
		Model        string
		Levels       []Level
		PromptTokens int
		CachedTokens int
		FirstToken   time.Duration
	}

	// CacheChange is a prefix that a server has cached or queued for prefill, or
	// that its engine has evicted.
	CacheChange struct {
		Key    Key
		Tokens int
		Held   bool // false if evicted
	}

	// CacheChanges is an agent's announcement about its engine's cache. If Complete
	// is set, List is the whole content of the cache, and prefixes that are not
	// listed are forgotten.
	CacheChanges struct {
		Complete bool
		List     []CacheChange
	}

	// HotPrefix is a prefix in demand with the servers that hold it. It is passed
	// to entry hosts that restart.
	HotPrefix struct {
		Key     Key
		Tokens  int
		Rate    float64 // requests per second
		Holders []netip.AddrPort
	}

	// Health returns how much of a server's capacity may be used: 0 for none, 1 for
	// all, and values in between during slow start.
	Health interface {
		Weight(server netip.AddrPort) float64
	}

	// Settings are the settings of a deployment. WasteWeight weights the time spent
	// on recomputed prefill against time to first token, beyond what recomputation
	// takes from other requests in any case: Granite Loop uses about 8, Solís
	// Monterroso 0 to 2. For the other fields zero selects a default. ZoneDistance
	// is the extra round-trip time to another availability zone. ReportLag is the
	// age of a load report on arrival. MaxBytes bounds the table of prefixes.
	// Disabled switches mechanisms off for measurements.
	Settings struct {
		Zone         string
		WasteWeight  float64
		ZoneDistance time.Duration
		ReportLag    time.Duration
		MaxBytes     int
		Disabled     Mechanism
	}

	// Mechanism is a set of mechanisms of the router.
	Mechanism uint
)

// Mechanisms that Settings.Disabled can switch off.
const (
	MechanismHolders       Mechanism = 1 << iota // known holders of a prefix as candidates
	MechanismHomes                               // homes by consistent hashing as candidates
	MechanismOwnDispatches                       // own recent dispatches added to the reported load
	MechanismAnnouncements                       // agents' announcements of their caches
	MechanismRecomputeCost                       // recomputation costs more than its time
	MechanismZoneDistance                        // extra cost of other availability zones
)
