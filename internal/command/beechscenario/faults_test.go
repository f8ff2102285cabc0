package beechscenario

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/beechring/beechring/internal/standin/beechengine"
	"github.com/beechring/beechring/internal/standin/beechplatform"
	"github.com/beechring/beechring/internal/standin/beechservice"
)

// commandMark implements mark: records the time from which ranonly checks runs.
func commandMark(d *deployment, _ []string) error {
	d.markTime = time.Now()
	return nil
}

// commandRanOnly implements ranonly ENGINE...: checks that no other engine began
// a run since the mark.
func commandRanOnly(d *deployment, arguments []string) error {
	allowed := map[string]bool{}
	for _, name := range arguments {
		allowed[name] = true
	}
	for name, began := range d.beganSince(d.markTime) {
		if !allowed[name] {
			return fmt.Errorf("%s began %d runs since the mark", name, began)
		}
	}
	return nil
}

// commandFreezeHolder implements freezeholder AGENT...: freezes the agent that gave
// its server the latest order, which is the one that holds the lease.
func commandFreezeHolder(d *deployment, arguments []string) error {
	holder := ""
	err := d.until("an order given by one of "+strings.Join(arguments, " "), func() bool {
		holder = d.lastOrderingAgent(arguments)
		return holder != ""
	})
	if err != nil {
		return err
	}
	return d.freeze(holder)
}

// lastOrderingAgent returns the agent that logged the latest order.
func (d *deployment) lastOrderingAgent(agents []string) string {
	last, latest := "", ""
	for _, name := range agents {
		readLines(filepath.Join(d.dir, name+".log"), func(text []byte) {
			var line struct{ Message, Time string }
			if json.Unmarshal(text, &line) == nil && line.Message == "order given" && line.Time > latest {
				last, latest = name, line.Time
			}
		})
	}
	return last
}

// commandCut implements cut AGENT MODE on the connections to an agent: once
// closes them, reset resets them, stay also closes new ones, silent stalls both
// directions, mute those from the agent, deaf those to it, and mend ends all of
// this.
func commandCut(d *deployment, arguments []string) error {
	if len(arguments) != 2 || d.proxies[arguments[0]] == nil {
		return usage("cut AGENT once|reset|stay|silent|mute|deaf|mend")
	}
	c := d.proxies[arguments[0]]
	switch arguments[1] {
	case "once":
		c.cut(false)
	case "reset":
		c.reset()
	case "stay":
		c.cut(true)
	case "silent":
		c.stall(toProcess, fromProcess)
	case "mute":
		c.stall(fromProcess)
	case "deaf":
		c.stall(toProcess)
	default:
		c.restore()
	}
	return nil
}

// commandFault implements fault NAME JSON: sets a stand-in's fault, in the format
// of its endpoint POST /standin/fault.
func commandFault(d *deployment, arguments []string) error {
	if len(arguments) != 2 {
		return usage("fault NAME JSON")
	}
	p, err := d.process(arguments[0])
	if err != nil {
		return err
	}
	var fault any
	switch p.kind {
	case "platform":
		fault = &beechplatform.Fault{}
	case "engine":
		fault = &beechengine.Fault{}
	default:
		fault = &beechservice.Fault{}
	}
	if err := json.Unmarshal([]byte(arguments[1]), fault); err != nil {
		return err
	}
	return postJSON(p.address, "/standin/fault", fault)
}

// commandLeaving implements leaving NAME [gone]: marks a host as leaving in the
// platform's list of hosts or, with gone, removes it.
func commandLeaving(d *deployment, arguments []string) error {
	for i, h := range d.hosts {
		if h.Name != arguments[0] {
			continue
		}
		if len(arguments) > 1 {
			d.hosts = append(d.hosts[:i], d.hosts[i+1:]...)
		} else {
			d.hosts[i].Leaving = true
		}
		d.publishHosts()
		return nil
	}
	return fmt.Errorf("no host %q", arguments[0])
}
