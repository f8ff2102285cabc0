package beechplay

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/request/beechfresh"
	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

type (
	// Report sums up the results of the callers' requests.
	Report struct {
		Asked    int
		Served   int // answered completely
		Late     int // of those served, with the first byte after the latency objective
		Refused  int // rejected with status 503, not run
		Failed   int
		First    *hdrhistogram.Histogram // microseconds to the first byte of complete answers
		Read     int                     // prompt tokens that engines prefilled
		Prompts  int                     // prompt tokens of all requests
		Promises []string                // violated guarantees
	}

	// simulation is the state of one run of a day.
	simulation struct {
		day     Day
		cluster *Cluster
		random  *rand.Rand
		client  *http.Client

		mu               sync.Mutex
		report           Report
		atMostOnceStatus map[string]int // status by ID of the requests that may run at most once
		version          int
		config           int
		gates            []string
		gatesStarted     int
		favored          atomic.Bool // most requests go to the first gate
	}

	requestKind struct {
		path       string
		objective  time.Duration
		atMostOnce bool
		stream     bool
		weight     float64
	}
)

const (
	readyTimeout      = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
	callerTimeout     = 6 * time.Second
	maxLatencyMicros  = int64(time.Hour / time.Microsecond)
	histogramDigits   = 2
	twiceEvery        = 3 // answers of which one follows a copy of an earlier one
	gateGracePeriod   = 8 * time.Second

	// A limit must be kept once limitSettleTime has passed since the server first
	// announced it.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitTolerance  = 0.5
	limitSlack      = 5

	// The operators tolerate that toleratedPoison requests with a part that crashes engines reach
	// engines later than contactBound after the fifth crash.
	toleratedCrashes = 5
	toleratedPoison  = 3
	contactBound     = 3 * time.Second
	firstSubject     = "a0" // prompt part of the first subject
	// favoredOf is of how many requests one does not go to a favored gate.
	favoredOf = 10
)

var requestKinds = []requestKind{
	{"/pick/", 600 * time.Millisecond, false, true, 0.3},
	{"/card/", 600 * time.Millisecond, true, true, 0.4},
	{"/label/", 100 * time.Millisecond, true, false, 0.2},
	{"/check/", 100 * time.Millisecond, false, false, 0.1},
}

// Play runs a day and reports the results. An error means that the day could not
// be run; failed requests and violated guarantees are in the report.
func Play(ctx context.Context, day Day, log *zap.Logger) (*Report, error) {
	cluster, err := NewCluster(InProcess{Age: beechfresh.BootClock{}, Log: log})
	if err != nil {
		return nil, fmt.Errorf("play: %w", err)
	}
	p := &simulation{
		day: day, cluster: cluster, random: rand.New(rand.NewPCG(day.Seed, day.Seed)), version: 1, config: 1, atMostOnceStatus: make(map[string]int),
		client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}},
		report: Report{First: hdrhistogram.New(1, maxLatencyMicros, histogramDigits)},
	}
	if err := p.deploy(); err != nil {
		_ = cluster.Close()
		return nil, fmt.Errorf("play: %w", err)
	}
	p.sendRequests(ctx)
	p.checkInvariants()
	p.client.CloseIdleConnections()
	if err := cluster.Close(); err != nil {
		return nil, fmt.Errorf("play: %w", err)
	}
	return &p.report, nil
}

func (p *simulation) deploy() error {
	p.cluster.Models = []string{OtherModel}
	p.cluster.Configure(p.config, nil)
	p.cluster.SetWeights(p.version)
	p.cluster.SetWeightsOf(OtherModel, p.version)
	for i := range p.day.Engines {
		_, err := p.cluster.AddEngine(fmt.Sprintf("e%d", i+1), beechsimulator.EngineSettings{
			Model: Model, Version: 1, Slots: 48, Token: time.Duration(p.day.Token), ReadRate: p.day.Reading, Load: 300 * time.Millisecond,
		})
		if err != nil {
			return err
		}
	}
	for i := range p.day.Services {
		if _, err := p.cluster.AddEngine(fmt.Sprintf("s%d", i+1), beechsimulator.EngineSettings{Slots: 48}); err != nil {
			return err
		}
	}
	for range p.day.Gates {
		if err := p.addGate(); err != nil {
			return err
		}
	}
	return nil
}

