package beechscenario

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/standin/beechcrowd"
	"github.com/beechring/beechring/internal/standin/beechengine"
)

const (
	endlessCallers = 48
	endlessTurn    = 500 * time.Millisecond // for one form
	endlessCount   = 1 << 20                // answers, more than there are calls
	soundPause     = 20 * time.Millisecond  // between the requests of a caller beside
	endlessAnswer  = 4 << 20                // bytes, the default bound of one answer
)

// TestCrowdsAtAgentOfEndlessEngine guards against answers without end, to calls or to requests, that take more memory
// than an agent or entry host has, or keep it from its other work.
func TestCrowdsAtAgentOfEndlessEngine(t *testing.T) {
	is := is.New(t)
	d := newCrowdDeployment(t, func(settings any) {
		switch s := settings.(type) {
		case *beechsettings.Entry:
			s.Memory = crowdMemory
		case *beechsettings.Agent:
			s.Memory, s.Limits.AnswerBytes = agentMemory, endlessAnswer
		}
	})
	entry, agent := d.processes["n1"], d.processes["e1"]
	atEntry, atAgent := beechcrowd.Observe(entry.command.Process.Pid, entry.address), beechcrowd.Observe(agent.command.Process.Pid, agent.address)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var asking sync.WaitGroup
	var answers, sound atomic.Int32
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: endlessCallers}}
	defer client.CloseIdleConnections()
	for n := range endlessCallers {
		asking.Go(func() {
			body := []byte(promptBefore + "question" + promptAfter)
			if n%2 == 0 {
				body = bytes.Replace(body, []byte(`"stream":true`), []byte(`"stream":false`), 1)
			}
			for ctx.Err() == nil {
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.entry.String()+completionsPath, bytes.NewReader(body))
				if err != nil {
					t.Error(err)
					return
				}
				r.Header = http.Header{"Authorization": {"Bearer solis-key"}, "Content-Type": {"application/json"}}
				if response, err := client.Do(r); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
					answers.Add(1)
				}
				time.Sleep(soundPause)
			}
		})
	}
	asking.Go(func() {
		for ctx.Err() == nil {
			if err := d.caller("loop-key", ordinaryBody, 0).Ask(); err != nil {
				t.Errorf("beside an engine that sends without end: %v", err)
			}
			sound.Add(1)
			time.Sleep(soundPause)
		}
	})
	for n, form := range []string{"body", "length", "chunks", "events", "chunk", "status", "fields", "trailers", "extension", "interim"} {
		_, err := engineFault(beechengine.Fault{Kind: beechengine.FaultEndless, Count: endlessCount, Form: form, Full: true, Calls: n%2 == 1})(&soak{t: t, deployment: d.deployment}, "e1")
		is.NoErr(err)
		time.Sleep(endlessTurn)
		t.Logf("%s: %s, %d answers", form, memoryOf(t, agent.command.Process.Pid), answers.Load())
	}
	cancel()
	asking.Wait()
	usedAtAgent, err := atAgent.End()
	is.NoErr(err)
	usedAtEntry, err := atEntry.End()
	is.NoErr(err)
	for _, p := range d.processes {
		select {
		case <-p.ended:
			t.Errorf("%s has ended: %v", p.name, p.err)
		default:
		}
	}
	t.Logf("agent: %s; entry host: %s; %d requests beside", usedAtAgent, usedAtEntry, sound.Load())
	is.True(usedAtAgent.Resident+usedAtAgent.Unread < agentMemory<<20)
	is.True(usedAtEntry.Resident+usedAtEntry.Unread < crowdMemory<<20)
}

// memoryOf returns the lines of a process's status that tell its memory.
func memoryOf(t *testing.T, pid int) string {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Error(err)
	}
	var lines []string
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "VmHWM") || strings.HasPrefix(line, "VmRSS") {
			lines = append(lines, strings.Join(strings.Fields(line), " "))
		}
	}
	return strings.Join(lines, ", ")
}
