package beechplay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/beechring/beechring/internal/standin/beechsimulator"
)

// leaving is a caller that leaves a long stream in its middle.
type leaving struct {
	gate     string
	patience time.Duration
	extra    string // sent beyond the request
	leave    func(c *net.TCPConn)
	leftAt   time.Time
}

const (
	// One of leavingEvery callers leaves the middle of a stream of longOutput events.
	leavingEvery = 4
	longOutput   = 200
	minLongStay  = 50 * time.Millisecond
	maxLongStay  = 1500 * time.Millisecond
	// A machine on which a tick of stallTick comes later than maxStall is too busy for departureBound.
	stallTick = 20 * time.Millisecond
	maxStall  = 150 * time.Millisecond
)

// drawLeaving returns a caller that leaves midway, now and then.
func drawLeaving(draw *rand.Rand, gate string) *leaving {
	l := &leaving{
		gate: gate, patience: minLongStay + time.Duration(draw.Int64N(int64(maxLongStay-minLongStay))),
		extra: []string{"", "", "G", "\r\n", "GET /check/next HTTP/1.1\r\nHost: " + Host + "\r\n\r\n"}[draw.IntN(5)],
		leave: []func(*net.TCPConn){
			func(c *net.TCPConn) { _ = c.Close() },
			func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
			func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(2 * departureBound); _ = c.Close() },
		}[draw.IntN(3)],
	}
	if draw.IntN(leavingEvery) > 0 {
		return nil
	}
	return l
}

// leaveMidway sends a request for a long stream and leaves before its end.
func (s *soak) leaveMidway(id, path string, l *leaving) {
	c, err := net.Dial("tcp4", s.cluster.Places[l.gate].String())
	if err != nil {
		return // the gate is down
	}
	ask := beechsimulator.CallerRequest{
		ID: id, Key: Key, Host: Host, URL: "http://" + s.cluster.Places[l.gate].String() + path + "x", Left: 5 * time.Second, Body: "question",
		Model: Model, Prompt: 1000, Output: longOutput, Parts: "c0:400,5b:300," + id + ":300",
	}
	r, err := ask.NewRequest()
	if err != nil {
		s.t.Error(err)
		return
	}
	_ = r.Write(c)
	time.Sleep(l.patience / 2)
	_, _ = c.Write([]byte(l.extra))
	time.Sleep(l.patience / 2)
	l.leftAt = time.Now()
	s.mu.Lock()
	s.leavings[id] = l
	s.mu.Unlock()
	l.leave(c.(*net.TCPConn))
}

// checkLeavings checks that what runs for callers that left ends soon after, at gates in touch.
func (s *soak) checkLeavings() {
	time.Sleep(2 * departureBound) // the last callers may have left just now
	ran := 0
	var late []string
	for id, l := range s.leavings {
		if !s.inTouch(l.gate, l.leftAt) || s.stalledAfter(l.leftAt) {
			continue
		}
		for name, e := range s.cluster.Engines {
			begun, ended := e.BegunAt(id), e.EndedAt(id)
			if begun.IsZero() || (!ended.IsZero() && ended.Before(l.leftAt)) {
				continue
			}
			ran++
			if ended.IsZero() || ended.After(l.leftAt.Add(departureBound)) {
				late = append(late, fmt.Sprintf("%s at %s by %s, left at %s, ended at %s", id, name, l.gate, l.leftAt.Format(time.StampMilli), ended.Format(time.StampMilli)))
			}
		}
	}
	s.t.Logf("%d callers left midway, %d runs at that time by gates in touch, %d of them went on: %q", len(s.leavings), ran, len(late), late)
	if len(late) > 0 {
		s.t.Errorf("%d of %d runs went on after their callers had left", len(late), ran)
	}
}

// watchStalls records when the machine stood still, until the context ends.
func (s *soak) watchStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; last = time.Now() {
		time.Sleep(stallTick)
		if time.Since(last) > maxStall {
			s.mu.Lock()
			s.stalls = append(s.stalls, time.Now())
			s.mu.Unlock()
		}
	}
}

// stalledAfter reports whether the machine stood still in the time that a run may go on for.
func (s *soak) stalledAfter(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.stalls, func(stall time.Time) bool {
		return stall.After(at) && stall.Before(at.Add(departureBound+maxStall))
	})
}
