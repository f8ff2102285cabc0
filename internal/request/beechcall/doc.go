// Package beechcall defines the data types of the router's core: a request with
// everything that decisions about it depend on, the configuration that tells where
// it may go, the backend servers, and the result of an attempt. The types do not
// depend on the protocol of a listener or a backend.
//
// # Usage
//
//	route, ok := configuration.FindRoute(host, path)
//	call := &beechcall.Call{ID: id, Route: route, Service: route.PickService(random), ...}
//	answer, err := backend.Send(ctx, beechcall.Attempt{Call: call, Server: server})
//	var notExecuted beechcall.NotExecuted
//	if errors.As(err, &notExecuted) {
//		// the call may be sent to another server
//	}
package beechcall
