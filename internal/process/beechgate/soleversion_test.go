package beechgate

import (
	"context"
	"expvar"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/beechring/beechring/internal/decision/beechorigin"
	"github.com/beechring/beechring/internal/request/beechfresh"
	"github.com/beechring/beechring/internal/state/beechmirror"
)

type (
	// versionStore is a store of servers, whose values are the versions of their software.
	versionStore struct {
		mu       sync.Mutex
		changed  chan struct{} // closed at the next change
		revision uint64
		dropped  uint64 // no history up to here
		items    map[string]beechmirror.Item
		history  []beechmirror.Item
	}

	// versionPath is one gate's way to the store.
	versionPath struct {
		*versionStore
		cut  bool // nothing is answered, also what was asked before
		deaf bool // watches that wait report nothing
	}

	// bubbleClock is the clock of a synctest bubble.
	bubbleClock struct{ start time.Time }

	// versionGate is what a gate has to prove which versions have served.
	versionGate struct {
		path   *versionPath
		prover *versionProver
		stop   context.CancelFunc
		done   sync.WaitGroup
	}

	// begunStream is a stream that began at some gate.
	begunStream struct {
		software string
		at       time.Time
	}
)

const (
	testPrefix   = "servers/"
	testLifetime = 20 * time.Second
	testReadAge  = 4 * time.Second // gates read more often
	// oldListTime is for how long after its server has left the list a stream may still begin there.
	oldListTime = 3 * time.Second
	// minListed is for how long servers of a version are listed at least.
	minListed = time.Millisecond
	// settleTime is how long a gate that reaches the store takes to have a confirmed list again.
	settleTime = 8 * time.Second
)

func (c bubbleClock) Now() time.Duration { return time.Since(c.start) }

