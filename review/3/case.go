//go:build review

// Another writer keeps entries of its own for the hosts of a service, under a service that isn't configured.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/beechring/beechring/review/rig"
)

const (
	perKind  = 60 // requests of each route
	interval = 100 * time.Millisecond
	steady   = 5 * time.Second // for all to be in touch, contactMs is 3 s
	timeout  = 1500 * time.Millisecond
	retries  = 1 // of a consumer, as on the sheet
)

type trial struct {
	mu     sync.Mutex
	served map[string]int
	asked  map[string]int
}

func main() { rig.Run(100*time.Second, test) }

func test(r *rig.Rig) (int, error) {
	t := &trial{served: make(map[string]int), asked: make(map[string]int)}
	first := rig.Route("first", "/fiti832/", "non_idempotent", "counter", int(timeout.Milliseconds()), 100, 1)
	r.Store.Put("op/config", rig.Config(3, []map[string]any{first}, []map[string]any{rig.Plain("counter")}))
	var gates []*rig.Proc
	zones := []string{"mill-a", "mill-b"}
	for n, zone := range zones {
		g, err := r.Gate(10+n, zone, rig.Settings{})
		if err != nil {
			return 0, err
		}
		gates = append(gates, g)
	}
	start := func(service string, host int) (*rig.Engine, error) {
		e := &rig.Engine{ID: fmt.Sprintf("i-%s-%d", service, host), Service: service, Zone: zones[host%2], IP: r.IP(host), Slots: 6}
		e.Serve = func(w http.ResponseWriter, q *http.Request, body []byte) {
			r.Logf("engine %s runs %s", e.ID, q.Header.Get("Beechring-Attempt-Id"))
			time.Sleep(15 * time.Millisecond)
			_, _ = fmt.Fprintf(w, "%s ran %d bytes", e.ID, len(body))
		}
		return e, r.Start(e)
	}
	for host := 20; host < 22; host++ {
		if _, err := start("counter", host); err != nil {
			return 0, err
		}
	}
	if err := r.WaitReady(gates...); err != nil {
		return 0, err
	}

	// A version adds a route, to a service of its own with two engines.
	var added []*rig.Engine
	for host := 30; host < 32; host++ {
		e, err := start("ledger", host)
		if err != nil {
			return 0, err
		}
		added = append(added, e)
	}
	later := rig.Route("added", "/lepu270/", "non_idempotent", "ledger", int(timeout.Milliseconds()), 100, 1)
	r.Store.Put("op/config", rig.Config(7, []map[string]any{first, later}, []map[string]any{rig.Plain("counter"), rig.Plain("ledger")}))
	r.Logf("operator writes version 7, which adds a route to ledger")
	time.Sleep(steady)
	if r.Trouble {
		for _, e := range added {
			entry := e.Entry()
			entry["service"] = "node-inventory" // not named in the configuration
			r.Store.Put("servers/inventory-"+e.ID, entry)
			r.Logf("another writer writes servers/inventory-%s: service node-inventory at %s", e.ID, e.Address())
		}
	}
	time.Sleep(steady)

	var callers sync.WaitGroup
	for n := range perKind {
		for route, path := range map[string]string{"first": "/fiti832/2f", "added": "/lepu270/2f"} {
			callers.Add(1)
			go func() {
				defer callers.Done()
				t.request(r, gates, route, path, n)
			}()
		}
		time.Sleep(interval)
	}
	callers.Wait()
	r.Logf("first routes: %d of %d served; added route: %d of %d served", t.served["first"], t.asked["first"], t.served["added"], t.asked["added"])
	if t.served["first"] == 0 {
		return 0, fmt.Errorf("nothing was served on the first routes")
	}
	// CONFIG: 20 or more requests on routes that were added later, served less than a quarter as often.
	if t.asked["added"] >= 20 && 4*t.served["added"]*t.asked["first"] < t.served["first"]*t.asked["added"] {
		return 1, nil
	}
	return 0, nil
}

// request is a consumer's request with its retries, at another gate each.
func (t *trial) request(r *rig.Rig, gates []*rig.Proc, route, path string, n int) {
	deadline := time.Now().Add(timeout)
	ok := false
	for try := 0; try <= retries && !ok; try++ {
		id := fmt.Sprintf("%s-%d-%d", route, n, try)
		status, after, body, err := call(gates[(n+try)%len(gates)].IP, path, id, deadline)
		r.Logf("caller %s: status %d, Retry-After %s, body %q, error %v", id, status, after, body, err)
		ok = status == http.StatusOK
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			break
		}
		if pause, err := time.ParseDuration(after + "s"); err == nil && !ok {
			time.Sleep(min(pause, time.Until(deadline)/3))
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked[route]++
	if ok {
		t.served[route]++
	}
}

func call(gate, path, id string, deadline time.Time) (status int, after, body string, err error) {
	c, err := net.DialTimeout("tcp4", fmt.Sprint(gate, ":", rig.FrontPort), time.Second)
	if err != nil {
		return 0, "", "", err
	}
	defer c.Close()
	_ = c.SetDeadline(deadline)
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: jepu9.example\r\nBeechring-Attempt-Id: %s\r\nBeechring-Key: %s\r\nBeechring-Deadline-Remaining: %d\r\nContent-Length: 7\r\n\r\nbooking",
		path, id, rig.Key, time.Until(deadline).Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", "", err
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("Retry-After"), string(data), err
}
