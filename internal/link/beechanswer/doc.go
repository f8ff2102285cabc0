// Package beechanswer checks that what a server has sent is an answer of HTTP/1, and a whole one.
//
// net/http takes a field name with a blank or other bytes that no name has as a key that no look-up finds. A length or a
// coding under such a name is lost: the body is then read by another framing than its server's, and the field is passed
// on as it came. It also takes any three digits as a status. RFC 9112, section 5.1, has a response with a blank before
// the colon be corrected or rejected; as what else is wrong with it is not known, it is rejected.
//
// An answer with neither a length nor chunks ends with its connection. The kernel reports a reset to one call only, which
// may be the one that still writes the request; the one that reads then sees an orderly end. So such an answer is whole
// only if its request was written whole.
//
// # Usage
//
//	client := &http.Client{Transport: beechanswer.Transport(transport)}
//
// or, where responses are read by other means,
//
//	response, err := http.ReadResponse(reader, request)
//	if err == nil {
//		err = beechanswer.Check(response) // interim responses too
//	}
//	// at the end of the body
//	err = beechanswer.CheckFields(response.Trailer)
package beechanswer
