package beechplay

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

// begunAtOne is a stream that broke off at its gate.
type begunAtOne struct {
	id       string
	software string
	events   int
}

// Guards against refusing the rest of streams whose gates cannot speak any more when a second software version joins.
func TestStreamsOfSilentGatesGoOnBesideANewVersion(t *testing.T) {
	program := buildProgram(t)
	for name, c := range map[string]struct {
		signal syscall.Signal
		silent int  // gates that fall silent
		gone   bool // the first version leaves the list
	}{
		"suspended":                           {signal: syscall.SIGSTOP, silent: 1},
		"killed":                              {signal: syscall.SIGKILL, silent: 1},
		"two suspended":                       {signal: syscall.SIGSTOP, silent: 2},
		"suspended, the first version leaves": {signal: syscall.SIGSTOP, silent: 1, gone: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, err := NewCluster(processLauncher{t: t, program: program, folder: beechtrace.Folder(t)})
			if err != nil {
				t.Fatal(err)
			}
			r := &suspendedTest{streamTest: &streamTest{t: t, outcomes: map[string]int{}, restarts: map[string]time.Time{}, soak: &soak{t: t, cluster: w, random: rand.New(rand.NewPCG(1, 1))}}}
			r.deploy([]string{"v1", "v1", "v1"}, func(c Document) { c["routes"].([]Document)[0]["maxAttempts"] = 1 })
			for n := 3; n < 3+c.silent; n++ {
				gate := fmt.Sprintf("gate-%d", n)
				if err := w.AddGate(gate, w.gates["gate-0"].Bounds); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(11 * time.Second) // one version has served for as long as streams can be resumed
			for n := range 3 {
				w.Engines[fmt.Sprintf("e%d", n)].SetFaults(beechsimulator.EngineFaults{CutAfter: 5, CutEvery: 2})
			}
			var begun []begunAtOne
			for n := range 30 {
				s := begunAtOne{id: fmt.Sprintf("first-%d", n)}
				s.software, s.events = r.read(fmt.Sprintf("gate-%d", n%c.silent), s.id, nil)
				if s.events > 0 && s.events < streamEvents {
					begun = append(begun, s)
				}
			}
			for n := range c.silent {
				w.Process(fmt.Sprintf("gate-%d", n)).(*childProcess).signal(c.signal, false)
			}
			r.soak.must(w.AddEngine("n0", beechsimulator.EngineSettings{Model: Model, Version: 1, Slots: 32, Token: time.Millisecond, Software: "v2"}))
			for n := range 3 {
				w.Engines[fmt.Sprintf("e%d", n)].SetFaults(beechsimulator.EngineFaults{})
				if c.gone {
					w.Store.RemoveServer(fmt.Sprintf("e%d", n))
				}
			}
			time.Sleep(time.Second) // the other gates have v2 in their list
			for n, s := range begun {
				next, more := r.read(fmt.Sprintf("gate-%d", c.silent+n%2), s.id+"-rest", map[string]string{lastEventHeader: strconv.Itoa(s.events), "Resumes": s.id})
				switch {
				case more == 0:
					r.refused++
				case next == s.software:
					r.wentOn++
				default:
					r.joined++
				}
			}
			for n := range c.silent {
				w.Process(fmt.Sprintf("gate-%d", n)).(*childProcess).signal(syscall.SIGCONT, false)
			}
			_ = w.Close() // killed gates end with an error
			t.Logf("%d broke off, %d joined, %d went on, %d refused", len(begun), r.joined, r.wentOn, r.refused)
			if r.joined > 0 {
				t.Errorf("%d streams have events of two versions", r.joined)
			}
			if len(begun) < 12 || !c.gone && 2*r.wentOn < len(begun) {
				t.Errorf("%d of %d streams went on", r.wentOn, len(begun))
			}
		})
	}
}
