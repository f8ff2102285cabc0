package beechkeeper

import (
	"context"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/link/beechdatagram"
	"github.com/beechring/beechring/internal/process/beechtask"
)

// hostSlowness is what the engine has last told of its host.
type hostSlowness struct {
	path   string // of the engine's health check; empty: gates have not told it
	figure int    // in percent of the usual; 0: not known
	at     time.Time
}

const (
	// slownessPoll is short against a slow moment, which lasts some hundred milliseconds. Each poll
	// is billed as a probe.
	slownessPoll = 100 * time.Millisecond
	// silentSlownessPoll is for engines that do not tell it: their software may be replaced.
	silentSlownessPoll = 10 * time.Second
	slownessTTL        = 4 * slownessPoll
	maxHealthPath      = 256 // bytes
)

// receiveHealth records where the engine says how slow its host is.
func (k *Keeper) receiveHealth(h beechdatagram.Health) {
	if !strings.HasPrefix(h.Path, "/") || len(h.Path) > maxHealthPath || strings.ContainsFunc(h.Path, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.slowness.path != h.Path {
		k.deps.Log.Info("asks for the slowness of the engine's host", zap.String("path", h.Path))
	}
	k.slowness.path = h.Path
}

// watchSlowness asks the engine how slow its host is while it runs requests.
func (k *Keeper) watchSlowness(ctx context.Context) error {
	for ctx.Err() == nil {
		after := k.pollSlowness(ctx)
		select {
		case <-k.deps.Clock.After(after):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// pollSlowness asks once, if that is of use, and returns the time until the next poll.
func (k *Keeper) pollSlowness(ctx context.Context) time.Duration {
	k.mu.Lock()
	path, idle := k.slowness.path, k.lastReport.Running+k.lastReport.Waiting == 0
	limited := reportsLimit(k.lastReport.Limit) // health checks may count against it
	k.mu.Unlock()
	if path == "" || idle || limited {
		return slownessPoll
	}
	timeout, cancel := clockwork.WithTimeout(ctx, k.deps.Clock, reportTimeout)
	figure, err := k.deps.Engine.Slowness(timeout, path)
	cancel()
	if err != nil {
		k.metrics.missedSlowness.Add(1)
		return slownessPoll // the last figure expires by itself
	}
	k.metrics.slownessPolls.Add(1)
	k.mu.Lock()
	k.slowness.figure, k.slowness.at = figure, k.deps.Clock.Now()
	k.lastReport.Slowness = figure
	k.mu.Unlock()
	k.notifyStrain()
	beechtask.Notify(k.wake)
	if figure == 0 {
		return silentSlownessPoll
	}
	return slownessPoll
}

// current returns the slowness of the host, or 0 if it is not known.
func (s *hostSlowness) current(now time.Time) int {
	if now.Sub(s.at) > slownessTTL {
		return 0
	}
	return s.figure
}