func (p *simulation) addGate() error {
	p.gatesStarted++
	name := fmt.Sprintf("gate-%d", p.gatesStarted)
	bounds := beechsettings.GateBounds{
		Revoke: beechsettings.Duration(5 * time.Second), Grace: beechsettings.Duration(gateGracePeriod), Weights: beechsettings.Duration(8 * time.Second),
		Retries: 0.2, Spare: 50, Window: beechsettings.Duration(10 * time.Second),
	}
	if err := p.cluster.AddGate(name, bounds); err != nil {
		return err
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		response, err := p.client.Get("http://" + p.cluster.Places[name+"-ready"].String() + beechsimulator.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			p.gates = append(p.gates, name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %s", name, readyTimeout)
}

// sendRequests sends the day's requests with exponentially distributed pauses
// and injects its faults.
func (p *simulation) sendRequests(ctx context.Context) {
	var callers, faults sync.WaitGroup
	defer callers.Wait()
	defer faults.Wait()
	began := time.Now()
	pending := p.day.Faults
	for n := 0; time.Since(began) < time.Duration(p.day.Length) && ctx.Err() == nil; n++ {
		for len(pending) > 0 && time.Since(began) >= time.Duration(pending[0].At) {
			f := pending[0]
			pending = pending[1:]
			faults.Add(1)
			go func() {
				defer faults.Done()
				p.injectFault(f)
			}()
		}
		k, subject := p.drawRequest()
		gate := p.gates[n%len(p.gates)]
		if p.favored.Load() && n%favoredOf > 0 {
			gate = p.gates[0]
		}
		callers.Add(1)
		go func() {
			defer callers.Done()
			p.sendRequest(ctx, fmt.Sprintf("play-%d", n), gate, k, subject)
		}()
		time.Sleep(time.Duration(p.random.ExpFloat64() / p.day.Rate * float64(time.Second)))
	}
}

func (p *simulation) drawRequest() (requestKind, int) {
	left := p.random.Float64()
	for _, k := range requestKinds {
		if left -= k.weight; left < 0 {
			return k, p.random.IntN(p.day.Subjects)
		}
	}
	return requestKinds[0], 0
}

// injectFault starts a fault and ends it after its duration.
func (p *simulation) injectFault(f Fault) {
	servers := func(t beechsimulator.EngineFaults) {
		for name, e := range p.cluster.Engines {
			if f.On == "" || f.On == name {
				e.SetFaults(t)
			}
		}
	}
	switch f.Kind {
	case "weights":
		p.version++
		p.cluster.SetWeights(p.version)
	case "models":
		p.version++
		p.cluster.SetWeights(p.version)
		p.cluster.SetWeightsOf(OtherModel, p.version)
	case "configure":
		p.config++
		p.cluster.Configure(p.config, nil)
	case "compact":
		p.cluster.Store.Compact()
	case "store down":
		p.cluster.Store.SetFaults(beechsimulator.StoreFaults{Status: http.StatusServiceUnavailable})
	case "store silent":
		p.cluster.Store.SetFaults(beechsimulator.StoreFaults{Silent: true})
	case "refuse":
		servers(beechsimulator.EngineFaults{Refuse: true})
	case "hang":
		servers(beechsimulator.EngineFaults{Hang: true})
	case "reset":
		servers(beechsimulator.EngineFaults{Drop: true})
	case "cut":
		servers(beechsimulator.EngineFaults{CutAfter: 2})
	case "fail":
		servers(beechsimulator.EngineFaults{Status: http.StatusInternalServerError})
	case "limit":
		p.injectLimit(f)
		return
	case "stop":
		p.replaceGate()
	case "poison":
		servers(beechsimulator.EngineFaults{CrashPart: firstSubject})
		defer p.checkPoison()
	case "endless":
		defer p.sendEndless(f)()
	case "twice":
		servers(beechsimulator.EngineFaults{Twice: twiceEvery})
	case "unframed":
		servers(beechsimulator.EngineFaults{Ending: beechsimulator.Unframed})
	case "one gate":
		p.favored.Store(true)
		defer p.favored.Store(false)
	}
	if f.For == 0 {
		return
	}
	time.Sleep(time.Duration(f.For))
	p.cluster.Store.SetFaults(beechsimulator.StoreFaults{})
	servers(beechsimulator.EngineFaults{})
}

// checkPoison checks how many requests reached engines that had a part on which five had crashed.
func (p *simulation) checkPoison() {
	if late := lateArrivals(p.cluster, firstSubject); late > toleratedPoison {
		p.recordViolation("%d requests with a part that crashes engines reached engines later than %s after the fifth crash", late, contactBound)
	}
}

// lateArrivals returns how many requests with a part reached engines later than contactBound after
// the fifth crash.
func lateArrivals(w *Cluster, part string) int {
	var crashes []time.Time
	for _, e := range w.Engines {
		crashes = append(crashes, e.Crashes()...)
	}
	if len(crashes) < toleratedCrashes {
		return 0
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	for _, e := range w.Engines {
		for _, at := range e.PartArrivals(part) {
			if at.After(crashes[toleratedCrashes-1].Add(contactBound)) {
				late++
			}
		}
	}
	return late
}

// injectLimit has servers announce a rate limit, until the end of the day if the
// fault has no duration, and checks that they do not receive more requests.
func (p *simulation) injectLimit(f Fault) {
	length := time.Duration(cmp.Or(f.For, p.day.Length-f.At))
	since := time.Now()
	for name, e := range p.cluster.Engines {
		if f.On == "" || f.On == name {
			e.SetLimit(strconv.FormatFloat(f.Rate, 'f', -1, 64))
		}
	}
	time.Sleep(length)
	until := time.Now()
	for name, e := range p.cluster.Engines {
		if f.On != "" && f.On != name {
			continue
		}
		e.SetLimit("")
		if most := e.MaxArrivals(limitWindow, since, since.Add(limitSettleTime), until); float64(most) > MaxArrivals(f.Rate) {
			p.recordViolation("%s: got %d requests in %s at a limit of %g per second", name, most, limitWindow, f.Rate)
		}
	}
}

// MaxArrivals returns how many requests a server with a rate limit may receive
// in limitWindow. It allows for requests that were in flight when the limit was
// announced.
func MaxArrivals(rate float64) float64 {
	return rate*limitWindow.Seconds()*(1+limitTolerance) + limitSlack
}

// replaceGate starts a new gate and drains the first one, as a load balancer
// would: it gets no new requests and stops when its requests are answered.
func (p *simulation) replaceGate() {
	leaving := p.gates[0]
	if err := p.addGate(); err != nil {
		p.recordViolation("%v", err)
		return
	}
	p.gates = p.gates[1:]
	if err := p.cluster.Stop(leaving); err != nil {
		p.recordViolation("%v", err)
	}
}

func (p *simulation) sendRequest(ctx context.Context, id, gate string, k requestKind, subject int) {
	ask := beechsimulator.CallerRequest{ID: id, Key: Key, Host: Host, URL: "http://" + p.cluster.Places[gate].String() + k.path + "x", Left: callerTimeout, Body: "question"}
	if k.stream {
		ask.Model, ask.Prompt, ask.Output = Model, p.day.Shared+p.day.Own, p.day.Output
		ask.Parts = fmt.Sprintf("c0:%d,a%x:%d,f%s:%d", p.day.Shared/3, subject, p.day.Shared-p.day.Shared/3, strings.TrimPrefix(id, "play-"), p.day.Own)
	}
	r, err := ask.NewRequest()
	if err != nil {
		p.recordViolation("%v", err)
		return
	}
	began := time.Now()
	response, err := p.client.Do(r.WithContext(ctx))
	first := time.Since(began)
	status, whole := 0, false
	if err == nil {
		status = response.StatusCode
		body, failed := io.ReadAll(response.Body)
		_ = response.Body.Close()
		whole = failed == nil && status == http.StatusOK
		if whole && k.stream && string(body) != expectedStream(p.day.Output) {
			p.recordViolation("%s: streamed answer is not the expected one", id)
		}
	}
	p.recordResult(id, k, status, whole, first, ask.Prompt)
}

func (p *simulation) recordResult(id string, k requestKind, status int, whole bool, first time.Duration, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Asked++
	p.report.Prompts += tokens
	if k.atMostOnce {
		p.atMostOnceStatus[id] = status
	}
	switch {
	case whole:
		p.report.Served++
		_ = p.report.First.RecordValue(min(max(first.Microseconds(), 1), maxLatencyMicros)) // cannot fail for a value in range
		if first > k.objective {
			p.report.Late++
		}
	case status == http.StatusServiceUnavailable:
		p.report.Refused++
	default:
		p.report.Failed++
	}
}

// expectedStream returns a complete stream of n events.
func expectedStream(n int) string {
	var text strings.Builder
	for i := 1; i <= n; i++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", i, i)
	}
	return text.String()
}

func (p *simulation) recordViolation(format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Promises = append(p.report.Promises, fmt.Sprintf(format, values...))
}

// checkInvariants checks the guarantees that must hold under all faults.
func (p *simulation) checkInvariants() {
	for id, status := range p.atMostOnceStatus {
		runs := p.cluster.Runs(id)
		if runs > 1 {
			p.recordViolation("%s: ran %d times, may run at most once", id, runs)
		}
		if runs > 0 && status == http.StatusServiceUnavailable {
			p.recordViolation("%s: ran, though its caller was told that it did not", id)
		}
	}
	for name, e := range p.cluster.Engines {
		p.report.Read += e.PrefillTokens()
		fence := uint64(0)
		for _, o := range e.Orders() {
			if o.Holder != "keeper-"+name {
				p.recordViolation("%s: got an order from %s", name, o.Holder)
			}
			if o.Fence < fence {
				p.recordViolation("%s: got an order for %s under %d after one under %d", name, o.Model, o.Fence, fence)
			}
			fence = max(fence, o.Fence)
		}
	}
}

// firstByteLatency returns a percentile of the time to the first byte of complete
// answers.
func (r *Report) firstByteLatency(quantile float64) time.Duration {
	return time.Duration(r.First.ValueAtQuantile(quantile)) * time.Microsecond
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "asked            %d\nwhole answers    %d, %d of them late\nrefused, not run %d\nfailed           %d\nfirst byte       p50 %s, p99 %s\n",
		r.Asked, r.Served, r.Late, r.Refused, r.Failed, r.firstByteLatency(medianPercentile).Round(10*time.Microsecond), r.firstByteLatency(tailPercentile).Round(10*time.Microsecond))
	if r.Prompts > 0 {
		_, _ = fmt.Fprintf(w, "prompt tokens    %d, %.1f%% of them read\n", r.Prompts, 100*float64(r.Read)/float64(r.Prompts))
	}
	_, _ = fmt.Fprintf(w, "broken promises  %d\n", len(r.Promises))
	for _, text := range r.Promises {
		_, _ = fmt.Fprintf(w, "  %s\n", text)
	}
}
