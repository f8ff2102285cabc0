// Package beechending is where the handlers of callers' requests end. A request that has been read
// ends in an answer or a refusal; for one that does not, a Door says why, in a log line and a
// counter. A handler that panics ends there too: with status 500 if nothing was written, else with a
// response that is visibly incomplete.
//
// # Usage
//
//	door := beechending.NewDoor(log, clock, configurationVersion, func(w http.ResponseWriter) { w.WriteHeader(500) })
//	http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
//		request := door.Begin(w, r)
//		defer request.End()
//		...
//		request.WholeRequestRead()
//		request.BeginStream() // before the status of an answer that has several parts
//		request.Complete()    // or request.BreakOff()
//	})
package beechending
