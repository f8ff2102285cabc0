// Package beechanswer checks that what a server has sent is a whole answer.
//
// An answer with neither a length nor chunks ends with its connection. The kernel reports a reset to one call only, which
// may be the one that still writes the request; the one that reads then sees an orderly end. So such an answer is whole
// only if its request was written whole.
//
// # Usage
//
//	client := &http.Client{Transport: beechanswer.Transport(transport)}
package beechanswer
