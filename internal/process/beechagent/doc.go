// Package beechagent implements the agent, a process that runs next to one
// backend server and controls it. The agent alone decides what runs on the
// server, what waits and what is refused, and it knows what the server has
// cached. Entry hosts choose servers from copies of this state that may be
// stale; the agent checks each request against the current state.
//
// A request is processed as follows:
//
//   - Agent.Open (stream.go) joins the run of the same request, if there is one
//   - Agent.admit (admission.go) checks a new request against the current
//     configuration and the state of the server
//   - the queue decides when the request may start (scheduler.go)
//   - Agent.run (runner.go, attempt.go) calls the backend server and appends the
//     answer to the buffer of a generation (generation.go)
//   - each attached stream reads that buffer at the speed of its caller
//
// Other tasks of the agent:
//
//   - backend.go polls the load and the cache events of the server
//   - models.go loads and unloads models as the configuration requires
//   - configuration.go keeps the configuration up to date
//   - entryhosts.go tracks the linked entry hosts and the state they share
//   - calls.go answers calls from entry hosts, such as claims to idempotency keys
//   - placement.go and outcomes.go handle repeated requests and lost entry hosts
//
// # Usage
//
//	agent, err := beechagent.New(settings, dependencies)
//	if err != nil {
//		return err
//	}
//	err = agent.Serve(ctx) // runs until ctx ends, then drains
package beechagent
