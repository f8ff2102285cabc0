package beechdemo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type (
	// Settings configures the demo. Zero fields get the defaults.
	Settings struct {
		Requests int
		Callers  int
		Keep     bool
		Log      string

		instant bool // prefill and token generation take no time
	}

	// loadStats sums up the results of all callers.
	loadStats struct {
		mu         sync.Mutex
		firstToken *hdrhistogram.Histogram // microseconds
		whole      int
		failed     int
		calls      int
		prompt     int
		cached     int
		lastError  error
	}

	// event holds the fields that the demo reads from an event of a streamed
	// answer.
	event struct {
		Usage *struct {
			Prompt  int `json:"prompt_tokens"`
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
		Error *struct {
			Message string `json:"message"`
		} `json:"error"`
	}
)

// Defaults of Settings.
const (
	DefaultRequests = 400
	DefaultCallers  = 16
)

const (
	members             = 24
	instructionWords    = 400
	historyWords        = 900
	maxTokens           = 16
	serviceCallInterval = 10 // every n-th request goes to the plain service
	maxLatencyMicros    = 60_000_000
	histogramDigits     = 3
	seed                = 7
)

var errStreamTruncated = errors.New("the answer ended without its last event")

// Run starts the demo deployment, sends its load and prints the results.
func Run(ctx context.Context, s Settings, out, errs io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if s.Requests <= 0 {
		s.Requests = DefaultRequests
	}
	if s.Callers <= 0 {
		s.Callers = DefaultCallers
	}
	if s.Log == "" {
		s.Log = "error"
	}
	d, err := start(ctx, s, errs)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d entry hosts, %d engines and a plain service are up; sending %d requests from %d callers\n",
		len(d.entryAddresses), engineCount, s.Requests, s.Callers)
	stats := &loadStats{firstToken: hdrhistogram.New(1, maxLatencyMicros, histogramDigits)}
	began := time.Now()
	d.load(ctx, s, stats)
	stats.print(out, d, time.Since(began))
	if s.Keep {
		d.stayUp(ctx, out)
	}
	stop()
	if err := d.group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	if stats.failed > 0 {
		return fmt.Errorf("%d requests failed, the last with: %w", stats.failed, stats.lastError)
	}
	return nil
}

func (d *deployment) load(ctx context.Context, s Settings, stats *loadStats) {
	var wait sync.WaitGroup
	jobs := make(chan int)
	for caller := range s.Callers {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			for number := range jobs {
				d.sendOne(ctx, number, random, stats)
			}
		})
	}
	for number := range s.Requests {
		jobs <- number
	}
	close(jobs)
	wait.Wait()
}

func (d *deployment) sendOne(ctx context.Context, number int, random *rand.Rand, stats *loadStats) {
	entry := d.entryAddresses[number%len(d.entryAddresses)]
	if number%serviceCallInterval == 0 {
		stats.recordServiceCall(shipParcel(ctx, entry, number))
		return
	}
	// Squaring a uniform draw skews the load towards a few members.
	draw := random.Float64()
	member := int(draw * draw * members)
	stats.recordAnswer(askAdvisor(ctx, entry, member, number))
}

// shipParcel makes a call to the plain service that must run at most once.
func shipParcel(ctx context.Context, entry netip.AddrPort, number int) error {
	url := "http://" + entry.String() + "/v1/services/shipping/shipments"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(fmt.Sprintf(`{"parcel":%d}`, number)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+demoKey)
	request.Header.Set("Idempotency-Key", fmt.Sprintf("parcel-%d", number))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("shipment %d: %s: %s", number, response.Status, bytes.TrimSpace(text))
	}
	return nil
}

type answer struct {
	firstToken time.Duration
	prompt     int
	cached     int
}

// askAdvisor streams one answer. Its prompt has the levels of the fit advisor: a
// common instruction, the member's history and a question.
func askAdvisor(ctx context.Context, entry netip.AddrPort, member, number int) (answer, error) {
	body, err := json.Marshal(map[string]any{
		"model":  model,
		"stream": true,
		"messages": []map[string]string{
			{"role": "system", "content": words("rule", 0, instructionWords)},
			{"role": "user", "content": words("row", member, historyWords)},
			{"role": "user", "content": fmt.Sprintf("Which size for order %d?", number)},
		},
		"max_tokens":     maxTokens,
		"stream_options": map[string]bool{"include_usage": true},
	})
	if err != nil {
		return answer{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+demoKey)
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return answer{}, fmt.Errorf("request %d: %s: %s", number, response.Status, bytes.TrimSpace(text))
	}
	return readAnswer(response.Body, began)
}

func readAnswer(body io.Reader, began time.Time) (answer, error) {
	var got answer
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return got, nil
		}
		if got.firstToken == 0 {
			got.firstToken = time.Since(began)
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return got, err
		}
		if e.Error != nil {
			return got, errors.New(e.Error.Message)
		}
		if e.Usage != nil {
			got.prompt = e.Usage.Prompt
			got.cached = e.Usage.Details.Cached
		}
	}
	return got, errors.Join(errStreamTruncated, lines.Err())
}

func words(word string, of, count int) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, "%s %d-%d ", word, of, i)
	}
	return b.String()
}

func (stats *loadStats) recordAnswer(a answer, err error) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	if err != nil {
		stats.failed++
		stats.lastError = err
		return
	}
	stats.whole++
	stats.prompt += a.prompt
	stats.cached += a.cached
	_ = stats.firstToken.RecordValue(a.firstToken.Microseconds())
}

func (stats *loadStats) recordServiceCall(err error) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	if err != nil {
		stats.failed++
		stats.lastError = err
		return
	}
	stats.calls++
}

func (stats *loadStats) print(out io.Writer, d *deployment, took time.Duration) {
	wasted := uint64(0)
	for _, e := range d.entries {
		wasted += e.WastedTokens()
	}
	fmt.Fprintf(out, "whole answers       %d of %d\n", stats.whole, stats.whole+stats.failed)
	fmt.Fprintf(out, "shipments, once     %d\n", stats.calls)
	fmt.Fprintf(out, "prefix hit rate     %.1f%%\n", percent(stats.cached, stats.prompt))
	fmt.Fprintf(out, "first token         p50 %s, p99 %s\n", micros(stats.firstToken.ValueAtQuantile(50)), micros(stats.firstToken.ValueAtQuantile(99)))
	fmt.Fprintf(out, "wasted recompute    %.1f%% of prompt tokens\n", percent(int(wasted), stats.prompt))
	fmt.Fprintf(out, "took                %s\n", took.Round(time.Millisecond))
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func micros(value int64) time.Duration {
	return (time.Duration(value) * time.Microsecond).Round(10 * time.Microsecond)
}

// stayUp keeps the deployment running until the context ends.
func (d *deployment) stayUp(ctx context.Context, out io.Writer) {
	fmt.Fprintf(out, "\nStaying up; interrupt to end. Try:\n\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"Which size?\"}]}'\n", d.entryAddresses[0], demoKey, model)
	<-ctx.Done()
}
