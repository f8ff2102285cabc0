// Package beechgate is the process of an entry host that sends requests directly
// to engines. It contains admission, the exchange of state with other processes, and
// the life cycle; decisions are made in beechattempt, beechplace and beechrollout.
//
// A request passes through:
//
//	HTTP handler -> Admit (configuration, key) -> Serve (quota, beechattempt) -> response
//
// A gate mirrors the operators' documents and the servers' entries from the store,
// and receives engine state from the keepers, the agents on the engines' hosts. Gates
// of a zone share their reads of the store, and all gates exchange quota usage, server
// limits and overloads. Nothing is persisted: a gate that starts reads both prefixes
// of the store and is ready.
//
// # Usage
//
//	gate, err := beechgate.New(settings, beechgate.Dependencies{...})
//	err = gate.Run(ctx, handler, ready) // until ctx ends and all requests are completed
package beechgate
