// Package beechentry is the process on an entry host: it takes callers'
// requests over HTTP, decides where each goes, and gives each caller its whole
// answer, in order, once.
//
// A request's way through it: a handler (completion.go, service.go) reads and
// checks it, admission.go finds its workspace and limits, dispatch.go sends
// attempts to agents by the router's ranking, and writer.go gives the answer
// to the caller. What the process knows of the fleet is in fleet.go and may be
// stale; agents correct it in their replies.
//
// # Usage
//
//	entry, err := beechentry.New(settings, dependencies)
//	if err != nil {
//		return err
//	}
//	err = entry.Serve(ctx) // until the context ends, then drains
package beechentry
