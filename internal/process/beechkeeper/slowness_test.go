package beechkeeper

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/link/beechwire"
	"github.com/beechring/beechring/internal/request/beechrollout"
)

// slowEngine tells the slowness of its host, and counts how often it was asked.
type slowEngine struct {
	engine
	figure int
	err    error
	asked  *int
	path   *string
}

func (e slowEngine) Slowness(_ context.Context, path string) (int, error) {
	*e.asked++
	*e.path = path
	return e.figure, e.err
}

func newSlowEngine(figure int) slowEngine {
	return slowEngine{engine: engine{reports: make(chan Report, 1)}, figure: figure, asked: new(int), path: new(string)}
}

func health(path string) beechdatagram.Health {
	return beechdatagram.Health{Health: &beechwire.Health{Path: path}}
}

func running(n int) Report {
	return Report{Report: beechrollout.Report{Known: true, Running: n}, CacheTotal: 100_000}
}

// Each question is billed as a probe: none is asked before gates have said where, nor of an idle
// engine.
func TestSlownessIsAskedForOnlyWhereItIsOfUse(t *testing.T) {
	is := is.New(t)
	e := newSlowEngine(250)
	k := newKeeper(t, e)
	poll(t, k, e.reports, 0, running(5))
	is.Equal(k.pollSlowness(t.Context()), slownessPoll)
	is.Equal(*e.asked, 0)
	k.receiveHealth(health("/health"))
	poll(t, k, e.reports, time.Second, running(0))
	k.pollSlowness(t.Context())
	is.Equal(*e.asked, 0)
	poll(t, k, e.reports, time.Second, running(5))
	is.Equal(k.pollSlowness(t.Context()), slownessPoll)
	is.Equal(*e.asked, 1)
	is.Equal(*e.path, "/health")
	is.Equal(k.lastReport.Slowness, 250)
}

// An engine of older software answers the health check without the figure.
func TestEngineThatTellsNoSlownessIsAskedSeldom(t *testing.T) {
	is := is.New(t)
	e := newSlowEngine(0)
	k := newKeeper(t, e)
	k.receiveHealth(health("/health"))
	poll(t, k, e.reports, 0, running(5))
	is.Equal(k.pollSlowness(t.Context()), silentSlownessPoll)
	is.Equal(k.lastReport.Slowness, 0)
}

// Gates are told of a slow moment at once, and not that it goes on when the engine no longer
// answers.
func TestSlownessReachesGatesAndExpires(t *testing.T) {
	is := is.New(t)
	e := newSlowEngine(250)
	k := newKeeper(t, e)
	gate := newGate(t)
	k.receive(gate.Address(), beechdatagram.Follow{Follow: &beechwire.Follow{Zone: k.settings.Zone}})
	k.receive(gate.Address(), health("/health"))
	poll(t, k, e.reports, 0, running(5))
	k.pollSlowness(t.Context())
	told := gate.nextStrain(arrives)
	is.True(told != nil)
	is.Equal(told.Slow, 250)
	poll(t, k, e.reports, slownessPoll, running(5))
	is.Equal(k.lastReport.Slowness, 250) // a report without the figure does not end the moment

	e.err = errNoEngine
	k.deps.Engine = e
	k.deps.Clock.(*clockwork.FakeClock).Advance(slownessTTL)
	is.Equal(k.pollSlowness(t.Context()), slownessPoll)
	poll(t, k, e.reports, time.Second, running(5))
	is.Equal(k.lastReport.Slowness, 0)
	told = gate.nextStrain(arrives)
	is.True(told != nil)
	is.Equal(told.Slow, 0)
}

// A datagram that did not come from a gate must not make a keeper send what it likes.
func TestInvalidHealthPathIsIgnored(t *testing.T) {
	is := is.New(t)
	k := newKeeper(t, newSlowEngine(250))
	for _, path := range []string{"", "health", "/a b", "/a\r\nHost: x", "/\x00", "/" + strings.Repeat("a", maxHealthPath)} {
		k.receiveHealth(health(path))
		is.Equal(k.slowness.path, "")
	}
}

// A prompt that is being read is not waiting any more. If it counted as read, gates would send the
// next long prompt to the same engine.
func TestPromptBeingReadStaysInBacklog(t *testing.T) {
	is := is.New(t)
	e := newSlowEngine(250)
	k := newKeeper(t, e)
	k.receive(newGate(t).Address(), beechdatagram.Announce{Announce: &beechwire.Announce{Read: 9000}})
	reading := running(5)
	reading.Slowness, reading.Prefilling = 250, 1
	poll(t, k, e.reports, 50*time.Millisecond, reading)
	is.True(k.backlog.Remaining(k.deps.Clock.Now()) > 4000)
	reading.Prefilling = 0
	poll(t, k, e.reports, 50*time.Millisecond, reading)
	is.Equal(k.backlog.Remaining(k.deps.Clock.Now()), 0)
}

// Without the figure, what is read is estimated as before.
func TestBacklogWithoutSlownessIsAsBefore(t *testing.T) {
	is := is.New(t)
	e := newSlowEngine(0)
	k := newKeeper(t, e)
	k.receive(newGate(t).Address(), beechdatagram.Announce{Announce: &beechwire.Announce{Read: 9000}})
	reading := running(5)
	reading.Prefilling = 1
	poll(t, k, e.reports, 50*time.Millisecond, reading)
	is.Equal(k.backlog.Remaining(k.deps.Clock.Now()), 0)
}
