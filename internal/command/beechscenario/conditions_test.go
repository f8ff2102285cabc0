package beechscenario

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/beechring/beechring/internal/standin/beechengine"
)

// commandUntil implements until CONDITION, which waits until one of these
// conditions holds:
//
//	ready NAME...            the processes report that they are ready
//	serving ENTRY N          the entry host is linked to N serving agents
//	usable ENTRY N           N agents are usable members at the entry host
//	generation N NAME...     configuration generation N is in force
//	offers AGENT MODELS      the agent offers exactly these models
//	shared AGENT...          the agents have shared members
//	gaps AGENT...            the agents found gaps in their engines' cache events
//	emptycache AGENT...      the agents know of no cache entries
//	learned ENTRY AGENT...   the entry host has the agents' newest cache versions
//	events CALL N            the call has received N events
//	persisted CALL           the call has ended and was not refused as not run
//	shipped CALL             a service ran the call's request
//	calls N                  N calls have ended
//	refused N                N calls were refused as not run
//	ran N                    services ran N different requests
//	running ENGINE N         N runs are in progress at the engine
//	cancelled ENGINE N       N runs were cancelled at the engine
//	spread N                 N engines began runs since the mark
//	orders ENGINE N          the engine received N orders
//	fence ENGINE N           the engine received an order with fencing number N or higher
//	holding ENGINE MODEL     the engine has the model loaded
//	log NAME TEXT            the log of the process contains the text
//
// Numbers of calls, events, runs, orders and engines are minimums.
func commandUntil(d *deployment, arguments []string) error {
	if len(arguments) < 2 {
		return usage("until CONDITION ARGUMENT...")
	}
	condition, err := d.condition(arguments[0], arguments[1:])
	if err != nil {
		return err
	}
	return d.until(strings.Join(arguments, " "), condition)
}

func (d *deployment) condition(kind string, a []string) (func() bool, error) {
	switch kind {
	case "ready":
		return func() bool { return d.all(a, func(s roleStatus) bool { return s.Ready }) }, nil
	case "usable":
		count, err := strconv.Atoi(a[1])
		return func() bool { return d.all(a[:1], func(s roleStatus) bool { return s.usable() == count }) }, err
	case "shared":
		return func() bool { return d.all(a, func(s roleStatus) bool { return s.Shared > 0 }) }, nil
	case "gaps":
		return func() bool { return d.all(a, func(s roleStatus) bool { return s.Cache.Gaps > 0 }) }, nil
	case "learned":
		return func() bool { return d.knowsCacheVersions(a[0], a[1:]) }, nil
	case "emptycache":
		return func() bool { return d.all(a, func(s roleStatus) bool { return s.Cache.Entries == 0 }) }, nil
	case "cancelled":
		count, err := strconv.Atoi(a[1])
		return func() bool { return d.countState(a[0], beechengine.StateCancelled) >= count }, err
	case "serving":
		count, err := strconv.Atoi(a[1])
		return func() bool { return d.all(a[:1], func(s roleStatus) bool { return s.Serving == count }) }, err
	case "generation":
		generation, err := strconv.Atoi(a[0])
		return func() bool { return d.all(a[1:], func(s roleStatus) bool { return s.Generation == generation }) }, err
	case "offers":
		return func() bool {
			return d.all(a[:1], func(s roleStatus) bool { return strings.Join(s.Offers, ",") == a[1] })
		}, nil
	case "events":
		count, err := strconv.Atoi(a[1])
		return func() bool {
			c, err := d.call(a[0])
			return err == nil && c.eventCount() >= count
		}, err
	case "calls":
		count, err := strconv.Atoi(a[0])
		return func() bool { return len(d.endedCalls()) >= count }, err
	case "ran":
		count, err := strconv.Atoi(a[0])
		return func() bool { return len(d.serviceRuns()) >= count }, err
	case "shipped":
		return func() bool {
			c, err := d.call(a[0])
			return err == nil && d.serviceRuns()[c.journalKey()] > 0
		}, nil
	case "persisted":
		return func() bool {
			c, err := d.call(a[0])
			return err == nil && c.isOver() && c.ran != "no"
		}, nil
	case "refused":
		count, err := strconv.Atoi(a[0])
		return func() bool { return d.refusedCount() >= count }, err
	case "orders":
		count, err := strconv.Atoi(a[1])
		return func() bool { return len(d.ordersOf(a[0])) >= count }, err
	case "fence":
		number, err := strconv.ParseUint(a[1], 10, 64)
		return func() bool {
			return slices.ContainsFunc(d.ordersOf(a[0]), func(o beechengine.OrderEntry) bool { return o.Fence >= number })
		}, err
	case "holding":
		return func() bool { return d.engineHasModel(a[0], a[1]) }, nil
	case "running":
		count, err := strconv.Atoi(a[1])
		return func() bool { return d.countState(a[0], beechengine.StateRunning) >= count }, err
	case "spread":
		count, err := strconv.Atoi(a[0])
		return func() bool { return len(d.beganSince(d.markTime)) >= count }, err
	case "log":
		return func() bool {
			data, _ := os.ReadFile(filepath.Join(d.dir, a[0]+".log"))
			return bytes.Contains(data, []byte(a[1]))
		}, nil
	default:
		return nil, fmt.Errorf("unknown condition %q", kind)
	}
}

// roleStatus holds the fields of a status page that conditions examine.
type roleStatus struct {
	Ready      bool     `json:"ready"`
	Serving    int      `json:"servingAgents"`
	Generation int      `json:"generation"`
	Offers     []string `json:"offers"`
	Shared     int      `json:"sharedMembers"`
	Members    []struct {
		Host   struct{ Role string }
		Usable bool
	} `json:"members"`
	Cache struct {
		Entries int
		Gaps    uint64
	} `json:"cache"`
	Version uint64            `json:"cacheVersion"`
	Caches  map[string]uint64 `json:"cacheVersions"`
}

// knowsCacheVersions reports whether an entry host knows the newest cache version
// of each of the agents.
func (d *deployment) knowsCacheVersions(entry string, agents []string) bool {
	var known, own roleStatus
	if d.status(entry, &known) != nil {
		return false
	}
	for _, name := range agents {
		if d.status(name, &own) != nil || known.Caches[d.publicAddress(name)] != own.Version {
			return false
		}
	}
	return true
}

// publicAddress returns the address at which entry hosts connect to an agent.
func (d *deployment) publicAddress(agent string) string {
	for _, h := range d.hosts {
		if h.Name == agent {
			return h.Address.String()
		}
	}
	return ""
}

func (s roleStatus) usable() int {
	count := 0
	for _, m := range s.Members {
		if m.Usable && m.Host.Role == "agent" {
			count++
		}
	}
	return count
}

func (d *deployment) all(names []string, good func(s roleStatus) bool) bool {
	for _, name := range names {
		var s roleStatus
		if d.status(name, &s) != nil || !good(s) {
			return false
		}
	}
	return true
}
