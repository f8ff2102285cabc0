// Package beechadmin provides the admin listener of every process, which is separate
// from the one for requests: liveness, readiness, metrics and status.
//
// Liveness and readiness need no key, since the platform's load balancer has none. All
// other paths require the admin key as a bearer token.
//
// # Usage
//
//	mux := beechadmin.NewMux(key, ready, vars)
//	mux.Handle("GET /status", beechadmin.RequireKey(key, handler))
//	serve, err := beechadmin.Listen(address, mux)
//	err = serve(ctx)
package beechadmin
