// Package beechplatform is a small stand-in for the platform's key-value
// service and host list, for the demo, scenarios and tests. It speaks the
// protocol of beechstore, counts each call (a waiting watch as one), limits
// reads and writes to the platform's rates and refuses values over 1 MB.
//
// What goes wrong is set by POST /standin/fault with a Fault in JSON, the
// hosts by POST /standin/hosts with a list of hosts; GET /standin/counts gives
// the calls so far and how many were over the rate.
//
// # Usage
//
//	platform := beechplatform.New(beechplatform.Settings{}, clockwork.NewRealClock())
//	server := &http.Server{Handler: platform.Handler()}
package beechplatform
