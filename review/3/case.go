//go:build review

// Two models that engines serve side by side are named anew.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/beechring/beechring/review/rig"
)

const (
	engines  = 8
	rounds   = 4
	loadTime = 540 * time.Millisecond // warm_s of granite-loop
	limit    = 20 * time.Second       // for all engines to have both versions
)

func main() { rig.Run(100*time.Second, test) }

func test(r *rig.Rig) (int, error) {
	models := []string{"daka510000", "kimo220000"}
	r.Store.Put("op/config", rig.Config(1, []map[string]any{rig.Route("r-1", "/lepu270/", "streaming", "loom", 5000, 600, 1)}, []map[string]any{rig.Pool("loom", models...)}))
	for _, m := range models {
		r.Store.Put("op/version/"+m, map[string]any{"model": m, "version": 1})
	}
	zones := []string{"mill-a", "mill-b"}
	var gates []*rig.Proc
	for n, zone := range zones {
		g, err := r.Gate(10+n, zone, rig.Settings{})
		if err != nil {
			return 0, err
		}
		gates = append(gates, g)
	}
	var pool []*rig.Engine
	for n := range engines {
		e := &rig.Engine{ID: fmt.Sprint("i-", 20+n), Service: "loom", Zone: zones[n%2], IP: r.IP(20 + n), Models: models, Slots: 48, Load: loadTime, CheckFence: os.Getenv("FENCE") == "1", Serve: func(http.ResponseWriter, *http.Request, []byte) {}}
		if err := r.Start(e); err != nil {
			return 0, err
		}
		if _, err := r.Keeper(20+n, zones[n%2]); err != nil {
			return 0, err
		}
		pool = append(pool, e)
	}
	if err := r.WaitReady(gates...); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second) // gates and keepers have found each other

	name := func(m string, version uint64) {
		r.Logf("operator names version %d of %s: revision %d", version, m, r.Store.Put("op/version/"+m, map[string]any{"model": m, "version": version}))
	}
	for version := uint64(2); version < 2+rounds; version++ {
		for _, m := range models {
			name(m, version)
			if !r.Trouble && !loaded(pool, m, version) {
				return 0, fmt.Errorf("version %d of %s is not in place everywhere", version, m)
			}
		}
		for _, m := range models {
			if !loaded(pool, m, version) {
				r.Logf("after %s some engines have not got version %d of %s", limit, version, m)
				return judge(r, pool), nil
			}
		}
		r.Logf("both are in place everywhere")
	}
	return judge(r, pool), nil
}

// loaded waits until all engines have a version of a model.
func loaded(pool []*rig.Engine, model string, version uint64) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		behind := 0
		for _, e := range pool {
			if e.Weights(model) < version {
				behind++
			}
		}
		if behind == 0 {
			return true
		}
	}
	return false
}

// judge counts the orders to one engine with a lower fencing token than an earlier one had.
func judge(r *rig.Rig, pool []*rig.Engine) int {
	breaks, orders := 0, 0
	for _, e := range pool {
		var highest rig.Order
		for _, o := range e.Orders() {
			orders++
			if o.Fence < highest.Fence {
				breaks++
				r.Logf("BREAK: engine %s got an order for %s with fencingToken %d, %.3f s after one for %s with %d", e.ID, o.Model, o.Fence, o.At.Sub(highest.At).Seconds(), highest.Model, highest.Fence)
				continue
			}
			highest = o
		}
	}
	r.Logf("%d orders in all", orders)
	return breaks
}
