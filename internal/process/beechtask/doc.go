// Package beechtask gives a process's goroutines the shape that the supervisor
// wants: a name and a closure that runs until its context ends.
//
// # Usage
//
//	supervisor.Add(beechtask.Task{Name: "share", Run: e.shareState})
//
//	func (e *Entry) shareState(ctx context.Context) error {
//		return beechtask.Every(ctx, e.clock, shareInterval, func() { e.shareOnce(ctx) })
//	}
package beechtask
