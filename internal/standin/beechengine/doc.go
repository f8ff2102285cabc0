// Package beechengine simulates a model engine for tests, the demo and
// benchmarks. It implements the OpenAI HTTP API and simulates the timing of
// continuous batching: a request waits for a slot, its uncached prompt tokens
// are prefilled at a rate shared by all slots, and one output token follows per
// token time. The engine has a prompt cache of bounded size, publishes cache
// events with a delay and with gaps, reports its load with a delay, accepts
// orders with fencing numbers, and injects faults on request.
//
// An answer depends only on the prompt, the model and weights that served it,
// and the position of each token. A test can therefore detect duplicated or
// missing tokens in a resumed answer by comparing it with Answer. Four bytes of
// a prompt count as one token; each output token is a word.
//
// The journal records what the engine did with each request. It is kept across
// injected crashes, because it serves the test and not the simulated engine. It
// is lost when the process ends, unless it is also written to a file.
//
// # Usage
//
//	engine := beechengine.New(beechengine.Settings{Models: []string{"advisor@w1"}}, clockwork.NewRealClock())
//	server := httptest.NewServer(engine.Handler())
//	defer server.Close()
//
// With zero Settings, prefill and token generation take no time, nothing is
// delayed, and up to DefaultSlots requests run at once.
package beechengine
