package beechcall

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// The rules of a route: what may be done with a request whose outcome is not
// known.
const (
	RuleOnce       Rule = iota // runs at most once
	RuleRepeatable             // may run again from its start
	RuleResumable              // a stream that may go on elsewhere after its last event
)

type (
	// Rule says what may be repeated.
	Rule int

	// Configuration is one accepted state of what operators describe. It is
	// not changed after it was made.
	Configuration struct {
		Version    uint64 // the operators' own number
		Revision   uint64 // of the store, orders configurations
		Routes     []Route
		Services   map[string]Service
		Workspaces map[string]Workspace // by key; nil where requests carry none
		Limits     Limits

		byHost map[string][]*Route // longest prefix first
	}

	// Route says where requests of a host and path prefix go.
	Route struct {
		Name        string
		Host        string
		Prefix      string // begins and ends with a slash
		Targets     []Target
		Rule        Rule
		Stream      bool
		Public      bool          // needs no key
		Generation  bool          // carries a prompt for a model
		Timeout     time.Duration // 0 is none
		Objective   time.Duration // to the first byte of the answer
		Pause       time.Duration // longest between events of a stream
		MaxAttempts int           // servers that one request may run on
		Priority    int           // 0 goes first
	}

	// Target is a service with its share of a route's requests.
	Target struct {
		Service string
		Weight  int
	}

	// Service is a set of backend servers, or a store of kept KV cache where
	// Kept is valid.
	Service struct {
		Name           string
		MaxConnections int // of all callers to one server; 0 is not known
		Slots          int // requests that an engine runs at once; 0 for plain services
		TokenBytes     int // KV cache of one token
		Models         []string
		Kept           netip.AddrPort
		Link           float64 // of a kept store: bytes that it sends or takes in a millisecond; 0 is not known
	}

	// Workspace is who a key belongs to.
	Workspace struct {
		Name     string
		Isolated bool // shares no cache with other workspaces
		Priority int  // goes before the route's; negative is none
		Quota    Quota
	}

	// Quota is what a workspace may use over all gates together.
	Quota struct {
		Rate    float64 // a second; 0 is no limit
		Burst   float64
		Tokens  bool // both are tokens, else requests
		Plain   int  // tokens that a request counts which names none
		Unknown bool // what operators wrote cannot be used: the last good one stays
	}

	// Limits bound what a caller may send. Zero is not known.
	Limits struct {
		BodyBytes int64
		IdleTime  time.Duration // of a connection between requests
	}

	// Named is a version of a model's weights that operators want in use.
	Named struct {
		Model    string
		Version  uint64
		Revision uint64 // of the store; grows with the version
	}

	// Server is a backend server in one lifetime.
	Server struct {
		ID      string // of this lifetime
		Service string
		Address netip.AddrPort
		Zone    string
		Since   uint64 // revision at which it was listed first; orders lifetimes
		Born    uint64 // Unix milliseconds at which this lifetime began, the same ID may have several; 0 is not told
		Slots   int
		Leaving bool
		Weights map[string]uint64 // version by model, as the list says; late
	}
)

// Index prepares a configuration for Find. It is called once, before the
// configuration is shared.
func (c *Configuration) Index() {
	c.byHost = make(map[string][]*Route, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(x, y *Route) int { return len(y.Prefix) - len(x.Prefix) })
	}
}

// Find gives the route of a host with the longest prefix of the path.
func (c *Configuration) Find(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Pick draws a target's service by weight; draw is in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := draw * float64(total)
	for _, t := range r.Targets {
		if left -= float64(t.Weight); left < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// KeptStores gives the stores of kept KV cache, by address.
func (c *Configuration) KeptStores() []Service {
	var stores []Service
	for _, s := range c.Services {
		if s.Kept.IsValid() {
			stores = append(stores, s)
		}
	}
	slices.SortFunc(stores, func(x, y Service) int { return x.Kept.Compare(y.Kept) })
	return stores
}
