// Package beechthrottle keeps what servers say of how many requests a second they take
// from all gates together.
//
// # Usage
//
//	t := beechthrottle.New(clock, note)
//	t.Sent(server)
//	t.Heard(server, born, said, sent) // with each answer
package beechthrottle
