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

// until CONDITION: ready NAME..., serving ENTRY N, usable ENTRY N, generation N
// NAME..., offers AGENT MODELS, shared AGENT..., gaps AGENT..., emptycache
// AGENT..., cancelled ENGINE N, events CALL N, calls N, ran N, log NAME TEXT,
// refused N, orders ENGINE N, holding ENGINE MODEL, running ENGINE N, spread N,
// shipped CALL, fence ENGINE N, persisted CALL,
// learned ENTRY AGENT....
func commandUntil(w *world, arguments []string) error {
	if len(arguments) < 2 {
		return usage("until CONDITION ARGUMENT...")
	}
	condition, err := w.condition(arguments[0], arguments[1:])
	if err != nil {
		return err
	}
	return w.until(strings.Join(arguments, " "), condition)
}

func (w *world) condition(kind string, a []string) (func() bool, error) {
	switch kind {
	case "ready":
		return func() bool { return w.all(a, func(s roleStatus) bool { return s.Ready }) }, nil
	case "usable":
		count, err := strconv.Atoi(a[1])
		return func() bool { return w.all(a[:1], func(s roleStatus) bool { return s.usable() == count }) }, err
	case "shared":
		return func() bool { return w.all(a, func(s roleStatus) bool { return s.Shared > 0 }) }, nil
	case "gaps":
		return func() bool { return w.all(a, func(s roleStatus) bool { return s.Cache.Gaps > 0 }) }, nil
	case "learned":
		return func() bool { return w.hasLearned(a[0], a[1:]) }, nil
	case "emptycache":
		return func() bool { return w.all(a, func(s roleStatus) bool { return s.Cache.Entries == 0 }) }, nil
	case "cancelled":
		count, err := strconv.Atoi(a[1])
		return func() bool { return w.countState(a[0], beechengine.StateCancelled) >= count }, err
	case "serving":
		count, err := strconv.Atoi(a[1])
		return func() bool { return w.all(a[:1], func(s roleStatus) bool { return s.Serving == count }) }, err
	case "generation":
		generation, err := strconv.Atoi(a[0])
		return func() bool { return w.all(a[1:], func(s roleStatus) bool { return s.Generation == generation }) }, err
	case "offers":
		return func() bool {
			return w.all(a[:1], func(s roleStatus) bool { return strings.Join(s.Offers, ",") == a[1] })
		}, nil
	case "events":
		count, err := strconv.Atoi(a[1])
		return func() bool {
			c, err := w.call(a[0])
			return err == nil && c.eventCount() >= count
		}, err
	case "calls":
		count, err := strconv.Atoi(a[0])
		return func() bool { return len(w.allCalls()) >= count }, err
	case "ran":
		count, err := strconv.Atoi(a[0])
		return func() bool { return len(w.serviceRuns()) >= count }, err
	case "shipped":
		return func() bool {
			c, err := w.call(a[0])
			return err == nil && w.serviceRuns()[c.journalKey()] > 0
		}, nil
	case "persisted":
		return func() bool {
			c, err := w.call(a[0])
			return err == nil && c.isOver() && c.ran != "no"
		}, nil
	case "refused":
		count, err := strconv.Atoi(a[0])
		return func() bool { return w.refusedCount() >= count }, err
	case "orders":
		count, err := strconv.Atoi(a[1])
		return func() bool { return len(w.ordersOf(a[0])) >= count }, err
	case "fence":
		number, err := strconv.ParseUint(a[1], 10, 64)
		return func() bool {
			return slices.ContainsFunc(w.ordersOf(a[0]), func(o beechengine.OrderEntry) bool { return o.Fence >= number })
		}, err
	case "holding":
		return func() bool { return w.engineHolds(a[0], a[1]) }, nil
	case "running":
		count, err := strconv.Atoi(a[1])
		return func() bool { return w.countState(a[0], beechengine.StateRunning) >= count }, err
	case "spread":
		count, err := strconv.Atoi(a[0])
		return func() bool { return len(w.beganSince(w.markedAt)) >= count }, err
	case "log":
		return func() bool {
			data, _ := os.ReadFile(filepath.Join(w.dir, a[0]+".log"))
			return bytes.Contains(data, []byte(a[1]))
		}, nil
	default:
		return nil, fmt.Errorf("no condition %q", kind)
	}
}

// roleStatus is what conditions look at in a status page.
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

// hasLearned tells whether an entry host knows the newest version of what the
// agents' engines hold.
func (w *world) hasLearned(entry string, agents []string) bool {
	var known, own roleStatus
	if w.status(entry, &known) != nil {
		return false
	}
	for _, name := range agents {
		if w.status(name, &own) != nil || known.Caches[w.publicOf(name)] != own.Version {
			return false
		}
	}
	return true
}

// publicOf is the address at which entry hosts link to an agent.
func (w *world) publicOf(agent string) string {
	for _, h := range w.hosts {
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

func (w *world) all(names []string, good func(s roleStatus) bool) bool {
	for _, name := range names {
		var s roleStatus
		if w.status(name, &s) != nil || !good(s) {
			return false
		}
	}
	return true
}
