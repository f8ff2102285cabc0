// Package beechtask adapts functions that run until their context ends to services of
// a supervisor, and has helpers for such functions.
//
// # Usage
//
//	supervisor.Add(beechtask.Task{Name: "share", Run: e.shareState})
//
//	func (e *Entry) shareState(ctx context.Context) error {
//		return beechtask.Every(ctx, e.clock, shareInterval, func() { e.shareOnce(ctx) })
//	}
package beechtask
