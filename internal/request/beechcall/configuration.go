package beechcall

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// The retry policies of a route: what may be done with a request whose outcome is
// unknown.
const (
	AtMostOnce RetryPolicy = iota // executed at most once
	Repeatable                    // may be executed again from its start
	Resumable                     // a stream that may be resumed on another server after its last event
)

type (
	// RetryPolicy tells which requests may be retried.
	RetryPolicy int

	// Configuration is an accepted version of the operators' configuration. It is immutable
	// once BuildIndex has been called.
	Configuration struct {
		Version    uint64 // number given by the operators
		Revision   uint64 // of the store, ordered by its era first; orders configurations
		Routes     []Route
		Services   map[string]Service
		Workspaces map[string]Workspace // by API key; nil if requests carry none
		Isolated   []string             // names of the isolated workspaces, also of those without keys
		Limits     Limits
		Unread     Unread

		routesByHost map[string][]*Route // longest prefix first
	}

	// Unread names the parts of a configuration that could not be read, or not as a whole.
	Unread struct {
		Version    bool
		Routes     bool
		Services   bool
		Workspaces bool
		Limits     bool
	}

	// Route tells where requests to a host and path prefix go.
	Route struct {
		Name        string
		Host        string
		PathPrefix  string // begins and ends with a slash
		Targets     []Target
		RetryPolicy RetryPolicy
		Stream      bool
		Public      bool          // needs no API key
		Generation  bool          // requests carry a prompt for a model
		Timeout     time.Duration // 0: none
		Objective   time.Duration // target for the time to the first byte of the answer
		MaxPause    time.Duration // longest time between two events of a stream
		MaxAttempts int           // number of servers that may execute one request
		Priority    int           // 0 is the highest
		Leftover    bool          // of the version before, as the routes of the newest could not all be read
	}

	// Target is a service and its share of a route's requests.
	Target struct {
		Service string
		Weight  int
	}

	// Service is a set of backend servers, or a KV cache store if KVStore is valid.
	Service struct {
		Name           string
		HealthPath     string  // of its servers; empty: not known
		MaxConnections int     // of all callers to one server; 0: not known
		Slots          int     // requests that an engine runs at once; 0: not an engine
		TokenBytes     int     // size of one token in the KV cache
		LinkRate       float64 // bytes that an engine sends or receives per millisecond; 0: not known
		CopiesRuns     bool    // its engines send copies of runs to each other
		Models         []string
		KVStore        netip.AddrPort
		KVStoreRate    float64 // bytes that the store sends or receives per millisecond; 0: not known
	}

	// Workspace is the owner of an API key.
	Workspace struct {
		Name     string
		Isolated bool // shares no cache with other workspaces
		Priority int  // takes precedence over the route's; negative: none
		Quota    Quota
	}

	// Quota is what a workspace may use at all gates together.
	Quota struct {
		Rate          float64 // per second; 0: no limit
		Burst         float64
		CountsTokens  bool // Rate and Burst count tokens, not requests
		DefaultTokens int  // cost of a request that declares no token counts
		Invalid       bool // the configured quota cannot be used: the last valid one stays in force
	}

	// Limits bound what a caller may send. Zero means not known.
	Limits struct {
		HeadBytes   int
		BodyBytes   int64
		IdleTimeout time.Duration // of a connection between requests
	}

	// WeightsVersion is a version of a model's weights that operators have announced.
	WeightsVersion struct {
		Model    string
		Version  uint64
		Revision uint64 // of the store; grows with the version
	}

	// Server is one lifetime of a backend server.
	Server struct {
		ID       string // of this lifetime
		Service  string
		Address  netip.AddrPort
		Zone     string
		ListedAt uint64 // revision of the store at which it was first listed; orders lifetimes
		Revision uint64 // of the store at which its entry was last written
		Born     uint64 // start of the lifetime in Unix milliseconds; one ID may have several lifetimes; 0: not reported
		Slots    int
		Leaving  bool
		Weights  map[string]uint64 // version by model, as listed; may be out of date
		Software string            // version of its software, not of weights; empty: not known
	}
)

// Any reports whether anything could not be read.
func (u Unread) Any() bool { return u != Unread{} }

// CompletedBy returns a configuration of which some parts could not be read, completed by the one before it. Parts that
// were read hold as they are; of the others, what the one before has is added. It is nil if nothing was read.
func (c *Configuration) CompletedBy(previous *Configuration) *Configuration {
	if !c.Unread.Any() {
		return c
	}
	if (c.Unread == Unread{Version: true, Routes: true, Services: true, Workspaces: true, Limits: true}) {
		return nil
	}
	if previous == nil {
		previous = &Configuration{}
	}
	next := &Configuration{Version: c.Version, Revision: c.Revision, Routes: c.Routes, Services: maps.Clone(c.Services), Workspaces: c.Workspaces, Isolated: c.Isolated, Limits: c.Limits, Unread: c.Unread}
	if c.Unread.Version {
		next.Version = previous.Version
	}
	if c.Unread.Limits {
		next.Limits = previous.Limits
	}
	if c.Unread.Services {
		next.Services = maps.Clone(previous.Services)
		maps.Copy(next.Services, c.Services)
	}
	if c.Unread.Routes {
		next.Routes = slices.Clone(c.Routes)
		for _, r := range previous.Routes {
			if !slices.ContainsFunc(c.Routes, func(read Route) bool { return read.Host == r.Host && read.PathPrefix == r.PathPrefix }) {
				r.Leftover = true
				next.Routes = append(next.Routes, r)
			}
		}
	}
	if c.Unread.Workspaces || c.Workspaces == nil { // beside a part that cannot be read, a missing list does not end all keys
		next.Unread.Workspaces = true
		next.Isolated = append(slices.Clone(previous.Isolated), c.Isolated...)
		next.Workspaces = map[string]Workspace{}
		maps.Copy(next.Workspaces, previous.Workspaces)
		maps.Copy(next.Workspaces, c.Workspaces)
		if previous.Workspaces == nil && previous.Revision > 0 && c.Workspaces == nil {
			next.Workspaces = nil // requests carried no keys before
		}
	}
	next.BuildIndex()
	return next
}

// BuildIndex prepares the configuration for FindRoute. It must be called once, before the
// configuration is shared.
func (c *Configuration) BuildIndex() {
	c.routesByHost = make(map[string][]*Route, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(x, y *Route) int { return len(y.PathPrefix) - len(x.PathPrefix) })
	}
}

// FindRoute returns the host's route with the longest prefix of the path.
func (c *Configuration) FindRoute(host, path string) (*Route, bool) {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// PickService returns a target's service, chosen by weight with a random number in [0, 1).
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

// LimitsPauses reports whether a route to a service has a longest pause between a stream's events.
func (c *Configuration) LimitsPauses(service string) bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool {
		return r.Stream && r.MaxPause > 0 && slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
	})
}

// KVStores returns the KV cache stores, sorted by address.
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
