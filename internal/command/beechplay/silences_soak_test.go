package beechplay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/beechring/beechring/internal/command/beechtrace"
	"github.com/beechring/beechring/internal/process/beechsettings"
	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

type (
	// silenceSoak is one run of TestSilentServersCutNoAnswers.
	silenceSoak struct {
		*soak
		folder string
		zones  map[string][]string // servers by availability zone
		wait   sync.WaitGroup

		mu        sync.Mutex // guards the cluster's processes too
		published []publication
		host      map[string]*gateHost
		exchanges []*exchange
		overdues  map[string]bool // requests on connections that were idle for longer than a bound allows
	}

	// gateHost is what is known of a gate's processes.
	gateHost struct {
		lifetime int // of its current process, from 1
		serving  bool
		ending   bool // asked to stop or killed, and not started again
		version  int  // of the configuration that is in force there, as its log tells
		logRead  int64
		stops    map[int]time.Time // when a process was asked to stop, by lifetime
		kills    map[int]time.Time
	}

	// publication is a configuration that was written to the store.
	publication struct {
		version int
		at      time.Time
		idle    time.Duration
		timeout time.Duration
	}

	// silenceSettings are what changes of the configuration change.
	silenceSettings struct {
		version  int
		engines  string // service of the streams
		plain    string
		split    bool
		isolated bool
		quota    float64 // requests per second
		idle     time.Duration
		timeout  time.Duration
	}

	// loss is what an exchange must not end with.
	loss struct {
		what string
		x    *exchange
	}
)

const (
	silenceDuration   = 12 * time.Second
	silentStreams     = 24
	silentPlain       = 16
	minSilence        = 200 * time.Millisecond
	maxSilence        = 2 * time.Second
	minSound          = 300 * time.Millisecond
	maxSound          = 900 * time.Millisecond
	maxChangeInterval = 900 * time.Millisecond
	maxSignalInterval = 1800 * time.Millisecond
	crashInterval     = 4 * time.Second
	silentLeft        = 9 * time.Second // of a request until its deadline
	minSilentEvents   = 5
	maxSilentEvents   = 80
	silentToken       = 20 * time.Millisecond
	// silentGrace leaves room for a stream that begins as a gate stops and meets two silences.
	silentGrace = 10 * time.Second
	// probeDelay is how long a load balancer still opens connections to a gate that stops.
	probeDelay   = time.Second
	logPollPause = 20 * time.Millisecond
	// survivedCrash is how long after an engine's crash its last events may still arrive.
	survivedCrash = 200 * time.Millisecond
	// idleShare of the bound is how long callers keep a connection idle at most.
	idleShare = 0.8
	// crossingSlack is how long after it was sent a request that no server got may cross the close of a
	// gate that stops.
	crossingSlack = 200 * time.Millisecond
	// refusedPause is how long callers wait after another answer than 200.
	refusedPause  = 250 * time.Millisecond
	otherEngines  = "llm-2"
	otherPlain    = "app-2"
	shownLosses   = 4
	shownLogLines = 12

	// silentPatience is how long callers of streams wait for an event: the longest of two seconds, four
	// objectives and eight of the route's longest pauses.
	silentPatience = max(2*time.Second, 4*600*time.Millisecond, 8*200*time.Millisecond)
)

var idleBounds = []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond, 2400 * time.Millisecond, 4 * time.Second}

// TestSilentServersCutNoAnswers guards against answers and requests that are given up because sound
// servers fall silent for up to two seconds, beside changes of the configuration, signals and restarts.
func TestSilentServersCutNoAnswers(t *testing.T) {
	program := buildProgram(t)
	seeds := []uint64{*soakSeed}
	if *soakSeed == 0 {
		seeds = nil
		for i := range *soakSeeds {
			seeds = append(seeds, uint64(i+1))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			runSilences(t, program, seed)
		})
	}
}

