// Package beechengine is a small stand-in for a model engine, for tests, the
// demo and measurements. It speaks the published OpenAI HTTP shapes and batches
// continuously by time: a request waits for a slot, its uncached prompt is
// prefilled by a resource that all slots share, then a token follows every
// token time. It keeps a prompt cache of bounded size, publishes cache events
// late and with gaps, reports its load with a lag, takes orders with fencing
// numbers, and fails on request.
//
// An answer is a function of the prompt, the weights that served and the
// token's position, so that a reader of a resumed answer can tell a doubled or
// missing token from a whole answer: see Answer. Prompt tokens are counted as
// four bytes each, output tokens are words.
//
// The journal records what the engine did with each request. It outlives a
// crash made by a fault, because it belongs to the observer and not to the
// engine; it is lost with the process, unless it is also written to a file.
//
// # Usage
//
//	engine := beechengine.New(beechengine.Settings{Models: []string{"advisor@w1"}}, clockwork.NewRealClock())
//	server := httptest.NewServer(engine.Handler())
//	defer server.Close()
//
// Settings that are left at zero are fast: no time for prefill or tokens, no
// lag, one slot a request up to DefaultSlots.
package beechengine
