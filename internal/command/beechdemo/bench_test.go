package beechdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Load of the benchmarks. benchRate is the rate that the requirement for the
// first token states.
const (
	benchRate         = 2000 // requests per second
	benchSeconds      = 4
	benchWarmup       = 500
	openStreams       = 5000
	unstreamedCallers = 96
	benchDeadline     = 60 * time.Second
)

// startBenchDeployment starts a deployment with instant engines, so that only the
// latency of entry and agent is measured.
func startBenchDeployment(b *testing.B) *deployment {
	b.Helper()
	ctx, stop := context.WithCancel(context.Background())
	d, err := start(ctx, Settings{Log: "error", instant: true}, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		stop()
		_ = d.group.Wait()
	})
	return d
}

func benchBody(b *testing.B, number int, stream bool) []byte {
	b.Helper()
	data, err := json.Marshal(map[string]any{
		"model": model, "stream": stream, "max_tokens": 4,
		"messages": []map[string]string{
			{"role": "system", "content": "You advise members on the size of their socks."},
			{"role": "user", "content": fmt.Sprintf("Which size for order %d?", number%64)},
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8192, MaxIdleConns: 8192, DisableCompression: true}}
}

// firstToken sends one streamed request and returns the time to its first
// event.
func firstToken(client *http.Client, address netip.AddrPort, body []byte) (time.Duration, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+demoKey)
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var first [1]byte
	if _, err := io.ReadFull(response.Body, first[:]); err != nil {
		return 0, err
	}
	took := time.Since(began)
	rest, err := io.ReadAll(response.Body)
	if err == nil && (response.StatusCode != http.StatusOK || !bytes.Contains(rest, []byte("[DONE]"))) {
		err = fmt.Errorf("status %d: %.200s", response.StatusCode, rest)
	}
	return took, err
}

// sendAtFixedRate sends requests at benchRate regardless of outstanding answers
// (open loop) and returns the sorted times to the first token.
func sendAtFixedRate(b *testing.B, target func(number int) netip.AddrPort, count int) []time.Duration {
	b.Helper()
	client := benchClient()
	times := make([]time.Duration, count)
	var failed atomic.Pointer[error]
	var wait sync.WaitGroup
	began := time.Now()
	for number := range count {
		time.Sleep(time.Until(began.Add(time.Duration(number) * time.Second / benchRate)))
		body := benchBody(b, number, true)
		wait.Go(func() {
			took, err := firstToken(client, target(number), body)
			if err != nil {
				failed.Store(&err)
			}
			times[number] = took
		})
	}
	wait.Wait()
	if err := failed.Load(); err != nil {
		b.Fatal(*err)
	}
	sort.Slice(times, func(i, k int) bool { return times[i] < times[k] })
	return times
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// BenchmarkFirstToken compares both paths in one run: directly to the simulated
// engines, and through entry and agent, at 2,000 requests per second each.
func BenchmarkFirstToken(b *testing.B) {
	d := startBenchDeployment(b)
	toEntries := func(number int) netip.AddrPort { return d.entryAddresses[number%len(d.entryAddresses)] }
	toEngines := func(number int) netip.AddrPort { return d.engines[number%len(d.engines)] }
	sendAtFixedRate(b, toEntries, benchWarmup)
	sendAtFixedRate(b, toEngines, benchWarmup)
	for b.Loop() {
		direct := sendAtFixedRate(b, toEngines, benchRate*benchSeconds)
		routed := sendAtFixedRate(b, toEntries, benchRate*benchSeconds)
		for _, q := range []float64{0.5, 0.99} {
			name := fmt.Sprintf("p%.0f", 100*q)
			b.ReportMetric(float64(quantile(direct, q).Microseconds()), "direct-"+name+"-us")
			b.ReportMetric(float64(quantile(routed, q).Microseconds()), "routed-"+name+"-us")
			b.ReportMetric(float64((quantile(routed, q) - quantile(direct, q)).Microseconds()), "added-"+name+"-us")
		}
	}
}

// BenchmarkPlain sends small unstreamed requests in a closed loop.
func BenchmarkPlain(b *testing.B) {
	d := startBenchDeployment(b)
	client := benchClient()
	var number atomic.Int64
	b.ResetTimer()
	b.SetParallelism(unstreamedCallers / runtime.GOMAXPROCS(0))
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			n := int(number.Add(1))
			if err := unstreamedRequest(client, d.entryAddresses[n%len(d.entryAddresses)], benchBody(b, n, false)); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

func unstreamedRequest(client *http.Client, address netip.AddrPort, body []byte) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+demoKey)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || !strings.Contains(string(text), "usage") {
		return fmt.Errorf("status %d: %.200s: %w", response.StatusCode, text, err)
	}
	return nil
}