func runSilences(t *testing.T, program string, seed uint64) {
	folder := beechtrace.Folder(t)
	w, err := NewCluster(processLauncher{t: t, program: program, folder: folder})
	if err != nil {
		t.Fatal(err)
	}
	s := &silenceSoak{
		soak: &soak{t: t, seed: seed, cluster: w}, folder: folder, zones: make(map[string][]string), host: make(map[string]*gateHost), overdues: make(map[string]bool),
	}
	ended := make(chan struct{})
	go s.watchStalls(t.Context())
	s.deploy()
	watching := make(chan struct{})
	go func() { defer close(watching); s.followLogs(ended) }()
	until := time.Now().Add(silenceDuration)
	s.wait.Go(func() { s.injectSilences(until) })
	s.wait.Go(func() { s.changeConfiguration(until) })
	s.wait.Go(func() { s.sendSignals(until) })
	if seed%3 == 0 {
		s.wait.Go(func() { s.crashEngines(until) })
	}
	for i := range silentStreams {
		s.wait.Go(func() { s.call(until, i, true) })
	}
	for i := range silentPlain {
		s.wait.Go(func() { s.call(until, silentStreams+i, false) })
	}
	s.wait.Wait()
	close(ended)
	<-watching
	s.checkExchanges()
	if err := w.Close(); err != nil {
		t.Error(err)
	}
	for name, p := range w.processes {
		if p.(*childProcess).exitedUnexpectedly() {
			t.Errorf("%s exited unexpectedly", name)
		}
	}
}

// deploy starts servers and gates in two availability zones.
func (s *silenceSoak) deploy() {
	w := s.cluster
	first := silenceSettings{version: 1, engines: EngineService, plain: PlainService, isolated: true, idle: idleBounds[2], timeout: 7 * time.Second}
	s.publish(first)
	w.SetWeights(1)
	for i, name := range []string{"e0", "e1", "e2", "e3", "f0", "f1", "s0", "s1", "t0", "t1"} {
		zone := []string{"mill", "barn"}[i%2]
		w.SetZone(zone)
		settings := beechsimulator.EngineSettings{Slots: 64, Software: soakVersions[i/2%2]}
		if name[0] == 'e' || name[0] == 'f' {
			settings.Model, settings.Version, settings.Token, settings.Load = Model, 1, silentToken, 300*time.Millisecond
		}
		e, err := w.AddEngine(name, settings)
		s.must(e, err)
		if service := map[byte]string{'f': otherEngines, 't': otherPlain}[name[0]]; service != "" {
			w.Store.PutServer(e, service, w.Places[name].String(), zone, "ready")
		}
		s.zones[zone] = append(s.zones[zone], name)
	}
	for i := range 3 {
		w.SetZone([]string{"mill", "barn"}[i%2])
		name := fmt.Sprintf("gate-%d", i)
		if err := w.AddGate(name, s.bounds(0)); err != nil {
			s.t.Fatal(err)
		}
		s.gates = append(s.gates, name)
		s.host[name] = &gateHost{lifetime: 1, stops: make(map[int]time.Time), kills: make(map[int]time.Time)}
	}
	for _, name := range s.gates {
		s.awaitReady(name)
	}
}

func (s *silenceSoak) bounds(more float64) beechsettings.GateBounds {
	return beechsettings.GateBounds{
		Revoke: beechsettings.Duration(revokeBound), Grace: beechsettings.Duration(silentGrace), Weights: beechsettings.Duration(8 * time.Second),
		Retries: 0.2, Spare: 50 + more,
	}
}

// awaitReady waits until a gate is ready and lets callers connect to it.
func (s *silenceSoak) awaitReady(name string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		response, err := client.Get("http://" + s.cluster.Places[name+"-ready"].String() + beechsimulator.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			s.mu.Lock()
			s.host[name].serving = true
			s.mu.Unlock()
			return
		}
	}
	s.t.Errorf("%s is not ready within %s", name, readyTimeout)
}

// publish writes a configuration to the store.
func (s *silenceSoak) publish(c silenceSettings) {
	s.mu.Lock()
	s.published = append(s.published, publication{version: c.version, at: time.Now(), idle: c.idle, timeout: c.timeout})
	s.mu.Unlock()
	s.cluster.Configure(c.version, func(d Document) {
		services := d["services"].([]Document)
		for i, name := range []string{otherEngines, otherPlain} {
			service := make(Document)
			for field, value := range services[i] {
				service[field] = value
			}
			service["name"] = name
			services = append(services, service)
		}
		d["services"] = services
		for _, route := range d["routes"].([]Document) {
			route["timeoutMs"] = c.timeout.Milliseconds()
			service := c.plain
			if route["kind"] == "streaming" {
				service = c.engines
			}
			route["service"] = service
			if c.split && route["kind"] == "streaming" {
				delete(route, "service")
				route["trafficSplit"] = []Document{{"service": EngineService, "weight": 2}, {"service": otherEngines, "weight": 1}}
			}
		}
		tenants := d["tenants"].([]Document)
		if c.quota > 0 {
			tenants[0]["ratePerS"], tenants[0]["burst"], tenants[0]["unit"] = c.quota, c.quota, "requests"
		}
		if !c.isolated {
			d["tenants"] = tenants[:1]
		}
		d["limits"].(Document)["idleTimeoutMs"] = c.idle.Milliseconds()
	})
}

