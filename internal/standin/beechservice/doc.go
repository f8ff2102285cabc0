// Package beechservice simulates a plain HTTP service next to the model
// engines, with bookings, shipments and a path that accepts any request. Its
// journal records the requests that ran, so that a test can detect a request
// that ran twice, whatever reply its caller got.
//
// The service does not deduplicate requests: one that arrives twice runs twice.
// Tests rely on this to check that the router runs a request at most once.
//
// # Usage
//
//	service := beechservice.New(beechservice.Settings{}, clockwork.NewRealClock())
//	server := httptest.NewServer(service.Handler())
//	defer server.Close()
package beechservice
