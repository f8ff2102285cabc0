package beechplay

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/decision/beechbackup"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

const (
	cutInterval = 250 * time.Millisecond
	cutEngines  = 5
	// refusingEngine closes its listener and finishes what it runs. It is neither cut off nor crashes: an engine that loses
	// its connections too cannot be told from one that has crashed.
	refusingEngine = "refusing"
)

// TestLongStreamsRunOnceBesideCuts guards against streams that may not be repeated and are at work at two engines, while
// engines crash and are cut off in series, and gates and keepers are suspended or killed.
func TestLongStreamsRunOnceBesideCuts(t *testing.T) {
	program := buildProgram(t)
	for seed := range uint64(*soakSeeds) {
		t.Run(fmt.Sprint("seed-", seed+1), func(t *testing.T) {
			t.Parallel()
			w, err := NewCluster(processLauncher{t: t, program: program, folder: beechtrace.Folder(t)})
			if err != nil {
				t.Fatal(err)
			}
			s := &soak{
				t: t, seed: seed + 1, cluster: w, random: rand.New(rand.NewPCG(seed+1, 8)), client: &http.Client{Timeout: 7 * time.Second},
				longStatus: make(map[string]int), disturbedAt: make(map[string][]time.Time),
			}
			s.deployForCuts()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				s.sendLongStreams()
			}()
			for end := time.Now().Add(soakDuration - 4*time.Second); time.Now().Before(end); time.Sleep(cutInterval) {
				s.cutOrCrash()
			}
			<-ended
			time.Sleep(3 * time.Second) // the last streams end
			s.checkBackups()
			s.client.CloseIdleConnections()
			if err := w.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

func (s *soak) deployForCuts() {
	s.cluster.Backups = beechbackup.On
	s.cluster.Configure(1, nil)
	s.cluster.SetWeights(1)
	for i := range cutEngines {
		s.must(s.cluster.AddEngine(fmt.Sprintf("e%d", i), beechsimulator.EngineSettings{Model: Model, Version: 1, Slots: 32, Token: 20 * time.Millisecond, Slowness: 100}))
	}
	s.must(s.cluster.AddEngine(refusingEngine, beechsimulator.EngineSettings{Model: Model, Version: 1, Slots: 32, Token: 20 * time.Millisecond, Slowness: 100}))
	for i := range 3 {
		name := fmt.Sprintf("gate-%d", i)
		if err := s.cluster.AddGate(name, beechsettings.GateBounds{
			Revoke: beechsettings.Duration(revokeBound), Grace: beechsettings.Duration(6 * time.Second), Weights: beechsettings.Duration(8 * time.Second), Retries: 0.2, Spare: 200,
		}); err != nil {
			s.t.Fatal(err)
		}
		s.gates = append(s.gates, name)
	}
	time.Sleep(time.Second)
}

// cutOrCrash cuts an engine off, has it crash, or disturbs a gate or a keeper.
func (s *soak) cutOrCrash() {
	engine := fmt.Sprintf("e%d", s.random.IntN(cutEngines))
	gate := s.gates[s.random.IntN(len(s.gates))]
	process := s.cluster.Process(gate).(*childProcess)
	switch s.random.IntN(11) {
	case 10:
		s.cluster.Refuse(refusingEngine, time.Duration(200+s.random.IntN(1300))*time.Millisecond)
	case 0, 1, 2, 3:
		s.cluster.CutOff(engine, time.Duration(200+s.random.IntN(1300))*time.Millisecond)
	case 4, 5, 6:
		s.cluster.Engines[engine].Crash()
	case 7:
		process.signal(syscall.SIGSTOP, false)
		time.Sleep(time.Duration(s.random.IntN(1000)) * time.Millisecond)
		process.signal(syscall.SIGCONT, false)
	case 8:
		s.killKeeper("keeper-" + engine)
	default:
		process.signal(syscall.SIGKILL, true)
		s.restartGate(gate, process)
	}
}
