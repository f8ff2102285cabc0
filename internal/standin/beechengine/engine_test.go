package beechengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

const served = "advisor@w1"

func start(t *testing.T, s Settings, clock clockwork.Clock) (*Engine, string) {
	t.Helper()
	if s.Models == nil {
		s.Models = []string{served}
	}
	e := New(s, clock)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(func() { e.Inject(Fault{Kind: FaultThaw}) })
	return e, server.URL
}

func post(t *testing.T, url string, value any) (int, []byte) {
	t.Helper()
	body, ok := value.([]byte)
	if !ok {
		body, _ = json.Marshal(value)
	}
	response, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

func get(t *testing.T, url string, into any) {
	t.Helper()
	is := is.New(t)
	response, err := http.Get(url)
	is.NoErr(err)
	defer response.Body.Close()
	is.NoErr(json.NewDecoder(response.Body).Decode(into))
}

func plain(prompt string, tokens int) []byte {
	return fmt.Appendf(nil, `{"model":"advisor","prompt":%q,"max_tokens":%d,"cache_salt":"s"}`, prompt, tokens)
}

func TestSlotsAreGrantedByPriorityThenArrival(t *testing.T) {
	is := is.New(t)
	b := newBatch(Settings{Slots: 1, WaitLimit: 3}, clockwork.NewFakeClock(), func(int, int) {})
	is.NoErr(b.acquire(context.Background(), 5))
	low, _ := b.enqueue(2)
	first, _ := b.enqueue(1)
	second, _ := b.enqueue(1)
	_, err := b.enqueue(0)
	is.Equal(err, errQueueFull)
	for _, want := range []*waiter{first, second, low} {
		is.True(!want.granted)
		b.release()
		is.True(want.granted)
	}
	b.abandon(low) // the caller gave up at the moment the slot was granted
	is.Equal(b.running, 0)
}

func TestPrefillIsShared(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	b := newBatch(Settings{PrefillRate: 1000}, clock, func(int, int) {})
	is.Equal(b.prefill(500).Sub(clock.Now()), 500*time.Millisecond)
	is.Equal(b.prefill(500).Sub(clock.Now()), time.Second)
	clock.Advance(2 * time.Second)
	b.setSlowdown(3)
	is.Equal(b.prefill(100).Sub(clock.Now()), 300*time.Millisecond)
}

func TestCacheEvictsLeastRecentlyUsedAndDeepestBlocksFirst(t *testing.T) {
	is := is.New(t)
	c := newPromptCache(Settings{CacheTokens: 4, BlockTokens: 1, EventLimit: 100}, clockwork.NewFakeClock())
	old := chainBlocks("s", served, []byte("aaaabbbb."), 1)
	hot := chainBlocks("s", served, []byte("aaaacccc."), 1)
	c.store(old)
	c.store(hot)
	c.store(chainBlocks("s", served, []byte("xxxxyyyy."), 1))
	cached, _ := c.match(old)
	is.Equal(cached, 1)
	cached, _ = c.match(hot)
	is.Equal(cached, 2)
	cached, _ = c.match(chainBlocks("other", served, []byte("aaaacccc."), 1))
	is.Equal(cached, 0)
	cached, stale := c.match(chainBlocks("s", "advisor@w2", []byte("aaaacccc."), 1))
	is.Equal(cached, 2)
	is.Equal(stale, 2) // the caller reused a salt across weights
}

func TestCacheEventsAreDelayedAndLost(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c := newPromptCache(Settings{CacheTokens: 100, BlockTokens: 1, EventLimit: 2, EventLag: time.Second, LoseEvery: 3}, clock)
	blocks := chainBlocks("s", served, []byte("aaaabbbbccccdddd."), 1)
	c.store(blocks)
	is.Equal(len(c.eventsAfter(0, 10)), 0)
	clock.Advance(time.Second)
	events := c.eventsAfter(0, 10)
	is.Equal(len(events), 3)
	is.Equal(events[2].Sequence, uint64(4)) // LoseEvery drops the third event
	is.Equal(events[2].Tokens, 4)
	is.Equal(len(c.eventsAfter(2, 10)), 1)
	is.Equal(len(c.eventsAfter(0, 1)), 1)
	c.loseEvents(1)
	c.clear()
	clock.Advance(time.Second)
	is.Equal(len(c.eventsAfter(4, 10)), 0)
	cached, _ := c.match(blocks)
	is.Equal(cached, 0)
}

func TestLoadReportLags(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	h := &loadHistory{clock: clock, lag: time.Second}
	h.record(3, 1)
	running, _ := h.report()
	is.Equal(running, 0)
	clock.Advance(time.Second)
	h.record(7, 2)
	running, waiting := h.report()
	is.Equal([]int{running, waiting}, []int{3, 1})
	for range 1000 {
		clock.Advance(10 * time.Millisecond)
		h.record(8, 0)
	}
	running, _ = h.report()
	is.Equal(running, 8)
	is.True(len(h.samples) <= samplesPerLag+2)
}

func TestOrdersAndFencing(t *testing.T) {
	for _, check := range []bool{true, false} {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		_, url := start(t, Settings{LoadTime: time.Second, CheckFence: check}, clock)
		status, _ := post(t, url+"/orders", Order{Fence: 8, Load: "advisor@w2"})
		is.Equal(status, http.StatusAccepted)
		status, _ = post(t, url+"/orders", Order{Fence: 7, Unload: served})
		is.Equal(status == http.StatusConflict, check)

		var r LoadReport
		get(t, url+"/load", &r)
		is.Equal(r.Loading, []string{"advisor@w2"})
		is.Equal(len(r.Models) == 1, check)
		is.Equal(r.FencingNumber == 8, check)
		clock.Advance(time.Second)
		// The fake clock runs due functions in their own goroutines.
		for tries := 0; len(r.Loading) > 0 && tries < 1000; tries++ {
			r = LoadReport{}
			get(t, url+"/load", &r)
		}
		is.Equal(r.Models[len(r.Models)-1], "advisor@w2")
		is.Equal(len(r.Loading), 0)

		var j Journal
		get(t, url+"/journal", &j)
		is.Equal(len(j.Orders), 2)
		is.Equal(j.Orders[1].Accepted, !check)
	}
}

func TestExportedBlocksAreImportedUnderTheirSaltOnly(t *testing.T) {
	is := is.New(t)
	_, from := start(t, Settings{BlockTokens: 2, BlockBytes: 100}, clockwork.NewRealClock())
	to, other := start(t, Settings{BlockTokens: 2}, clockwork.NewRealClock())
	body := plain(strings.Repeat("history ", 20), 1)
	post(t, from+"/v1/completions", body)
	_, blocks := post(t, from+"/kv/export", ExportRequest{Salt: "s", Prompt: body})
	status, _ := post(t, other+"/kv/import?salt=z", blocks)
	is.Equal(status, http.StatusBadRequest)
	status, reply := post(t, other+"/kv/import?salt=s", blocks)
	is.Equal(status, http.StatusOK)
	var imported ImportResult
	is.NoErr(json.Unmarshal(reply, &imported))

	post(t, other+"/v1/completions", body)
	e := to.Journal().Entries[0]
	is.Equal(e.Cached, imported.Tokens)
	is.True(e.Cached > 30)
	is.Equal(e.Prompt, e.Cached+e.Computed)
}

// A prompt crashes the engine. All other requests in the batch must fail with
// it, and the restarted engine must have an empty cache.
func TestPoisonedPromptDropsBatchAndCache(t *testing.T) {
	is := is.New(t)
	e, url := start(t, Settings{TokenTime: time.Hour}, clockwork.NewRealClock())
	e.Inject(Fault{Kind: FaultPoison, Marker: "POISON"})
	post(t, url+"/v1/completions", plain("kept prefix, long enough for a block or two, and then some more of it", 1))
	innocent := make(chan int)
	go func() {
		status, _ := post(t, url+"/v1/completions", plain("innocent", 2))
		innocent <- status
	}()
	for entries := e.Journal().Entries; len(entries) < 2 || !entries[1].Ran; entries = e.Journal().Entries {
		time.Sleep(time.Millisecond)
	}
	before := e.Incarnation()
	status, _ := post(t, url+"/v1/completions", plain("a POISON prompt", 2))
	is.Equal(status, 0)
	is.Equal(<-innocent, 0)
	for e.Incarnation() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(e.Incarnation() != before)
	for _, n := range e.Journal().Entries[1:] {
		is.Equal(n.State, StateCrashed)
	}
	post(t, url+"/v1/completions", plain("kept prefix, long enough for a block or two, and then some more of it", 1))
	entries := e.Journal().Entries
	is.Equal(entries[len(entries)-1].Cached, 0)
}

func TestCancelledAnswerIsNotComplete(t *testing.T) {
	is := is.New(t)
	e, url := start(t, Settings{TokenTime: time.Hour}, clockwork.NewRealClock())
	r, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions",
		strings.NewReader(`{"model":"advisor","messages":[{"role":"user","content":"x"}],"max_tokens":3,"stream":true}`))
	is.NoErr(err)
	r.Header.Set(requestHeader, "r/1")
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer response.Body.Close()
	status, _ := post(t, url+"/cancel/r%2F1", nil)
	is.Equal(status, http.StatusNoContent)
	data, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(data), `"code":"cancelled"`))
	is.True(!strings.Contains(string(data), `"finish_reason":"`))
	is.Equal(e.Journal().Entries[0].State, StateCancelled)
	status, _ = post(t, url+"/cancel/r%2F1", nil)
	is.Equal(status, http.StatusNotFound)
}

