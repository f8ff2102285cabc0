// Package beechlink carries requests, replies and calls between an entry and an
// agent. Many streams are multiplexed over a few long-lived TCP connections. A
// frame is a 4-byte length, a 1-byte type and a beechwire message encoded as
// msgpack.
//
// # Usage
//
// An entry creates one Dialer, and a Client for each agent:
//
//	dialer := beechlink.NewDialer(settings, self, events, callHandler, heartbeats, nil, clockwork.NewRealClock())
//	client := dialer.Dial(netip.MustParseAddrPort("10.1.2.3:7300"))
//	stream, err := client.Open(ctx, request, body)
//	defer stream.Close(false)
//	for {
//		reply, err := stream.Next(ctx)
//		...
//	}
//
// An agent creates one Server:
//
//	listener, err := beechlink.Listen(netip.MustParseAddrPort("10.1.2.3:7300"))
//	server := beechlink.NewServer(settings, self, handler, callHandler, events, heartbeats, nil, clockwork.NewRealClock())
//	go server.Serve(ctx, listener)
//	...
//	err = server.Drain(ctx)
package beechlink
