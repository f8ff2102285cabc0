package beechscenario

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/beechring/beechring/internal/standin/beechengine"
	"github.com/beechring/beechring/internal/standin/beechplatform"
	"github.com/beechring/beechring/internal/standin/beechservice"
)

// mark: what engines begin from here on is looked at by ranonly.
func commandMark(w *world, _ []string) error {
	w.markedAt = time.Now()
	return nil
}

// ranonly ENGINE...: nothing began elsewhere since the mark.
func commandRanOnly(w *world, arguments []string) error {
	allowed := map[string]bool{}
	for _, name := range arguments {
		allowed[name] = true
	}
	for name, began := range w.beganSince(w.markedAt) {
		if !allowed[name] {
			return fmt.Errorf("%s began %d runs since the mark", name, began)
		}
	}
	return nil
}

// freezeholder AGENT...: stops the one of the agents that gave its server the
// last order, and so holds the lease.
func commandFreezeHolder(w *world, arguments []string) error {
	holder := ""
	err := w.until("an order given by one of "+strings.Join(arguments, " "), func() bool {
		holder = w.orderedBy(arguments)
		return holder != ""
	})
	if err != nil {
		return err
	}
	return w.signal(holder, syscall.SIGSTOP)
}

// orderedBy names the one of the agents that gave an order last.
func (w *world) orderedBy(agents []string) string {
	last, latest := "", ""
	for _, name := range agents {
		readLines(filepath.Join(w.dir, name+".log"), func(text []byte) {
			var line struct{ Message, Time string }
			if json.Unmarshal(text, &line) == nil && line.Message == "order given" && line.Time > latest {
				last, latest = name, line.Time
			}
		})
	}
	return last
}

// cut NAME once|reset|stay|silent|mute|deaf|mend: the connections to an agent.
func commandCut(w *world, arguments []string) error {
	if len(arguments) != 2 || w.cutters[arguments[0]] == nil {
		return usage("cut AGENT once|reset|stay|silent|mute|deaf|mend")
	}
	c := w.cutters[arguments[0]]
	switch arguments[1] {
	case "once":
		c.cut(false)
	case "reset":
		c.reset()
	case "stay":
		c.cut(true)
	case "silent":
		c.hush(inward, outward)
	case "mute":
		c.hush(outward)
	case "deaf":
		c.hush(inward)
	default:
		c.mend()
	}
	return nil
}

// fault NAME JSON: a stand-in's fault, as its page POST /standin/fault takes it.
func commandFault(w *world, arguments []string) error {
	if len(arguments) != 2 {
		return usage("fault NAME JSON")
	}
	p, err := w.process(arguments[0])
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

// leaving NAME [gone]: the platform's list shows the host leaving, or no more.
func commandLeaving(w *world, arguments []string) error {
	for i, h := range w.hosts {
		if h.Name != arguments[0] {
			continue
		}
		if len(arguments) > 1 {
			w.hosts = append(w.hosts[:i], w.hosts[i+1:]...)
		} else {
			w.hosts[i].Leaving = true
		}
		w.publishHosts()
		return nil
	}
	return fmt.Errorf("no host %q", arguments[0])
}
