// Package beechsimulator simulates the users' platform: its key-value store and
// its engines, with their published HTTP protocol. It keeps everything in memory and
// can inject the faults that tests need.
//
// # Usage
//
//	store := beechsimulator.NewStore()
//	store.Put("op/config", document)
//	http.Serve(listener, store)
//	engine := beechsimulator.NewEngine(beechsimulator.EngineSettings{ID: "e1", Model: "m", Version: 1})
//	http.Serve(listener, engine)
//	engine.Runs("attempt-1") // how often it ran
package beechsimulator