func TestInvalidRequestsAreNotRun(t *testing.T) {
	is := is.New(t)
	e, url := start(t, Settings{}, clockwork.NewRealClock())
	for _, body := range []string{``, `{`, `[]`, `{"model":"advisor"}`, `{"model":"x","prompt":"p"}`, `{"model":"advisor","prompt":"p","resume_text":"no "}`} {
		status, reply := post(t, url+"/v1/completions", []byte(body))
		is.True(status == http.StatusBadRequest || status == http.StatusNotFound)
		is.True(strings.Contains(string(reply), `"ran":"no"`))
	}
	is.Equal(len(e.Journal().Entries), 0)
}

func BenchmarkPlain(b *testing.B) {
	e := New(Settings{Models: []string{served}, JournalLimit: 1000}, clockwork.NewRealClock())
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	body := plain("a short prompt of a few words", 4)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			response, err := client.Post(server.URL+"/v1/completions", "application/json", bytes.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	})
}

// TestOverlappingFreezesEndWithTheLast guards against a freeze that ends with an earlier, shorter one.
func TestOverlappingFreezesEndWithTheLast(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	e := New(Settings{Models: []string{served}}, clock)
	frozen := func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		return e.faults.waitWhileFrozen(ctx) != nil
	}
	e.Inject(Fault{Kind: FaultFreeze, PauseMillis: 1000})
	e.Inject(Fault{Kind: FaultFreeze, PauseMillis: 2000})
	e.Inject(Fault{Kind: FaultFreeze, PauseMillis: 500})
	clock.Advance(1500 * time.Millisecond)
	time.Sleep(10 * time.Millisecond) // timers of the fake clock run in goroutines
	is.True(frozen())
	clock.Advance(500 * time.Millisecond)
	time.Sleep(10 * time.Millisecond)
	is.True(!frozen())
}
