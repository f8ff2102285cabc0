// Package beechrecord runs a request that may not be repeated at most once,
// whatever fails and however often its caller sends it.
//
// Every such request carries an idempotency key. The request is claimed under
// its key before it is dispatched. Keys are hashed to shards, and each shard
// has one agent that is asked for claims (Owner). That agent groups the claims
// of a few milliseconds into one compare-and-swap on the shard's open segment
// in the platform's service, and only then grants one token, which permits one
// run. Ownership only improves performance: if two agents both consider
// themselves the owner of a shard, one of them loses the compare-and-swap,
// reads what the other one wrote and decides again.
//
// The outcome is stored in the segment together with a small answer, so that a
// repeat, which is the same request sent again under its key, gets the same
// answer even if the agent no longer exists. A claim without an outcome is
// Unknown: it is never granted again and never reported as not run. While the
// service is down, claims are refused and nothing runs.
//
// Memory does the same, within one process, for requests that may be repeated
// but carry a key: a repeat joins the first request.
//
// # Usage
//
//	records := beechrecord.New(store, clock, beechrecord.Settings{})
//	defer records.Close()
//	switch a := records.Claim(ctx, key, sha256.Sum256(body), requestID).(type) {
//	case beechrecord.Granted:
//		// run the request, then
//		err := records.Finish(ctx, key, a.Token, beechrecord.Ran{Status: 200, Body: answer})
//	case beechrecord.Done:
//		// send a.Status and a.Body to the caller again
//	case beechrecord.Unknown, beechrecord.Mismatch, beechrecord.Refused:
//	}
package beechrecord
