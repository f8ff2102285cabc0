// Package beechstore is the client of the platform's key-value service and
// host list, the only place where processes agree on shared state.
//
// Store is the interface to the service; another service needs only another
// implementation of it. New returns the client for the HTTP protocol below,
// NewFake an implementation in memory.
//
// Each call has a deadline. Reads are retried with a jittered backoff. Writes
// are retried only if the service certainly did nothing on the first attempt;
// a write whose reply was lost fails with UnknownOutcome, and the caller has
// to read the value back. The service limits the rate of calls, so each
// process has a budget: the less important a call, the more of the budget it
// must leave unused (see Importance). A call over the budget fails immediately
// with OverBudget.
//
// # Protocol
//
// A key is a single percent-encoded path segment after /v1/values/. A bearer
// key authorises each call.
//
//	GET    /v1/values/KEY                     200 with the data, 404 if not there; both with Version
//	GET    /v1/values/KEY?watch=N&wait=30000  the same, once the version differs from N or after wait (ms)
//	PUT    /v1/values/KEY   If-Match: "N"     200 with the new Version; 412 with the current; 0 creates
//	DELETE /v1/values/KEY   If-Match: "N"     the same
//	POST   /v1/leases       {"ttl":5000}      200 {"id":"...","ttl":5000}
//	POST   /v1/leases/ID                      200 keeps it alive, 404 if it has ended
//	GET    /v1/hosts                          200 with a list of hosts
//
// The replies to GET and PUT carry an Era header if the service can be restored from a copy. Its
// number rises by one with each restore; without it the era is 0.
//
// PUT may carry a Lease header: the key is deleted when the lease ends. 400,
// 401, 403, 404, 413, 429 and 503 mean that nothing was done; any other status
// of a write leaves its outcome unknown. Retry-After is honoured.
//
// # Usage
//
//	store := beechstore.New(settings, http.DefaultClient, clockwork.NewRealClock())
//	v, err := store.Get(ctx, "manifest/head", beechstore.ImportanceConfiguration)
//	v, err = store.CompareAndSwap(ctx, v.Key, v.Version, data, "", beechstore.ImportanceConfiguration)
//	var unknown beechstore.UnknownOutcome
//	if errors.As(err, &unknown) {
//		// read the value back
//	}
package beechstore
