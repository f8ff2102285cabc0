package beechplace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechstrain"
	"github.com/beechring/beechring/internal/request/beechcall"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

const testPause = 400 * time.Millisecond

var pausingRoute = &beechcall.Route{Name: "review", Stream: true, Objective: 800 * time.Millisecond, MaxPause: testPause}

func pausingCall(id string, tokens int) *beechcall.Call {
	c := newCall(id, 0, tokens)
	c.Route = pausingRoute
	return c
}

// teach has a fleet learn engines that take 30 ms between events, at most 250 ms beside prompts,
// and read 50 tokens per millisecond.
func (f *fleet) teach() {
	for i := range 4000 {
		gap := 30 * time.Millisecond
		if i%100 == 0 {
			gap = 250 * time.Millisecond
		}
		f.pauses.ObserveGap(gap, 100)
		f.pauses.ObservePrefill(5000, 100*time.Millisecond, 100)
	}
}

func (f *fleet) tell(i int, number uint32, slowness int) {
	f.UpdateStrain(beechstrain.Strain{Host: address(i).Addr(), Number: number, Slowness: slowness})
}

// busyFleet returns two engines that each run twenty streams.
func busyFleet() *fleet {
	f := newFleet(2)
	f.teach()
	f.reportAll(func(_ int, s *State) { s.Running, s.CacheUsed = 20, 20_000 })
	return f
}

func (f *fleet) longPromptCost(i int) float64 {
	s := f.byID[fmt.Sprintf("e%02d", i)]
	return f.pauseCost(pausingCall("long", 9000), s, 9000, f.clock.Now())
}

// A long prompt is read on a slow host: all streams there pause for too long, and go on in time if
// it is read elsewhere.
func TestLongPromptGoesAroundSlowMoment(t *testing.T) {
	is := is.New(t)
	f := busyFleet()
	call := pausingCall("long", 9000)
	f.tell(0, 1, 70)
	f.tell(2, 1, 70)
	is.Equal(f.choose(t, call).Server.ID, "e00") // of its own zone
	f.tell(0, 2, 425)
	is.Equal(f.choose(t, call).Server.ID, "e01")
	is.Equal(f.choose(t, pausingCall("short", 400)).Server.ID, "e00") // too short to matter
	f.tell(0, 3, 70)
	is.Equal(f.choose(t, call).Server.ID, "e00") // the moment has passed
}

// A slow host is no reason to refuse a prompt or to expect it later.
func TestSlowMomentsEverywhereRefuseNothing(t *testing.T) {
	is := is.New(t)
	f := busyFleet()
	call := pausingCall("long", 9000)
	before := f.choose(t, call)
	f.tell(0, 1, 425)
	f.tell(1, 1, 425)
	after := f.choose(t, call)
	is.Equal(after.Expected, before.Expected)
	is.Equal(after.QueueTime, before.QueueTime)
}

// Words of keepers that are late, doubled or lost, and keepers and engines that start anew.
func TestSlownessThatNoLongerHolds(t *testing.T) {
	is := is.New(t)
	f := busyFleet()
	is.Equal(f.longPromptCost(0), 0.) // not known
	f.tell(0, 8, 425)
	is.True(f.longPromptCost(0) > 0)
	f.tell(0, 8, 425) // doubled
	is.True(f.longPromptCost(0) > 0)
	f.tell(0, 9, 70)
	f.tell(0, 8, 425) // older than the last
	is.Equal(f.longPromptCost(0), 0.)

	for i := range 40 { // its host is usually fast
		f.tell(0, uint32(10+i), 70)
	}
	f.tell(0, 60, 425)
	f.clock.Advance(keptMomentTTL)
	is.Equal(f.longPromptCost(0), 0.) // what followed was lost, or the keeper is silent

	f.clock.Advance(reportTTL)
	f.tell(0, 3, 425) // the keeper has started anew, with lower numbers
	is.True(f.longPromptCost(0) > 0)
	f.tell(0, 4, 0) // it knows nothing yet
	is.Equal(f.longPromptCost(0), 0.)

	s := f.byID["e00"]
	s.Born = 1
	f.tell(0, 5, 425)
	f.observeStart(s, 2) // the engine has started anew
	is.Equal(s.moment.Usual(), 0.)
}

