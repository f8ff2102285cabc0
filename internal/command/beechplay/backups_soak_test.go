package beechplay

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

const (
	longStreamInterval = 120 * time.Millisecond
	longStreamEvents   = 80
	// sideBySideBound is how long the operators tolerate that an engine works on a run that goes on at
	// another.
	sideBySideBound = 400 * time.Millisecond
)

// sendLongStreams sends streams that may not be repeated and last long enough to get backups. Engines
// crash meanwhile, as injectPoison has them. It has its own random source, as injectLimits.
func (s *soak) sendLongStreams() {
	draw := rand.New(rand.NewPCG(s.seed, 7))
	for n, end := 0, time.Now().Add(soakDuration-4*time.Second); time.Now().Before(end); time.Sleep(longStreamInterval) {
		n++
		go s.sendLongStream(fmt.Sprintf("long-%d", n), s.gates[draw.IntN(len(s.gates))])
	}
}

func (s *soak) sendLongStream(id, gate string) {
	ask := beechsimulator.CallerRequest{
		ID: id, Key: Key, Host: Host, URL: "http://" + s.cluster.Places[gate].String() + "/card/" + id, Left: 5 * time.Second, Body: id,
		Model: Model, Prompt: 500, Output: longStreamEvents, Parts: "c1:400," + id + ":100",
	}
	r, err := ask.NewRequest()
	if err != nil {
		s.t.Error(err)
		return
	}
	response, err := s.client.Do(r)
	if err != nil {
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longStatus[id] = response.StatusCode
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	s.longWhole++
	events := strings.Split(strings.TrimSuffix(string(body), "\n\n"), "\n\n")
	if len(events) != longStreamEvents {
		s.t.Errorf("%s: looks whole with %d events of %d", id, len(events), longStreamEvents)
	}
	for i, event := range events {
		if !strings.HasPrefix(event, fmt.Sprintf("id: %d\n", i+1)) {
			s.t.Errorf("%s: event %d is %q", id, i+1, event)
			break
		}
	}
}

// checkBackups checks that no long stream ran twice, or at two engines at once.
func (s *soak) checkBackups() {
	continued := 0
	for id, status := range s.longStatus {
		runs := s.cluster.Runs(id)
		if runs > 1 {
			s.t.Errorf("%s: ran %d times, may run at most once", id, runs)
		}
		if runs > 0 && status == http.StatusServiceUnavailable {
			s.t.Errorf("%s: ran, though its caller got status %d", id, status)
		}
		for name, e := range s.cluster.Engines {
			at := e.ContinuedAt(id)
			if at.IsZero() {
				continue
			}
			continued++
			for other, source := range s.cluster.Engines {
				if other != name && source.Runs(id) > 0 && (source.EndedAt(id).IsZero() || source.EndedAt(id).After(at.Add(sideBySideBound))) {
					s.t.Errorf("%s: goes on at %s while %s works on it", id, name, other)
				}
			}
		}
	}
	s.t.Logf("%d long streams, %d went on elsewhere, %d whole", len(s.longStatus), continued, s.longWhole)
}