// changeConfiguration publishes changes of all kinds in series.
func (s *silenceSoak) changeConfiguration(until time.Time) {
	draw := rand.New(rand.NewPCG(s.seed, 11))
	c := silenceSettings{version: 1, engines: EngineService, plain: PlainService, isolated: true, idle: idleBounds[2], timeout: 7 * time.Second}
	weights := 1
	for {
		time.Sleep(time.Duration(draw.Int64N(int64(maxChangeInterval))))
		if time.Now().After(until) {
			return
		}
		c.version += 1 + draw.IntN(3)
		switch draw.IntN(8) {
		case 0:
			c.engines, c.split = []string{EngineService, otherEngines}[draw.IntN(2)], false
		case 1:
			c.plain = []string{PlainService, otherPlain}[draw.IntN(2)]
		case 2:
			c.split = !c.split
		case 3:
			c.timeout = time.Duration(6+draw.IntN(4)) * time.Second
		case 4:
			c.isolated = !c.isolated
		case 5:
			c.quota = []float64{0, 0, 30}[draw.IntN(3)]
		case 6:
			weights++
			s.cluster.SetWeights(weights)
			continue
		default:
			c.idle = idleBounds[draw.IntN(len(idleBounds))]
		}
		s.publish(c)
	}
}

// injectSilences has one server, those of a zone, or all fall silent, one time after the other.
func (s *silenceSoak) injectSilences(until time.Time) {
	draw := rand.New(rand.NewPCG(s.seed, 12))
	var names []string
	for _, zone := range []string{"mill", "barn"} {
		names = append(names, s.zones[zone]...)
	}
	for time.Now().Before(until) {
		time.Sleep(minSound + time.Duration(draw.Int64N(int64(maxSound-minSound))))
		lasts := minSilence + time.Duration(draw.Int64N(int64(maxSilence-minSilence)))
		name, zone := names[draw.IntN(len(names))], []string{"mill", "barn"}[draw.IntN(2)]
		switch draw.IntN(4) {
		case 0:
			s.cluster.Silence("", lasts)
		case 1:
			s.cluster.Silence(zone, lasts)
		default:
			s.cluster.Engines[name].FallSilent(lasts)
		}
		time.Sleep(lasts)
	}
}

// sendSignals has gates read their settings again and stop, in series that overlap; in seeds with an
// odd number it kills gates too.
func (s *silenceSoak) sendSignals(until time.Time) {
	draw := rand.New(rand.NewPCG(s.seed, 13))
	for {
		time.Sleep(time.Duration(draw.Int64N(int64(maxSignalInterval))))
		gate, kind := s.gates[draw.IntN(len(s.gates))], draw.IntN(6)
		if time.Now().After(until) {
			return
		}
		switch {
		case kind < 2:
			s.hangUp(gate, float64(draw.IntN(20)))
		case kind == 2 && s.seed%2 == 1:
			s.end(gate, true)
		case kind > 2:
			s.end(gate, false)
		}
	}
}

// hangUp changes the settings of a gate and sends it SIGHUP.
func (s *silenceSoak) hangUp(gate string, more float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.host[gate].serving {
		return
	}
	settings := *s.cluster.gates[gate]
	settings.Bounds = s.bounds(more)
	data, err := json.Marshal(&settings)
	if err == nil {
		err = os.WriteFile(filepath.Join(s.folder, gate+".json"), data, 0o600)
	}
	if err != nil {
		s.t.Error(err)
	}
	s.cluster.processes[gate].(*childProcess).signal(syscall.SIGHUP, false)
}