// Keepers of the release before tell nothing: what answers say holds for a short time.
func TestSlownessInAnswersWithoutKeepersWord(t *testing.T) {
	is := is.New(t)
	f := busyFleet()
	s := f.byID["e00"]
	a := &Attempt{placer: f.Placer, server: s}
	for range 40 {
		a.ObserveLoad(beechcall.Load{Known: true, Running: 20, Slots: 48, Slowness: 70})
	}
	a.ObserveLoad(beechcall.Load{Known: true, Running: 20, Slots: 48, Slowness: 425})
	is.True(f.longPromptCost(0) > 0)
	f.clock.Advance(answeredMomentTTL)
	is.Equal(f.longPromptCost(0), 0.)
	f.tell(0, 1, 425)
	is.True(f.longPromptCost(0) > 0)
	f.clock.Advance(time.Millisecond)
	a.ObserveLoad(beechcall.Load{Known: true, Running: 20, Slots: 48, Slowness: 70}) // later than the keeper's
	is.Equal(f.longPromptCost(0), 0.)
}

// Servers that do not tell their slowness, and routes without a longest pause, are decided as before.
func TestChoicesAreAsBeforeWithoutSlownessOrLimit(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	plain, taught, unlimited := newFleet(6), newFleet(6), newFleet(6)
	taught.teach()
	unlimited.teach()
	for round := range 300 {
		tokens := random.IntN(20_000)
		running := random.IntN(40)
		for _, f := range []*fleet{plain, taught, unlimited} {
			f.reportAll(func(i int, s *State) { s.Number, s.Running, s.Reading = uint32(round), running+i, tokens*i })
		}
		for i := range 12 {
			unlimited.tell(i, uint32(round), 70+random.IntN(400))
		}
		with, without := pausingCall(fmt.Sprint(round), tokens), pausingCall(fmt.Sprint(round), tokens)
		without.Route = &beechcall.Route{Name: "review", Stream: true, Objective: pausingRoute.Objective}
		expected := plain.choose(t, with)
		is.Equal(taught.choose(t, with), expected)
		is.Equal(unlimited.choose(t, without), expected)
	}
}

// A pause is put down to what the server did meanwhile.
func TestCausesOfPauses(t *testing.T) {
	is := is.New(t)
	f := busyFleet()
	for i := range 40 {
		f.tell(0, uint32(i), 70)
	}
	s := f.byID["e00"]
	s.inFlight = 3
	a := &Attempt{placer: f.Placer, server: s}
	cause := func(meanwhile func()) PauseCause {
		at, events := f.clock.Now(), a.ObserveEvents(0)
		f.clock.Advance(testPause)
		meanwhile()
		f.clock.Advance(testPause)
		a.ObserveEvents(2 * testPause)
		return a.PauseSince(at, events).Cause
	}
	is.Equal(cause(func() {}), PauseUnexplained)
	is.Equal(cause(func() { s.observePrompts(6000, f.clock.Now()) }), PausePrompt)
	is.Equal(cause(func() { f.tell(0, 100, 425); f.tell(0, 101, 70) }), PauseSlow)
	is.Equal(cause(func() {
		f.tell(0, 102, 425)
		s.observePrompts(6000, f.clock.Now())
		f.tell(0, 103, 70)
	}), PauseSlowPrompt)
	is.Equal(cause(func() {
		for range 20 {
			a.ObserveEvents(30 * time.Millisecond)
		}
	}), PausePreempted) // the other streams went on
	is.Equal((&Attempt{placer: f.Placer}).PauseSince(f.clock.Now(), 0).Cause, PauseUnexplained) // the server is no longer listed
}

type (
	// pausingFleet simulates engines in virtual time: each reads prompts in pieces between the
	// tokens of its streams, on a host that is slow at moments.
	pausingFleet struct {
		*fleet
		random  *rand.Rand
		engines []*pausingEngine
		told    bool
		number  uint32
		late    int // streams with too long a pause
		ended   int
		started []float64 // milliseconds until the first event of long prompts
	}

	pausingEngine struct {
		usual, slowness float64
		running         []*pausingStream
		queue           []*pausingStream
		stepEnds        time.Time
		stepReads       int
	}

	pausingStream struct {
		attempt *Attempt
		long    bool
		sentAt  time.Time
		unread  int
		tokens  int // made
		events  int // to come
		lastAt  time.Time
		late    bool
	}
)

func newPausingFleet(engines int, seed uint64, told bool) *pausingFleet {
	f := &pausingFleet{fleet: newFleet(engines), random: rand.New(rand.NewPCG(3, seed)), told: told}
	for i := range engines {
		usual := 70.
		if i%3 == 2 {
			usual = 170
		}
		f.engines = append(f.engines, &pausingEngine{usual: usual, slowness: usual, stepEnds: f.clock.Now()})
	}
	return f
}

