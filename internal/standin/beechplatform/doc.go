// Package beechplatform simulates the platform's key-value service and host
// list for the demo, scenarios and tests. It implements the protocol of
// beechstore, counts calls (a blocking watch counts as one), limits reads and
// writes to the platform's rates, and rejects values over 1 MB.
//
// POST /standin/fault sets a Fault, POST /standin/hosts sets the list of hosts,
// and GET /standin/counts returns the number of calls and how many of them
// exceeded the rate. Bodies are JSON.
//
// # Usage
//
//	platform := beechplatform.New(beechplatform.Settings{}, clockwork.NewRealClock())
//	server := &http.Server{Handler: platform.Handler()}
package beechplatform
