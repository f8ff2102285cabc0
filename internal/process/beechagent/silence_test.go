package beechagent

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/decision/beechsilence"
	"github.com/beechring/beechring/internal/process/beechbackend"
)

// reportingEngine answers each question for its state with an error.
type reportingEngine struct {
	beechbackend.Engine
	err error
}

// runningAttempt adds an attempt that got its last data a while ago, and returns why it was aborted.
func runningAttempt(a *Agent, id uint64, noDataFor time.Duration) (aborted *error) {
	aborted = new(error)
	t := &attempt{agent: a, id: id, abort: func(cause error) { *aborted = cause }}
	t.lastProgress.Store(a.clock.Now().Add(-noDataFor).UnixNano())
	a.running.add(id, run{attempt: t})
	return aborted
}

func timedOut(context.Context) error {
	return &beechbackend.Timeout{Step: "report", Err: context.DeadlineExceeded}
}

func connectionRefused(context.Context) error {
	return &beechbackend.NotSent{Step: "report", Err: &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}}
}

// TestLateReportOfEngine guards against an engine that is taken for dead after a single report that is
// late: its queue is refused, and what reads a long prompt is ended.
func TestLateReportOfEngine(t *testing.T) {
	is := is.New(t)
	a := newBackoffAgent(t)
	a.backend.setReport(beechbackend.Report{Incarnation: 1, Slots: 4, Models: []string{"m@1"}})
	reading := runningAttempt(a, 1, 10*time.Second)
	is.True(errors.Is(a.ask(t.Context(), timedOut), context.DeadlineExceeded))
	a.abortStalled()
	is.NoErr(*reading)
	is.True(a.backend.serves("m@1"))
	started := a.start(t.Context(), newTestGeneration(a.clock, "queued", 0), a.clock.Now().Add(time.Minute), func(error) {})
	is.True(started != nil)
}

// TestRefusedReportOfEngine guards against requests that are sent to an engine that is gone, and against
// answers that are ended for one report whose connection was lost.
func TestRefusedReportOfEngine(t *testing.T) {
	is := is.New(t)
	a := newBackoffAgent(t)
	a.backend.setReport(beechbackend.Report{Incarnation: 1, Slots: 4, Models: []string{"m@1"}})
	reading := runningAttempt(a, 1, 10*time.Second)
	is.True(a.ask(t.Context(), connectionRefused) != nil)
	is.True(!a.backend.serves("m@1"))
	a.abortStalled()
	is.NoErr(*reading)
}

// TestHangingEngineIsLeft guards against callers that wait for an engine that hangs.
func TestHangingEngineIsLeft(t *testing.T) {
	is := is.New(t)
	a := newBackoffAgent(t)
	a.backend.setReport(beechbackend.Report{Incarnation: 1, Slots: 4, Models: []string{"m@1"}})
	reading, answering := runningAttempt(a, 1, 10*time.Second), runningAttempt(a, 2, time.Second)
	asked := a.clock.Now()
	state := beechsilence.Alive
	for now := asked; state != beechsilence.Gone; {
		asked, now = now, now.Add(reportTimeout)
		_, state = a.backend.missed(asked, now, true)
		is.True(now.Sub(a.clock.Now()) <= 3*reportTimeout)
	}
	is.True(!a.backend.serves("m@1"))
	a.abortStalled()
	is.Equal(*reading, errStalled)
	is.NoErr(*answering)
}

// TestSilentEngineHasNotCrashed guards against requests that are taken for the cause of a crash when an
// engine is silent as one of its connections is lost.
func TestSilentEngineHasNotCrashed(t *testing.T) {
	is := is.New(t)
	a := newBackoffAgent(t)
	a.engine = reportingEngine{err: timedOut(t.Context())}
	a.backend.setReport(beechbackend.Report{Incarnation: 1, Slots: 4})
	is.True(!a.confirmCrash(t.Context(), 1))
	is.Equal(a.counters.Crashes.Load(), int64(0))
	a.engine = reportingEngine{err: connectionRefused(t.Context())}
	is.True(a.confirmCrash(t.Context(), 1))
}

func (e reportingEngine) Report(context.Context) (beechbackend.Report, error) {
	return beechbackend.Report{}, e.err
}
