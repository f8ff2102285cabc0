package beechtask

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Task is a named function run by a supervisor. It implements suture.Service.
type Task struct {
	Name string
	Run  func(ctx context.Context) error
}

// Serve implements suture.Service. Errors other than context.Canceled begin with the
// task's name.
func (t Task) Serve(ctx context.Context) error {
	err := t.Run(ctx)
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("%s: %w", t.Name, err)
	}
	return err
}

// String returns the name, which the supervisor logs.
func (t Task) String() string { return t.Name }

// Every calls step at once and then each interval, until ctx ends. Calls never
// overlap; one that takes longer than the interval delays the next.
func Every(ctx context.Context, clock clockwork.Clock, interval time.Duration, step func()) error {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		step()
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Notify signals a goroutine that receives from a channel with a buffer of one. It never
// blocks; signals that were not yet received are merged into one.
func Notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// Wait waits for the group's goroutines, or until ctx ends.
func Wait(ctx context.Context, group *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
