// Package beechlink carries requests, answers and calls between an entry and
// an agent: many streams over a few long-lived TCP connections, as frames of a
// 4-byte length, a 1-byte type and a message of beechwire in msgpack.
//
// # Usage
//
// An entry makes one Dialer and a Client for each agent:
//
//	dialer := beechlink.NewDialer(settings, self, events, caller, heartbeats, nil, clockwork.NewRealClock())
//	client := dialer.Dial(netip.MustParseAddrPort("10.1.2.3:7300"))
//	stream, err := client.Open(ctx, request, body)
//	defer stream.Close(false)
//	for {
//		reply, err := stream.Next(ctx)
//		...
//	}
//
// An agent makes one Server:
//
//	listener, err := beechlink.Listen(netip.MustParseAddrPort("10.1.2.3:7300"))
//	server := beechlink.NewServer(settings, self, handler, caller, events, heartbeats, nil, clockwork.NewRealClock())
//	go server.Serve(ctx, listener)
//	...
//	err = server.Drain(ctx)
package beechlink