func (f *pausingFleet) run(length time.Duration, streams, prompts float64) {
	const slice = 2 * time.Millisecond
	for at := time.Duration(0); at < length; at += slice {
		if at%(600*time.Millisecond) == 0 {
			f.drawMoments()
		}
		if at%(50*time.Millisecond) == 0 {
			f.report()
		}
		if f.random.Float64() < streams*slice.Seconds() {
			f.send(fmt.Sprint("s", at), 430, 58, false)
		}
		if f.random.Float64() < prompts*slice.Seconds() {
			f.send(fmt.Sprint("p", at), 1500+int(4000*f.random.ExpFloat64()), 2, true)
		}
		for _, e := range f.engines {
			f.work(e)
		}
		f.clock.Advance(slice)
	}
}

func (f *pausingFleet) drawMoments() {
	for _, e := range f.engines {
		e.slowness = e.usual
		if f.random.Float64() < 0.15 {
			e.slowness *= 2.5
		}
	}
}

func (f *pausingFleet) report() {
	f.number++
	f.reportAll(func(i int, s *State) {
		e := f.engines[i]
		s.Number, s.Running, s.Phase = f.number, len(e.running), beechrollout.Serving
		for _, q := range e.queue {
			s.Reading += q.unread
			s.Waiting++
		}
	})
	if f.told {
		for i, e := range f.engines {
			f.tell(i, f.number, int(e.slowness))
		}
	}
}

func (f *pausingFleet) send(id string, tokens, events int, long bool) {
	call := pausingCall(id, tokens)
	c, ok := f.Choose(call, nil)
	if !ok {
		panic("refused")
	}
	var at int
	_, _ = fmt.Sscanf(c.Server.ID, "e%d", &at)
	e := f.engines[at]
	e.queue = append(e.queue, &pausingStream{attempt: f.StartAttempt(call, c), long: long, sentAt: f.clock.Now(), unread: tokens, events: events})
}

// work ends the engine's step if it is due and begins the next.
func (f *pausingFleet) work(e *pausingEngine) {
	const chunk, eventTokens = 2048, 5
	now := f.clock.Now()
	if now.Before(e.stepEnds) {
		return
	}
	for read := e.stepReads; read > 0 && len(e.queue) > 0; {
		first := e.queue[0]
		part := min(first.unread, read)
		first.unread -= part
		read -= part
		if first.unread == 0 {
			e.queue, e.running = e.queue[1:], append(e.running, first)
		}
	}
	remaining := e.running[:0]
	for _, s := range e.running {
		if s.tokens++; s.tokens%eventTokens == 1 {
			f.event(s, now)
		}
		if s.events > 0 {
			remaining = append(remaining, s)
		}
	}
	e.running, e.stepReads = remaining, 0
	for _, q := range e.queue {
		e.stepReads = min(e.stepReads+q.unread, chunk)
	}
	step := e.slowness / 100 * (5 + float64(e.stepReads)/51)
	e.stepEnds = now.Add(time.Duration(step * float64(time.Millisecond)))
}

func (f *pausingFleet) event(s *pausingStream, now time.Time) {
	gap := time.Duration(0)
	if s.lastAt.IsZero() {
		s.attempt.FirstByte()
		if s.long {
			f.started = append(f.started, milliseconds(now.Sub(s.sentAt)))
		}
	} else {
		gap = now.Sub(s.lastAt)
	}
	s.attempt.ObserveEvents(gap)
	s.late = s.late || gap > testPause
	s.lastAt = now
	if s.events--; s.events == 0 {
		s.attempt.Done(Answered)
		f.ended++
		if s.late {
			f.late++
		}
	}
}

func (f *pausingFleet) meanStart() float64 {
	sum := 0.
	for _, ms := range f.started {
		sum += ms
	}
	return sum / float64(len(f.started))
}

// Long prompts arrive at engines that run streams, on hosts that are slow at moments. With the
// moments told, fewer streams pause for too long, and the prompts start as soon as before.
func TestToldMomentsSpareStreams(t *testing.T) {
	is := is.New(t)
	for _, prompts := range []float64{50, 60, 70, 80} { // a second; 12 engines read some 100
		run := func(told bool) (late, ended int, start float64) {
			for seed := range uint64(3) {
				f := newPausingFleet(12, seed, told)
				f.run(20*time.Second, 60, prompts)
				late, ended, start = late+f.late, ended+f.ended, start+f.meanStart()/3
			}
			return late, ended, start
		}
		untold, untoldEnded, untoldStart := run(false)
		told, toldEnded, toldStart := run(true)
		t.Logf("%.0f prompts a second: streams late %d of %d untold, %d of %d told; prompts start after %.0f ms untold, %.0f ms told",
			prompts, untold, untoldEnded, told, toldEnded, untoldStart, toldStart)
		is.True(told < untold*2/3)
		is.True(toldStart < 1.25*untoldStart)
		is.True(toldEnded > untoldEnded*9/10)
	}
}
