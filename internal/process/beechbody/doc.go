// Package beechbody reads the bodies of callers' requests within the memory that a process has for
// all of them, and dismisses clients whose bodies it does not read.
//
// # Purpose
//
// A server that answers before it has read a body must not leave the rest unread: it stays in the
// kernel's memory for as long as the connection is open, and closing the connection at once may
// destroy the response on its way. Dismiss receives the rest for a moment, of a limited number of
// connections at a time, and resets the connection then.
//
// # Usage
//
//	reader := beechbody.New(intake)
//	body, err := reader.Read(control, r, workspace, beechbody.Limits{Bytes: 4 << 20, Time: 10 * time.Second})
//	if err != nil {
//		// write a response with Content-Length and Connection: close
//		reader.Dismiss(control, r)
//		return
//	}
//	defer body.Release()
package beechbody
