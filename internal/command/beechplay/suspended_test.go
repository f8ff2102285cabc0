package beechplay

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

// suspension is shorter than the ages up to which a gate without the store relies on what it has read.
const suspension = 1500 * time.Millisecond

// suspendedTest has streams begun at one gate and taken up at another that stands still meanwhile.
type suspendedTest struct {
	*streamTest
	mu                      sync.Mutex
	joined, wentOn, refused int
}

// Guards against streams joined from two software versions at a gate that stands still while a new version joins, and
// whose take-ups wait in its sockets.
func TestStreamsAreNotJoinedAtASuspendedGate(t *testing.T) {
	program := buildProgram(t)
	for _, apart := range []bool{false, true} { // from the other gates
		for _, unnamed := range []bool{false, true} {
			t.Run(fmt.Sprintf("apart %v, unnamed %v", apart, unnamed), func(t *testing.T) {
				t.Parallel()
				w, err := NewCluster(processLauncher{t: t, program: program, folder: beechtrace.Folder(t)})
				if err != nil {
					t.Fatal(err)
				}
				r := &suspendedTest{streamTest: &streamTest{t: t, outcomes: map[string]int{}, restarts: map[string]time.Time{}, soak: &soak{t: t, cluster: w, random: rand.New(rand.NewPCG(1, 1))}}}
				r.deploy([]string{"v1", "v1"}, func(c Document) { c["routes"].([]Document)[0]["maxAttempts"] = 1 })
				gate := "gate-1"
				if apart {
					gate = "apart"
					w.CutDatagrams()
					if err := w.AddGate(gate, w.gates["gate-1"].Bounds); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(11 * time.Second) // one version has served for as long as streams can be resumed
				r.suspend(gate, "gate-0", unnamed)
				if err := w.Close(); err != nil {
					t.Error(err)
				}
				t.Logf("%d joined, %d went on, %d refused", r.joined, r.wentOn, r.refused)
				if r.joined > 0 {
					t.Errorf("%d streams have events of two versions", r.joined)
				}
				if r.wentOn+r.refused == 0 {
					t.Error("no stream was taken up")
				}
			})
		}
	}
}

// suspend has a gate stand still while servers of a new version replace the others, and callers begin streams at
// another gate and take them up here.
func (r *suspendedTest) suspend(gate, other string, unnamed bool) {
	w := r.soak.cluster
	process := w.Process(gate).(*childProcess)
	process.signal(syscall.SIGSTOP, false)
	suspended := time.Now()
	for n := range 2 {
		r.soak.must(w.AddEngine(fmt.Sprintf("n%d", n), beechsimulator.EngineSettings{Model: Model, Version: 1, Slots: 32, Token: time.Millisecond, Software: "v2"}))
		w.Engines[fmt.Sprintf("n%d", n)].SetFaults(beechsimulator.EngineFaults{CutAfter: 5, CutEvery: 2})
		w.Store.RemoveServer(fmt.Sprintf("e%d", n))
	}
	var callers sync.WaitGroup
	for n := 0; time.Since(suspended) < suspension; n++ {
		id := fmt.Sprintf("first-%d", n)
		version, events := r.read(other, id, nil)
		if version != "v2" || events >= streamEvents {
			continue
		}
		headers := map[string]string{lastEventHeader: strconv.Itoa(events)}
		if !unnamed {
			headers["Resumes"] = id
		}
		callers.Go(func() {
			next, more := r.read(gate, id+"-rest", headers)
			r.mu.Lock()
			defer r.mu.Unlock()
			switch {
			case more == 0:
				r.refused++
			case next == version:
				r.wentOn++
			default:
				r.joined++
			}
		})
	}
	process.signal(syscall.SIGCONT, false)
	callers.Wait()
}

// read sends a request for a stream and returns the version of its events and their number.
func (r *suspendedTest) read(gate, id string, headers map[string]string) (software string, events int) {
	ask := beechsimulator.CallerRequest{
		ID: id, Key: Key, Host: Host, URL: "http://" + r.soak.cluster.Places[gate].String() + "/pick/x", Left: 5 * time.Second, Body: "question",
		Model: Model, Prompt: 1000, Output: streamEvents, Parts: "c0:400,5b:300," + id + ":300", Headers: headers,
	}
	request, err := ask.NewRequest()
	if err != nil {
		r.t.Error(err)
		return "", 0
	}
	client := http.Client{Timeout: 6 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return "", 0
	}
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if _, version, ok := strings.Cut(lines.Text(), " by "); ok {
			software = version
			events++
		}
	}
	return software, events
}
