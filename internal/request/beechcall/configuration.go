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
	AtMostOnce RetryPolicy = iota // runs at most once
	Repeatable                    // may run again from its start
	Resumable                     // a stream that may go on elsewhere after its last event
)

type (
	// RetryPolicy says what may be repeated.
	RetryPolicy int

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
		PathPrefix  string // begins and ends with a slash
		Targets     []Target
		RetryPolicy RetryPolicy
		Stream      bool
		Public      bool          // needs no key
		Generation  bool          // carries a prompt for a model
		Timeout     time.Duration // 0 is none
		Objective   time.Duration // to the first byte of the answer
		MaxPause    time.Duration // longest between events of a stream
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
		KVStore        netip.AddrPort
		KVStoreRate    float64 // of a kept store: bytes that it sends or takes in a millisecond; 0 is not known
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
		Rate          float64 // a second; 0 is no limit
		Burst         float64
		CountsTokens  bool // both are tokens, else requests
		DefaultTokens int  // tokens that a request counts which names none
		Invalid       bool // what operators wrote cannot be used: the last good one stays
	}

	// Limits bound what a caller may send. Zero is not known.
	Limits struct {
		BodyBytes   int64
		IdleTimeout time.Duration // of a connection between requests
	}

	// WeightsVersion is a version of a model's weights that operators want in use.
	WeightsVersion struct {
		Model    string
		Version  uint64
		Revision uint64 // of the store; grows with the version
	}

	// Server is a backend server in one lifetime.
	Server struct {
		ID       string // of this lifetime
		Service  string
		Address  netip.AddrPort
		Zone     string
		ListedAt uint64 // revision at which it was listed first; orders lifetimes
		Born     uint64 // Unix milliseconds at which this lifetime began, the same ID may have several; 0 is not told
		Slots    int
		Leaving  bool
		Weights  map[string]uint64 // version by model, as the list says; late
	}
)

// BuildIndex prepares a configuration for Find. It is called once, before the
// configuration is shared.
func (c *Configuration) BuildIndex() {
	c.byHost = make(map[string][]*Route, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(x, y *Route) int { return len(y.PathPrefix) - len(x.PathPrefix) })
	}
}

// FindRoute gives the route of a host with the longest prefix of the path.
func (c *Configuration) FindRoute(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// PickService draws a target's service by weight; draw is in [0, 1).
func (r *Route) PickService(draw float64) string {
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

// KVStores gives the stores of kept KV cache, by address.
func (c *Configuration) KVStores() []Service {
	var stores []Service
	for _, s := range c.Services {
		if s.KVStore.IsValid() {
			stores = append(stores, s)
		}
	}
	slices.SortFunc(stores, func(x, y Service) int { return x.KVStore.Compare(y.KVStore) })
	return stores
}
