// Package beechbackend provides HTTP clients for backend servers: model engines
// and plain services. Agents use only the interfaces Engine and Service. The
// implementation for each kind of server is in a file of its own: openai.go and
// service.go.
//
// # Errors
//
// The type of an error tells what is known about the request, since callers
// rely on it when they run a request again:
//
//   - NotSent: no connection was made, so the request did not run
//   - Refused: the server answered that it did not run the request
//   - Broken: the connection or the answer failed, and the request may have run,
//     in part or completely
//   - Timeout: the deadline passed after the request was sent, and it may have
//     run
//
// Nothing else proves that a request did not run. In particular, a connection
// that closes right after the request was written looks the same whether or not
// the server read the request.
//
// # Second copies of answers
//
// A server may send an answer more than once, at any later time. The connection of
// each exchange is therefore chosen so that the copy of an earlier answer is not
// taken for the one that is due: a connection carries a request ID once, reports
// share connections only with reports of their kind, and orders, cancellations,
// imports and exports have a connection each. The copy of an earlier report of the
// same kind cannot be told from a new one: reports may be outdated.
//
// # Streamed answers
//
// Streamed answers are read with an EventReader. It limits the length of lines
// and events, and distinguishes a complete stream from one that was truncated.
//
// # Usage
//
//	client := beechbackend.NewClient(time.Second) // or any whose transport is an *http.Transport
//	engine := beechbackend.NewOpenAI(netip.MustParseAddrPort("127.0.0.1:8000"), client)
//	answer, err := engine.Generate(ctx, beechbackend.GenerateRequest{...})
//	if beechbackend.NotRun(err) {
//		// any request may be sent to another server
//	}
//	defer answer.Body.Close()
//	events := beechbackend.NewEventReader(answer.Body, beechbackend.DefaultEventLimit)
//	for {
//		event, err := events.Next()
//		if err == io.EOF {
//			break // the stream is complete
//		}
//		...
//	}
package beechbackend