// end stops or kills a gate, unless it is the last one that serves, and starts it again. It may kill one
// that is stopping.
func (s *silenceSoak) end(gate string, kill bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	serving := 0
	for _, h := range s.host {
		if h.serving {
			serving++
		}
	}
	h, p := s.host[gate], s.cluster.processes[gate].(*childProcess)
	if !h.serving || serving < 2 || h.ending && !kill {
		return
	}
	if kill {
		h.serving = false
		h.kills[h.lifetime] = time.Now()
		p.signal(syscall.SIGKILL, true)
	} else {
		h.stops[h.lifetime] = time.Now()
		p.Signal()
	}
	if h.ending {
		return
	}
	h.ending = true
	s.wait.Go(func() {
		if !kill { // a load balancer notices only now
			time.Sleep(probeDelay)
			s.mu.Lock()
			h.serving = false
			s.mu.Unlock()
		}
		if err := p.Wait(); err != nil {
			s.t.Error(err)
		}
		s.mu.Lock()
		if _, killed := h.kills[h.lifetime]; p.killedBy() != "" && !killed {
			s.t.Errorf("%s#%d did not stop by itself: %s", gate, h.lifetime, p.killedBy())
		}
		s.readLog(gate)
		h.lifetime++
		h.version, h.ending = 0, false
		err := s.cluster.Start(gate)
		s.mu.Unlock()
		if err != nil {
			s.t.Error(err)
			return
		}
		s.awaitReady(gate)
	})
}

// killedBy returns the signal that ended a process that has exited, if one did.
func (p *childProcess) killedBy() string {
	var exit *exec.ExitError
	if errors.As(p.err, &exit) {
		if status := exit.Sys().(syscall.WaitStatus); status.Signaled() {
			return status.Signal().String()
		}
	}
	return ""
}

// crashEngines has engines crash, which cuts what runs there.
func (s *silenceSoak) crashEngines(until time.Time) {
	draw := rand.New(rand.NewPCG(s.seed, 14))
	for {
		time.Sleep(crashInterval/2 + time.Duration(draw.Int64N(int64(crashInterval))))
		if time.Now().After(until) {
			return
		}
		s.cluster.Engines[[]string{"e0", "e1", "e2", "e3"}[draw.IntN(4)]].Crash()
	}
}

// followLogs reads from the gates' logs which configurations are in force.
func (s *silenceSoak) followLogs(ended <-chan struct{}) {
	ticker := time.NewTicker(logPollPause)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ended:
			return
		}
		s.mu.Lock()
		for _, name := range s.gates {
			s.readLog(name)
		}
		s.mu.Unlock()
	}
}

