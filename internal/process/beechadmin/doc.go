// Package beechadmin is the admin listener that every process has, apart from
// the one that serves its work: liveness, readiness, metrics and status.
//
// Liveness and readiness are open, since the platform's balancer has no key.
// Everything else asks for the admin key as a bearer key.
//
// # Usage
//
//	mux := beechadmin.NewMux(key, ready, vars)
//	mux.Handle("GET /status", beechadmin.RequireKey(key, handler))
//	serve, err := beechadmin.Listen(address, mux)
//	err = serve(ctx)
package beechadmin
