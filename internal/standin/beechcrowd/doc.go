// Package beechcrowd stands in for clients that do not behave: many at once that send large or
// malformed requests, or nothing, and stay.
//
// A client whose connection is closed or whose request is answered comes again, until the crowd is
// stopped. Forms lists what clients may do. An Observation tells what a crowd costs the process that
// it calls: resident memory, bytes that its sockets have received and it has not read, descriptors.
//
// # Usage
//
//	crowd, err := beechcrowd.New(beechcrowd.Settings{
//		Form: "length", Clients: 48, Address: address, Path: "/label/x", BodyBytes: 4 << 20, Header: header,
//	})
//	crowd.AwaitTurns(10 * time.Second) // each client has sent what it wants to, or was turned away
//	crowd.Stop()
//	fmt.Println(crowd.Counts())
//
//	observation := beechcrowd.Observe(pid, address)
//	...
//	usage, err := observation.End()
package beechcrowd
