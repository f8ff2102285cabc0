package beechplay

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

type (
	// versionTest runs callers that take their streams up at any gate, while gates and engines of
	// two software versions fail.
	versionTest struct {
		*streamTest
		begun, startsAsked atomic.Int64 // requests for new streams that were answered, and all
		wentOn, takenUp    atomic.Int64 // streams that were taken up and went on, and all that were taken up
	}

	// versionStream is what a caller has of a stream.
	versionStream struct {
		first    string // ID of the request that brought the first event
		seen     int
		software string
		begunAt  time.Time // of the request that brought the first event
		takenUp  bool
		wentOn   bool
	}
)

// maxUnanswered is how many requests in a row a caller sends for the rest of a stream before it
// begins another one.
const maxUnanswered = 8

// TestStreamsOfTwoVersionsSurviveFailures guards against streams with events of two software
// versions, and against refusing the rest of too many streams, when gates are killed, stopped or
// suspended and engines fail.
func TestStreamsOfTwoVersionsSurviveFailures(t *testing.T) {
	program := buildProgram(t)
	for seed := range uint64(*soakSeeds) {
		t.Run(fmt.Sprint("seed-", seed+1), func(t *testing.T) {
			t.Parallel()
			w, err := NewCluster(processLauncher{t: t, program: program, folder: beechtrace.Folder(t)})
			if err != nil {
				t.Fatal(err)
			}
			r := &versionTest{streamTest: &streamTest{t: t, outcomes: map[string]int{}, restarts: map[string]time.Time{}, soak: &soak{t: t, cluster: w, random: rand.New(rand.NewPCG(seed+1, 1))}}}
			r.deployVersions()
			r.run(seed+1, r.injectFault, r.readVersions)
			if err := w.Close(); err != nil {
				t.Error(err)
			}
			began, went := answeredShare(&r.begun, &r.startsAsked), answeredShare(&r.wentOn, &r.takenUp)
			t.Logf("%.2f of %d new streams began, %.2f of %d streams that were taken up went on; %v", began, r.startsAsked.Load(), went, r.takenUp.Load(), r.outcomes)
			if r.takenUp.Load() > 0 && went < began/2 {
				t.Errorf("%.2f of the streams that were taken up went on, %.2f of the new ones began", went, began)
			}
		})
	}
}

func answeredShare(part, whole *atomic.Int64) float64 {
	return float64(part.Load()) / float64(max(whole.Load(), 1))
}

func (r *versionTest) deployVersions() {
	r.deploy([]string{"v1", "v2", "v1", "v2"}, func(c Document) {
		c["routes"].([]Document)[0]["maxAttempts"] = 1 // so that callers see each break
	})
	w := r.soak.cluster
	for _, name := range r.soak.gates {
		w.gates[name].Seeds = w.seeds // from its next start on
	}
}

// readVersions reads a stream, and takes it up until it is whole or nobody continues it.
func (r *versionTest) readVersions(name string, random *rand.Rand) {
	var s versionStream
	for try, unanswered := 0, 0; s.seen < streamEvents && unanswered < maxUnanswered; try++ {
		gate := r.soak.gates[random.IntN(len(r.soak.gates))]
		before := s.seen
		r.attemptVersions(fmt.Sprintf("%s-%d", name, try), gate, &s)
		if unanswered++; s.seen > before {
			unanswered = 0
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxReconnectDelay))))
	}
	if s.takenUp {
		r.takenUp.Add(1)
	}
	if s.wentOn {
		r.wentOn.Add(1)
	}
}

func (r *versionTest) attemptVersions(id, gate string, s *versionStream) {
	ask := beechsimulator.CallerRequest{
		ID: id, Key: Key, Host: Host, URL: "http://" + r.soak.cluster.Places[gate].String() + "/pick/x", Left: 5 * time.Second, Body: "question",
		Model: Model, Prompt: 1000, Output: streamEvents, Parts: "c0:400,5b:300," + id + ":300",
	}
	resumes := s.seen > 0
	if resumes {
		ask.Headers = map[string]string{lastEventHeader: strconv.Itoa(s.seen), "Resumes": s.first}
	} else {
		s.first, s.begunAt = id, time.Now()
	}
	request, err := ask.NewRequest()
	if err != nil {
		r.t.Error(err)
		return
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	timeout := time.AfterFunc(eventTimeout, leave)
	defer timeout.Stop()
	response, err := http.DefaultTransport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return // a gate that is down or suspended says nothing of streams
	}
	defer response.Body.Close()
	if !resumes {
		r.countStart(response.StatusCode)
	} else if !r.allRestartedSince(s.begunAt) {
		s.takenUp = true
		s.wentOn = s.wentOn || response.StatusCode == http.StatusOK
	}
	if response.StatusCode == http.StatusOK {
		r.readVersionEvents(response, s, func() { timeout.Reset(eventTimeout) })
	}
}

// allRestartedSince reports whether no gate is left that may have been told of a stream.
func (r *versionTest) allRestartedSince(begun time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, gate := range r.soak.gates {
		if !r.restarts[gate].After(begun) {
			return false
		}
	}
	return true
}

func (r *versionTest) countStart(status int) {
	r.startsAsked.Add(1)
	if status == http.StatusOK {
		r.begun.Add(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[fmt.Sprint("status ", status)]++
}

func (r *versionTest) readVersionEvents(response *http.Response, s *versionStream, onEvent func()) {
	lines := bufio.NewScanner(response.Body)
	name, data := "", ""
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch field {
		case "id":
			name = value
		case "data":
			data = value
		case "":
			_, software, _ := strings.Cut(data, " by ")
			if s.software == "" {
				s.software = software
			}
			if name != strconv.Itoa(s.seen+1) || software != s.software {
				r.t.Errorf("%s: event %q by %q followed event %d by %q", s.first, name, software, s.seen, s.software)
			}
			s.seen++
			onEvent()
		}
	}
	if lines.Err() == nil && s.seen < streamEvents {
		r.t.Errorf("%s: ended as complete after %d of %d events", s.first, s.seen, streamEvents)
	}
}
