// Package beechentry is the process on an entry host. It accepts callers'
// requests over HTTP, chooses a backend server for each, and relays each answer
// to its caller completely, in order and exactly once.
//
// Request path: a handler (completion.go, service.go) authenticates the
// workspace (routes.go), parses and validates the request and checks the
// workspace's limits; idempotency.go claims its idempotency key or joins a run
// that exists; dispatch.go sends attempts to agents in the router's order;
// relay.go and writer.go pass the answer on to the caller; retry.go decides
// after each attempt whether to try again. fleet.go holds what the process
// knows of the agents. That view may be stale; agents correct it in their
// replies.
//
// # Usage
//
//	entry, err := beechentry.New(settings, dependencies)
//	if err != nil {
//		return err
//	}
//	err = entry.Serve(ctx) // until ctx ends, then drains
package beechentry
