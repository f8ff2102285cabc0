// Package beechmember tracks which processes exist and which of them may be
// given new work. It combines three sources: the platform's host list, which
// is late; the links to the processes, which show immediately when a process
// is reachable or lost; and the processes' heartbeats, in which they report
// that they are leaving.
//
// The host list only adds candidates. A process becomes usable when a link to
// it is up. The list never makes a process usable whose link is lost or which
// has reported that it is leaving, since the list may show a host long after
// it is gone. Leaving is final for an incarnation: a late heartbeat or list
// that says otherwise is ignored. To be usable again, the process must restart
// with a higher incarnation, or with a lower one and a new handshake (see
// HandshakeDone).
//
// Flapping links are damped: from the second loss on, each loss doubles the
// time that a new link must hold before the process is usable, up to a
// maximum. The losses are reset once a link has held for long enough. Without
// damping, a server that connects and disconnects every second would attract
// requests and drop them each time.
//
// # Usage
//
//	members := beechmember.New(clock, beechmember.Settings{})
//	members.UpdateHosts(hosts)
//	members.LinkUp(address, incarnation)
//	members.UpdateLeaving(address, incarnation, true)
//	if members.Usable(address) { ... }
package beechmember
