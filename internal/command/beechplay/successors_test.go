package beechplay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

const (
	successorsTime     = 4 * time.Second
	successorPause     = 120 * time.Millisecond // until gates have heard of a server
	successorCallers   = 24
	successorCallPause = 5 * time.Millisecond
)

// TestSoakOfSuccessors guards against copies of a refusal that are taken for the answer to the same request, which the
// successor of the server that refused it runs on the same connection.
func TestSoakOfSuccessors(t *testing.T) {
	is, seed := is.New(t), max(*soakSeed, 1)
	w, err := NewCluster(processLauncher{t: t, program: buildProgram(t), folder: beechtrace.Folder(t)})
	is.NoErr(err)
	defer w.Close()
	w.Configure(1, nil)
	names, gates := []string{"s0", "s1", "s2"}, []string{"gate-0", "gate-1"}
	for _, name := range names {
		_, err := w.AddEngine(name, beechsimulator.EngineSettings{Slots: 64})
		is.NoErr(err)
	}
	for _, name := range gates {
		is.NoErr(w.AddGate(name, beechsettings.GateBounds{
			Revoke: beechsettings.Duration(revokeBound), Grace: beechsettings.Duration(time.Second), Weights: beechsettings.Duration(8 * time.Second), Retries: 0.2, Spare: 50,
		}))
	}
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), successorsTime)
	defer cancel()
	var work sync.WaitGroup
	for n, name := range names {
		work.Go(func() { replaceServer(ctx, w, name, rand.New(rand.NewPCG(seed, uint64(n)))) })
	}
	var mu sync.Mutex
	statuses := make(map[string]int)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: successorCallers}, Timeout: callerTimeout}
	defer client.CloseIdleConnections()
	for caller := range successorCallers {
		work.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("once-%d-%d", caller, n)
				path := "/label/" + id
				ask := beechsimulator.CallerRequest{ID: id, Key: Key, Host: Host, URL: "http://" + w.Places[gates[n%len(gates)]].String() + path, Left: 3 * time.Second, Body: "question"}
				r, err := ask.NewRequest()
				if err != nil {
					t.Error(err)
					return
				}
				if response, err := client.Do(r); err == nil {
					body, _ := io.ReadAll(response.Body)
					_ = response.Body.Close()
					if response.StatusCode == http.StatusOK && !bytes.HasPrefix(body, []byte("POST "+path+" ")) {
						t.Errorf("%s: answer of another request: %q", id, body)
					}
					mu.Lock()
					statuses[id] = response.StatusCode
					mu.Unlock()
				}
				time.Sleep(successorCallPause)
			}
		})
	}
	work.Wait()
	copies, counts := 0, make(map[int]int)
	for _, e := range w.Engines {
		copies += e.CopiesSent()
	}
	for id, status := range statuses {
		counts[status]++
		runs := w.Runs(id)
		if runs > 1 {
			t.Errorf("%s: ran %d times, may run at most once", id, runs)
		}
		if runs > 0 && slices.Contains(notRunStatuses, status) {
			t.Errorf("%s: ran, though its caller got status %d", id, status)
		}
	}
	t.Logf("%d copies of answers, statuses %v", copies, counts)
	is.True(copies > 0)
}

// replaceServer has a server be replaced at its address again and again, while it sends copies of its answers.
func replaceServer(ctx context.Context, w *Cluster, name string, draw *rand.Rand) {
	e := w.Engines[name]
	e.SetTwice(1)
	for n, old := 1, name; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		w.Store.PutSuccessor(e, id, PlainService, w.Places[name].String(), w.zones[name], "ready")
		time.Sleep(successorPause)
		e.SetID(id)
		time.Sleep(successorPause + time.Duration(draw.Int64N(int64(successorPause))))
		w.Store.RemoveServer(old)
		old = id
	}
}
