// Package beechagent is the process beside one backend server. It is the only
// authority over that server: what runs, what waits, what is refused and what
// is cached. Entry hosts route on views that may be stale; this process
// answers with what is so.
//
// A request's way through it: Open (stream.go) checks the request against the
// configuration in force (admission.go), the queue decides when it may start
// (scheduler.go), the runner calls the backend server (runner.go) and fills a
// generation's buffer (generation.go), and every attached stream follows that
// buffer at its caller's speed.
//
// # Usage
//
//	agent, err := beechagent.New(settings, dependencies)
//	if err != nil {
//		return err
//	}
//	err = agent.Serve(ctx) // until the context ends, then drains
package beechagent
