// Package beechbackend speaks to backend servers: model engines and plain
// services. An agent sees only the interfaces Engine and Service; what differs
// from one kind of server to the next stays in the one file of its adapter.
//
// The errors say what is known of the request, because a refusal that promises
// "not run" must be true. A NotSent never left this process. A Refused was
// answered by the server, which says itself that it did not run it. After a
// Broken or a Timeout the request may have run, in part or as a whole. Nothing
// else is taken for proof: a connection that closes right after the request was
// written looks the same whether the server read it or not.
//
// A streamed answer is read by Events, which bounds each line and tells a
// stream that ended from one that was cut.
//
// # Usage
//
//	client := beechbackend.NewClient(time.Second)
//	engine := beechbackend.NewOpenAI(netip.MustParseAddrPort("127.0.0.1:8000"), client)
//	answer, err := engine.Generate(ctx, beechbackend.GenerateRequest{...})
//	if beechbackend.NotRun(err) {
//		// may be sent elsewhere, whatever the request is
//	}
//	defer answer.Body.Close()
//	events := beechbackend.NewEventReader(answer.Body, beechbackend.DefaultEventLimit)
//	for {
//		event, err := events.Next()
//		if err == io.EOF {
//			break // the stream is whole
//		}
//		...
//	}
package beechbackend
