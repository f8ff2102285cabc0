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
	// Settings of the demo. Zero fields get the defaults.
	Settings struct {
		Requests int
		Callers  int
		Keep     bool
		Log      string

		instant bool // engines compute in no time
	}

	// figures add up what callers saw.
	figures struct {
		mu         sync.Mutex
		firstToken *hdrhistogram.Histogram // microseconds
		whole      int
		failed     int
		calls      int
		prompt     int
		cached     int
		lastError  error
	}

	// event is what the demo reads of a streamed answer.
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
	members          = 24
	instructionWords = 400
	historyWords     = 900
	maxTokens        = 16
	serviceEvery     = 10 // one call in so many goes to the plain service
	maxMicros        = 60_000_000
	figuresDigits    = 3
	seed             = 7
)

var errCut = errors.New("the answer ended without its last event")

// Run brings the demo up, sends its load and prints its figures.
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
		len(d.callers), engineCount, s.Requests, s.Callers)
	f := &figures{firstToken: hdrhistogram.New(1, maxMicros, figuresDigits)}
	began := time.Now()
	d.load(ctx, s, f)
	f.print(out, d, time.Since(began))
	if s.Keep {
		d.keep(ctx, out)
	}
	stop()
	if err := d.group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	if f.failed > 0 {
		return fmt.Errorf("%d requests failed, the last with: %w", f.failed, f.lastError)
	}
	return nil
}

func (d *deployment) load(ctx context.Context, s Settings, f *figures) {
	var wait sync.WaitGroup
	jobs := make(chan int)
	for caller := range s.Callers {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			for number := range jobs {
				d.sendOne(ctx, number, random, f)
			}
		})
	}
	for number := range s.Requests {
		jobs <- number
	}
	close(jobs)
	wait.Wait()
}

func (d *deployment) sendOne(ctx context.Context, number int, random *rand.Rand, f *figures) {
	entry := d.callers[number%len(d.callers)]
	if number%serviceEvery == 0 {
		f.noteCall(shipParcel(ctx, entry, number))
		return
	}
	// A few members ask most: the square of a uniform draw.
	draw := random.Float64()
	member := int(draw * draw * members)
	f.note(askAdvisor(ctx, entry, member, number))
}

// shipParcel makes a call that may not be repeated.
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

// askAdvisor streams one answer whose prompt has the levels of the fit advisor:
// a common instruction, the member's history, a question.
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
	return got, errors.Join(errCut, lines.Err())
}

func words(word string, of, count int) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, "%s %d-%d ", word, of, i)
	}
	return b.String()
}

func (f *figures) note(a answer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.failed++
		f.lastError = err
		return
	}
	f.whole++
	f.prompt += a.prompt
	f.cached += a.cached
	_ = f.firstToken.RecordValue(a.firstToken.Microseconds())
}

func (f *figures) noteCall(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.failed++
		f.lastError = err
		return
	}
	f.calls++
}

func (f *figures) print(out io.Writer, d *deployment, took time.Duration) {
	wasted := uint64(0)
	for _, e := range d.entries {
		wasted += e.WastedTokens()
	}
	fmt.Fprintf(out, "whole answers       %d of %d\n", f.whole, f.whole+f.failed)
	fmt.Fprintf(out, "shipments, once     %d\n", f.calls)
	fmt.Fprintf(out, "prefix hit rate     %.1f%%\n", percent(f.cached, f.prompt))
	fmt.Fprintf(out, "first token         p50 %s, p99 %s\n", micros(f.firstToken.ValueAtQuantile(50)), micros(f.firstToken.ValueAtQuantile(99)))
	fmt.Fprintf(out, "wasted recompute    %.1f%% of prompt tokens\n", percent(int(wasted), f.prompt))
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

// keep stays up until the context ends.
func (d *deployment) keep(ctx context.Context, out io.Writer) {
	fmt.Fprintf(out, "\nStaying up; interrupt to end. Try:\n\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"Which size?\"}]}'\n", d.callers[0], demoKey, model)
	<-ctx.Done()
}
