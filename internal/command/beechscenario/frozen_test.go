package beechscenario

import (
	"testing"

	"github.com/beechring/beechring/internal/command/beechtrace"
)

// TestRestFromFrozenAgent guards against the rest of an answer that comes from
// another run when the agent that keeps it stops at any moment of the join.
func TestRestFromFrozenAgent(t *testing.T) {
	moments := []struct {
		name string
		stop func(r *resumeRun, rest func() *call) *call
	}{
		{"before the request", func(r *resumeRun, rest func() *call) *call {
			r.do(eachName((*deployment).freeze), "e1")
			return rest()
		}},
		{"before the join arrives", func(r *resumeRun, rest func() *call) *call {
			p := r.deployment.proxies["e1"]
			held := p.heldBytes(toProcess)
			p.stall(toProcess)
			c := rest()
			r.waitFor("a join on its way", func() bool { return p.heldBytes(toProcess) > held })
			r.do(eachName((*deployment).freeze), "e1")
			p.restore()
			return c
		}},
		{"before the reply", func(r *resumeRun, rest func() *call) *call {
			p := r.deployment.proxies["e1"]
			joined := r.joinedStreams("e1")
			p.stall(fromProcess)
			c := rest()
			r.waitFor("a join taken", func() bool { return r.joinedStreams("e1") > joined })
			r.do(eachName((*deployment).freeze), "e1")
			p.reset()
			return c
		}},
	}
	for _, m := range moments {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, beechtrace.Folder(t))
			defer d.close()
			r := &resumeRun{t: t, deployment: d}
			r.do(commandPlatform)
			r.do(commandEngine, "e1", "zone-a")
			r.do(commandEntry, "n1", "zone-a")
			r.do(commandUntil, "ready", "n1")
			r.do(commandUntil, "serving", "n1", "1")
			r.do(commandSend, "first", "entry=n1", "tokens=60", "leave=10")
			r.do(commandEngine, "e2", "zone-a")
			r.do(commandUntil, "serving", "n1", "2")
			c := m.stop(r, func() *call {
				r.do(commandSend, "rest", "entry=n1", "after=first", "&")
				c, err := d.call("rest")
				if err != nil {
					t.Fatal(err)
				}
				return c
			})
			if err := c.waitDone(conditionTimeout); err != nil {
				t.Fatal(err)
			}
			r.do(commandExpect, "rest", "status=503", "code=stream_unreachable", "ran=yes", "retry=yes")
			if runs := d.runsOf("e2.engine"); len(runs) > 0 {
				t.Errorf("%d runs at another engine", len(runs))
			}
			d.proxies["e1"].restore()
			r.do(commands["thaw"], "e1")
			r.do(commandUntil, "serving", "n1", "2")
			r.do(commandSend, "again", "entry=n1", "after=first")
			r.do(commandExpect, "again", "status=200", "whole=yes")
			r.do(commandHolds, "whole", "isolated", "runs", "told")
		})
	}
}

// waitFor waits until a condition holds.
func (r *resumeRun) waitFor(what string, condition func() bool) {
	r.t.Helper()
	if err := r.deployment.until(what, condition); err != nil {
		r.t.Fatal(err)
	}
}

// joinedStreams returns how many streams have joined an answer of an agent.
func (r *resumeRun) joinedStreams(agent string) int64 {
	r.t.Helper()
	var s struct{ Counts map[string]int64 }
	if err := r.deployment.status(agent, &s); err != nil {
		r.t.Fatal(err)
	}
	return s.Counts["joined"]
}
