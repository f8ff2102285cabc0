package beechplay

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/request/beechfresh"
	"github.com/beechring/beechring/internal/standin/beechhome"
)

type (
	// Report is what callers got.
	Report struct {
		Asked    int
		Served   int // whole
		Late     int // of these, first byte after the objective
		Refused  int // not run, with a time to come back
		Failed   int
		First    *hdrhistogram.Histogram // microseconds to the first byte of whole answers
		Read     int                     // prompt tokens that engines read
		Prompts  int                     // prompt tokens in all
		Promises []string                // broken
	}

	// player plays one day.
	player struct {
		day    Day
		world  *Cluster
		random *rand.Rand
		client *http.Client

		mu      sync.Mutex
		report  Report
		once    map[string]int // status by id of requests that run at most once
		version int
		config  int
		gates   []string
		made    int
	}

	kind struct {
		path      string
		objective time.Duration
		once      bool
		stream    bool
		share     float64
	}
)

const (
	readyMost  = 10 * time.Second
	readyPoll  = 20 * time.Millisecond
	callerTime = 6 * time.Second
	latencyMax = int64(time.Hour / time.Microsecond)
	digits     = 2
	grace      = 8 * time.Second

	// A limit must be kept from limitKnown after it was first named on.
	limitKnown   = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitOverage = 0.5
	limitSlack   = 5
)

var kinds = []kind{
	{"/pick/", 600 * time.Millisecond, false, true, 0.3},
	{"/card/", 600 * time.Millisecond, true, true, 0.4},
	{"/label/", 100 * time.Millisecond, true, false, 0.2},
	{"/check/", 100 * time.Millisecond, false, false, 0.1},
}

// Play plays a day and reports what callers got. An error says that the day
// could not be played, not that callers were served badly.
func Play(ctx context.Context, day Day, log *zap.Logger) (*Report, error) {
	world, err := NewCluster(InProcess{Age: beechfresh.BootClock{}, Log: log})
	if err != nil {
		return nil, fmt.Errorf("play: %w", err)
	}
	p := &player{
		day: day, world: world, random: rand.New(rand.NewPCG(day.Seed, day.Seed)), version: 1, config: 1, once: make(map[string]int),
		client: &http.Client{Timeout: callerTime, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}},
		report: Report{First: hdrhistogram.New(1, latencyMax, digits)},
	}
	if err := p.begin(); err != nil {
		_ = world.Close()
		return nil, fmt.Errorf("play: %w", err)
	}
	p.run(ctx)
	p.promises()
	p.client.CloseIdleConnections()
	if err := world.Close(); err != nil {
		return nil, fmt.Errorf("play: %w", err)
	}
	return &p.report, nil
}