// readLog reads what a gate has logged since the last call. The caller holds the lock.
func (s *silenceSoak) readLog(gate string) {
	h := s.host[gate]
	file, err := os.Open(filepath.Join(s.folder, gate+".log"))
	if err != nil {
		return
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil || info.Size() == h.logRead {
		return
	}
	data := make([]byte, info.Size()-h.logRead)
	n, _ := file.ReadAt(data, h.logRead)
	whole := bytes.LastIndexByte(data[:n], '\n') + 1
	h.logRead += int64(whole)
	for line := range bytes.Lines(data[:whole]) {
		if !bytes.Contains(line, []byte(`"configuration in force"`)) {
			continue
		}
		var entry struct {
			Version int `json:"version"`
		}
		if json.Unmarshal(line, &entry) == nil {
			h.version = entry.Version
		}
	}
}

// idleBound returns the lowest bound of idle connections that may be in force at a gate.
func (s *silenceSoak) idleBound(gate string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	bound := time.Hour
	for _, p := range s.published {
		if p.version >= s.host[gate].version {
			bound = min(bound, p.idle)
		}
	}
	return bound
}

// timeoutSince returns the shortest timeout that was in force at a gate from the given version on.
func (s *silenceSoak) timeoutSince(version int, until time.Time) time.Duration {
	timeout := time.Hour
	for _, p := range s.published {
		if p.version >= version && p.at.Before(until) {
			timeout = min(timeout, p.timeout)
		}
	}
	return timeout
}

// call sends requests one after the other, mostly over kept connections.
func (s *silenceSoak) call(until time.Time, number int, streams bool) {
	draw := rand.New(rand.NewPCG(s.seed, uint64(100+number)))
	var c *callerConnection
	var gate string
	var lifetime int
	var idle time.Duration
	excused := false
	for n := 0; time.Now().Before(until); n++ {
		if c == nil {
			if c, gate, lifetime = s.connect(draw); c == nil {
				time.Sleep(readyPollInterval)
				continue
			}
			idle, excused = 0, false
		}
		x := &exchange{id: fmt.Sprintf("silent-%d-%d", number, n), gate: gate, lifetime: lifetime, idle: idle}
		x.path = []string{"/label/", "/check/"}[draw.IntN(2)]
		if streams {
			x.path = []string{"/pick/", "/pick/", "/card/"}[draw.IntN(3)]
			x.events = minSilentEvents + draw.IntN(maxSilentEvents-minSilentEvents)
		}
		key := Key
		if draw.IntN(5) == 0 {
			key = IsolateKey
		}
		s.mu.Lock()
		version := s.host[gate].version
		s.mu.Unlock()
		c.send(x, x.requestFor(s.cluster.Places[gate].String(), key, silentLeft), silentPatience)
		s.record(x, version, excused)
		if x.outcome == answered && x.status != http.StatusOK {
			time.Sleep(refusedPause)
		}
		if x.outcome != answered || x.closes {
			_ = c.conn.Close()
			c = nil
			continue
		}
		idle, excused = s.rest(gate, x.ended, draw)
	}
	if c != nil {
		_ = c.conn.Close()
	}
}

// connect opens a connection to a gate that serves.
func (s *silenceSoak) connect(draw *rand.Rand) (c *callerConnection, gate string, lifetime int) {
	s.mu.Lock()
	serving := slices.DeleteFunc(slices.Clone(s.gates), func(name string) bool { return !s.host[name].serving })
	if len(serving) > 0 {
		gate = serving[draw.IntN(len(serving))]
		lifetime = s.host[gate].lifetime
	}
	s.mu.Unlock()
	if gate == "" {
		return nil, "", 0
	}
	c, err := dialGate(s.cluster.Places[gate].String())
	if err != nil {
		return nil, "", 0
	}
	return c, gate, lifetime
}

// rest keeps a connection idle, mostly for a moment, at times for up to four fifths of the bound. It
// reports whether a bound that fell meanwhile may have closed it.
func (s *silenceSoak) rest(gate string, since time.Time, draw *rand.Rand) (idle time.Duration, excused bool) {
	share := draw.Float64() * idleShare / 4
	if draw.IntN(2) == 0 {
		share = idleShare * (1 - draw.Float64()/4)
	}
	for {
		bound := s.idleBound(gate)
		idle = time.Since(since)
		if idle > time.Duration(idleShare*float64(bound))+logPollPause {
			return idle, true
		}
		left := time.Duration(share*float64(bound)) - idle
		if left <= 0 {
			return idle, false
		}
		time.Sleep(min(left, logPollPause))
	}
}

func (s *silenceSoak) record(x *exchange, version int, excused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanges = append(s.exchanges, x)
	s.overdues[x.id] = excused
	x.timeout = s.timeoutSince(version, x.ended)
}

// checkExchanges checks that what was read was answered, unless its gate was killed, its server crashed
// or its deadline passed.
func (s *silenceSoak) checkExchanges() {
	counts := make(map[string]int)
	var losses []loss
	met, late := 0, 0
	for _, x := range s.exchanges {
		switch lost, excuse := s.judge(x); {
		case lost != "":
			losses = append(losses, loss{lost, x})
			counts["LOST "+lost]++
		case excuse != "":
			counts[fmt.Sprintf("%s (%s)", x.outcome, excuse)]++
		default:
			counts[fmt.Sprint("status ", x.status)]++
		}
		if x.events > 0 && x.longest > minSilence {
			met++
		}
		if x.idle > idleBounds[0]/2 {
			late++
		}
		s.checkRuns(x)
	}
	silences := 0
	for _, e := range s.cluster.Engines {
		silences += len(e.Silences())
	}
	s.t.Logf("%d requests, %d streams met a silence, %d connections used again after a long rest, %d silences, %d configurations: %v",
		len(s.exchanges), met, late, silences, len(s.published), counts)
	if met == 0 || late == 0 || counts["status 200"] == 0 {
		s.t.Error("nothing was checked")
	}
	slices.SortStableFunc(losses, func(a, b loss) int { return strings.Compare(a.what, b.what) })
	shown := make(map[string]int)
	for _, l := range losses {
		if shown[l.what]++; shown[l.what] <= shownLosses {
			s.t.Errorf("%s: %s\n%s", l.what, l.x, s.logLines(l.x))
		}
	}
	if len(losses) > 0 {
		s.t.Errorf("%d of %d requests", len(losses), len(s.exchanges))
	}
}

// judge tells what was lost, or why an exchange without an answer is none of the gate's doing. Both are
// empty after an answer.
func (s *silenceSoak) judge(x *exchange) (lost, excuse string) {
	h := s.host[x.gate]
	since := func(at map[int]time.Time) bool {
		from, ok := at[x.lifetime]
		return ok && !x.ended.Before(from)
	}
	ran := s.cluster.Runs(x.id) > 0
	switch {
	case x.outcome == answered:
		return "", ""
	case x.outcome == wrong:
		return string(x.outcome), ""
	case since(h.kills):
		return "", "gate killed"
	case x.outcome == unsent || x.outcome == unread:
		switch {
		case ran:
			return "connection reset after the request had run", ""
		case since(h.stops):
			return "", "gate stopping"
		case s.overdues[x.id]:
			return "", "idle for longer than a bound that fell"
		case x.idle > 0:
			return "kept connection closed within its bound", ""
		}
		return "new connection closed unread", ""
	case x.outcome == unanswered && since(h.stops) && !ran && x.ended.Sub(x.sent) <= crossingSlack:
		return "", "crossed the close of a gate that stops"
	case s.crashed(x):
		return "", "engine crashed"
	case x.outcome != overdue && x.ended.Sub(x.sent) >= min(x.timeout, silentLeft):
		return "", "deadline over"
	case x.outcome == stalled && s.stalledBetween(x.last, x.ended):
		return "", "machine stood still"
	}
	return string(x.outcome), ""
}

// crashed reports whether an answer ended with the crash of the engine that ran it.
func (s *silenceSoak) crashed(x *exchange) bool {
	for _, e := range s.cluster.Engines {
		begun := e.BegunAt(x.id)
		for _, at := range e.Crashes() {
			if !begun.IsZero() && !begun.After(at) && !at.After(x.ended) && x.last.Before(at.Add(survivedCrash)) {
				return true
			}
		}
	}
	return false
}

// stalledBetween reports whether the machine stood still between two times.
func (s *silenceSoak) stalledBetween(from, until time.Time) bool {
	s.soak.mu.Lock()
	defer s.soak.mu.Unlock()
	return slices.ContainsFunc(s.stalls, func(at time.Time) bool { return at.After(from) && at.Before(until.Add(maxStall)) })
}

// checkRuns checks that what may run once has not run twice, nor after a refusal.
func (s *silenceSoak) checkRuns(x *exchange) {
	if x.path != "/card/" && x.path != "/label/" {
		return
	}
	runs := s.cluster.Runs(x.id)
	if runs > 1 {
		s.t.Errorf("%s: ran %d times, may run at most once", x, runs)
	}
	if runs > 0 && (x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests) {
		s.t.Errorf("%s: ran, though it was refused", x)
	}
}

// logLines returns what is known of a request: what its gate logged, where it ran, which of these
// servers was silent meanwhile, and how the bound of idle connections changed.
func (s *silenceSoak) logLines(x *exchange) string {
	data, _ := os.ReadFile(filepath.Join(s.folder, x.gate+".log"))
	var found []string
	for line := range bytes.Lines(data) {
		if bytes.Contains(line, []byte(`"`+x.id+`"`)) && len(found) < shownLogLines {
			found = append(found, "    "+strings.TrimSpace(string(line)))
		}
	}
	for name, e := range s.cluster.Engines {
		if begun := e.BegunAt(x.id); !begun.IsZero() {
			found = append(found, fmt.Sprintf("    ran at %s from %s, ended %s", name, begun.Format("15:04:05.000"), e.EndedAt(x.id).Format("15:04:05.000")))
			for _, silence := range e.Silences() {
				if silence.Until.After(x.sent) && silence.From.Before(x.ended) {
					found = append(found, fmt.Sprintf("    %s was silent from %s to %s", name, silence.From.Format("15:04:05.000"), silence.Until.Format("15:04:05.000")))
				}
			}
		}
	}
	for i, p := range s.published {
		if began := x.sent.Add(-x.idle); x.idle > 0 && p.at.After(began) && p.at.Before(x.ended) && p.idle != s.published[i-1].idle {
			found = append(found, fmt.Sprintf("    bound of idle connections changed from %s to %s with version %d %s after it became idle", s.published[i-1].idle, p.idle, p.version, p.at.Sub(began)))
		}
	}
	return strings.Join(found, "\n")
}
