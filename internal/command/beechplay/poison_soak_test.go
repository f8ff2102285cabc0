package beechplay

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

const (
	crashingPart   = "bad"
	poisonInterval = 150 * time.Millisecond
)

// injectPoison has all engines crash on a prompt part, and sends requests with it. Some engines and
// servers answer unframed meanwhile. It has its own random source, as injectLimits.
func (s *soak) injectPoison() {
	draw := rand.New(rand.NewPCG(s.seed, 3))
	time.Sleep(time.Duration(draw.IntN(3000)) * time.Millisecond)
	for _, name := range []string{"e0", "e1", "e2", "s0", "s1", "s2"} {
		ending := []beechsimulator.Ending{beechsimulator.Framed, beechsimulator.Unframed}[draw.IntN(2)]
		s.cluster.Engines[name].SetLasting(crashingPart, ending)
	}
	for n, end := 0, time.Now().Add(soakDuration-5*time.Second); time.Now().Before(end); time.Sleep(poisonInterval) {
		n++
		go s.sendPoison(fmt.Sprintf("poison-%d", n), s.gates[draw.IntN(len(s.gates))], []string{"/pick/", "/card/"}[draw.IntN(2)])
	}
}

// sendPoison sends a request on which engines crash. What its caller gets does not matter.
func (s *soak) sendPoison(id, gate, path string) {
	ask := beechsimulator.CallerRequest{
		ID: id, Key: Key, Host: Host, URL: "http://" + s.cluster.Places[gate].String() + path + "x", Left: 5 * time.Second, Body: id,
		Model: Model, Prompt: 1000, Output: 10, Parts: "c0:400," + crashingPart + ":300," + id + ":300",
	}
	r, err := ask.NewRequest()
	if err != nil {
		s.t.Error(err)
		return
	}
	s.mu.Lock()
	s.poisonSentAt[id], s.poisonGate[id] = time.Now(), gate
	s.mu.Unlock()
	if response, err := s.client.Do(r); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// checkPoison checks how many requests on which engines crash were sent to engines after five had
// crashed, through gates that were not disturbed within contactBound before.
func (s *soak) checkPoison() {
	var crashes []time.Time
	for _, e := range s.cluster.Engines {
		crashes = append(crashes, e.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	for id, sent := range s.poisonSentAt {
		if len(crashes) >= toleratedCrashes && sent.After(crashes[toleratedCrashes-1].Add(contactBound)) && s.cluster.Runs(id) > 0 && s.inTouch(s.poisonGate[id], sent) {
			late++
		}
	}
	s.t.Logf("%d engines crashed, %d requests ran late", len(crashes), late)
	if late > toleratedPoison {
		s.t.Errorf("%d requests on which engines crash ran later than %s after the fifth crash", late, contactBound)
	}
}

// inTouch reports whether a gate was not disturbed within contactBound before a time.
func (s *soak) inTouch(gate string, at time.Time) bool {
	return !slices.ContainsFunc(s.disturbedAt[gate], func(disturbed time.Time) bool {
		return disturbed.After(at.Add(-contactBound)) && disturbed.Before(at.Add(contactBound))
	})
}

// favorGate has most requests go to one gate for some seconds, and then to another.
func (s *soak) favorGate() {
	draw := rand.New(rand.NewPCG(s.seed, 5))
	for range 2 {
		time.Sleep(time.Duration(1000+draw.IntN(2000)) * time.Millisecond)
		s.setFavored(s.gates[draw.IntN(len(s.gates))])
		time.Sleep(time.Duration(1000+draw.IntN(2000)) * time.Millisecond)
		s.setFavored("")
	}
}

func (s *soak) setFavored(gate string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.favored = gate
}

func (s *soak) favoredGate() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.favored
}
