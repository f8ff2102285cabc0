// Package beechservice is a small stand-in for a plain service beside the model
// engines: bookings, shipments and a path that answers anything. Its journal
// shows what ran, so that a test can tell a request that ran twice from one
// that ran once, whatever its caller was told.
//
// The service does not look for repeats by itself: what arrives twice runs
// twice. That is what makes the router's own promise visible.
//
// # Usage
//
//	service := beechservice.New(beechservice.Settings{}, clockwork.NewRealClock())
//	server := httptest.NewServer(service.Handler())
//	defer server.Close()
package beechservice