func (p *player) begin() error {
	p.world.Configure(p.config, nil)
	p.world.SetWeights(p.version)
	for i := range p.day.Engines {
		_, err := p.world.AddEngine(fmt.Sprintf("e%d", i+1), beechhome.EngineSettings{
			Model: Model, Version: 1, Slots: 48, Token: time.Duration(p.day.Token), ReadRate: p.day.Reading, Load: 300 * time.Millisecond,
		})
		if err != nil {
			return err
		}
	}
	for i := range p.day.Services {
		if _, err := p.world.AddEngine(fmt.Sprintf("s%d", i+1), beechhome.EngineSettings{Slots: 48}); err != nil {
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

func (p *player) addGate() error {
	p.made++
	name := fmt.Sprintf("gate-%d", p.made)
	bounds := beechsettings.GateBounds{
		Revoke: beechsettings.Duration(5 * time.Second), Grace: beechsettings.Duration(grace), Weights: beechsettings.Duration(8 * time.Second),
		Retries: 0.2, Spare: 50, Window: beechsettings.Duration(10 * time.Second),
	}
	if err := p.world.AddGate(name, bounds); err != nil {
		return err
	}
	for end := time.Now().Add(readyMost); time.Now().Before(end); time.Sleep(readyPoll) {
		response, err := p.client.Get("http://" + p.world.Places[name+"-ready"].String() + beechhome.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			p.gates = append(p.gates, name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %s", name, readyMost)
}

// run sends the day's requests at random times, and brings the faults about.
func (p *player) run(ctx context.Context) {
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
				p.fault(f)
			}()
		}
		k, subject := p.draw()
		gate := p.gates[n%len(p.gates)]
		callers.Add(1)
		go func() {
			defer callers.Done()
			p.ask(ctx, fmt.Sprintf("play-%d", n), gate, k, subject)
		}()
		time.Sleep(time.Duration(p.random.ExpFloat64() / p.day.Rate * float64(time.Second)))
	}
}

func (p *player) draw() (kind, int) {
	left := p.random.Float64()
	for _, k := range kinds {
		if left -= k.share; left < 0 {
			return k, p.random.IntN(p.day.Subjects)
		}
	}
	return kinds[0], 0
}

// fault brings a trouble about and ends it.
func (p *player) fault(f Fault) {
	servers := func(t beechhome.EngineFaults) {
		for name, e := range p.world.Engines {
			if f.On == "" || f.On == name {
				e.SetFaults(t)
			}
		}
	}
	switch f.Kind {
	case "weights":
		p.version++
		p.world.SetWeights(p.version)
	case "configure":
		p.config++
		p.world.Configure(p.config, nil)
	case "compact":
		p.world.Store.Compact()
	case "store down":
		p.world.Store.SetFaults(beechhome.StoreFaults{Status: http.StatusServiceUnavailable})
	case "store silent":
		p.world.Store.SetFaults(beechhome.StoreFaults{Silent: true})
	case "refuse":
		servers(beechhome.EngineFaults{Refuse: true})
	case "hang":
		servers(beechhome.EngineFaults{Hang: true})
	case "reset":
		servers(beechhome.EngineFaults{Drop: true})
	case "cut":
		servers(beechhome.EngineFaults{CutAfter: 2})
	case "fail":
		servers(beechhome.EngineFaults{Status: http.StatusInternalServerError})
	case "limit":
		p.limit(f)
		return
	case "stop":
		p.replaceGate()
	}
	if f.For == 0 {
		return
	}
	time.Sleep(time.Duration(f.For))
	p.world.Store.SetFaults(beechhome.StoreFaults{})
	servers(beechhome.EngineFaults{})
}

// limit has servers name a limit for a time, to the day's end if none is given, and checks
// that they are not sent more.
func (p *player) limit(f Fault) {
	length := time.Duration(cmp.Or(f.For, p.day.Length-f.At))
	since := time.Now()
	for name, e := range p.world.Engines {
		if f.On == "" || f.On == name {
			e.SetLimit(strconv.FormatFloat(f.Rate, 'f', -1, 64))
		}
	}
	time.Sleep(length)
	until := time.Now()
	for name, e := range p.world.Engines {
		if f.On != "" && f.On != name {
			continue
		}
		e.SetLimit("")
		if most := e.MaxArrivals(limitWindow, since, since.Add(limitKnown), until); float64(most) > MaxArrivals(f.Rate) {
			p.broken("%s: was sent %d requests in %s, and takes %g a second", name, most, limitWindow, f.Rate)
		}
	}
}

// Tolerated is what a server that names a limit may be sent in limitWindow, some of it
// under way when the limit was named.
func MaxArrivals(rate float64) float64 {
	return rate*limitWindow.Seconds()*(1+limitOverage) + limitSlack
}

// replaceGate has the first gate leave, as a balancer would see it: it gets no
// new callers, and ends when those it has are answered.
func (p *player) replaceGate() {
	leaving := p.gates[0]
	if err := p.addGate(); err != nil {
		p.broken("%v", err)
		return
	}
	p.gates = p.gates[1:]
	if err := p.world.Stop(leaving); err != nil {
		p.broken("%v", err)
	}
}

func (p *player) ask(ctx context.Context, id, gate string, k kind, subject int) {
	ask := beechhome.CallerRequest{ID: id, Key: Key, Host: Host, URL: "http://" + p.world.Places[gate].String() + k.path + "x", Left: callerTime, Body: "question"}
	if k.stream {
		ask.Model, ask.Prompt, ask.Output = Model, p.day.Shared+p.day.Own, p.day.Output
		ask.Parts = fmt.Sprintf("c0:%d,a%x:%d,f%s:%d", p.day.Shared/3, subject, p.day.Shared-p.day.Shared/3, strings.TrimPrefix(id, "play-"), p.day.Own)
	}
	r, err := ask.NewRequest()
	if err != nil {
		p.broken("%v", err)
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
		if whole && k.stream && string(body) != stream(p.day.Output) {
			p.broken("%s: its stream is not the whole stream", id)
		}
	}
	p.note(id, k, status, whole, first, ask.Prompt)
}

func (p *player) note(id string, k kind, status int, whole bool, first time.Duration, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Asked++
	p.report.Prompts += tokens
	if k.once {
		p.once[id] = status
	}
	switch {
	case whole:
		p.report.Served++
		_ = p.report.First.RecordValue(min(max(first.Microseconds(), 1), latencyMax)) // within bounds, so it cannot fail
		if first > k.objective {
			p.report.Late++
		}
	case status == http.StatusServiceUnavailable:
		p.report.Refused++
	default:
		p.report.Failed++
	}
}

// stream is the whole stream of so many events.
func stream(n int) string {
	var text strings.Builder
	for i := 1; i <= n; i++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", i, i)
	}
	return text.String()
}

func (p *player) broken(format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Promises = append(p.report.Promises, fmt.Sprintf(format, values...))
}

// promises checks what must hold whatever happened.
func (p *player) promises() {
	for id, status := range p.once {
		runs := p.world.Runs(id)
		if runs > 1 {
			p.broken("%s: ran %d times, though it may run once", id, runs)
		}
		if runs > 0 && status == http.StatusServiceUnavailable {
			p.broken("%s: was called not run, and ran", id)
		}
	}
	for name, e := range p.world.Engines {
		p.report.Read += e.PrefillTokens()
		for _, o := range e.Orders() {
			if o.Holder != "keeper-"+name {
				p.broken("%s: had an order from %s", name, o.Holder)
			}
		}
	}
}

// first is the time to the first byte of so many in a hundred whole answers.
func (r *Report) first(quantile float64) time.Duration {
	return time.Duration(r.First.ValueAtQuantile(quantile)) * time.Microsecond
}

// Print writes the report for people.
func (r *Report) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "asked            %d\nwhole answers    %d, %d of them late\nrefused, not run %d\nfailed           %d\nfirst byte       p50 %s, p99 %s\n",
		r.Asked, r.Served, r.Late, r.Refused, r.Failed, r.first(medianAt).Round(10*time.Microsecond), r.first(tailAt).Round(10*time.Microsecond))
	if r.Prompts > 0 {
		_, _ = fmt.Fprintf(w, "prompt tokens    %d, %.1f%% of them read\n", r.Prompts, 100*float64(r.Read)/float64(r.Prompts))
	}
	_, _ = fmt.Fprintf(w, "broken promises  %d\n", len(r.Promises))
	for _, text := range r.Promises {
		_, _ = fmt.Fprintf(w, "  %s\n", text)
	}
}