func (s *versionStore) write(key, software string, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := beechmirror.Item{Key: testPrefix + key, Revision: s.revision, Created: s.revision, Value: []byte(software), Removed: removed}
	delete(s.items, item.Key)
	if !removed {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer returns once the path is not cut.
func (p *versionPath) answer(ctx context.Context) error {
	for {
		p.mu.Lock()
		cut := p.cut
		p.mu.Unlock()
		if !cut {
			return ctx.Err()
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *versionPath) Range(ctx context.Context, _ string) (beechmirror.Page, error) {
	if err := p.answer(ctx); err != nil {
		return beechmirror.Page{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	page := beechmirror.Page{Revision: p.revision}
	for _, item := range p.items {
		page.Items = append(page.Items, item)
	}
	return page, nil
}

func (p *versionPath) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (beechmirror.Page, error) {
	timeout := time.After(wait)
	for {
		if err := p.answer(ctx); err != nil {
			return beechmirror.Page{}, err
		}
		p.mu.Lock()
		page := beechmirror.Page{Revision: p.revision}
		for _, item := range p.history {
			if item.Revision > after && (!p.deaf || wait == 0) {
				page.Items = append(page.Items, item)
			}
		}
		dropped, changed := after < p.dropped, p.changed
		p.mu.Unlock()
		if dropped {
			return beechmirror.Page{}, beechmirror.ErrCompacted
		}
		if len(page.Items) > 0 || wait == 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return beechmirror.Page{}, ctx.Err()
		}
	}
}

func startVersionGate(store *versionStore) *versionGate {
	g := &versionGate{path: &versionPath{versionStore: store}}
	clock := clockwork.NewRealClock()
	versions := beechorigin.NewVersions(clock)
	versions.SetLifetime(testLifetime)
	tracker := beechfresh.New(bubbleClock{time.Now().Add(-time.Hour)})
	servers := beechmirror.New(beechmirror.Settings{
		Prefix: testPrefix, MaxAge: testReadAge, ReadTimeout: readTimeout, WatchTimeout: serverWatchTimeout, WatchPause: serverWatchPause, MaxGap: maxHistoryGap,
		Observe: func(items []beechmirror.Item) {
			for _, item := range items {
				if !item.Removed {
					versions.Heard("llm", string(item.Value))
				}
			}
		},
	}, g.path, tracker, clock, zap.NewNop(), func(items []beechmirror.Item) {
		listed := map[string][]string{}
		for _, item := range items {
			listed["llm"] = append(listed["llm"], string(item.Value))
		}
		versions.SetListed(listed)
	})
	g.prover = &versionProver{versions: versions, servers: servers, clock: clock, log: zap.NewNop(), outcomes: new(expvar.Map)}
	var ctx context.Context
	ctx, g.stop = context.WithCancel(context.Background())
	g.done.Go(func() { _ = servers.Read(ctx) })
	g.done.Go(func() { _ = servers.Watch(ctx) })
	return g
}

// versionModel draws what happens to gates and servers, and checks each proof.
type versionModel struct {
	store    *versionStore
	gates    []*versionGate
	calmAt   []time.Time          // from when on a gate reaches the store undisturbed
	listed   map[string]time.Time // versions, and since when
	gone     map[string]time.Time // versions that have left the list, and when
	alone    time.Time            // since when one version has been listed alone
	streams  []begunStream
	next     int
	proofs   int
	expected int
	failure  string
}

// versionStep is something that happens to a gate or to servers, and the time until the next.
type versionStep struct {
	what  string
	gate  int
	which int // of the versions that may leave
	pause time.Duration
}

func newVersionModel() *versionModel {
	m := &versionModel{
		store:  &versionStore{changed: make(chan struct{}), revision: 10, items: map[string]beechmirror.Item{}},
		listed: map[string]time.Time{}, gone: map[string]time.Time{},
	}
	m.join()
	for range 2 {
		m.gates = append(m.gates, startVersionGate(m.store))
		m.calmAt = append(m.calmAt, time.Now())
	}
	return m
}

func (m *versionModel) join() {
	m.next++
	software := fmt.Sprint("v", m.next)
	m.store.write(software, software, false)
	m.listed[software] = time.Now()
	m.alone = time.Now()
}

func (m *versionModel) leave(which int) {
	var may []string
	for software, since := range m.listed {
		if time.Since(since) >= minListed && len(m.listed) > 1 {
			may = append(may, software)
		}
	}
	if len(may) == 0 {
		return
	}
	slices.Sort(may)
	software := may[which%len(may)]
	m.store.write(software, "", true)
	delete(m.listed, software)
	m.gone[software], m.alone = time.Now(), time.Now()
}

// beginStreams has a stream begin at each version at which one may.
func (m *versionModel) beginStreams() {
	for software := range m.listed {
		m.streams = append(m.streams, begunStream{software, time.Now()})
	}
	for software, at := range m.gone {
		if time.Since(at) < oldListTime {
			m.streams = append(m.streams, begunStream{software, time.Now()})
		}
	}
}

func (m *versionModel) prove(n int) {
	g := m.gates[n]
	asked := time.Now()
	software, ok := g.prover.prove(context.Background(), "llm")
	for _, s := range m.streams {
		if ok && !s.at.After(asked) && asked.Sub(s.at) < testLifetime-oldListTime && s.software != software {
			m.failure = fmt.Sprintf("gate %d proves %s for a stream that began at %s %s ago", n, software, s.software, asked.Sub(s.at))
		}
	}
	if ok {
		m.proofs++
	}
	if due := testLifetime + settleTime; time.Since(m.alone) >= due && time.Since(m.calmAt[n]) >= due && len(m.listed) == 1 {
		m.expected++
		if !ok {
			m.failure = fmt.Sprintf("gate %d proves nothing, though one version has served for %s and it has reached the store for %s", n, time.Since(m.alone), time.Since(m.calmAt[n]))
		}
	}
}

// wait lets time pass, in which streams begin at all gates, so that these read what they may have missed.
func (m *versionModel) wait(d time.Duration) {
	for ; d > 0; d -= time.Second {
		time.Sleep(min(d, time.Second))
		for _, g := range m.gates {
			if _, gap := g.prover.servers.HistoryAge(); gap {
				_ = g.prover.catchUp(context.Background()) // a cut gate fails
			}
		}
	}
}

func (m *versionModel) set(change func()) {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	change()
}

func drawVersionStep(t *rapid.T) versionStep {
	return versionStep{
		what: rapid.SampledFrom(strings.Fields("join leave cut heal deaf hear drop restart prove prove prove wait hide hide-and-drop")).Draw(t, "what"),
		gate: rapid.IntRange(0, 1).Draw(t, "gate"), which: rapid.IntRange(0, 2).Draw(t, "which"),
		pause: time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond,
	}
}

func (m *versionModel) step(step versionStep) {
	n := step.gate
	path := m.gates[n].path
	switch step.what {
	case "join":
		if len(m.listed) < 3 {
			m.join()
		}
	case "leave":
		m.leave(step.which)
	case "cut":
		m.set(func() { path.cut = true })
		m.calmAt[n] = time.Now().Add(time.Hour)
	case "heal":
		if path.cut {
			m.calmAt[n] = time.Now()
		}
		m.set(func() { path.cut = false })
	case "deaf":
		m.set(func() { path.deaf = true })
	case "hear":
		m.set(func() { path.deaf = false })
	case "drop":
		m.set(func() { m.store.dropped = m.store.revision })
		for n, at := range m.calmAt {
			if at.Before(time.Now()) {
				m.calmAt[n] = time.Now()
			}
		}
	case "restart":
		m.gates[n].stop()
		m.gates[n].done.Wait()
		m.gates[n], m.calmAt[n] = startVersionGate(m.store), time.Now()
	case "prove":
		m.prove(n)
	case "hide", "hide-and-drop": // a version that joins and leaves while a gate is cut off
		m.step(versionStep{what: "cut", gate: n})
		m.step(versionStep{what: "join", pause: minListed})
		m.step(versionStep{what: "leave", which: step.which, pause: step.pause})
		if step.what == "hide-and-drop" {
			m.step(versionStep{what: "drop"})
		}
		m.step(versionStep{what: "heal", gate: n, pause: settleTime})
		m.step(versionStep{what: "prove", gate: n})
	case "wait":
		m.wait(testLifetime + settleTime)
	}
	m.beginStreams()
	m.wait(step.pause)
	m.beginStreams()
}

// Guards against a proof that a version was the only one although a stream of another one began before it, whatever a
// gate missed, and against gates in touch that can prove nothing.
func TestProofOfOneVersionMissesNone(t *testing.T) {
	proofs, expected := 0, 0
	play := func(steps []versionStep) string {
		var m *versionModel
		synctest.Test(t, func(*testing.T) {
			m = newVersionModel()
			for _, step := range steps {
				if m.failure == "" {
					m.step(step)
				}
			}
			time.Sleep(time.Second) // until no read is paced
			for _, g := range m.gates {
				g.stop()
				g.done.Wait()
			}
		})
		proofs, expected = proofs+m.proofs, expected+m.expected
		return m.failure
	}
	if failure := play([]versionStep{{what: "wait"}, {what: "prove"}, {what: "prove", gate: 1}}); failure != "" {
		t.Error(failure)
	}
	rapid.Check(t, func(r *rapid.T) {
		if failure := play(rapid.SliceOfN(rapid.Custom(drawVersionStep), 1, 60).Draw(r, "steps")); failure != "" {
			r.Fatal(failure)
		}
	})
	t.Logf("%d proofs, %d that were due", proofs, expected)
	if expected == 0 {
		t.Error("no proof was due")
	}
}
