package beechroute

import (
	"net/netip"
	"time"
)

type (
	// Key is a prefix's chained hash.
	Key = [16]byte

	// Level is one step of a prompt's prefix chain, the shortest first.
	// Tokens counts from the prompt's start through this level.
	Level struct {
		Key    Key
		Tokens int
	}

	// Server is a backend server as the entry host knows it. Address is its
	// agent's link address and names it everywhere. Models holds
	// "model@weights" for what it serves now.
	Server struct {
		Address     netip.AddrPort
		Zone        string
		Incarnation uint64
		Models      []string
	}

	// Load is an agent's last word on its server.
	Load struct {
		Running       int
		Waiting       int
		WaitingTokens int64
		Slots         int
		PrefillRate   int // prompt tokens a second
		TokenTime     time.Duration
	}

	// Request is what the choice depends on. Avoid names servers already
	// tried. Model is "model@weights".
	Request struct {
		Model        string
		Levels       []Level
		PromptTokens int
		OutputTokens int
		Avoid        []netip.AddrPort
	}

	// Candidate is a server with what is predicted for the request on it.
	Candidate struct {
		Server     netip.AddrPort
		FirstToken time.Duration
		Uncached   int
		Cost       float64
	}

	// Choice ranks the candidates, best first; it is empty where no server
	// serves the model.
	Choice struct {
		Ranked []Candidate
	}

	// Reply is what was learned from a request that a server answered.
	Reply struct {
		Server       netip.AddrPort
		Incarnation  uint64
		Model        string
		Levels       []Level
		PromptTokens int
		CachedTokens int
		FirstToken   time.Duration
	}

	// CacheChange is a prefix that has come into a server's cache or queue, or that
	// its engine has evicted.
	CacheChange struct {
		Key    Key
		Tokens int
		Held   bool
	}

	// CacheChanges is what an agent says of its cache. Complete says that the list is
	// everything held, so that anything else is to be forgotten.
	CacheChanges struct {
		Complete bool
		List     []CacheChange
	}

	// HotPrefix is a prefix in demand with those that hold it, for entry
	// hosts that restart.
	HotPrefix struct {
		Key     Key
		Tokens  int
		Rate    float64 // requests a second
		Holders []netip.AddrPort
	}

	// Health tells how far a server may be used: 0 not at all, 1 fully, in
	// between during slow start.
	Health interface {
		Weight(server netip.AddrPort) float64
	}

	// Settings are the deployment's. WasteWeight is the worth of recomputed
	// prefill time against time to first token, beyond what recomputation takes
	// from other requests in any case: Granite Loop's is about 8, Solís
	// Monterroso's 0 to 2. The rest has defaults for zero: ZoneDistance is what a
	// request to another availability zone takes longer, there and back;
	// ReportLag is how old a load report is when it arrives; MaxBytes bounds
	// the table of prefixes. Disabled switches mechanisms off, for measurement.
	Settings struct {
		Zone         string
		WasteWeight  float64
		ZoneDistance time.Duration
		ReportLag    time.Duration
		MaxBytes     int
		Disabled     Mechanism
	}

	// Mechanism is a set of the router's mechanisms.
	Mechanism uint
)

// Mechanisms that Settings.Disabled can switch off.
const (
	MechanismHolders       Mechanism = 1 << iota // known holders as candidates
	MechanismHomes                               // homes by consistent hashing
	MechanismOwnDispatches                       // own dispatches added to the load report
	MechanismAnnouncements                       // what agents say of their caches
	MechanismRecomputeCost                       // recomputation weighs more than its time
	MechanismZoneDistance                        // distance to other availability zones
)
